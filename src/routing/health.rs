//! Decides when an upstream is tried again after a failure.

use crate::time::TimeMs;

/// Backoff after the first failure.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Upper bound of the backoff.
const MAX_BACKOFF_MS: u64 = 16_000;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Open,
    /// Its last call failed and its backoff has ended; one request may probe it.
    Probe,
    /// Its last call failed and its backoff has not ended.
    Failing {
        /// When the backoff ends.
        probe_at_ms: TimeMs,
    },
    /// It takes no new requests.
    Leaving,
}

/// Health of one upstream, from the results of this node's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    probe_at_ms: TimeMs,
}

impl Health {
    /// Records a call that failed because of the host; doubles the backoff up to the maximum.
    pub fn record_failure(&mut self, now: TimeMs) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_MS.ilog2());
        let wait_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.probe_at_ms = now.after(wait_ms);
    }

    /// Records that the host answered; resets the backoff.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that a request probes the host.
    ///
    /// Other requests avoid the host until the result is known or the maximum backoff has passed.
    /// Without this, all requests that wait for the host would be sent to it at once when its
    /// backoff ends, and each of them would lose time if the host still fails.
    pub fn record_probe(&mut self, now: TimeMs) {
        self.probe_at_ms = now.after(MAX_BACKOFF_MS);
    }

    /// Returns whether the host accepts new requests at `now`.
    #[must_use]
    pub fn availability(&self, now: TimeMs) -> Availability {
        match self.probe_at_ms {
            _ if self.consecutive_failures == 0 => Availability::Open,
            probe_at_ms if probe_at_ms <= now => Availability::Probe,
            probe_at_ms => Availability::Failing { probe_at_ms },
        }
    }
}

#[cfg(test)]
mod tests;
