//! State and demand of one team at this node.

use super::TeamLimit;
use super::fair_order::Flow;
use super::queue::Queue;
use crate::time::TimeMs;

/// Time constant of the exponential decay of `recent_refusals`.
const REFUSAL_DECAY_MS: f64 = 2_000.0;
/// Time constant with which the reported demand follows the current demand.
const DEMAND_SMOOTHING_MS: f64 = 3_000.0;
/// Part of its share that a team must hold before its waiting and refused requests add demand.
const SATURATED_SHARE: f64 = 0.95;
/// Time within which the waiting requests are to be started.
const QUEUE_DRAIN_MS: f64 = 10_000.0;
/// Lower bound of a team's slots in calculations, so that the expected wait stays finite for a team
/// that has lost its share.
pub(super) const MIN_TEAM_SLOTS: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Team {
    pub(super) limit: TeamLimit,
    pub(super) queue: Queue,
    pub(super) running: u32,
    // Running requests that are not batch work.
    pub(super) running_interactive: u32,
    // This node's part of the team's share, by the node's demand.
    pub(super) share_slots: f64,
    // This node's part if the demand of the team and of this node were unlimited.
    pub(super) entitled_slots: f64,
    // Order among the teams, in milliseconds of this node's slots.
    pub(super) flow: Flow,
    // Moving average of the time that a request holds its slot.
    pub(super) mean_hold_ms: f64,
    // Exponentially decayed number of refused requests.
    recent_refusals: f64,
    refusals_as_of_ms: TimeMs,
    // Slots that the team could use at this node, smoothed.
    pub(super) demand: f64,
    // Slots that the team held at this node, smoothed.
    smoothed_running: f64,
    demand_as_of_ms: TimeMs,
}

impl Team {
    pub(super) fn new(limit: TeamLimit) -> Self {
        Self {
            limit,
            queue: Queue::default(),
            running: 0,
            running_interactive: 0,
            share_slots: 0.0,
            entitled_slots: MIN_TEAM_SLOTS,
            flow: Flow::default(),
            mean_hold_ms: 0.0,
            recent_refusals: 0.0,
            refusals_as_of_ms: TimeMs::default(),
            demand: 0.0,
            smoothed_running: 0.0,
            demand_as_of_ms: TimeMs::default(),
        }
    }

    /// Returns the decayed number of refused requests at `now`.
    fn recent_refusals(&self, now: TimeMs) -> f64 {
        let passed_ms = duration_as_f64(now.since(self.refusals_as_of_ms));
        self.recent_refusals * (-passed_ms / REFUSAL_DECAY_MS).exp()
    }

    /// Returns the slots that the team could use at this node now.
    ///
    /// Waiting and refused requests count by their arrival rate. Counted one by one, a queue that
    /// took twenty seconds to form would claim as many slots as one that arrived just now, and take
    /// them from nodes that receive more of the work.
    fn current_demand(&self, now: TimeMs) -> f64 {
        let waiting = f64::from(self.queue.len());
        let waiting = waiting.min(waiting * self.mean_hold_ms / QUEUE_DRAIN_MS);
        let refused = self.recent_refusals(now) * self.mean_hold_ms / REFUSAL_DECAY_MS;
        let running = f64::from(self.running);
        // A team below its share waits for a slot to become free at this node; a larger share would
        // not help.
        if self.smoothed_running >= SATURATED_SHARE * self.share_slots {
            running + waiting + refused
        } else {
            running
        }
    }

    /// Updates the smoothed demand; a burst is taken over without smoothing.
    ///
    /// Nodes see each other's demand a second late. If each followed every random fluctuation, the
    /// other nodes could not take up in time the slots that one gives up, and the team would lose
    /// them.
    pub(super) fn update_demand(&mut self, now: TimeMs) {
        let passed_ms = duration_as_f64(now.since(self.demand_as_of_ms));
        self.demand_as_of_ms = now;
        let current = self.current_demand(now);
        let is_burst = current > self.demand + 3.0 * self.demand.sqrt() + 3.0;
        let step = 1.0 - (-passed_ms / DEMAND_SMOOTHING_MS).exp();
        self.smoothed_running += (f64::from(self.running) - self.smoothed_running) * step;
        let step = if is_burst { 1.0 } else { step };
        self.demand += (current - self.demand) * step;
    }

    pub(super) fn record_refusal(&mut self, now: TimeMs) {
        self.recent_refusals = self.recent_refusals(now) + 1.0;
        self.refusals_as_of_ms = now;
    }
}

pub(super) fn duration_as_f64(duration_ms: u64) -> f64 {
    f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX))
}
