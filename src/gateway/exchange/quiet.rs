//! How long a stream has brought nothing that it can go on behind elsewhere.
//!
//! Comments and events without an id say that the upstream lives, not that the stream goes on: they are forwarded, and
//! the silence lasts.

use super::alternatives::Stays;
use super::silence::ASK_AGAIN_MS;
use crate::time::TimeMs;

/// The time since the last event with an id, without the time for which the caller was written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quiet {
    /// When it began, later by the time for which nobody waited for the upstream.
    pub since: TimeMs,
    /// Whether it is logged that the stream stays.
    pub stays: Stays,
    ask_at: TimeMs,
    paused_at: TimeMs,
}

impl Quiet {
    /// Begins at `now`; something better is looked for after `timeout_ms`.
    pub fn new(timeout_ms: u64, now: TimeMs) -> Self {
        Self {
            since: now,
            stays: Stays::default(),
            ask_at: now.after(timeout_ms),
            paused_at: now,
        }
    }

    /// Pauses while what is no event of the stream is written to the caller.
    #[must_use]
    pub fn paused(self, now: TimeMs) -> Self {
        Self {
            paused_at: now,
            ..self
        }
    }

    /// Goes on after a pause.
    #[must_use]
    pub fn resumed(self, now: TimeMs) -> Self {
        let paused_ms = now.since(self.paused_at);
        Self {
            since: self.since.after(paused_ms),
            ask_at: self.ask_at.after(paused_ms),
            ..self
        }
    }

    /// Returns how long to wait until something better is looked for.
    pub fn wait_ms(&self, now: TimeMs) -> u64 {
        now.until(self.ask_at)
    }

    /// Records that something better was looked for.
    pub fn record_asked(&mut self, now: TimeMs) {
        self.ask_at = now.after(ASK_AGAIN_MS);
    }
}

#[cfg(test)]
mod tests;
