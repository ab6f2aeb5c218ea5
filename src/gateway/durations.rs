//! How long requests of each route took of late, from their send to the end of their answer.

use std::collections::HashMap;

use crate::time::TimeMs;

/// A duration is forgotten after one to two of these spans.
const SPAN_MS: u64 = 60_000;

/// The longest duration of each route in this span and in the one before.
#[derive(Debug, Default)]
pub(crate) struct RouteDurations {
    span_began: TimeMs,
    /// By the tag of the route.
    longest_ms: HashMap<u64, u64>,
    longest_before_ms: HashMap<u64, u64>,
}

impl RouteDurations {
    /// Records a request of this route that was answered.
    pub fn record(&mut self, route: u64, took_ms: u64, now: TimeMs) {
        self.forget(now);
        let longest_ms = self.longest_ms.entry(route).or_default();
        *longest_ms = took_ms.max(*longest_ms);
    }

    /// Returns the longest duration of late; `None` if no request of the route was answered.
    pub fn longest_ms(&mut self, route: u64, now: TimeMs) -> Option<u64> {
        self.forget(now);
        let now_ms = self.longest_ms.get(&route);
        now_ms.max(self.longest_before_ms.get(&route)).copied()
    }

    fn forget(&mut self, now: TimeMs) {
        let age_ms = now.since(self.span_began);
        if age_ms < SPAN_MS {
            return;
        }
        self.longest_before_ms = std::mem::take(&mut self.longest_ms);
        if age_ms >= 2 * SPAN_MS {
            self.longest_before_ms.clear();
        }
        self.span_began = now;
    }
}

#[cfg(test)]
mod tests;
