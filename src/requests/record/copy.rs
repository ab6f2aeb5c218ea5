//! Copies of a record: what nodes exchange of it, and what is kept of it without its content.

use std::sync::Arc;

use bincode::{Decode, Encode};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{Place, Record, State};
use crate::requests::{Call, Chunk, Outcome, RequestId};
use crate::time::TimeMs;

/// Copy of a record that nodes exchange.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Copy {
    /// Request id.
    pub id: RequestId,
    /// The call.
    pub call: Call,
    /// The answer from some position on.
    pub chunk: Chunk,
    /// The place of the running attempt.
    pub place: Option<Place>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether an attempt may have started.
    pub dispatched: bool,
    /// The outcome, if the request has ended.
    pub outcome: Option<Outcome>,
}

impl Copy {
    /// Drops the call's content and the answer; keeps the outcome.
    pub fn drop_content(&mut self) {
        self.call.drop_content();
        self.chunk = Chunk::default();
        self.outcome = self.outcome.take().map(Outcome::without_answer);
    }
}

impl Record {
    /// Returns the record without its call's content and its answer.
    ///
    /// A task that already holds the complete record continues with it.
    #[must_use]
    pub fn without_content(&self) -> Self {
        let mut call = Call::clone(&self.call);
        call.drop_content();
        let state = self.state.lock();
        let remaining = State {
            outcome: state.outcome.clone().map(Outcome::without_answer),
            ended_at_ms: state.ended_at_ms,
            attempts: state.attempts,
            may_have_started: state.may_have_started,
            ..State::default()
        };
        Self {
            id: self.id,
            call: Arc::new(call),
            fingerprint: self.fingerprint,
            state: Mutex::new(remaining),
            changed: Notify::new(),
            ordered: Notify::new(),
        }
    }

    /// Creates a record from another node's copy; `now` is the end time if the copy has an outcome.
    #[must_use]
    pub fn from_copy(copy: &Copy, now: TimeMs) -> Self {
        let record = Self::new(copy.id, copy.call.clone());
        record.merge(copy, now);
        record
    }

    /// Merges the newer state of another node's copy.
    pub fn merge(&self, copy: &Copy, now: TimeMs) {
        let mut state = self.state.lock();
        if state.outcome.is_some() {
            return;
        }
        state
            .answer
            .extend_from(copy.chunk.from, copy.chunk.tokens());
        state.may_have_started = state.may_have_started.max(u32::from(copy.dispatched));
        if copy.attempts >= state.attempts {
            state.attempts = copy.attempts;
            state.place = copy.place;
        }
        state.outcome.clone_from(&copy.outcome);
        state.ended_at_ms = copy.outcome.as_ref().map(|_outcome| now);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the record, with its answer from `from` on.
    #[must_use]
    pub fn copy(&self, from: u64) -> Copy {
        let state = self.state.lock();
        Copy {
            id: self.id,
            call: Call::clone(&self.call),
            chunk: Chunk::new(from, state.answer.tokens_from(from)),
            place: state.place,
            attempts: state.attempts,
            dispatched: state.may_have_started > 0,
            outcome: state.outcome.clone(),
        }
    }
}
