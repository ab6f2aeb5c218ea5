//! Decides what a caller does after each thing that happens to its request.
//!
//! An id runs at most once, so sending the same call again under the same id is always harmless.
//! A new id would be a second run; it is taken only where the first provably did not run, or where
//! the caller said that a second run does no harm.

use bytes::Bytes;
use rand::Rng;
use rand::rngs::SmallRng;

use super::wire::{Refusal, RefusalOutcome};
use crate::time::TimeMs;

/// The first pause after a connection failed; it doubles with each failure in a row.
const FIRST_PAUSE_MS: u64 = 50;
/// The longest pause that the caller chooses by itself.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// The longest pause that a node may ask for.
const LONGEST_ASKED_PAUSE_MS: u64 = 60_000;
/// How often the state of a request is asked that ended `unknown`.
///
/// The node that said so may have been cut off from those that know; a moment later another one
/// often has the recorded outcome.
const UNKNOWN_ASKS: u32 = 3;
/// How long after an `unknown` the state is asked again.
const UNKNOWN_PAUSE_MS: u64 = 500;

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// No node could be reached, or none gave an id; nothing has been sent.
    Unsent,
    /// The connection broke or stayed silent. `accepted` tells whether the node had begun to
    /// answer.
    Broken {
        /// Whether the node had begun to answer.
        accepted: bool,
    },
    /// The request is known; its answer has to be asked for again.
    Running {
        /// When to ask again.
        retry_after_ms: Option<u64>,
    },
    /// No node knows the request.
    NoSuchRequest,
    /// A node refused it, or it ended without an answer.
    Refused(Refusal),
    /// A node found the call itself at fault.
    Rejected(Rejection),
    /// A model's answer is whole.
    Completed {
        /// Tokens of the answer.
        tokens: u64,
        /// Why it ended.
        finish: String,
    },
    /// A plain service answered.
    Answered {
        /// The service's status.
        status: u16,
        /// The service's body.
        body: Bytes,
    },
}

/// A call that is at fault: a bad token, an unknown model, a body too large.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The node's status.
    pub status: u16,
    /// What the node says.
    pub message: String,
}

/// How a request ended for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A model's answer is whole.
    Completed {
        /// Tokens of the answer.
        tokens: u64,
        /// Why it ended.
        finish: String,
    },
    /// A plain service answered.
    Answered {
        /// The service's status.
        status: u16,
        /// The service's body.
        body: Bytes,
    },
    /// It ended without an answer.
    Refused(Refusal),
    /// The call itself is at fault.
    Rejected(Rejection),
    /// No node could be reached before anything was sent under the last id.
    Unsent,
    /// The connections failed too often after the request was sent; it may have run or run still.
    GaveUp,
}

impl End {
    /// Whether the caller has its answer.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::Completed { .. } | Self::Answered { .. })
    }

    /// Whether it certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.outcome == RefusalOutcome::NotRun,
            Self::Unsent | Self::Rejected(_) => true,
            _ => false,
        }
    }

    /// Whether it may have run.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.outcome == RefusalOutcome::Unknown,
            Self::GaveUp => true,
            _ => false,
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Try again after a pause.
    Try {
        /// What to send.
        what: Attempt,
        /// How long to wait first.
        pause_ms: u64,
    },
    /// Tell the caller.
    End(End),
}

/// What an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The call, under the id that it has.
    Send,
    /// A question for the answer of the id, from the next position on.
    Resume,
    /// The call, under a new id.
    SendUnderNewId,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Failures in a row, without anything new coming, before it is given up.
    pub failures: u32,
    /// New ids that the call may be sent under after the first.
    pub resends: u32,
    /// When the caller no longer waits.
    pub give_up_at_ms: TimeMs,
}

/// How far a call has come.
#[expect(
    clippy::struct_excessive_bools,
    reason = "five facts that each may hold without the others"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    limits: Limits,
    repeatable: bool,
    resumes_only: bool,
    sent: bool,
    accepted: bool,
    /// Part of the answer has come. A new id would go on with another answer.
    answered_in_part: bool,
    failures: u32,
    resends: u32,
    unknown_asks: u32,
}

impl Progress {
    /// A call that has not been sent. `repeatable` if a second run does no harm.
    #[must_use]
    pub fn new(limits: Limits, repeatable: bool) -> Self {
        Self {
            limits,
            repeatable,
            resumes_only: false,
            sent: false,
            accepted: false,
            answered_in_part: false,
            failures: 0,
            resends: 0,
            unknown_asks: 0,
        }
    }

    /// A question for the answer of an earlier call, which can send nothing.
    #[must_use]
    pub fn resuming(limits: Limits) -> Self {
        Self {
            resumes_only: true,
            sent: true,
            accepted: true,
            ..Self::new(limits, false)
        }
    }

    /// Failures in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes an event and the step that was decided on it.
    pub fn note(&mut self, event: &Event, step: &Step) {
        match event {
            Event::Unsent => self.failures += 1,
            Event::NoSuchRequest => {
                self.accepted = false;
                self.failures += 1;
            }
            Event::Broken { accepted } => {
                self.sent = true;
                self.accepted |= accepted;
                self.failures += 1;
            }
            Event::Running { .. } => {
                self.accepted = true;
                self.failures = 0;
            }
            Event::Refused(refusal) if refusal.outcome == RefusalOutcome::Unknown => {
                self.accepted = true;
                self.unknown_asks += 1;
            }
            _ => {}
        }
        if matches!(
            step,
            Step::Try {
                what: Attempt::SendUnderNewId,
                ..
            }
        ) {
            self.resends += 1;
            self.sent = false;
            self.accepted = false;
            self.failures = 0;
            self.unknown_asks = 0;
        }
    }

    /// Notes that something new of the answer came.
    pub fn note_news(&mut self) {
        self.answered_in_part = true;
        self.failures = 0;
        self.unknown_asks = 0;
    }
}

/// Decides what follows an event.
#[must_use]
pub fn decide(progress: &Progress, event: &Event, now: TimeMs, rng: &mut SmallRng) -> Step {
    let limits = &progress.limits;
    let late = now >= limits.give_up_at_ms;
    let worn_out = late || progress.failures + 1 >= limits.failures;
    match event {
        Event::Completed { tokens, finish } => Step::End(End::Completed {
            tokens: *tokens,
            finish: finish.clone(),
        }),
        Event::Answered { status, body } => Step::End(End::Answered {
            status: *status,
            body: body.clone(),
        }),
        Event::Rejected(rejection) => Step::End(End::Rejected(rejection.clone())),
        Event::Refused(refusal) => after_refusal(progress, refusal, late, rng),
        Event::Unsent if worn_out && !progress.sent => Step::End(End::Unsent),
        Event::Unsent | Event::Broken { .. } | Event::NoSuchRequest if worn_out => {
            Step::End(End::GaveUp)
        }
        Event::Running { .. } if late => Step::End(End::GaveUp),
        Event::NoSuchRequest if progress.resumes_only => Step::End(End::GaveUp),
        Event::Unsent | Event::Broken { accepted: false } if progress.accepted => {
            again(Attempt::Resume, progress, rng)
        }
        Event::Broken { accepted: true } => again(Attempt::Resume, progress, rng),
        // Nothing shows that the call arrived, or the id's home knows nothing of it.
        Event::NoSuchRequest | Event::Unsent | Event::Broken { accepted: false } => {
            again(Attempt::Send, progress, rng)
        }
        Event::Running { retry_after_ms } => Step::Try {
            what: Attempt::Resume,
            pause_ms: asked_pause_ms(*retry_after_ms, LONGEST_PAUSE_MS),
        },
    }
}

fn after_refusal(progress: &Progress, refusal: &Refusal, late: bool, rng: &mut SmallRng) -> Step {
    let limits = &progress.limits;
    let is_new = !progress.resumes_only && !progress.answered_in_part;
    let may_send = !late && is_new && progress.resends < limits.resends;
    match refusal.outcome {
        RefusalOutcome::NotRun if may_send => Step::Try {
            what: Attempt::SendUnderNewId,
            pause_ms: jittered(asked_pause_ms(refusal.retry_after_ms, FIRST_PAUSE_MS), rng),
        },
        RefusalOutcome::Unknown if !late && progress.unknown_asks < UNKNOWN_ASKS => Step::Try {
            what: Attempt::Resume,
            pause_ms: asked_pause_ms(refusal.retry_after_ms, UNKNOWN_PAUSE_MS),
        },
        RefusalOutcome::Unknown if may_send && progress.repeatable => Step::Try {
            what: Attempt::SendUnderNewId,
            pause_ms: jittered(FIRST_PAUSE_MS, rng),
        },
        _ => Step::End(End::Refused(refusal.clone())),
    }
}

fn again(what: Attempt, progress: &Progress, rng: &mut SmallRng) -> Step {
    let doubled = FIRST_PAUSE_MS.saturating_mul(1 << progress.failures.min(16));
    // The first failure is answered at once: the next node is most likely well.
    let pause_ms = match progress.failures {
        0 => 0,
        _ => jittered(doubled.min(LONGEST_PAUSE_MS), rng),
    };
    Step::Try { what, pause_ms }
}

fn asked_pause_ms(asked_ms: Option<u64>, otherwise_ms: u64) -> u64 {
    asked_ms.unwrap_or(otherwise_ms).min(LONGEST_ASKED_PAUSE_MS)
}

/// Spreads callers that failed together, so that they do not come back together. A pause is only
/// lengthened: a node that says when to come back is not asked before.
fn jittered(pause_ms: u64, rng: &mut SmallRng) -> u64 {
    pause_ms + rng.random_range(0..=pause_ms / 2)
}

#[cfg(test)]
mod tests;
