//! How an upstream has fared lately, from the requests that were sent to it.
//!
//! An upstream may fail part of its requests while it calls itself healthy, and asking it costs;
//! what it does with requests is the better sign.

use crate::time::TimeMs;

/// Failures to connect or to get an answer, in a row, until an upstream is left alone.
///
/// One may be a lost channel; two in a row on one upstream while others answer are rare.
const FAILURES_UNTIL_PAUSE: u32 = 2;

/// The first pause; it doubles with each failure.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause: an upstream that crashed is back after some seconds.
const LONGEST_PAUSE_MS: u64 = 4_000;

/// Weight of the newest outcome in the running share of failures: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Time after which half of what was learned is forgotten, so that an upstream that got no
/// requests is tried again.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Time without an answer after which half of what sets an upstream's answer time apart from that of the fastest is
/// forgotten.
///
/// An upstream that was slow when it was asked last would otherwise get nothing more while others are quick, and nobody
/// would see that it has become as quick as they are.
const TIME_HALF_LIFE_MS: f64 = 5_000.0;

/// How a request fared at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It answered, after this time to the head or the first event.
    Good { took_ms: u64 },
    /// It said that it failed.
    Failed,
    /// It gave no answer, or none that can be used.
    Broken,
    /// It did not take the request.
    Refused,
    /// It did not take the request and asked for rest: a word about its load, and no failure.
    Resting,
}

/// The record of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Health {
    failures_in_row: u32,
    paused_until: TimeMs,
    failure_share: f64,
    noted_at: TimeMs,
    took_ms: Option<f64>,
    answered_at: TimeMs,
}

impl Health {
    /// Takes in an outcome.
    pub fn note(&mut self, outcome: Outcome, now: TimeMs) {
        let failure = match outcome {
            Outcome::Good { took_ms } => {
                self.failures_in_row = 0;
                self.paused_until = TimeMs(0);
                let took_ms = super::num::real(took_ms);
                let before = self.took_ms.unwrap_or(took_ms);
                self.took_ms = Some(before + NEWEST_WEIGHT * (took_ms - before));
                self.answered_at = now;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::Broken => {
                self.failures_in_row += 1;
                if self.failures_in_row >= FAILURES_UNTIL_PAUSE {
                    self.pause(now);
                }
                1.0
            }
            Outcome::Refused => 0.5,
            Outcome::Resting => return,
        };
        let before = self.failure_share(now);
        self.failure_share = before + NEWEST_WEIGHT * (failure - before);
        self.noted_at = now;
    }

    /// Takes in that no channel could be opened.
    pub fn note_unreachable(&mut self, now: TimeMs) {
        self.failures_in_row = self.failures_in_row.max(FAILURES_UNTIL_PAUSE - 1) + 1;
        self.pause(now);
    }

    fn pause(&mut self, now: TimeMs) {
        let doublings = (self.failures_in_row - FAILURES_UNTIL_PAUSE).min(4);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        self.paused_until = now.after(pause_ms);
    }

    /// Whether it is left alone for now.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.paused_until
    }

    /// The share of requests that failed lately, from 0 to 1.
    pub fn failure_share(&self, now: TimeMs) -> f64 {
        let age_ms = super::num::real(now.since(self.noted_at));
        self.failure_share * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    /// How long an answer is expected to take, where the fastest upstream of the pool takes `least_ms`.
    pub fn expected_ms(&self, least_ms: f64, now: TimeMs) -> f64 {
        let age_ms = super::num::real(now.since(self.answered_at));
        let beyond_ms = self.took_ms.unwrap_or(least_ms) - least_ms;
        least_ms + beyond_ms * 0.5_f64.powf(age_ms / TIME_HALF_LIFE_MS)
    }

    /// How long answers take, if any has come.
    pub fn took_ms(&self) -> Option<f64> {
        self.took_ms
    }
}

#[cfg(test)]
mod tests;
