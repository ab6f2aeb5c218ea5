//! What a node expects to spend of a team's limit in the near future.

use crate::gateway::num;
use crate::time::TimeMs;

/// Time constant of the average rate, which covers several round trips.
const AVERAGING_MS: f64 = 500.0;

/// Weight of one more request in the mean cost.
const COST_WEIGHT: f64 = 0.1;

/// Average rate at which a node spends, and the mean cost of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Forecast {
    per_ms: f64,
    mean_cost: f64,
    recorded_at: TimeMs,
}

impl Forecast {
    /// Records a request that is admitted now.
    pub fn record(&mut self, cost: f64, now: TimeMs) {
        self.per_ms = self.per_ms(now) + cost / AVERAGING_MS;
        let is_first = self.mean_cost <= 0.0;
        let weight = if is_first { 1.0 } else { COST_WEIGHT };
        self.mean_cost += (cost - self.mean_cost) * weight;
        self.recorded_at = now;
    }

    /// Returns what is expected to be spent in `horizon_ms`; zero if that is less than one request.
    ///
    /// Credit for a part of a request admits nothing and is withheld from the other nodes.
    pub fn spent_within(&self, horizon_ms: u64, now: TimeMs) -> f64 {
        let spent = self.per_ms(now) * num::to_f64(horizon_ms);
        if spent < self.mean_cost { 0.0 } else { spent }
    }

    fn per_ms(&self, now: TimeMs) -> f64 {
        let passed_ms = num::to_f64(now.since(self.recorded_at));
        self.per_ms * (-passed_ms / AVERAGING_MS).exp()
    }
}
