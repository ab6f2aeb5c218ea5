//! What to do next about a call that must take effect once and whose answer may be lost.
//!
//! Appends to the log and purchases from the cloud go this way.

use rand::rngs::SmallRng;

use crate::coordination::backoff::Backoff;
use crate::time::TimeMs;

const BACKOFF_FIRST_MS: u64 = 50;
const BACKOFF_MOST_MS: u64 = 2_000;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing yet.
    Started,
    /// The call was refused.
    NotTaken {
        /// When the platform wants to be asked again.
        retry_after_ms: Option<u64>,
    },
    /// The call was sent and not answered.
    AnswerLost,
    /// The platform's state was read in part, and there was no effect of the call in it.
    NotYetFound {
        /// Where to read on.
        next: u64,
    },
    /// The platform's state was read to its end, and there was no effect of the call in it.
    NotThere,
    /// The platform's state could not be read.
    ReadFailed,
    /// The wait is over.
    Waited,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make the call.
    Call,
    /// Look for the effect of the call.
    ReadBack {
        /// The offset to start at.
        from: u64,
    },
    /// Wait.
    Wait {
        /// For how long.
        wait_ms: u64,
    },
    /// Time is up.
    GiveUp(Failure),
}

/// What is known of a call that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It took no effect and will not.
    NotTaken,
    /// It may have taken effect, or may still.
    Unresolved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterWait {
    Call,
    ReadBack,
}

/// The state of one call.
#[derive(Clone, Debug)]
pub struct Flight {
    tail: u64,
    deadline_ms: TimeMs,
    maybe_taken: bool,
    after_wait: AfterWait,
    backoff: Backoff,
}

impl Flight {
    /// A call whose effect can only show from `tail` on.
    #[must_use]
    pub fn new(tail: u64, deadline_ms: TimeMs) -> Self {
        Self {
            tail,
            deadline_ms,
            maybe_taken: false,
            after_wait: AfterWait::Call,
            backoff: Backoff::new(BACKOFF_FIRST_MS, BACKOFF_MOST_MS),
        }
    }

    /// The same for a call that an earlier flight may have made.
    #[must_use]
    pub fn maybe_taken(mut self) -> Self {
        self.maybe_taken = true;
        self
    }

    /// Decides what to do after `event`, as long as the effect has not shown.
    ///
    /// After a lost answer it reads back before it calls again; else a call whose answer alone was
    /// lost would take effect twice, and one would see doubled records after each slow spell of
    /// the platform.
    pub fn next_step(&mut self, event: Event, now: TimeMs, rng: &mut SmallRng) -> Step {
        self.maybe_taken |= event == Event::AnswerLost;
        let expired = now >= self.deadline_ms;
        match event {
            _ if expired && self.maybe_taken => Step::GiveUp(Failure::Unresolved),
            _ if expired => Step::GiveUp(Failure::NotTaken),
            Event::Started if self.maybe_taken => Step::ReadBack { from: self.tail },
            Event::AnswerLost => Step::ReadBack { from: self.tail },
            Event::NotYetFound { next } => Step::ReadBack { from: next },
            Event::NotTaken { retry_after_ms } => {
                let asked_ms = retry_after_ms.unwrap_or(0);
                self.wait_before(AfterWait::Call, asked_ms, now, rng)
            }
            Event::NotThere => self.wait_before(AfterWait::Call, 0, now, rng),
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
        asked_ms: u64,
        now: TimeMs,
        rng: &mut SmallRng,
    ) -> Step {
        self.after_wait = next;
        let wait_ms = self.backoff.next_ms(rng).max(asked_ms);
        Step::Wait {
            wait_ms: wait_ms.min(now.until(self.deadline_ms)),
        }
    }
}
