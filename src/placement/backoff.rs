//! How long to leave a class alone after its starts were refused.

use crate::keys::{ClassKey, DomainKey};
use crate::reclaim::rates::mix;
use crate::time::TimeMs;

/// How long after the first refusal.
const FIRST_MS: u64 = 15_000;

/// How long at most.
const LONGEST_MS: u64 = 900_000;

/// Refused starts of a class in a failure domain since its last start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The class.
    pub class: ClassKey,
    /// The failure domain.
    pub domain: DomainKey,
    /// Refusals in a row.
    pub in_a_row: u32,
    /// The newest of them.
    pub last_at_ms: TimeMs,
}

impl Refusal {
    /// When the class may be tried again there.
    ///
    /// Each refusal doubles the time, up to a quarter of an hour. A part that depends on class and
    /// failure domain keeps all of them from being tried again in the same moment.
    #[must_use]
    pub fn again_at_ms(&self) -> TimeMs {
        let doublings = self.in_a_row.saturating_sub(1).min(10);
        let wait_ms = (FIRST_MS << doublings).min(LONGEST_MS);
        let offer = u64::from(self.class.0) << 16 | u64::from(self.domain.0);
        let spread_ms = mix(offer, u64::from(self.in_a_row)) % (wait_ms / 4);
        self.last_at_ms.after(wait_ms + spread_ms)
    }
}
