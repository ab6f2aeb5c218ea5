//! Tracks the recent health of an upstream from the outcomes of requests sent to it.
//!
//! An upstream may fail a share of its requests while it reports itself healthy, and each health
//! probe costs; the outcomes of requests are the better signal.

use crate::time::TimeMs;

/// Consecutive failures to connect or to get an answer until the circuit breaker pauses an
/// upstream.
///
/// A single failure may be a lost connection. Two in a row on one upstream while others answer are
/// rare.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Duration of the first pause; it doubles with each further failure.
const FIRST_PAUSE_MS: u64 = 500;

/// Longest pause; an upstream that crashed is back after some seconds.
const MAX_PAUSE_MS: u64 = 4_000;

/// Weight of the newest outcome in the failure share: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Half-life of the failure share, so that an upstream that gets no requests is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// Half-life, without new answers, of the difference between an upstream's answer time and that of
/// the fastest.
///
/// Without the decay, an upstream that was slow at its last answer would get no requests while
/// others are fast, and its recovery would go unnoticed.
const ANSWER_TIME_HALF_LIFE_MS: f64 = 5_000.0;

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The upstream answered; `mean_answer_ms` is the time to the response head or the first event.
    Good { took_ms: u64 },
    /// The upstream answered with a failure.
    Failed,
    /// The upstream gave no answer, or an invalid one.
    Broken,
    /// The upstream rejected the request.
    Refused,
    /// The upstream rejected the request and requested a backoff; this reports its load and counts
    /// as no failure.
    Resting,
}

/// Recent health of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Health {
    consecutive_failures: u32,
    paused_until: TimeMs,
    failure_share: f64,
    updated_at: TimeMs,
    mean_answer_ms: Option<f64>,
    answered_at: TimeMs,
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: Outcome, now: TimeMs) {
        let failure = match outcome {
            Outcome::Good { took_ms } => {
                self.consecutive_failures = 0;
                self.paused_until = TimeMs(0);
                let took_ms = super::num::to_f64(took_ms);
                let before = self.mean_answer_ms.unwrap_or(took_ms);
                self.mean_answer_ms = Some(before + NEWEST_WEIGHT * (took_ms - before));
                self.answered_at = now;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::Broken => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_BEFORE_PAUSE {
                    self.pause(now);
                }
                1.0
            }
            Outcome::Refused => 0.5,
            Outcome::Resting => return,
        };
        let before = self.failure_share(now);
        self.failure_share = before + NEWEST_WEIGHT * (failure - before);
        self.updated_at = now;
    }

    /// Records that no connection could be opened.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURES_BEFORE_PAUSE - 1) + 1;
        self.pause(now);
    }

    /// Forgets failures for which this node's own link was to blame, and ends a pause for them.
    pub fn forgive_failures(&mut self) {
        self.consecutive_failures = 0;
        self.paused_until = TimeMs(0);
    }

    fn pause(&mut self, now: TimeMs) {
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_PAUSE).min(4);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        self.paused_until = now.after(pause_ms);
    }

    /// Whether the circuit breaker pauses the upstream at `now`.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.paused_until
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn failure_share(&self, now: TimeMs) -> f64 {
        let age_ms = super::num::to_f64(now.since(self.updated_at));
        self.failure_share * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Returns the expected answer time in milliseconds; `fastest_ms` is that of the pool's fastest
    /// upstream.
    pub fn expected_ms(&self, fastest_ms: f64, now: TimeMs) -> f64 {
        let age_ms = super::num::to_f64(now.since(self.answered_at));
        let excess_ms = self.mean_answer_ms.unwrap_or(fastest_ms) - fastest_ms;
        fastest_ms + excess_ms * 0.5_f64.powf(age_ms / ANSWER_TIME_HALF_LIFE_MS)
    }

    /// Returns the mean answer time in milliseconds; `None` before the first answer.
    pub fn mean_answer_ms(&self) -> Option<f64> {
        self.mean_answer_ms
    }
}

#[cfg(test)]
mod tests;
