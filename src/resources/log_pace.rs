//! Limits how often an event is logged that a crowd of callers can cause at will.

use std::time::Duration;

use tokio::time::Instant;

/// Least time between two lines on the same event.
const INTERVAL: Duration = Duration::from_secs(10);

/// Counts events between two lines of the log.
#[derive(Debug, Default)]
pub(super) struct LogPace {
    unlogged: usize,
    logged_at: Option<Instant>,
}

impl LogPace {
    /// Records events; returns how many a line that is due now stands for.
    pub fn record(&mut self, events: usize, now: Instant) -> Option<usize> {
        self.unlogged += events;
        let is_due =
            (self.logged_at).is_none_or(|logged_at| now.duration_since(logged_at) >= INTERVAL);
        if !is_due || self.unlogged == 0 {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

#[cfg(test)]
mod tests;
