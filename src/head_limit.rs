//! Bounds what a server sends before the end of its response's head, informational heads included.
//!
//! The HTTP library skips informational heads, and the framing of a body, in loops that end only when no bytes are
//! there. A server that sends them without end would keep the thread, and with it the timers and sockets of all other
//! requests. The socket therefore lets other tasks go on after some reads, whatever is read.

use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub(crate) use self::pooled::PooledClient;
use self::turn::Turn;

mod pooled;
mod turn;

/// Size of the read buffer of a connection, and of the longest accepted head of a response.
///
/// Ten thousand open streams use as many connections; this bound keeps a node within its memory
/// limit when servers send faster than callers read.
pub(crate) const CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// Most bytes of one response that are read before the end of its head, informational heads included.
///
/// The body may begin in the last bytes that are read.
const MAX_BYTES_BEFORE_HEAD_END: usize = 2 * CONNECTION_BUFFER_BYTES;

/// Most bytes that one read takes, so that turns are short where each byte costs much.
const MAX_READ_BYTES: usize = 8 * 1024;

/// A server has sent more than is accepted before the end of its response's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the head of the response does not end within {MAX_BYTES_BEFORE_HEAD_END} bytes")]
pub(crate) struct HeadTooLong;

impl HeadTooLong {
    /// Whether an error was caused by a head that was too long, with or without informational heads.
    pub fn is_cause_of(error: &hyper::Error) -> bool {
        if error.is_parse_too_large() {
            return true;
        }
        let mut cause = std::error::Error::source(error);
        while let Some(error) = cause {
            let inner = error.downcast_ref::<io::Error>();
            let inner = inner.and_then(io::Error::get_ref);
            if inner.is_some_and(<dyn std::error::Error + Send + Sync>::is::<HeadTooLong>) {
                return true;
            }
            cause = error.source();
        }
        false
    }
}

/// What the socket of a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is being written, or its response's head read.
    Head { read_bytes: usize },
    /// The head has been received; the rest is bounded by whoever reads it.
    Body,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Whether all that was written has been passed to the socket; a further write begins a new request.
    is_flushed: bool,
}

impl State {
    /// Records bytes that were written; the first ones after a flush begin a request.
    fn record_write(&mut self, bytes: usize) {
        if bytes > 0 && self.is_flushed {
            self.phase = Phase::Head { read_bytes: 0 };
            self.is_flushed = false;
        }
    }

    /// Returns how many bytes may be read next; none if the head does not end.
    fn may_read_bytes(&self) -> usize {
        match self.phase {
            Phase::Head { read_bytes } => MAX_BYTES_BEFORE_HEAD_END
                .saturating_sub(read_bytes)
                .min(MAX_READ_BYTES),
            Phase::Body => MAX_READ_BYTES,
        }
    }

    fn record_read(&mut self, bytes: usize) {
        if let Phase::Head { read_bytes } = &mut self.phase {
            *read_bytes += bytes;
        }
    }
}

/// Sends requests on a connection whose heads are bounded.
#[derive(Debug)]
pub(crate) struct HeadLimitedSender {
    sender: SendRequest<Full<Bytes>>,
    receipt: HeadReceipt,
}

impl HeadLimitedSender {
    /// Sends a request and awaits the head of its response.
    ///
    /// # Errors
    ///
    /// If the connection fails; the error holds the request if no byte of it was sent.
    pub async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let response = self.sender.try_send_request(request).await?;
        self.receipt.record();
        Ok(response)
    }

    /// Sends a request and awaits the head of its response.
    ///
    /// # Errors
    ///
    /// If the connection fails.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let sent = self.try_send_request(request).await;
        sent.map_err(TrySendError::into_error)
    }

    /// Waits until the connection can carry a request.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    #[cfg(test)]
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Whether the connection can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Opens an HTTP connection over a socket; the second part has to be polled for as long as it is used.
///
/// # Errors
///
/// If the connection cannot be set up.
pub(crate) async fn handshake<S>(
    socket: S,
) -> hyper::Result<(
    HeadLimitedSender,
    http1::Connection<TokioIo<HeadLimitedSocket<S>>, Full<Bytes>>,
)>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let socket = HeadLimitedSocket::new(socket);
    let receipt = socket.receipt();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await?;
    Ok((HeadLimitedSender { sender, receipt }, connection))
}

/// Tells the socket of a connection that the head of the response has been received.
#[derive(Clone, Debug)]
pub(crate) struct HeadReceipt(Arc<Mutex<State>>);

impl HeadReceipt {
    /// Records that the head of the response to the last request has been received.
    pub fn record(&self) {
        self.0.lock().phase = Phase::Body;
    }
}

/// The socket of a connection to a server, which fails once a head does not end.
#[derive(Debug)]
pub(crate) struct HeadLimitedSocket<S> {
    socket: S,
    state: Arc<Mutex<State>>,
    turn: Turn,
}

impl<S> HeadLimitedSocket<S> {
    /// Creates the socket of a connection that has carried no request.
    pub fn new(socket: S) -> Self {
        let state = State {
            phase: Phase::Head { read_bytes: 0 },
            is_flushed: true,
        };
        Self {
            socket,
            state: Arc::new(Mutex::new(state)),
            turn: Turn::default(),
        }
    }

    /// Returns what records the heads of the responses on this connection.
    pub fn receipt(&self) -> HeadReceipt {
        HeadReceipt(Arc::clone(&self.state))
    }
}

impl<S: AsyncRead + Unpin> HeadLimitedSocket<S> {
    /// Reads up to `max_bytes`; returns how many bytes were read.
    fn poll_read_up_to(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let length = max_bytes.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
        let read_bytes = part.filled().len();
        buf.advance(read_bytes);
        Poll::Ready(Ok(read_bytes))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let may_read_bytes = self.state.lock().may_read_bytes();
        if may_read_bytes == 0 {
            return Poll::Ready(Err(io::Error::other(HeadTooLong)));
        }
        if self.turn.end_if_over() {
            return pin!(tokio::task::yield_now()).poll(cx).map(Ok);
        }
        let Poll::Ready(read_bytes) = self.poll_read_up_to(cx, buf, may_read_bytes) else {
            self.turn.end();
            return Poll::Pending;
        };
        let read_bytes = read_bytes?;
        self.turn.record_read(read_bytes);
        self.state.lock().record_read(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.state.lock().record_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.state.lock().record_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.state.lock().is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
pub(crate) mod tests;
