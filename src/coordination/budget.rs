//! The rate limit of a node's appends to the log.
//!
//! The log accepts several hundred appends per second from all nodes together. The interval of each
//! role bounds its own appends; the budget bounds a node all of whose roles malfunction at once.

use parking_lot::Mutex;

use crate::time::TimeMs;

#[cfg(test)]
mod tests;

/// The urgency of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Other work waits for the append: a claim, a lease, an operator's change.
    Urgent,
    /// The append may be delayed: the audit trail, a renewal of the configuration.
    Deferrable,
}

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    refilled_ms: TimeMs,
}

impl TokenBucket {
    /// Creates a full bucket that gains `per_second` tokens and holds at most `capacity`.
    #[must_use]
    pub fn new(per_second: f64, capacity: f64, now: TimeMs) -> Self {
        Self {
            per_second,
            capacity,
            tokens: capacity,
            refilled_ms: now,
        }
    }

    /// Takes a token if at least `reserve` tokens remain afterwards.
    ///
    /// # Errors
    ///
    /// The time in milliseconds until a token is available.
    pub fn try_take(&mut self, reserve: f64, now: TimeMs) -> Result<(), u64> {
        let gained_tokens = gained_tokens(now.since(self.refilled_ms), self.per_second);
        self.tokens = (self.tokens + gained_tokens).min(self.capacity);
        self.refilled_ms = self.refilled_ms.max(now);
        let missing_tokens = reserve + 1.0 - self.tokens;
        if missing_tokens <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait_ms(missing_tokens, self.per_second))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an hour in milliseconds is exact in an f64"
)]
fn gained_tokens(elapsed_ms: u64, per_second: f64) -> f64 {
    elapsed_ms as f64 / 1_000.0 * per_second
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the value is not negative"
)]
fn wait_ms(missing_tokens: f64, per_second: f64) -> u64 {
    ((missing_tokens / per_second * 1_000.0).ceil() as u64).max(1)
}

/// A node's append budget, shared by all its writers.
#[derive(Debug)]
pub struct AppendBudget {
    bucket: Mutex<TokenBucket>,
    reserve: f64,
}

impl AppendBudget {
    /// Creates a budget of `per_second` appends with bursts of `burst`; half of a burst is reserved
    /// for urgent appends.
    #[must_use]
    pub fn new(per_second: f64, burst: f64, now: TimeMs) -> Self {
        Self {
            bucket: Mutex::new(TokenBucket::new(per_second, burst, now)),
            reserve: burst / 2.0,
        }
    }

    /// Takes one append from the budget.
    ///
    /// # Errors
    ///
    /// The time in milliseconds to wait before the next try.
    pub fn try_take(&self, urgency: Urgency, now: TimeMs) -> Result<(), u64> {
        let reserve = match urgency {
            Urgency::Urgent => 0.0,
            Urgency::Deferrable => self.reserve,
        };
        self.bucket.lock().try_take(reserve, now)
    }
}
