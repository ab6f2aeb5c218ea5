//! The decision how long a follower goes on asking for an answer that only a silent home can give.
//!
//! A silence ends the use of a connection. It does not end the request: the home may have the answer,
//! and gives it from any position over the next connection.

use crate::time::TimeMs;

/// What the last attempt to reach the home of a request showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HomePath {
    /// The home answered, or is this node.
    Reached,
    /// Nothing was heard: the path is silent, or the home is paused or gone.
    Silent,
    /// The incarnation is gone, or its host refuses connections.
    Lost,
}

/// What is known of a request for which nobody has an answer at the moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    pub home: HomePath,
    /// Whether the caller may have the call run once more.
    pub is_repeatable: bool,
    /// Number of tokens that the caller has.
    pub position: u64,
    /// When an answer was first missing.
    pub since_ms: TimeMs,
    /// When the caller stops waiting, if this node knows it.
    pub deadline_ms: Option<TimeMs>,
}

impl Unanswered {
    /// Returns whether the home is asked again; otherwise the caller is told that the outcome is unknown.
    ///
    /// A repeatable call without tokens runs at this node instead. With tokens it could run at
    /// another, so that half of its time is left for that.
    pub(super) fn asks_again(&self, now: TimeMs) -> bool {
        let Some(deadline_ms) = self.deadline_ms else {
            return false;
        };
        let left_ms = self.since_ms.until(deadline_ms);
        match self.home {
            HomePath::Reached | HomePath::Lost => false,
            HomePath::Silent if self.is_repeatable => {
                self.position > 0 && now < self.since_ms.after(left_ms / 2)
            }
            HomePath::Silent => now < deadline_ms,
        }
    }
}

#[cfg(test)]
mod tests;
