//! Capacity, refill rate and damping of a team's bucket.

use crate::gateway::num;
use crate::gateway::settings::LimitWindow;

/// Fraction of the operators' tolerance that is granted to the team.
///
/// The remainder covers what nodes admit before they receive each other's reports.
const TEAM_TOLERANCE_FRACTION: f64 = 0.4;

/// Fraction of a window's allowance beyond the rate that the bucket holds as burst capacity.
///
/// The remaining fraction is added to the refill rate over the window. A bucket that holds the
/// whole allowance and is refilled at the rate alone keeps rejecting a team that slightly exceeds
/// its rate, although each window allows another burst.
const BURST_FRACTION: f64 = 0.5;

/// Largest number of nodes at which a bucket uses the operators' tolerance.
///
/// In a larger fleet, usage reports pass through the groups and take longer. A node that is cut off
/// notices only after some seconds that other groups are silent; until then it admits requests as if
/// it could hear every peer.
const MAX_TOLERANCE_NODES: u32 = 30;

/// Below this fraction of the capacity, a bucket admits a fraction of the requests that falls with
/// its level.
///
/// Many nodes spend the same limit before they receive each other's reports. If each node admitted
/// every request until its bucket was empty, the admissions of a team at several times its limit
/// would oscillate between all nodes and none, and exceed the limit. Damping brings the admission
/// rate close to the refill rate. The fraction is smaller for few nodes, whose reports arrive
/// sooner, and zero up to [`MAX_UNDAMPED_NODES`] nodes.
const DAMPING_FRACTION: f64 = 0.65;

/// Largest number of nodes whose buckets are not damped.
const MAX_UNDAMPED_NODES: f64 = 9.0;

/// Capacity and refill rate of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketParameters {
    pub capacity: f64,
    pub rate_per_s: f64,
}

impl BucketParameters {
    /// Returns parameters that keep each window within rate, burst and a fraction of the tolerance.
    ///
    /// Without a window, and with more than [`MAX_TOLERANCE_NODES`] nodes, only the burst and the
    /// rate apply.
    pub fn new(window: Option<LimitWindow>, rate_per_s: f64, burst: f64, nodes: u32) -> Self {
        // In a large fleet, admissions that are not reported yet use up the whole tolerance.
        let Some(window) = window.filter(|_window| nodes <= MAX_TOLERANCE_NODES) else {
            return Self {
                capacity: burst,
                rate_per_s,
            };
        };
        let window_s = num::to_f64(window.window_ms) / 1_000.0;
        let team_tolerance = window.tolerance(rate_per_s, burst) * TEAM_TOLERANCE_FRACTION;
        let beyond_rate = burst + team_tolerance;
        Self {
            capacity: beyond_rate * BURST_FRACTION,
            rate_per_s: rate_per_s + beyond_rate * (1.0 - BURST_FRACTION) / window_s,
        }
    }
}

/// Returns the fraction of the capacity below which a bucket is damped, by number of nodes.
pub(super) fn damping_fraction(nodes: u32) -> f64 {
    DAMPING_FRACTION * (1.0 - MAX_UNDAMPED_NODES / f64::from(nodes.max(1))).max(0.0)
}
