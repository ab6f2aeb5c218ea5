//! Budget of repeated requests, which are sent to a second upstream.
//!
//! All nodes share one budget for each pool: a fraction of the pool's requests plus a fixed number
//! for each window. Each node applies the fraction to its own requests and uses its share of the
//! fixed number, so that the fleet stays within the budget without coordination.

use super::num;
use crate::time::TimeMs;

/// Fraction of the budget that is used; the remainder allows for counts over windows that start at
/// other times.
const USED_FRACTION: f64 = 0.75;

/// Number of steps of a sliding window.
const WINDOW_STEPS: u64 = 10;

/// Repeat budget that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RepeatBudget {
    pub ratio: f64,
    pub window_ms: u64,
    /// Repeats in each window in addition to the ratio.
    pub slack: f64,
    /// Nodes that share the budget.
    pub nodes: u32,
}

/// Requests and repeats from one node to one pool, in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// Start of each step in ms, its requests and its repeats; the newest last.
    steps: Vec<(u64, f64, f64)>,
}

impl Repeats {
    /// Records a request that is sent for the first time.
    pub fn record_request(&mut self, budget: &RepeatBudget, now: TimeMs) {
        self.step(budget, now).1 += 1.0;
    }

    /// Deducts one repeat from the budget; returns whether one was left.
    pub fn try_take(&mut self, budget: &RepeatBudget, now: TimeMs) -> bool {
        let is_left = self.remaining(budget, now) >= 1.0;
        if is_left {
            self.step(budget, now).2 += 1.0;
        }
        is_left
    }

    /// Returns the remaining repeats in the window that ends now.
    pub fn remaining(&mut self, budget: &RepeatBudget, now: TimeMs) -> f64 {
        self.step(budget, now);
        let steps = self.steps.iter();
        let (requests, repeats) = steps.fold((0.0, 0.0), |sum, (_start, requests, repeats)| {
            (sum.0 + requests, sum.1 + repeats)
        });
        let slack = budget.slack / f64::from(budget.nodes.max(1));
        USED_FRACTION * (budget.ratio * requests + slack) - repeats
    }

    fn step(&mut self, budget: &RepeatBudget, now: TimeMs) -> &mut (u64, f64, f64) {
        let step_ms = (budget.window_ms / WINDOW_STEPS).max(1);
        let start = now.0 - now.0 % step_ms;
        let oldest = start.saturating_sub(budget.window_ms);
        self.steps
            .retain(|(start, _requests, _repeats)| *start > oldest);
        if self
            .steps
            .last()
            .is_none_or(|(last, _requests, _repeats)| *last != start)
        {
            self.steps.push((start, 0.0, 0.0));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// Whether a repeat would be answered only after the request's deadline.
#[must_use]
pub(crate) fn is_too_late(left_ms: u64, expected_ms: f64) -> bool {
    num::to_f64(left_ms) < expected_ms
}

#[cfg(test)]
mod tests;
