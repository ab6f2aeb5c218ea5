//! State of one request on a node: the answer so far, its place, its outcome and its readers.

mod copy;
mod order;

use std::sync::Arc;

use bincode::{Decode, Encode};
use parking_lot::Mutex;
use tokio::sync::Notify;

pub use self::copy::Copy;
pub use self::order::Order;

use super::{Assembler, Call, Chunk, Outcome, RequestId, Verdict};
use crate::keys::HostKey;
use crate::reclaim::Progress;
use crate::time::TimeMs;

/// Maximum number of tokens returned by one read, so that one reader does not hold the lock for
/// long.
const MAX_CHUNK_TOKENS: usize = 256;

/// Retention of an answer after its request has ended, for callers who come back for it.
///
/// The outcome is kept for as long as the id could start; answers kept that long would exceed the
/// memory of a busy node.
pub const ANSWER_RETENTION_MS: u64 = 5 * 60 * 1000;

/// The host on which an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Place {
    /// Number of the attempt.
    pub attempt: u32,
    /// Host of the attempt.
    pub host: HostKey,
    /// Address of the host.
    pub address: std::net::SocketAddr,
}

/// Result of reading from a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Reading {
    /// Tokens from the reader's position on.
    Tokens(Chunk),
    /// The request has ended and all tokens have been read.
    End(Outcome),
    /// Another node has taken the request over.
    Moved,
    /// There is nothing new yet.
    Pending,
}

/// State of one request on this node.
#[derive(Debug)]
pub struct Record {
    /// Request id.
    pub id: RequestId,
    /// The call.
    pub call: Arc<Call>,
    /// Distinguishes resends from other calls under the same id.
    pub fingerprint: u64,
    state: Mutex<State>,
    changed: Notify,
    ordered: Notify,
}

#[derive(Debug, Default)]
struct State {
    answer: Assembler,
    outcome: Option<Outcome>,
    ended_at_ms: Option<TimeMs>,
    place: Option<Place>,
    attempts: u32,
    /// Number of attempts that may have started; while it is not zero, the outcome cannot be
    /// `not_run`.
    may_have_started: u32,
    order: Option<Order>,
    /// No task of this node runs the request any more.
    is_stopped: bool,
    /// Another node has taken the request over.
    is_moved: bool,
    /// This node may read a running stream, and start nothing.
    is_read_only: bool,
    progress: Progress,
}

impl Record {
    /// Returns whether the answer is still held.
    #[must_use]
    pub fn has_answer(&self) -> bool {
        self.state
            .lock()
            .outcome
            .as_ref()
            .is_some_and(Outcome::is_answer)
    }

    /// Creates the record of a new request.
    #[must_use]
    pub fn new(id: RequestId, call: Call) -> Self {
        let fingerprint = call.fingerprint();
        Self {
            id,
            call: Arc::new(call),
            fingerprint,
            state: Mutex::default(),
            changed: Notify::new(),
            ordered: Notify::new(),
        }
    }

    /// Opens the next attempt on a host.
    ///
    /// From here on the request counts as dispatched; [`Record::attempt_not_started`] reverts that
    /// if the upstream provably did not start the attempt.
    pub fn begin_attempt(&self, host: HostKey, address: std::net::SocketAddr) -> Place {
        let mut state = self.state.lock();
        state.attempts += 1;
        state.progress = Progress::Running;
        let place = Place {
            attempt: state.attempts,
            host,
            address,
        };
        state.answer.open(place.attempt);
        state.place = Some(place);
        state.may_have_started += 1;
        place
    }

    /// Makes an already opened attempt the current one, whether this node or another one opened it.
    pub fn resume_attempt(&self, place: Place) {
        let mut state = self.state.lock();
        state.answer.open(place.attempt);
        state.place = Some(place);
        state.may_have_started = state.may_have_started.max(1);
    }

    /// Reverts an attempt that provably did not start.
    pub fn attempt_not_started(&self, attempt: u32) {
        let mut state = self.state.lock();
        state.answer.close(attempt);
        state.place = None;
        state.may_have_started = state.may_have_started.saturating_sub(1);
    }

    /// Closes an attempt; its later tokens are rejected.
    pub fn close_attempt(&self, attempt: u32) {
        let mut state = self.state.lock();
        state.answer.close(attempt);
        if state.place.is_some_and(|place| place.attempt == attempt) {
            state.place = None;
        }
    }

    /// Offers a token of an attempt; wakes readers if it is taken.
    pub fn offer(&self, attempt: u32, position: u64, token: &str) -> Verdict {
        let verdict = self.state.lock().answer.offer(attempt, position, token);
        if verdict == Verdict::Taken {
            self.changed.notify_waiters();
        }
        verdict
    }

    /// Ends the request; the first outcome stays. Returns whether this was the first.
    pub fn end(&self, outcome: Outcome, now: TimeMs) -> bool {
        let mut state = self.state.lock();
        let is_first = state.outcome.is_none();
        if is_first {
            state.outcome = Some(outcome);
            state.ended_at_ms = Some(now);
        }
        drop(state);
        self.changed.notify_waiters();
        is_first
    }

    /// Returns the tokens from `position` on, or the state of the request if there are none.
    #[must_use]
    pub fn read(&self, position: u64) -> Reading {
        let state = self.state.lock();
        let tokens = state.answer.tokens_from(position).take(MAX_CHUNK_TOKENS);
        let chunk = Chunk::new(position, tokens);
        match &state.outcome {
            _ if !chunk.is_empty() => Reading::Tokens(chunk),
            Some(outcome) => Reading::End(outcome.clone()),
            None if state.is_moved => Reading::Moved,
            None => Reading::Pending,
        }
    }

    /// Waits until there is something to read from `position` on.
    pub async fn next(&self, position: u64) -> Reading {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the check: a token taken in between would otherwise notify nobody,
            // and the reader would wait until the next one.
            changed.as_mut().enable();
            match self.read(position) {
                Reading::Pending => changed.await,
                reading => return reading,
            }
        }
    }

    /// Waits for the outcome and returns it.
    pub async fn ended(&self) -> Outcome {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match self.outcome() {
                Some(outcome) => return outcome,
                None => changed.await,
            }
        }
    }

    /// Marks the request as stopped: no task of this node runs it any more, and its readers keep
    /// waiting.
    pub fn mark_stopped(&self) {
        self.state.lock().is_stopped = true;
    }

    /// Marks the request as taken over by another node, which redirects its readers.
    pub fn mark_moved(&self) {
        self.state.lock().is_moved = true;
        self.changed.notify_waiters();
    }

    /// Returns whether another node has taken the request over before it ended here.
    #[must_use]
    pub fn is_moved(&self) -> bool {
        let state = self.state.lock();
        state.is_moved && state.outcome.is_none()
    }

    /// Marks the request as read-only: this node may read a running stream, and start nothing.
    pub fn mark_read_only(&self) {
        self.state.lock().is_read_only = true;
    }

    /// Returns whether this node alone may restart the request and no task of it runs the request
    /// any more.
    #[must_use]
    pub fn is_transferable(&self) -> bool {
        let state = self.state.lock();
        !state.is_read_only && (state.is_stopped || state.outcome.is_some())
    }

    /// Returns the outcome, if the request has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        self.state.lock().outcome.clone()
    }

    /// Returns the time at which the request ended.
    #[must_use]
    pub fn ended_at_ms(&self) -> Option<TimeMs> {
        self.state.lock().ended_at_ms
    }

    /// Returns the text of the answer so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.state.lock().answer.text().to_owned()
    }

    /// Returns the text of the answer so far together with the next position, read under one lock.
    #[must_use]
    pub fn text_and_position(&self) -> (String, u64) {
        let state = self.state.lock();
        (state.answer.text().to_owned(), state.answer.next_position())
    }

    /// Returns whether no task of this node runs the request any more.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        let state = self.state.lock();
        state.is_stopped || state.outcome.is_some()
    }

    /// Returns the number of attempts so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.state.lock().attempts
    }

    /// Returns the position of the next token of the answer.
    #[must_use]
    pub fn next_position(&self) -> u64 {
        self.state.lock().answer.next_position()
    }

    /// Returns the place of the running attempt.
    #[must_use]
    pub fn place(&self) -> Option<Place> {
        self.state.lock().place
    }

    /// Returns whether an attempt may have started.
    #[must_use]
    pub fn is_dispatched(&self) -> bool {
        self.state.lock().may_have_started > 0
    }

    /// Returns the progress of a move off the host.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.state.lock().progress
    }

    /// Sets the progress of a move off the host.
    pub fn set_progress(&self, progress: Progress) {
        self.state.lock().progress = progress;
    }
}

#[cfg(test)]
mod tests;
