//! What one team does at this node, and what it could use.

use super::TeamLimit;
use super::queue::Queue;
use crate::time::TimeMs;

/// Over so long the demand of refused requests fades.
const UNMET_FADES_MS: f64 = 2_000.0;
/// Over so long the demand that nodes tell each other follows the present one.
const DEMAND_FOLLOWS_MS: f64 = 3_000.0;
/// A team that holds this part of its slots wants more.
const PRESSED: f64 = 0.95;
/// Over so long requests that wait are meant to be worked off.
const DRAIN_MS: f64 = 10_000.0;
/// Least slots that a team is reckoned with, so that one whose part is taken away waits a bounded
/// time.
pub(super) const LEAST_SLOTS: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Team {
    pub(super) limit: TeamLimit,
    pub(super) queue: Queue,
    pub(super) running: u32,
    // Those of them that are not batch work.
    pub(super) interactive: u32,
    // This node's part of the team's share, by its demand.
    pub(super) part_slots: f64,
    // What that would be if the team wanted all that it can get.
    pub(super) entitled_slots: f64,
    // Where its last request ends in virtual time, and where its next one starts.
    pub(super) finish_ms: f64,
    pub(super) tag_ms: f64,
    // How long its requests hold a slot, on average.
    pub(super) cost_ms: f64,
    // Requests refused of late.
    unmet: f64,
    unmet_as_of_ms: TimeMs,
    // Slots that it could use here, smoothed.
    pub(super) demand: f64,
    // Slots that it held, smoothed.
    used: f64,
    demand_as_of_ms: TimeMs,
}

impl Team {
    pub(super) fn new(limit: TeamLimit) -> Self {
        Self {
            limit,
            queue: Queue::default(),
            running: 0,
            interactive: 0,
            part_slots: 0.0,
            entitled_slots: LEAST_SLOTS,
            finish_ms: 0.0,
            tag_ms: 0.0,
            cost_ms: 0.0,
            unmet: 0.0,
            unmet_as_of_ms: TimeMs::default(),
            demand: 0.0,
            used: 0.0,
            demand_as_of_ms: TimeMs::default(),
        }
    }

    /// Refused requests of late.
    fn unmet(&self, now: TimeMs) -> f64 {
        let passed_ms = lossy(now.since(self.unmet_as_of_ms));
        self.unmet * (-passed_ms / UNMET_FADES_MS).exp()
    }

    /// Slots that the team could use here now.
    ///
    /// Requests that wait or were refused count by the rate at which they come. Counted one by
    /// one, a queue that took twenty seconds to form would claim as many slots as if all of it had
    /// come just now, and take them from nodes through which more work comes.
    fn present_demand(&self, now: TimeMs) -> f64 {
        let waiting = f64::from(self.queue.len());
        let waiting = waiting.min(waiting * self.cost_ms / DRAIN_MS);
        let refused = self.unmet(now) * self.cost_ms / UNMET_FADES_MS;
        let running = f64::from(self.running);
        // Below its part a team waits for a slot to fall free here, not for a larger part.
        if self.used >= PRESSED * self.part_slots {
            running + waiting + refused
        } else {
            running
        }
    }

    /// Follows the present demand smoothly, but a burst at once.
    ///
    /// Nodes see each other's demand a second late. If each followed every chance rise and fall,
    /// what one gave up the others could not take up in time, and the team would lose it.
    pub(super) fn follow_demand(&mut self, now: TimeMs) {
        let passed_ms = lossy(now.since(self.demand_as_of_ms));
        self.demand_as_of_ms = now;
        let present = self.present_demand(now);
        let burst = present > self.demand + 3.0 * self.demand.sqrt() + 3.0;
        let step = 1.0 - (-passed_ms / DEMAND_FOLLOWS_MS).exp();
        self.used += (f64::from(self.running) - self.used) * step;
        let step = if burst { 1.0 } else { step };
        self.demand += (present - self.demand) * step;
    }

    pub(super) fn note_refused(&mut self, now: TimeMs) {
        self.unmet = self.unmet(now) + 1.0;
        self.unmet_as_of_ms = now;
    }
}

pub(super) fn lossy(duration_ms: u64) -> f64 {
    f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX))
}
