//! How many requests may be sent to a second upstream.
//!
//! All nodes share one budget a pool: a part of the requests for it, and a fixed number for each
//! window. Each node goes by its own requests and by its part of the fixed number, so that all
//! nodes together stay within the whole without asking each other.

use super::num;
use crate::time::TimeMs;

/// Part of the budget that is used: requests may be counted in another window here than there.
const USED_PART: f64 = 0.75;

/// Steps in which a window slides.
const STEPS: u64 = 10;

/// The budget that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RepeatBudget {
    pub ratio: f64,
    pub window_ms: u64,
    /// Repeats of a window beyond the ratio.
    pub slack: f64,
    /// Nodes that share it.
    pub nodes: u32,
}

/// Requests and repeats of one node to one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// Start of a step, requests and repeats in it; the newest last.
    steps: Vec<(u64, f64, f64)>,
}

impl Repeats {
    /// Notes a request that is sent for the first time.
    pub fn note_request(&mut self, budget: &RepeatBudget, now: TimeMs) {
        self.step(budget, now).1 += 1.0;
    }

    /// Takes a repeat out of the budget, if there is one.
    pub fn take(&mut self, budget: &RepeatBudget, now: TimeMs) -> bool {
        let is_left = self.left(budget, now) >= 1.0;
        if is_left {
            self.step(budget, now).2 += 1.0;
        }
        is_left
    }

    /// Repeats that are left in the window that ends now.
    pub fn left(&mut self, budget: &RepeatBudget, now: TimeMs) -> f64 {
        self.step(budget, now);
        let steps = self.steps.iter();
        let (requests, repeats) = steps.fold((0.0, 0.0), |sum, (_start, requests, repeats)| {
            (sum.0 + requests, sum.1 + repeats)
        });
        let slack = budget.slack / f64::from(budget.nodes.max(1));
        USED_PART * (budget.ratio * requests + slack) - repeats
    }

    fn step(&mut self, budget: &RepeatBudget, now: TimeMs) -> &mut (u64, f64, f64) {
        let step_ms = (budget.window_ms / STEPS).max(1);
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

/// Whether so little time is left that a repeat would not be answered.
#[must_use]
pub(crate) fn is_too_late(left_ms: u64, expected_ms: f64) -> bool {
    num::real(left_ms) < expected_ms
}

#[cfg(test)]
mod tests;
