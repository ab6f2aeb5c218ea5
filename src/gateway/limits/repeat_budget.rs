//! Budget of repeated requests, which are sent to a second upstream.
//!
//! All nodes share one budget for each pool: a fraction of the pool's requests plus a fixed number
//! for each window. Each node applies the fraction to its own requests and uses its share of the
//! fixed number, so that the fleet stays within the budget without coordination.
//!
//! The budget holds over any window, also if nodes restart, join or leave in it. A node does not
//! know what its former process has spent in the present window; until that window is over it uses
//! a part of the budget that no node uses otherwise, and earns it by its own requests only. At the
//! first start of the whole installation there was no former process. A share that grows because
//! nodes left is used only after the window in which they could spend theirs.

use crate::gateway::num;
use crate::time::TimeMs;

/// Fraction of the budget that a node uses once its record covers a whole window; the remainder is for
/// nodes that have not, and allows for requests that reach their upstream late.
const USED_FRACTION: f64 = 0.75;

/// Fraction of the budget per request that a node uses before that.
const STARTUP_FRACTION: f64 = 0.15;

/// Number of steps of a sliding window.
const WINDOW_STEPS: u64 = 20;

/// Repeat budget that all nodes share, as one of them sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RepeatBudget {
    /// Repeats per request.
    pub ratio: f64,
    pub window_ms: u64,
    /// Repeats in each window in addition to the ratio.
    pub slack: f64,
    /// Nodes that share the budget.
    pub nodes: u32,
    /// Since when this node's record of its repeats is complete: its start, or zero if it had no
    /// former process that could have spent any.
    pub recorded_since: TimeMs,
}

impl RepeatBudget {
    /// Whether this node's own record covers the whole window that ends now.
    fn is_recorded(&self, now: TimeMs) -> bool {
        now.since(self.recorded_since) >= self.window_ms
    }

    fn step_ms(&self) -> u64 {
        (self.window_ms / WINDOW_STEPS).max(1)
    }
}

/// Requests and repeats from one node to one pool, in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// The newest last.
    steps: Vec<Step>,
}

/// What a node sent to a pool in one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    start: TimeMs,
    requests: f64,
    repeats: f64,
    /// Most nodes that shared the budget in this step.
    nodes: u32,
}

impl Repeats {
    /// Records a request that is sent for the first time.
    pub fn record_request(&mut self, budget: &RepeatBudget, now: TimeMs) {
        self.step(budget, now).requests += 1.0;
    }

    /// Deducts one repeat from the budget; returns whether one was left.
    pub fn try_take(&mut self, budget: &RepeatBudget, now: TimeMs) -> bool {
        let is_left = self.remaining(budget, now) >= 1.0;
        if is_left {
            self.step(budget, now).repeats += 1.0;
        }
        is_left
    }

    /// Returns the remaining repeats in the window that ends now.
    ///
    /// A step that lies partly in the window counts with its repeats and without its requests.
    pub fn remaining(&mut self, budget: &RepeatBudget, now: TimeMs) -> f64 {
        self.step(budget, now);
        let window_start = TimeMs(now.0.saturating_sub(budget.window_ms));
        let whole = self.steps.iter().filter(|step| step.start >= window_start);
        let requests: f64 = whole.map(|step| step.requests).sum();
        let repeats: f64 = self.steps.iter().map(|step| step.repeats).sum();
        let nodes = self.steps.iter().map(|step| step.nodes).max();
        let allowed = if budget.is_recorded(now) {
            let slack = budget.slack / f64::from(nodes.unwrap_or(1).max(1));
            USED_FRACTION * (budget.ratio * requests + slack)
        } else {
            STARTUP_FRACTION * budget.ratio * requests
        };
        allowed - repeats
    }

    /// Returns the present step, and removes those that ended before the window began.
    fn step(&mut self, budget: &RepeatBudget, now: TimeMs) -> &mut Step {
        let step_ms = budget.step_ms();
        let start = TimeMs(now.0 - now.0 % step_ms);
        (self.steps).retain(|step| now.since(step.start) < budget.window_ms + step_ms);
        if self.steps.last().is_none_or(|last| last.start != start) {
            self.steps.push(Step {
                start,
                requests: 0.0,
                repeats: 0.0,
                nodes: 0,
            });
        }
        let last = self.steps.len() - 1;
        let step = &mut self.steps[last];
        step.nodes = step.nodes.max(budget.nodes);
        step
    }
}

/// Whether a repeat would be answered only after the request's deadline.
#[must_use]
pub(crate) fn is_too_late(left_ms: u64, expected_ms: f64) -> bool {
    num::to_f64(left_ms) < expected_ms
}

#[cfg(test)]
mod tests;
