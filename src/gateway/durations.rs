//! How long requests of each route took of late, from their send to the end of their answer.

use crate::time::TimeMs;

/// A duration is forgotten after one to two of these spans.
const SPAN_MS: u64 = 60_000;

/// The longest duration of each route in this span and in the one before.
#[derive(Debug, Default)]
pub(crate) struct RouteDurations {
    span_began: TimeMs,
    longest: LongestByRoute,
    longest_before: LongestByRoute,
}

/// The longest duration of each route in milliseconds, sorted by the route's tag.
#[derive(Debug, Default)]
struct LongestByRoute(Vec<(u64, u64)>);

impl LongestByRoute {
    fn record(&mut self, route: u64, took_ms: u64) {
        match self
            .0
            .binary_search_by_key(&route, |(tag, _longest_ms)| *tag)
        {
            Ok(index) => self.0[index].1 = took_ms.max(self.0[index].1),
            Err(index) => self.0.insert(index, (route, took_ms)),
        }
    }

    fn get(&self, route: u64) -> Option<u64> {
        let found = self
            .0
            .binary_search_by_key(&route, |(tag, _longest_ms)| *tag);
        found.ok().map(|index| self.0[index].1)
    }
}

impl RouteDurations {
    /// Records a request of this route that was answered.
    pub fn record(&mut self, route: u64, took_ms: u64, now: TimeMs) {
        self.forget(now);
        self.longest.record(route, took_ms);
    }

    /// Returns the longest duration of late; `None` if no request of the route was answered.
    pub fn longest_ms(&mut self, route: u64, now: TimeMs) -> Option<u64> {
        self.forget(now);
        self.longest.get(route).max(self.longest_before.get(route))
    }

    fn forget(&mut self, now: TimeMs) {
        let age_ms = now.since(self.span_began);
        if age_ms < SPAN_MS {
            return;
        }
        self.longest_before = std::mem::take(&mut self.longest);
        if age_ms >= 2 * SPAN_MS {
            self.longest_before = LongestByRoute::default();
        }
        self.span_began = now;
    }
}

#[cfg(test)]
mod tests;
