//! Closes connections so that a refusal reaches a caller that is still sending.
//!
//! Closing a connection with unread bytes resets it, and the caller may never see what it was told.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// How long a caller that is still sending may take to read the refusal and close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that one read of such a connection drops.
const DROPPED_BYTES: usize = 8 * 1024;

/// Whether the body of a connection's last request has not been read to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadBody(Arc<AtomicBool>);

impl UnreadBody {
    /// Records a request whose head has been read.
    pub fn begin(&self, has_body: bool) {
        self.0.store(has_body, Ordering::Relaxed);
    }

    /// Records that the request's body has been read to its end.
    pub fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_unread(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A socket that reads on for a while when it is shut down within the body of a request.
#[derive(Debug)]
pub(crate) struct LingeringSocket<S> {
    socket: S,
    unread_body: UnreadBody,
    /// Until when what the caller still sends is read and dropped, once the socket has been shut down.
    until: Option<Pin<Box<Sleep>>>,
}

impl<S> LingeringSocket<S> {
    /// Creates the socket of a connection whose requests are recorded in `unread_body`.
    pub fn new(socket: S, unread_body: UnreadBody) -> Self {
        Self {
            socket,
            unread_body,
            until: None,
        }
    }
}

impl<S: AsyncRead + Unpin> LingeringSocket<S> {
    /// Reads and drops what the caller sends until it closes the connection or the time is over.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(until) = &mut self.until else {
            return Poll::Ready(());
        };
        let mut dropped = [MaybeUninit::uninit(); DROPPED_BYTES];
        loop {
            if until.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::uninit(&mut dropped);
            match ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringSocket<S> {
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.until.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
            if !self.unread_body.is_unread() {
                return Poll::Ready(Ok(()));
            }
            self.until = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        self.poll_drain(cx).map(Ok)
    }
}

#[cfg(test)]
mod tests;
