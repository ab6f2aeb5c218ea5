//! Waiting longer after each failure, with jitter.

use rand::Rng;

/// How long the waits after failures are.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: u64,
    most_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Waits that start around `first_ms` and double up to `most_ms`.
    #[must_use]
    pub fn new(first_ms: u64, most_ms: u64) -> Self {
        Self {
            first_ms: first_ms.max(1),
            most_ms: most_ms.max(first_ms).max(1),
            failures: 0,
        }
    }

    /// The wait after one more failure: between half of the present step and the whole of it.
    ///
    /// Without jitter all nodes that lost the log at once would ask again at once; one would
    /// notice bursts of refused calls at regular distances.
    pub fn next_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let doubled = 1_u64.checked_shl(self.failures.min(32)).unwrap_or(u64::MAX);
        let step_ms = self.first_ms.saturating_mul(doubled).min(self.most_ms);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(step_ms.div_ceil(2)..=step_ms)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
