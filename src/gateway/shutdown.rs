//! Requests that a node accepts while it shuts down, and the time at which it exits.
//!
//! A request that is sent to an upstream late in the grace period is cut off when the platform kills
//! the process, and its caller cannot know whether it ran. Callers keep arriving for as long as they
//! cache a directory answer. A node that shuts down therefore keeps answering, and rejects the
//! requests that it could not finish: their callers send them to another node at once.

use crate::time::TimeMs;

/// Minimum time between the stop signal and the exit.
///
/// Callers cache a directory answer for up to three times its time to live, most of them for one
/// time to live.
const MIN_STAY_MS: u64 = 3_500;

/// Part of the grace period that is reserved for closing channels before the platform kills the
/// process; a tenth of a short one.
const GRACE_MARGIN_MS: u64 = 600;
const SHORTEST_MARGINS_PER_GRACE: u64 = 10;

/// The last answers get a third of that margin before the exit to reach their callers.
const LAST_ANSWERS_PER_MARGIN: u64 = 3;

/// Time for which requests that may be repeated are judged by what others of their route took: the
/// platform tolerates that these are cut.
const TRUSTS_DURATIONS_MS: u64 = 3_000;

/// How long connections may take to close once all requests have ended.
const CONNECTION_CLOSE_TIMEOUT_MS: u64 = 300;

/// What is known of the time at which a request will have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outlook {
    /// When it ends at the latest.
    pub deadline: TimeMs,
    /// The longest that requests of its route have taken of late; `None` if that is unknown, or the request may not be
    /// repeated.
    pub longest_ms: Option<u64>,
}

/// Progress of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    pub requested_at: TimeMs,
    /// Time between the stop signal and the kill by the platform.
    pub grace_ms: u64,
}

impl Shutdown {
    /// Whether this node still sends a request to an upstream: its answer comes before the exit.
    ///
    /// A request that may run once is judged by its deadline alone, since nobody may send it again after a cut.
    pub fn accepts(&self, outlook: &Outlook, now: TimeMs) -> bool {
        let end = match outlook.longest_ms {
            Some(longest_ms) if now.since(self.requested_at) < TRUSTS_DURATIONS_MS => {
                now.after(longest_ms).min(outlook.deadline)
            }
            _ => outlook.deadline,
        };
        end <= self.last_answers_at()
    }

    /// Returns the time until the last answers have to be written.
    pub fn answers_left_ms(&self, now: TimeMs) -> u64 {
        now.until(self.last_answers_at())
    }

    /// Returns the time until the grace period is over but for its margin.
    pub fn left_ms(&self, now: TimeMs) -> u64 {
        now.until(self.exit_at())
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
        now >= self.exit_at()
    }

    fn margin_ms(&self) -> u64 {
        GRACE_MARGIN_MS.min(self.grace_ms / SHORTEST_MARGINS_PER_GRACE)
    }

    fn exit_at(&self) -> TimeMs {
        let stay_ms = self.grace_ms.saturating_sub(self.margin_ms());
        self.requested_at.after(stay_ms)
    }

    /// When the last answers have to be written.
    fn last_answers_at(&self) -> TimeMs {
        let left_ms = self.margin_ms() / LAST_ANSWERS_PER_MARGIN;
        TimeMs(self.exit_at().0.saturating_sub(left_ms))
    }
}

#[cfg(test)]
mod tests;
