//! Bandwidth limit for responses to peers, which keeps the link free for callers.

use super::num;
use crate::time::TimeMs;

/// Fraction of the link that responses may use; the rest is left to callers and heartbeats.
const LINK_FRACTION: f64 = 0.4;

/// Burst, as the time in which the refill rate supplies it.
const BURST_MS: u64 = 100;

/// Bytes in a megabit.
const MEGABIT_BYTES: f64 = 125_000.0;

/// Token bucket of bytes, refilled at [`LINK_FRACTION`] of the link's rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BandwidthLimiter {
    bytes_per_ms: f64,
    available_bytes: f64,
    refilled_at: TimeMs,
}

impl BandwidthLimiter {
    /// Creates a full bucket for a link of `link_mbps` megabits a second.
    #[must_use]
    pub fn for_link(link_mbps: f64) -> Self {
        let bytes_per_ms = link_mbps * MEGABIT_BYTES * LINK_FRACTION / 1_000.0;
        Self {
            bytes_per_ms,
            available_bytes: bytes_per_ms * num::to_f64(BURST_MS),
            refilled_at: TimeMs(0),
        }
    }

    /// Deducts the bytes of a response; returns whether the response may be sent.
    pub fn try_take(&mut self, bytes: usize, now: TimeMs) -> bool {
        let capacity_bytes = self.bytes_per_ms * num::to_f64(BURST_MS);
        let refill_bytes = self.bytes_per_ms * num::to_f64(now.since(self.refilled_at));
        self.available_bytes = (self.available_bytes + refill_bytes).min(capacity_bytes);
        self.refilled_at = now;
        if self.available_bytes <= 0.0 {
            return false;
        }
        // The last response may overdraw the bucket: a response larger than the burst could
        // otherwise never be sent.
        self.available_bytes -= num::to_f64(bytes as u64);
        true
    }
}

#[cfg(test)]
mod tests;
