//! Capacity and refill rate of a team's bucket.

use crate::gateway::num;
use crate::gateway::settings::LimitWindow;

/// Fraction of the tolerance's constant part that is granted to the team.
///
/// To a small team it is a multiple of its burst. The remainder of the tolerance, and the whole part that
/// grows with the limit, is left for what nodes cannot know of each other.
const SLACK_FRACTION: f64 = 0.3;

/// Fraction of the burst that the bucket holds.
///
/// The remaining fraction is added to the refill rate over the window. A bucket that holds the
/// whole burst and is refilled at the rate alone keeps rejecting a team that slightly exceeds
/// its rate, although each window allows another burst.
const BURST_FRACTION: f64 = 0.5;

/// Capacity and refill rate of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketParameters {
    pub capacity: f64,
    pub rate_per_s: f64,
}

impl BucketParameters {
    /// Returns these parameters with the refill rate of this part of the limit.
    pub fn with_share(self, share: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * share,
            ..self
        }
    }

    /// Returns parameters that keep each window within rate, burst and a part of the tolerance.
    ///
    /// Without a window, only the burst and the rate apply.
    pub fn new(window: Option<LimitWindow>, rate_per_s: f64, burst: f64) -> Self {
        let Some(window) = window else {
            return Self {
                capacity: burst,
                rate_per_s,
            };
        };
        let window_s = num::to_f64(window.window_ms) / 1_000.0;
        let burst = burst + window.slack * SLACK_FRACTION;
        Self {
            capacity: burst * BURST_FRACTION,
            rate_per_s: rate_per_s + burst * (1.0 - BURST_FRACTION) / window_s,
        }
    }
}
