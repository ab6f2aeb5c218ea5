//! Retries of a call that must take effect at most once and whose response may be lost.
//!
//! Appends to the log and purchases from the cloud are retried this way.

use rand::rngs::SmallRng;

use crate::coordination::backoff::Backoff;
use crate::time::TimeMs;

const BACKOFF_MIN_MS: u64 = 50;
const BACKOFF_MAX_MS: u64 = 2_000;

/// The result of the previous step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// No step has been taken.
    Started,
    /// The call was rejected without effect.
    Rejected {
        /// The delay in milliseconds that the platform asks for before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The call was sent, and its response was lost.
    ResponseLost,
    /// A part of the platform's state was read and shows no effect of the call.
    NotInPage {
        /// The offset to continue reading from.
        next: u64,
    },
    /// The platform's state was read to its end and shows no effect of the call.
    NotFound,
    /// The platform's state could not be read.
    ReadFailed,
    /// The delay has passed.
    Waited,
}

/// The next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make the call.
    Call,
    /// Read the platform's state to look for the effect of the call.
    ReadBack {
        /// The offset to start reading at.
        from: u64,
    },
    /// Wait before the next step.
    Wait {
        /// The delay in milliseconds.
        wait_ms: u64,
    },
    /// Stop: the deadline has passed.
    GiveUp(Failure),
}

/// The known effect of a call that was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call had no effect and will have none.
    NotApplied,
    /// The call may have taken effect, or may still do so.
    Unresolved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterWait {
    Call,
    ReadBack,
}

/// The retry state of one call.
#[derive(Clone, Debug)]
pub struct CallRetry {
    tail: u64,
    deadline_ms: TimeMs,
    may_have_landed: bool,
    after_wait: AfterWait,
    backoff: Backoff,
}

impl CallRetry {
    /// Creates the state of a call whose effect can only appear at offset `tail` or later.
    #[must_use]
    pub fn new(tail: u64, deadline_ms: TimeMs) -> Self {
        Self {
            tail,
            deadline_ms,
            may_have_landed: false,
            after_wait: AfterWait::Call,
            backoff: Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS),
        }
    }

    /// Marks the call as possibly made by an earlier attempt, so that the first step is a
    /// read-back.
    #[must_use]
    pub fn may_have_landed(mut self) -> Self {
        self.may_have_landed = true;
        self
    }

    /// Returns the next step after `event`, for as long as no effect of the call has been found.
    ///
    /// After a lost response the state is read back before the call is repeated. Otherwise a call
    /// whose response alone was lost would take effect twice, which shows as duplicate records
    /// after each period of slow responses.
    pub fn next_step(&mut self, event: Event, now: TimeMs, rng: &mut SmallRng) -> Step {
        self.may_have_landed |= event == Event::ResponseLost;
        let expired = now >= self.deadline_ms;
        match event {
            _ if expired && self.may_have_landed => Step::GiveUp(Failure::Unresolved),
            _ if expired => Step::GiveUp(Failure::NotApplied),
            Event::Started if self.may_have_landed => Step::ReadBack { from: self.tail },
            Event::ResponseLost => Step::ReadBack { from: self.tail },
            Event::NotInPage { next } => Step::ReadBack { from: next },
            Event::Rejected { retry_after_ms } => {
                let min_wait_ms = retry_after_ms.unwrap_or(0);
                self.wait_before(AfterWait::Call, min_wait_ms, now, rng)
            }
            Event::NotFound => self.wait_before(AfterWait::Call, 0, now, rng),
            Event::ReadFailed => self.wait_before(AfterWait::ReadBack, 0, now, rng),
            Event::Waited if self.after_wait == AfterWait::ReadBack => {
                Step::ReadBack { from: self.tail }
            }
            Event::Started | Event::Waited => Step::Call,
        }
    }

    fn wait_before(
        &mut self,
        next: AfterWait,
        min_wait_ms: u64,
        now: TimeMs,
        rng: &mut SmallRng,
    ) -> Step {
        self.after_wait = next;
        let wait_ms = self.backoff.next_delay_ms(rng).max(min_wait_ms);
        Step::Wait {
            wait_ms: wait_ms.min(now.until(self.deadline_ms)),
        }
    }
}
