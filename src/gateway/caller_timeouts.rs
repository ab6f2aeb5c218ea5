//! Decides when a caller's connection is closed for the time that its caller takes.

use super::catalog::CallerLimits;
use crate::time::TimeMs;

/// A connection stays open for this multiple of a configured timeout.
///
/// Callers reuse connections that have been idle for up to four fifths of the configured timeout.
/// The longer timeout here prevents a connection from being closed while a request is on its way.
const TIMEOUT_FACTOR: u64 = 2;

/// A stream ends at its deadline by itself, with a word in the log; one that its caller does not read is closed this much
/// later.
const STREAM_MARGIN_MS: u64 = 1_000;

/// What a caller's connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first byte of a request.
    Idle { since: TimeMs },
    /// The rest of a request's head, whose first byte has arrived.
    Head { since: TimeMs },
    /// The end of an answer.
    Answer,
    /// The end of a stream, which is of no use after its deadline.
    Stream { deadline: TimeMs },
}

impl Phase {
    /// Whether the connection waits for a request.
    pub fn is_idle(self) -> bool {
        matches!(self, Self::Idle { .. })
    }

    /// Whether a request has been read and is not yet answered.
    pub fn is_answered(self) -> bool {
        matches!(self, Self::Answer | Self::Stream { .. })
    }

    /// Returns when the connection is closed unless its phase changes; `None` if never.
    ///
    /// A caller may know the limits that were in force when its last request arrived, or those in force
    /// now. The longer of the two applies.
    pub fn closes_at(self, at_request: CallerLimits, in_force: CallerLimits) -> Option<TimeMs> {
        let longer =
            |timeout_ms: fn(CallerLimits) -> u64| timeout_ms(at_request).max(timeout_ms(in_force));
        let (since, timeout_ms) = match self {
            Self::Idle { since } => (since, longer(|limits| limits.idle_timeout_ms)),
            Self::Head { since } => (since, longer(|limits| limits.header_timeout_ms)),
            Self::Stream { deadline } => return Some(deadline.after(STREAM_MARGIN_MS)),
            Self::Answer => return None,
        };
        Some(since.after(timeout_ms.saturating_mul(TIMEOUT_FACTOR)))
    }
}

#[cfg(test)]
mod tests;
