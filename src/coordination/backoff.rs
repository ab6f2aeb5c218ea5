//! Exponential backoff with jitter.

use rand::Rng;

/// The delays after consecutive failures.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates delays that start around `first_ms` and double up to `max_ms`.
    #[must_use]
    pub fn new(first_ms: u64, max_ms: u64) -> Self {
        Self {
            first_ms: first_ms.max(1),
            max_ms: max_ms.max(first_ms).max(1),
            failures: 0,
        }
    }

    /// Returns the delay after one more failure: between half of the current step and all of it, in
    /// ms.
    ///
    /// Without jitter all nodes that lost the log at the same time would retry at the same time,
    /// and the platform would reject bursts of calls at regular intervals.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let doubled = 1_u64.checked_shl(self.failures.min(32)).unwrap_or(u64::MAX);
        let step_ms = self.first_ms.saturating_mul(doubled).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(step_ms.div_ceil(2)..=step_ms)
    }

    /// Resets the delay to the first step after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
