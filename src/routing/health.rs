//! When an upstream that failed is tried again.

use crate::time::TimeMs;

/// Wait after the first failure.
const FIRST_BACKOFF_MS: u64 = 250;
/// Longest wait between two tries.
const LONGEST_BACKOFF_MS: u64 = 16_000;

/// Whether an upstream may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Open,
    /// It failed, and the time to try it once has come.
    Probe,
    /// It failed and is left alone for now.
    Failing {
        /// When it may be tried.
        probe_at_ms: TimeMs,
    },
    /// It must get nothing new.
    Leaving,
}

/// What this node's own calls say of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    probe_at_ms: TimeMs,
}

impl Health {
    /// Notes that a call failed in a way that speaks against the host; doubles the wait.
    pub fn note_failure(&mut self, now: TimeMs) {
        let doublings = self.failures.min(LONGEST_BACKOFF_MS.ilog2());
        let wait_ms = (FIRST_BACKOFF_MS << doublings).min(LONGEST_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.probe_at_ms = now.after(wait_ms);
    }

    /// Notes that it answered.
    pub fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes that a request is sent to try it, so that no others follow until that one is known.
    ///
    /// Without this all requests that wait for the host to come back would be sent at once, and
    /// those that fail are lost time for as many callers.
    pub fn note_probe(&mut self, now: TimeMs) {
        self.probe_at_ms = now.after(LONGEST_BACKOFF_MS);
    }

    /// Whether it may be given work.
    #[must_use]
    pub fn standing(&self, now: TimeMs) -> Standing {
        match self.probe_at_ms {
            _ if self.failures == 0 => Standing::Open,
            probe_at_ms if probe_at_ms <= now => Standing::Probe,
            probe_at_ms => Standing::Failing { probe_at_ms },
        }
    }
}

#[cfg(test)]
mod tests;
