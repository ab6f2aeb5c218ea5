//! Decides the caller's next step after each event of its request.
//!
//! Each request id runs at most once, so a retry under the same id is always safe. A retry under a
//! new id may be a second run; it is made only if the first request provably did not run, or if the
//! caller declared the call idempotent.

use bytes::Bytes;
use rand::Rng;
use rand::rngs::SmallRng;

use super::wire::{Refusal, RefusalOutcome};
use crate::time::TimeMs;

/// Base of the exponential backoff, which doubles with each consecutive failure.
const BASE_BACKOFF_MS: u64 = 50;
/// Maximum backoff without jitter.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Maximum retry delay that is accepted from a node.
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// Number of queries for the outcome of a request that ended `unknown`.
///
/// The node may have been partitioned from the nodes that have the outcome; another node often has
/// the recorded outcome shortly after.
const MAX_UNKNOWN_QUERIES: u32 = 3;
/// Delay before each query after `unknown`, unless the node requests another.
const UNKNOWN_QUERY_DELAY_MS: u64 = 500;

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// No node was reachable, or none issued an id; nothing has been sent.
    Unsent,
    /// The connection broke or timed out.
    Broken {
        /// Whether the node had begun to respond, and so had received the request.
        is_accepted: bool,
    },
    /// The request is known but has no response yet, or the response must be requested separately.
    Running {
        /// Delay before the next query, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The node found no request with this id.
    NoSuchRequest,
    /// A node refused the request, or the request ended without a response.
    Refused(Refusal),
    /// A node rejected the call as invalid.
    Rejected(Rejection),
    /// The response of a model is complete.
    Completed {
        /// Number of tokens in the response.
        tokens: u64,
        /// Why the response ended.
        finish: String,
    },
    /// A plain service responded.
    Answered {
        /// Status code of the service's response.
        status: u16,
        /// Body of the service's response.
        body: Bytes,
    },
}

/// A node's rejection of an invalid call: bad token, unknown model, body too large.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Status code of the response.
    pub status: u16,
    /// First characters of the response body.
    pub message: String,
}

/// Final result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The response of a model is complete.
    Completed {
        /// Number of tokens in the response.
        tokens: u64,
        /// Why the response ended.
        finish: String,
    },
    /// A plain service responded.
    Answered {
        /// Status code of the service's response.
        status: u16,
        /// Body of the service's response.
        body: Bytes,
    },
    /// The request was refused or ended without a response.
    Refused(Refusal),
    /// A node rejected the call as invalid.
    Rejected(Rejection),
    /// No node was reachable, and nothing has been sent under the last id.
    Unsent,
    /// Attempts or time are exhausted after the request was sent; it may have run or be running.
    RetriesExhausted,
}

impl End {
    /// Whether the caller has a complete response.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::Completed { .. } | Self::Answered { .. })
    }

    /// Whether the request certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.outcome == RefusalOutcome::NotRun,
            Self::Unsent | Self::Rejected(_) => true,
            _ => false,
        }
    }

    /// Whether the request may have run without a known outcome.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.outcome == RefusalOutcome::Unknown,
            Self::RetriesExhausted => true,
            _ => false,
        }
    }
}

/// The next step of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Make another attempt after a delay.
    Try {
        /// The attempt to make.
        attempt: Attempt,
        /// Delay before the attempt.
        delay_ms: u64,
    },
    /// Return the result to the caller.
    End(End),
}

/// The request that an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The call, under its current id.
    Send,
    /// A request for the rest of the response, from the next position.
    Resume,
    /// The call, under a new id.
    SendUnderNewId,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of consecutive failures without progress.
    pub max_failures: u32,
    /// Maximum number of resends after refusals, under the same or a new id.
    pub max_resends: u32,
    /// Time after which no attempt is started.
    pub retry_until_ms: TimeMs,
}

/// State of a call across its attempts.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    limits: Limits,
    is_idempotent: bool,
    is_resume_only: bool,
    is_sent: bool,
    is_accepted: bool,
    /// Whether part of the response has been received.
    has_received: bool,
    failures: u32,
    resends: u32,
    unknown_queries: u32,
}

impl Progress {
    /// A call that has not been sent; `is_idempotent` permits a second run.
    #[must_use]
    pub fn new(limits: Limits, is_idempotent: bool) -> Self {
        Self {
            limits,
            is_idempotent,
            is_resume_only: false,
            is_sent: false,
            is_accepted: false,
            has_received: false,
            failures: 0,
            resends: 0,
            unknown_queries: 0,
        }
    }

    /// A query for the response of an earlier call, which is never sent again.
    #[must_use]
    pub fn resuming(limits: Limits) -> Self {
        Self {
            is_resume_only: true,
            is_sent: true,
            is_accepted: true,
            ..Self::new(limits, false)
        }
    }

    /// Number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records an event and the step that was decided for it.
    pub fn record(&mut self, event: &Event, step: &Step) {
        match event {
            Event::Unsent => self.failures += 1,
            Event::NoSuchRequest => {
                self.is_accepted = false;
                self.failures += 1;
            }
            Event::Broken { is_accepted } => {
                self.is_sent = true;
                self.is_accepted |= is_accepted;
                self.failures += 1;
            }
            Event::Running { .. } => {
                self.is_accepted = true;
                self.failures = 0;
            }
            Event::Refused(refusal) if refusal.outcome == RefusalOutcome::Unknown => {
                self.is_accepted = true;
                self.unknown_queries += 1;
                if matches!(
                    step,
                    Step::Try {
                        attempt: Attempt::Send,
                        ..
                    }
                ) {
                    self.resends += 1;
                    self.unknown_queries = 0;
                }
            }
            _ => {}
        }
        if matches!(
            step,
            Step::Try {
                attempt: Attempt::SendUnderNewId,
                ..
            }
        ) {
            self.resends += 1;
            self.is_sent = false;
            self.is_accepted = false;
            self.failures = 0;
            self.unknown_queries = 0;
        }
    }

    /// Records that a new part of the response was received.
    pub fn record_progress(&mut self) {
        self.has_received = true;
        self.failures = 0;
        self.unknown_queries = 0;
    }
}

/// Decides the step after an event; must be called before the event is recorded.
#[must_use]
pub fn decide(progress: &Progress, event: &Event, now: TimeMs, rng: &mut SmallRng) -> Step {
    let limits = &progress.limits;
    let is_late = now >= limits.retry_until_ms;
    let is_exhausted = is_late || progress.failures + 1 >= limits.max_failures;
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
        Event::Refused(refusal) => after_refusal(progress, refusal, is_late, rng),
        Event::Unsent if is_exhausted && !progress.is_sent => Step::End(End::Unsent),
        Event::Unsent | Event::Broken { .. } | Event::NoSuchRequest if is_exhausted => {
            Step::End(End::RetriesExhausted)
        }
        Event::Running { .. } if is_late => Step::End(End::RetriesExhausted),
        Event::NoSuchRequest if progress.is_resume_only => Step::End(End::RetriesExhausted),
        Event::Unsent | Event::Broken { is_accepted: false } if progress.is_accepted => {
            retry(Attempt::Resume, progress, rng)
        }
        Event::Broken { is_accepted: true } => retry(Attempt::Resume, progress, rng),
        // No node is known to have received the call, or no node has a request with its id.
        Event::NoSuchRequest | Event::Unsent | Event::Broken { is_accepted: false } => {
            retry(Attempt::Send, progress, rng)
        }
        Event::Running { retry_after_ms } => Step::Try {
            attempt: Attempt::Resume,
            delay_ms: retry_delay_ms(*retry_after_ms, MAX_BACKOFF_MS),
        },
    }
}

/// Decides the step after a refusal.
fn after_refusal(
    progress: &Progress,
    refusal: &Refusal,
    is_late: bool,
    rng: &mut SmallRng,
) -> Step {
    let limits = &progress.limits;
    let may_resend = !is_late && !progress.is_resume_only && progress.resends < limits.max_resends;
    match refusal.outcome {
        // A new id samples another response, which would not continue the tokens received so far.
        RefusalOutcome::NotRun if may_resend && !progress.has_received => Step::Try {
            attempt: Attempt::SendUnderNewId,
            delay_ms: with_jitter(retry_delay_ms(refusal.retry_after_ms, BASE_BACKOFF_MS), rng),
        },
        RefusalOutcome::Unknown if !is_late && progress.unknown_queries < MAX_UNKNOWN_QUERIES => {
            Step::Try {
                attempt: Attempt::Resume,
                delay_ms: retry_delay_ms(refusal.retry_after_ms, UNKNOWN_QUERY_DELAY_MS),
            }
        }
        RefusalOutcome::Unknown if may_resend && progress.is_idempotent => Step::Try {
            attempt: if progress.has_received {
                Attempt::Send
            } else {
                Attempt::SendUnderNewId
            },
            delay_ms: with_jitter(BASE_BACKOFF_MS, rng),
        },
        _ => Step::End(End::Refused(refusal.clone())),
    }
}

/// Retries with exponential backoff and jitter.
fn retry(attempt: Attempt, progress: &Progress, rng: &mut SmallRng) -> Step {
    let backoff_ms = BASE_BACKOFF_MS.saturating_mul(1 << progress.failures.min(16));
    // The first retry is immediate: the next node is most likely healthy.
    let delay_ms = match progress.failures {
        0 => 0,
        _ => with_jitter(backoff_ms.min(MAX_BACKOFF_MS), rng),
    };
    Step::Try { attempt, delay_ms }
}

/// The delay requested by a node, or else a default; at most [`MAX_RETRY_AFTER_MS`].
fn retry_delay_ms(requested_ms: Option<u64>, default_ms: u64) -> u64 {
    requested_ms.unwrap_or(default_ms).min(MAX_RETRY_AFTER_MS)
}

/// Adds a random jitter of up to half the delay.
///
/// Callers that failed together then retry at different times. The delay is never shortened, so the
/// delay requested by a node is respected.
fn with_jitter(delay_ms: u64, rng: &mut SmallRng) -> u64 {
    delay_ms + rng.random_range(0..=delay_ms / 2)
}

#[cfg(test)]
mod tests;
