//! The socket of a caller's connection, which records what it reads, writes and flushes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::caller_connection::CallerConnection;
use super::clock;
use crate::resources::LingeringSocket;

/// The socket of a caller's connection, which the HTTP library flushes once its buffer is empty.
#[derive(Debug)]
pub(crate) struct CallerSocket<S> {
    socket: LingeringSocket<S>,
    connection: Arc<CallerConnection>,
}

impl<S> CallerSocket<S> {
    /// Creates the socket of a connection.
    pub fn new(socket: S, connection: Arc<CallerConnection>) -> Self {
        Self {
            socket: LingeringSocket::new(socket, connection.unread_body()),
            connection,
        }
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
        let read_bytes = buf.filled().len() - before;
        if read_bytes > 0 {
            let recorded = self.connection.record_read(read_bytes, clock::now());
            recorded.map_err(io::Error::other)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for CallerSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.connection.record_write(written, clock::now());
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.connection.record_write(written, clock::now());
        Poll::Ready(Ok(written))
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
