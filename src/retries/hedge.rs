//! When a slow call is sent a second time, to another host.

use crate::time::TimeMs;
use crate::upstreams::Delivery;

/// Longest call that is hedged; longer ones cost more than the wait is worth.
const LONGEST_HEDGED_MS: u64 = 2_000;
/// Share of calls that are faster than the mark at which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.95;
/// How fast the mark follows what is measured, as a share of the mark itself.
const STEP_SHARE: f64 = 0.05;
/// Calls after which the mark is trusted.
const TRUSTED_AFTER: u32 = 50;
/// Share of its slots that the other host may have in use.
const MOST_FILLED: f64 = 0.8;

/// What is known of a call that is waiting for its answer.
#[derive(Clone, Copy, Debug)]
pub struct HedgeAsk {
    /// Whether running it twice would do harm.
    pub delivery: Delivery,
    /// When it was sent.
    pub sent_ms: TimeMs,
    /// How long it is expected to take in all.
    pub expected_ms: u64,
    /// When it is given up.
    pub deadline_ms: TimeMs,
    /// How much of the other host's slots is in use.
    pub other_filled: f64,
}

/// When the call should be sent to another host too, or `None` if it should not.
///
/// At that time the caller takes one retry from the budget (`RetryBudgets::take`) and sends only if
/// it got one; both copies carry attempts of one request, and the slower one is cancelled.
#[must_use]
pub fn hedge_at(ask: &HedgeAsk, slow: &SlowMark) -> Option<TimeMs> {
    let slow_ms = slow.mark_ms()?;
    let at = ask.sent_ms.after(slow_ms);
    let fits = at.after(ask.expected_ms) <= ask.deadline_ms;
    let short = ask.expected_ms <= LONGEST_HEDGED_MS;
    let room = ask.other_filled <= MOST_FILLED;
    (ask.delivery == Delivery::Repeatable && fits && short && room).then_some(at)
}

/// The time that 95 in 100 calls stay under, followed in constant memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowMark {
    mark_ms: f64,
    seen: u32,
}

impl SlowMark {
    /// Notes how long a call took.
    pub fn note(&mut self, took_ms: u32) {
        let took_ms = f64::from(took_ms);
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            self.mark_ms = took_ms;
            return;
        }
        // Steps up and down balance where 5 in 100 calls lie above the mark.
        let step_ms = (self.mark_ms * STEP_SHARE).max(0.1);
        if took_ms > self.mark_ms {
            self.mark_ms += step_ms * SLOW_QUANTILE;
        } else {
            self.mark_ms -= step_ms * (1.0 - SLOW_QUANTILE);
        }
    }

    /// The mark, once enough calls have been seen.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range of u32 first"
    )]
    pub fn mark_ms(&self) -> Option<u64> {
        let mark_ms = self.mark_ms.ceil().clamp(1.0, f64::from(u32::MAX)) as u32;
        (self.seen >= TRUSTED_AFTER).then_some(u64::from(mark_ms))
    }
}

#[cfg(test)]
mod tests;
