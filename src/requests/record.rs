//! What a node holds of one request: the answer so far, its outcome, and who waits for it.

use std::sync::Arc;

use bincode::{Decode, Encode};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{Assembler, Call, Chunk, Outcome, RequestId, Verdict};
use crate::keys::HostKey;
use crate::reclaim::Progress;
use crate::time::TimeMs;

/// Tokens handed out at once at the most, so that one reader does not hold the lock for long.
const CHUNK_TOKENS: usize = 256;

/// How long after its end an answer is kept for callers who come back for it.
///
/// The outcome is kept for as long as the id could start; kept as long, the answers of a busy node
/// would not fit into its memory.
pub const KEEP_ANSWER_MS: u64 = 5 * 60 * 1000;

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Place {
    /// The attempt's number.
    pub attempt: u32,
    /// The host that runs it.
    pub host: HostKey,
    /// Where that host listens.
    pub address: std::net::SocketAddr,
}

/// What a reader finds when it looks.
#[derive(Clone, Debug, PartialEq)]
pub enum Reading {
    /// Tokens from the reader's position on.
    Tokens(Chunk),
    /// Nothing more will come.
    End(Outcome),
    /// Another node has taken the request over.
    Moved,
    /// Nothing new yet.
    Pending,
}

/// What a controller asks of the task that runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Stop and end as cancelled.
    Cancel,
    /// Go on elsewhere, computing the prompt and the tokens so far again.
    Recompute {
        /// Where to.
        target: HostKey,
    },
    /// Stop, and only then go on elsewhere, computing the prompt and the tokens so far again.
    Resume {
        /// Where to.
        target: HostKey,
    },
    /// Compute the prompt and the tokens so far into the target's prefix cache, and stay.
    Warm {
        /// Where.
        target: HostKey,
    },
    /// Take the KV cache along to another host.
    Export {
        /// Where to.
        target: HostKey,
        /// Whether to go on meanwhile, from the exported cache, at the host that it is taken from.
        stays: bool,
    },
    /// Leave the task to the node that takes over; the record stays.
    HandOver,
}

/// One request on this node.
#[derive(Debug)]
pub struct Record {
    /// Its id.
    pub id: RequestId,
    /// What it asks for.
    pub call: Arc<Call>,
    /// Tells resends from other calls under the same id.
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
    /// Attempts that may have started; while there is one, `not_run` cannot be said.
    may_have_started: u32,
    order: Option<Order>,
    /// No task of this node works on it any more.
    stopped: bool,
    /// Another node has taken it over.
    moved: bool,
    /// This node may read what runs, and start nothing.
    reads_only: bool,
    progress: Progress,
}

/// A record as nodes pass it to each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Copy {
    /// The id.
    pub id: RequestId,
    /// What it asks for.
    pub call: Call,
    /// The answer from some position on.
    pub chunk: Chunk,
    /// Where it runs.
    pub place: Option<Place>,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether an attempt may have started.
    pub dispatched: bool,
    /// How it ended.
    pub outcome: Option<Outcome>,
}

impl Copy {
    /// Drops the call's content and the answer; keeps that it ended, and how.
    pub fn shed(&mut self) {
        self.call.shed();
        self.chunk = Chunk::default();
        self.outcome = self.outcome.take().map(Outcome::shed);
    }
}

impl Record {
    /// The record without its call's content and its answer.
    ///
    /// Whoever reads the record at this moment goes on with the whole one.
    #[must_use]
    pub fn shed(&self) -> Self {
        let mut call = Call::clone(&self.call);
        call.shed();
        let state = self.state.lock();
        let shed = State {
            outcome: state.outcome.clone().map(Outcome::shed),
            ended_at_ms: state.ended_at_ms,
            attempts: state.attempts,
            may_have_started: state.may_have_started,
            ..State::default()
        };
        Self {
            id: self.id,
            call: Arc::new(call),
            fingerprint: self.fingerprint,
            state: Mutex::new(shed),
            changed: Notify::new(),
            ordered: Notify::new(),
        }
    }

    /// Whether its answer is still held.
    #[must_use]
    pub fn holds_answer(&self) -> bool {
        self.state
            .lock()
            .outcome
            .as_ref()
            .is_some_and(Outcome::is_answer)
    }

    /// A request that has just come in.
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

    /// A request that another node had; `now` stamps its end if it has one.
    #[must_use]
    pub fn from_copy(copy: &Copy, now: TimeMs) -> Self {
        let record = Self::new(copy.id, copy.call.clone());
        record.merge(copy, now);
        record
    }

    /// Takes over what another node knows beyond this record.
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

    /// The record with its answer from `from` on.
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

    /// Numbers the next attempt and notes where it is about to run.
    ///
    /// From here on the request counts as dispatched; [`Record::attempt_not_started`] takes that
    /// back where the upstream provably did not start it.
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

    /// Lets an attempt that another node began go on here.
    pub fn resume_attempt(&self, place: Place) {
        let mut state = self.state.lock();
        state.answer.open(place.attempt);
        state.place = Some(place);
        state.may_have_started = state.may_have_started.max(1);
    }

    /// Notes that an attempt provably did not start.
    pub fn attempt_not_started(&self, attempt: u32) {
        let mut state = self.state.lock();
        state.answer.close(attempt);
        state.place = None;
        state.may_have_started = state.may_have_started.saturating_sub(1);
    }

    /// Lets no more tokens of an attempt in.
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

    /// Ends the request; the first outcome stays. Tells whether this was the first.
    pub fn end(&self, outcome: Outcome, now: TimeMs) -> bool {
        let mut state = self.state.lock();
        let first = state.outcome.is_none();
        if first {
            state.outcome = Some(outcome);
            state.ended_at_ms = Some(now);
        }
        drop(state);
        self.changed.notify_waiters();
        first
    }

    /// What is to be read from `position` on.
    #[must_use]
    pub fn read(&self, position: u64) -> Reading {
        let state = self.state.lock();
        let tokens = state.answer.tokens_from(position).take(CHUNK_TOKENS);
        let chunk = Chunk::new(position, tokens);
        match &state.outcome {
            _ if !chunk.is_empty() => Reading::Tokens(chunk),
            Some(outcome) => Reading::End(outcome.clone()),
            None if state.moved => Reading::Moved,
            None => Reading::Pending,
        }
    }

    /// Waits until there is something to read from `position` on.
    pub async fn next(&self, position: u64) -> Reading {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before looking: a token taken in between would wake nobody otherwise, and
            // the reader would sleep until the one after.
            changed.as_mut().enable();
            match self.read(position) {
                Reading::Pending => changed.await,
                reading => return reading,
            }
        }
    }

    /// Waits for the outcome.
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

    /// Notes that no task of this node works on it any more; its readers wait.
    pub fn mark_stopped(&self) {
        self.state.lock().stopped = true;
    }

    /// Sends readers on to the node that has taken the request over.
    pub fn mark_moved(&self) {
        self.state.lock().moved = true;
        self.changed.notify_waiters();
    }

    /// Whether another node has taken it over before it ended here.
    #[must_use]
    pub fn is_moved(&self) -> bool {
        let state = self.state.lock();
        state.moved && state.outcome.is_none()
    }

    /// Notes that this node may read what runs, and start nothing.
    pub fn mark_reads_only(&self) {
        self.state.lock().reads_only = true;
    }

    /// Whether this node alone may start it anew, and no task of it does so any more.
    #[must_use]
    pub fn is_free(&self) -> bool {
        let state = self.state.lock();
        !state.reads_only && (state.stopped || state.outcome.is_some())
    }

    /// How it ended, if it has.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        self.state.lock().outcome.clone()
    }

    /// When it ended.
    #[must_use]
    pub fn ended_at_ms(&self) -> Option<TimeMs> {
        self.state.lock().ended_at_ms
    }

    /// The answer so far, as one text.
    #[must_use]
    pub fn text(&self) -> String {
        self.state.lock().answer.text().to_owned()
    }

    /// The answer so far and the position that it needs next, seen at one moment.
    #[must_use]
    pub fn text_and_position(&self) -> (String, u64) {
        let state = self.state.lock();
        (state.answer.text().to_owned(), state.answer.next_position())
    }

    /// Whether no task of this node works on it any more.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        let state = self.state.lock();
        state.stopped || state.outcome.is_some()
    }

    /// Attempts so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.state.lock().attempts
    }

    /// The position that the answer needs next.
    #[must_use]
    pub fn next_position(&self) -> u64 {
        self.state.lock().answer.next_position()
    }

    /// Where it runs, if it does.
    #[must_use]
    pub fn place(&self) -> Option<Place> {
        self.state.lock().place
    }

    /// Whether an attempt may have started.
    #[must_use]
    pub fn is_dispatched(&self) -> bool {
        self.state.lock().may_have_started > 0
    }

    /// How far a move off its host has got.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.state.lock().progress
    }

    /// Notes how far a move off its host has got.
    pub fn set_progress(&self, progress: Progress) {
        self.state.lock().progress = progress;
    }

    /// Asks something of the task that runs it; a newer order replaces one not yet taken.
    pub fn order(&self, order: Order) {
        let mut state = self.state.lock();
        state.order = match state.order {
            Some(Order::Cancel) => Some(Order::Cancel),
            _ => Some(order),
        };
        drop(state);
        self.ordered.notify_one();
    }

    /// Waits for an order; for the one task that runs the request.
    pub async fn next_order(&self) -> Order {
        loop {
            if let Some(order) = self.state.lock().order.take() {
                return order;
            }
            self.ordered.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
