//! Runs of an idempotent call under another id than its caller's, and what they say of that id.
//!
//! A node that reaches neither home nor witness of an idempotent call can run it under an id of its
//! own, the substitute. Home or witness may run the call under the caller's id all the while. An
//! answer of the substitute answers the call; any other end of it decides nothing about the
//! caller's id, which is `unknown` then.

use super::core::Phase;
use super::outcome::UnknownReason;
use super::{Call, Outcome, Step};
use crate::time::TimeMs;

/// Returns whether a node in this phase may run a call under another id, after the caller's id had
/// this first step.
///
/// After the deadline a substitute could only be refused, and the caller would learn nothing more.
#[must_use]
pub fn may_substitute(call: &Call, first: &Step, phase: Phase, now: TimeMs) -> bool {
    let is_unanswered = *first == Step::End(Outcome::Unknown(UnknownReason::NoAnswer));
    is_unanswered && call.idempotent && phase == Phase::Serving && now < call.deadline_ms
}

/// Returns the outcome under the caller's id when the substitute has ended.
#[must_use]
pub fn outcome_under_caller_id(outcome: Outcome) -> Outcome {
    if outcome.is_answer() {
        outcome
    } else {
        Outcome::Unknown(UnknownReason::NoAnswer)
    }
}

#[cfg(test)]
mod tests;
