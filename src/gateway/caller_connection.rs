//! What a caller's connection waits for, and its answers that are not yet written to their ends.
//!
//! The HTTP library drops an answer once it holds the rest of it in its own buffer. The answer of a
//! caller that reads slowly may stay there for seconds, and a node that exits meanwhile cuts it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::caller_timeouts::Phase;
use super::clock;
use crate::in_flight::{self, InFlight};
use crate::time::TimeMs;

/// What one connection does, as its socket and its requests record it.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Requests that have been read and whose answers are not yet written.
    open: usize,
    /// The answers that the connection's buffer holds to their ends.
    buffered: Vec<InFlight>,
}

impl CallerConnection {
    /// Creates the state of a connection that has been accepted.
    pub fn new(now: TimeMs) -> Self {
        Self {
            state: Mutex::new(State {
                phase: Phase::Idle { since: now },
                open: 0,
                buffered: Vec::new(),
            }),
        }
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

    fn record_read(&self, now: TimeMs) {
        let mut state = self.state.lock();
        if let Phase::Idle { .. } = state.phase {
            state.phase = Phase::Head { since: now };
        }
    }

    /// Records that the connection's buffer is empty.
    fn record_flush(&self, now: TimeMs) {
        let mut state = self.state.lock();
        if state.buffered.is_empty() {
            return;
        }
        state.open -= state.buffered.len();
        state.buffered.clear();
        if state.open == 0 {
            state.phase = Phase::Idle { since: now };
        }
    }
}

/// Guard of a request, which counts as in flight until its answer is written or the connection ends.
#[derive(Debug)]
pub(crate) struct UnwrittenAnswer {
    in_flight: Option<InFlight>,
    connection: Arc<CallerConnection>,
}

impl UnwrittenAnswer {
    /// Returns the body of the answer, which holds the guard.
    pub fn held_by(self, body: Bytes) -> Bytes {
        in_flight::holding(body, self)
    }

    /// Returns the events of the answer, which hold the guard.
    pub fn held_by_events<T>(self, events: impl Stream<Item = T>) -> impl Stream<Item = T> {
        events.map(move |event| {
            let _held = &self;
            event
        })
    }
}

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        let in_flight = self.in_flight.take();
        self.connection.state.lock().buffered.extend(in_flight);
    }
}

/// The socket of a caller's connection, which the HTTP library flushes once its buffer is empty.
#[derive(Debug)]
pub(crate) struct CallerSocket<S> {
    socket: S,
    connection: Arc<CallerConnection>,
}

impl<S> CallerSocket<S> {
    /// Creates the socket of a connection.
    pub fn new(socket: S, connection: Arc<CallerConnection>) -> Self {
        Self { socket, connection }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.connection.record_read(clock::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.connection.record_flush(clock::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
