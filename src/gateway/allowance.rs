//! How much a node sends to peers that ask it, so that its link stays free for callers.

use super::num;
use crate::time::TimeMs;

/// Part of the link that answers may take: callers and pulses have the rest.
const LINK_PART: f64 = 0.4;

/// Answers of this long may be given at once.
const BURST_MS: u64 = 100;

/// Bytes in a megabit.
const MEGABIT_BYTES: f64 = 125_000.0;

/// What may be sent, refilled at the rate of the link's part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    bytes_per_ms: f64,
    left_bytes: f64,
    refilled_at: TimeMs,
}

impl Allowance {
    /// The allowance of a link.
    #[must_use]
    pub fn of_link(link_mbps: f64) -> Self {
        let bytes_per_ms = link_mbps * MEGABIT_BYTES * LINK_PART / 1_000.0;
        Self {
            bytes_per_ms,
            left_bytes: bytes_per_ms * num::real(BURST_MS),
            refilled_at: TimeMs(0),
        }
    }

    /// Takes what an answer needs; tells whether it may be sent.
    pub fn take(&mut self, bytes: usize, now: TimeMs) -> bool {
        let most_bytes = self.bytes_per_ms * num::real(BURST_MS);
        let refill_bytes = self.bytes_per_ms * num::real(now.since(self.refilled_at));
        self.left_bytes = (self.left_bytes + refill_bytes).min(most_bytes);
        self.refilled_at = now;
        if self.left_bytes <= 0.0 {
            return false;
        }
        // The last answer may go beyond: else a large one could never be given.
        self.left_bytes -= num::real(bytes as u64);
        true
    }
}

#[cfg(test)]
mod tests;
