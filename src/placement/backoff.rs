//! Exponential backoff for host classes whose starts were refused.

use crate::keys::{ClassKey, DomainKey};
use crate::reclaim::num::hash_pair;
use crate::time::TimeMs;

/// Backoff after the first refusal.
const INITIAL_BACKOFF_MS: u64 = 15_000;

/// Upper bound of the backoff, excluding jitter.
const BACKOFF_MAX_MS: u64 = 900_000;

/// Refused starts of a class in a failure domain since the last successful start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The class.
    pub class: ClassKey,
    /// The failure domain.
    pub domain: DomainKey,
    /// Number of consecutive refusals.
    pub consecutive_refusals: u32,
    /// When the latest start was refused.
    pub last_at_ms: TimeMs,
}

impl Refusal {
    /// Returns when the class may be started again in the failure domain.
    ///
    /// Each refusal doubles the backoff, up to a quarter of an hour. A deterministic jitter, derived
    /// from class and failure domain, keeps their retries from coinciding.
    #[must_use]
    pub fn retry_at_ms(&self) -> TimeMs {
        let doublings = self.consecutive_refusals.saturating_sub(1).min(10);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(BACKOFF_MAX_MS);
        let offer_key = u64::from(self.class.0) << 16 | u64::from(self.domain.0);
        let jitter_ms =
            hash_pair(offer_key, u64::from(self.consecutive_refusals)) % (backoff_ms / 4);
        self.last_at_ms.after(backoff_ms + jitter_ms)
    }
}
