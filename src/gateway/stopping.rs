//! What a node that was told to stop still does, and when it ends.
//!
//! A request that is accepted late in the grace is cut when the platform kills the process, and its
//! caller cannot know whether it ran. So a stopping node goes on answering, since callers come for
//! as long as they keep an answer of the directory, but refuses what it could not finish.

use crate::time::TimeMs;

/// A stopping node stays for this long at least: callers keep an answer of the directory for up to
/// three times its time to live, most of them once.
const LEAST_STAY_MS: u64 = 3_500;

/// Kept of the grace for closing channels before the platform kills the process.
const GRACE_MARGIN_MS: u64 = 600;

/// Streams are accepted for this long: the longest usual ones, of 120 events, take some 4 s.
const STREAMS_ACCEPTED_MS: u64 = 2_500;

/// Plain calls are accepted until this long before the grace ends; they time out within 1.5 s.
const CALLS_NEED_MS: u64 = 2_500;

/// How far a node is in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stop {
    pub told_at: TimeMs,
    /// Between being told and being killed.
    pub grace_ms: u64,
}

impl Stop {
    /// Whether a request that has just been read is still answered here.
    pub fn accepts(&self, is_stream: bool, now: TimeMs) -> bool {
        let since_ms = now.since(self.told_at);
        match is_stream {
            true if self.grace_ms < STREAMS_ACCEPTED_MS * 2 => since_ms < self.grace_ms / 2,
            true => since_ms < STREAMS_ACCEPTED_MS,
            false => since_ms + CALLS_NEED_MS < self.grace_ms,
        }
    }

    /// Whether the node ends now.
    pub fn is_over(&self, in_flight: usize, now: TimeMs) -> bool {
        let since_ms = now.since(self.told_at);
        let is_late = since_ms + GRACE_MARGIN_MS >= self.grace_ms;
        is_late || (in_flight == 0 && since_ms >= LEAST_STAY_MS)
    }
}

#[cfg(test)]
mod tests;
