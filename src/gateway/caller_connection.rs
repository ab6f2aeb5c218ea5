//! What a caller's connection waits for, and its answers that are not yet written to their ends.
//!
//! The HTTP library drops an answer once it holds the rest of it in its own buffer. The answer of a
//! caller that reads slowly may stay there for seconds, and a node that exits meanwhile cuts it.

use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body::Body;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::caller_timeouts::Phase;
use super::exchange::UnreadKey;
use super::state::Gateway;
use crate::in_flight::{self, InFlight};
use crate::resources::{self, ArrivalError, Evicted, Place, UnreadBody};
use crate::time::TimeMs;

/// A head of at most this size is part of what each connection takes.
const SHORT_HEAD_BYTES: usize = 8 * 1024;

/// The HTTP library doubles its buffer as a head grows.
const BUFFERS_PER_HEAD: usize = 2;

/// What one connection does, as its socket and its requests record it.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    place: Arc<Place>,
    /// Whether the body of the last request has not been read to its end.
    unread_body: UnreadBody,
    /// Cancelled when others need the memory of its answer, which its caller does not read.
    given_up: CancellationToken,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Requests that have been read and whose answers are not yet written.
    open: usize,
    /// The answers that the connection's buffer holds to their ends.
    buffered: Vec<InFlight>,
    /// Bytes of the head that is being read or was read last.
    head_bytes: usize,
    /// Bytes that the place is charged with for it.
    charged_bytes: usize,
    /// The long answer that is being written.
    unread_answer: Option<UnreadAnswer>,
}

/// A long answer that is being written.
#[derive(Clone, Debug)]
struct UnreadAnswer {
    node: Arc<Gateway>,
    key: UnreadKey,
}

impl CallerConnection {
    /// Creates the state of a connection that has been accepted.
    pub fn new(place: Place, now: TimeMs) -> Self {
        Self {
            place: Arc::new(place),
            unread_body: UnreadBody::default(),
            given_up: CancellationToken::new(),
            state: Mutex::new(State {
                phase: Phase::Idle { since: now },
                open: 0,
                buffered: Vec::new(),
                head_bytes: 0,
                charged_bytes: 0,
                unread_answer: None,
            }),
        }
    }

    /// Returns whether the body of the last request has not been read to its end.
    pub fn unread_body(&self) -> UnreadBody {
        self.unread_body.clone()
    }

    /// Waits until its answer is given up, since others need the memory of it.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Records bytes that were passed to the system.
    pub fn record_write(&self, bytes: usize, now: TimeMs) {
        if let Some(UnreadAnswer { node, key }) = &self.state.lock().unread_answer {
            node.answer_memory.record_write(*key, bytes, now);
        }
    }

    /// Waits until the connection has to be closed for others.
    pub async fn evicted(&self) {
        self.place.evicted().await;
    }

    /// Returns what the connection waits for.
    pub fn phase(&self) -> Phase {
        self.state.lock().phase
    }

    /// Records a request whose head has been read; it is in flight until its answer is written.
    pub fn begin_answer(self: &Arc<Self>, in_flight: InFlight) -> UnwrittenAnswer {
        let mut state = self.state.lock();
        state.phase = Phase::Answer;
        state.open += 1;
        UnwrittenAnswer {
            in_flight: Some(in_flight),
            connection: Arc::clone(self),
        }
    }

    /// Records bytes that were read, and charges a long head to the place.
    pub fn record_read(&self, bytes: usize, now: TimeMs) -> Result<(), Evicted> {
        let mut state = self.state.lock();
        match state.phase {
            Phase::Idle { .. } => {
                state.phase = Phase::Head { since: now };
                state.head_bytes = bytes;
                self.place.arrive(now);
            }
            Phase::Head { .. } => state.head_bytes += bytes,
            Phase::Answer | Phase::Stream { .. } => return Ok(()),
        }
        let long_bytes = state.head_bytes.saturating_sub(SHORT_HEAD_BYTES);
        let due_bytes = long_bytes.saturating_mul(BUFFERS_PER_HEAD);
        let more_bytes = due_bytes.saturating_sub(state.charged_bytes);
        if more_bytes > 0 {
            self.place.add(more_bytes)?;
            state.charged_bytes = due_bytes;
        }
        Ok(())
    }

    /// Records that the connection's buffer is empty.
    pub fn record_flush(&self, now: TimeMs) {
        let mut state = self.state.lock();
        if state.buffered.is_empty() {
            return;
        }
        state.open -= state.buffered.len();
        state.buffered.clear();
        if state.open == 0 {
            state.phase = Phase::Idle { since: now };
            self.place.release(std::mem::take(&mut state.charged_bytes));
            self.place.keep(now);
        }
    }
}

/// The body of a caller's request that has not been read.
#[derive(Debug)]
pub(crate) struct RequestBody {
    body: Incoming,
    connection: Arc<CallerConnection>,
}

impl RequestBody {
    /// Reads the body to its end; the request is of no use after `deadline`.
    ///
    /// # Errors
    ///
    /// If the body is longer than `max_bytes`, breaks off, or has to go for others.
    pub async fn read(self, max_bytes: usize, deadline: TimeMs) -> Result<Bytes, ArrivalError> {
        let place = &self.connection.place;
        let whole = resources::read_body(self.body, place, max_bytes, deadline).await?;
        self.connection.unread_body.end();
        Ok(whole)
    }
}

/// Guard of a request, which counts as in flight until its answer is written or the connection ends.
#[derive(Debug)]
pub(crate) struct UnwrittenAnswer {
    in_flight: Option<InFlight>,
    connection: Arc<CallerConnection>,
}

impl UnwrittenAnswer {
    /// Returns the body of the request that is answered.
    pub fn body(&self, body: Incoming) -> RequestBody {
        self.connection.unread_body.begin(!body.is_end_stream());
        RequestBody {
            body,
            connection: Arc::clone(&self.connection),
        }
    }

    /// Returns the body of the answer, which holds the guard; a long one counts as unread until it is dropped.
    pub fn held_by(self, body: Bytes, node: &Arc<Gateway>) -> Bytes {
        let given_up = self.connection.given_up.clone();
        if let Some(key) = node.answer_memory.begin_write(body.len(), given_up) {
            let node = Arc::clone(node);
            self.connection.state.lock().unread_answer = Some(UnreadAnswer { node, key });
        }
        in_flight::holding(body, self)
    }

    /// Returns the events of the answer, which hold the guard; they are of no use after `deadline`.
    pub fn held_by_events<T>(
        self,
        events: impl Stream<Item = T>,
        deadline: TimeMs,
    ) -> impl Stream<Item = T> {
        self.connection.state.lock().phase = Phase::Stream { deadline };
        events.map(move |event| {
            let _held = &self;
            event
        })
    }
}

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        let in_flight = self.in_flight.take();
        let mut state = self.connection.state.lock();
        state.buffered.extend(in_flight);
        let unread_answer = state.unread_answer.take();
        drop(state);
        if let Some(UnreadAnswer { node, key }) = unread_answer {
            node.answer_memory.end_write(key);
        }
    }
}
