//! Bounds how often a node appends to the log.
//!
//! The log takes several hundred appends a second from all nodes together. What each role needs is
//! bounded by its own interval; the budget bounds a node whose roles go wrong all at once.

use parking_lot::Mutex;

use crate::time::TimeMs;

#[cfg(test)]
mod tests;

/// What an append is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Others wait for it: a claim, a lease, an operator's change.
    Urgent,
    /// It may come late: the audit trail, a renewal of the configuration.
    Deferrable,
}

/// Tokens that refill evenly.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    filled_ms: TimeMs,
}

impl TokenBucket {
    /// A full bucket that gains `per_second` tokens and holds at most `capacity`.
    #[must_use]
    pub fn new(per_second: f64, capacity: f64, now: TimeMs) -> Self {
        Self {
            per_second,
            capacity,
            tokens: capacity,
            filled_ms: now,
        }
    }

    /// Takes a token while more than `reserve` would be left.
    ///
    /// # Errors
    ///
    /// How long until there is one, in milliseconds.
    pub fn take(&mut self, reserve: f64, now: TimeMs) -> Result<(), u64> {
        let gained = gained(now.since(self.filled_ms), self.per_second);
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.filled_ms = self.filled_ms.max(now);
        let missing = reserve + 1.0 - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait_ms(missing, self.per_second))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an hour in milliseconds is exact in an f64"
)]
fn gained(elapsed_ms: u64, per_second: f64) -> f64 {
    elapsed_ms as f64 / 1_000.0 * per_second
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the value is not negative"
)]
fn wait_ms(missing: f64, per_second: f64) -> u64 {
    ((missing / per_second * 1_000.0).ceil() as u64).max(1)
}

/// A node's budget of appends, shared by all that append.
#[derive(Debug)]
pub struct AppendBudget {
    bucket: Mutex<TokenBucket>,
    reserve: f64,
}

impl AppendBudget {
    /// A budget of `per_second` appends with bursts of `burst`; half of a burst is kept for
    /// urgent ones.
    #[must_use]
    pub fn new(per_second: f64, burst: f64, now: TimeMs) -> Self {
        Self {
            bucket: Mutex::new(TokenBucket::new(per_second, burst, now)),
            reserve: burst / 2.0,
        }
    }

    /// Takes leave for one append.
    ///
    /// # Errors
    ///
    /// How long to wait before asking again, in milliseconds.
    pub fn take(&self, urgency: Urgency, now: TimeMs) -> Result<(), u64> {
        let reserve = match urgency {
            Urgency::Urgent => 0.0,
            Urgency::Deferrable => self.reserve,
        };
        self.bucket.lock().take(reserve, now)
    }
}
