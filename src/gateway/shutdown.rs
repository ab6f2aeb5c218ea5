//! Requests that a node accepts while it shuts down, and the time at which it exits.
//!
//! A request that is accepted late in the grace period is cut off when the platform kills the
//! process, and its caller cannot know whether it ran. Callers keep arriving for as long as they
//! cache a directory answer. A node that shuts down therefore keeps answering, and rejects the
//! requests that it could not finish.

use crate::time::TimeMs;

/// Minimum time between the stop signal and the exit.
///
/// Callers cache a directory answer for up to three times its time to live, most of them for one
/// time to live.
const MIN_STAY_MS: u64 = 3_500;

/// Part of the grace period that is reserved for closing channels before the platform kills the
/// process.
const GRACE_MARGIN_MS: u64 = 600;

/// Time for which streams are accepted.
///
/// The longest usual streams, of 120 events, take about 4 s.
const ACCEPT_STREAMS_MS: u64 = 2_500;

/// Time before the end of the grace period from which plain calls are rejected; they time out
/// within 1.5 s.
const CALL_RESERVE_MS: u64 = 2_500;

/// How long connections may take to close once all requests have ended.
const CONNECTION_CLOSE_TIMEOUT_MS: u64 = 300;

/// Progress of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    pub requested_at: TimeMs,
    /// Time between the stop signal and the kill by the platform.
    pub grace_ms: u64,
}

impl Shutdown {
    /// Whether this node still accepts a request that it has just read.
    pub fn accepts(&self, is_stream: bool, now: TimeMs) -> bool {
        let since_ms = now.since(self.requested_at);
        match is_stream {
            true if self.grace_ms < ACCEPT_STREAMS_MS * 2 => since_ms < self.grace_ms / 2,
            true => since_ms < ACCEPT_STREAMS_MS,
            false => since_ms + CALL_RESERVE_MS < self.grace_ms,
        }
    }

    /// Whether the node exits now.
    pub fn is_complete(&self, in_flight: usize, now: TimeMs) -> bool {
        let is_idle = in_flight == 0 && now.since(self.requested_at) >= MIN_STAY_MS;
        is_idle || self.is_grace_over(now)
    }

    /// Whether the node exits now although connections that it closes since `closing_since` are open.
    ///
    /// A request that was read as the node began to close them is served within the grace period.
    pub fn ends_connections(&self, in_flight: usize, closing_since: TimeMs, now: TimeMs) -> bool {
        let is_close_over = now.since(closing_since) >= CONNECTION_CLOSE_TIMEOUT_MS;
        is_close_over && (in_flight == 0 || self.is_grace_over(now))
    }

    fn is_grace_over(&self, now: TimeMs) -> bool {
        now.since(self.requested_at) + GRACE_MARGIN_MS >= self.grace_ms
    }
}

#[cfg(test)]
mod tests;
