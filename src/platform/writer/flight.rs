//! What to do next about one append.

use rand::rngs::SmallRng;

use crate::platform::backoff::Backoff;
use crate::time::TimeMs;

const BACKOFF_FIRST_MS: u64 = 50;
const BACKOFF_MOST_MS: u64 = 2_000;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing yet.
    Started,
    /// The record is in the stream.
    Appended {
        /// Its offset.
        offset: u64,
    },
    /// The log refused the append.
    NotTaken {
        /// When it wants to be asked again.
        retry_after_ms: Option<u64>,
    },
    /// The append was sent and not answered.
    AnswerLost,
    /// The stream was read in part, and the record was not there.
    NotYetFound {
        /// Where to read on.
        next: u64,
    },
    /// The stream was read to its end, and the record was not there.
    NotThere,
    /// The stream could not be read.
    ReadFailed,
    /// The wait is over.
    Waited,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append the record.
    Append,
    /// Look for the record in the stream.
    ReadBack {
        /// The offset to start at.
        from: u64,
    },
    /// Wait.
    Wait {
        /// For how long.
        wait_ms: u64,
    },
    /// The record is in the stream.
    Done {
        /// Its offset.
        offset: u64,
    },
    /// Time is up.
    GiveUp(Failure),
}

/// What is known of a record that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was not made.
    NotTaken,
    /// It may have been made.
    Unresolved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterWait {
    Append,
    ReadBack,
}

/// The state of one append.
#[derive(Clone, Debug)]
pub struct Flight {
    tail: u64,
    deadline_ms: TimeMs,
    maybe_taken: bool,
    after_wait: AfterWait,
    backoff: Backoff,
}

impl Flight {
    /// An append to a stream whose offsets before `tail` were taken earlier.
    #[must_use]
    pub fn new(tail: u64, deadline_ms: TimeMs) -> Self {
        Self {
            tail,
            deadline_ms,
            maybe_taken: false,
            after_wait: AfterWait::Append,
            backoff: Backoff::new(BACKOFF_FIRST_MS, BACKOFF_MOST_MS),
        }
    }

    /// The same for a record that an earlier flight may have brought in.
    #[must_use]
    pub fn maybe_taken(mut self) -> Self {
        self.maybe_taken = true;
        self
    }

    /// Decides what to do after `event`.
    ///
    /// After a lost answer it reads back before it appends again; else a record whose answer alone
    /// was lost would be made twice, and one would see doubled entries after each slow spell of
    /// the log.
    pub fn next_step(&mut self, event: Event, now: TimeMs, rng: &mut SmallRng) -> Step {
        self.maybe_taken |= event == Event::AnswerLost;
        let expired = now >= self.deadline_ms;
        match event {
            Event::Appended { offset } => Step::Done { offset },
            _ if expired && self.maybe_taken => Step::GiveUp(Failure::Unresolved),
            _ if expired => Step::GiveUp(Failure::NotTaken),
            Event::Started if self.maybe_taken => Step::ReadBack { from: self.tail },
            Event::AnswerLost => Step::ReadBack { from: self.tail },
            Event::NotYetFound { next } => Step::ReadBack { from: next },
            Event::NotTaken { retry_after_ms } => {
                let asked_ms = retry_after_ms.unwrap_or(0);
                self.wait_before(AfterWait::Append, asked_ms, now, rng)
            }
            Event::NotThere => self.wait_before(AfterWait::Append, 0, now, rng),
            Event::ReadFailed => self.wait_before(AfterWait::ReadBack, 0, now, rng),
            Event::Waited if self.after_wait == AfterWait::ReadBack => {
                Step::ReadBack { from: self.tail }
            }
            Event::Started | Event::Waited => Step::Append,
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
