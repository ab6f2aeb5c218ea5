//! Backoff that an upstream requests when it rejects a request, and the slow start after it.
//!
//! Several nodes may hold requests for an overloaded upstream. If each node sent all of them at the
//! end of the backoff, the upstream would be overloaded again. Each node sends one request first,
//! and more with each answer.

use crate::time::TimeMs;

/// Answers after a backoff that complete the slow start.
const ANSWERS_TO_RECOVER: u32 = 4;

/// Requests that each such answer allows this node to send.
const SENDS_PER_ANSWER: u32 = 2;

/// Time without an answer after which another request is sent, since the last one may have been
/// lost.
const RESEND_AFTER_MS: u64 = 500;

/// Backoff that an answer states for its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatedBackoff {
    /// The answer states no backoff.
    Unstated,
    /// Backoff of this many milliseconds.
    ForMs(u64),
    /// The stated value is not a valid time in seconds.
    Unreadable,
}

/// Requested backoff and slow start of one incarnation of an upstream, as seen by this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestedBackoff {
    ends_at: TimeMs,
    /// `Some` during a backoff and the slow start after it.
    slow_start: Option<SlowStart>,
}

/// Progress of the slow start after a backoff.
#[derive(Clone, Copy, Debug)]
struct SlowStart {
    /// Requests that may be sent now.
    remaining_sends: u32,
    answers: u32,
    sent_at: TimeMs,
}

impl RequestedBackoff {
    /// Records a backoff that is requested now; returns whether it starts a new one.
    ///
    /// A later, shorter backoff does not end an earlier, longer one.
    pub fn record(&mut self, backoff_ms: u64, now: TimeMs) -> bool {
        let was_backing_off = now < self.ends_at;
        let is_backing_off = backoff_ms > 0 || was_backing_off;
        self.ends_at = self.ends_at.max(now.after(backoff_ms));
        if is_backing_off {
            self.slow_start = Some(SlowStart {
                remaining_sends: 1,
                answers: 0,
                sent_at: self.ends_at,
            });
        }
        is_backing_off && !was_backing_off
    }

    /// Records an answer other than a rejection.
    ///
    /// An answer to a request that was sent before the end of the backoff does not count towards
    /// recovery.
    pub fn record_answer(&mut self, sent_at: TimeMs) {
        let Some(slow_start) = &mut self.slow_start else {
            return;
        };
        if sent_at < self.ends_at {
            return;
        }
        slow_start.answers += 1;
        slow_start.remaining_sends += SENDS_PER_ANSWER;
        if slow_start.answers >= ANSWERS_TO_RECOVER {
            self.slow_start = None;
        }
    }

    /// Records that a request is sent now.
    pub fn record_sent(&mut self, now: TimeMs) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.remaining_sends = slow_start.remaining_sends.saturating_sub(1);
            slow_start.sent_at = now;
        }
    }

    /// Reverts [`Self::record_sent`] for a request that was not sent.
    pub fn revert_sent(&mut self) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.remaining_sends += 1;
        }
    }

    /// Returns the time until the next request may be sent; `None` if one may be sent now.
    pub fn remaining_ms(&self, now: TimeMs) -> Option<u64> {
        let next_at = match &self.slow_start {
            Some(_slow_start) if now < self.ends_at => self.ends_at,
            Some(slow_start) if slow_start.remaining_sends == 0 => {
                slow_start.sent_at.after(RESEND_AFTER_MS)
            }
            _ => return None,
        };
        (now < next_at).then(|| now.until(next_at))
    }
}

#[cfg(test)]
mod tests;
