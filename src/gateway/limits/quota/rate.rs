//! The average rate at which a node admits a team's requests.

use crate::gateway::num;
use crate::time::TimeMs;

/// Time constant of the average; it spans several reports.
const AVERAGING_MS: f64 = 3_000.0;

/// Time without a report after which a node counts as idle.
pub(super) const IDLE_AFTER_MS: u64 = 3_000;

/// Exponentially weighted average of the growth of a total.
#[derive(Clone, Copy, Debug)]
pub(super) struct AverageRate {
    /// Units of the limit per millisecond.
    pub per_ms: f64,
    recorded_at: TimeMs,
}

impl AverageRate {
    /// Creates an average that is zero and starts now.
    pub fn new(now: TimeMs) -> Self {
        Self {
            per_ms: 0.0,
            recorded_at: now,
        }
    }

    /// Records that the total grew by `gained` units since the last record.
    pub fn record(&mut self, gained: f64, now: TimeMs) {
        let passed_ms = num::to_f64(now.since(self.recorded_at).max(1));
        let weight = (passed_ms / AVERAGING_MS).min(1.0);
        self.per_ms += weight * (gained / passed_ms - self.per_ms);
        self.recorded_at = self.recorded_at.max(now);
    }

    /// Returns the rate per millisecond; zero after a long silence.
    pub fn recent_per_ms(&self, now: TimeMs) -> f64 {
        match now.since(self.recorded_at) {
            silent_ms if silent_ms < IDLE_AFTER_MS => self.per_ms,
            _ => 0.0,
        }
    }
}
