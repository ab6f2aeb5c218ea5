//! Answers that the connection of their caller has not written to its end.
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

use crate::in_flight::{self, InFlight};

/// The answers of one connection that its buffer holds to their ends.
#[derive(Debug, Default)]
pub(crate) struct Unwritten {
    buffered: Mutex<Vec<InFlight>>,
}

/// Guard of a request, which counts as in flight until its answer is written or the connection ends.
#[derive(Debug)]
pub(crate) struct UnwrittenAnswer {
    in_flight: Option<InFlight>,
    unwritten: Arc<Unwritten>,
}

impl UnwrittenAnswer {
    /// Creates the guard of a request of this connection.
    pub fn new(in_flight: InFlight, unwritten: &Arc<Unwritten>) -> Self {
        Self {
            in_flight: Some(in_flight),
            unwritten: Arc::clone(unwritten),
        }
    }

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
        self.unwritten.buffered.lock().extend(self.in_flight.take());
    }
}

/// The socket of a caller's connection, which the HTTP library flushes once its buffer is empty.
#[derive(Debug)]
pub(crate) struct CallerSocket<S> {
    socket: S,
    unwritten: Arc<Unwritten>,
}

impl<S> CallerSocket<S> {
    /// Creates the socket of a connection with these answers.
    pub fn new(socket: S, unwritten: Arc<Unwritten>) -> Self {
        Self { socket, unwritten }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
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
        self.unwritten.buffered.lock().clear();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
