//! Serves one connection in the HTTP version that its first bytes indicate.
//!
//! hyper-util can detect the version too, but its detection leaves every HTTP/1 connection with a
//! read buffer of twice the size, which a node with 10,000 open streams cannot afford.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::Watcher;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::accept::HttpLimits;
use crate::resources::{LingeringSocket, UnreadBody};

/// First bytes of an HTTP/2 connection; no HTTP/1 method served here starts with them.
const HTTP2_PREFIX: [u8; 3] = *b"PRI";

/// Interval between peeks while the first bytes match both versions.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Interval between keep-alive pings on an HTTP/2 connection.
const HTTP2_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// What one stream of an HTTP/2 connection may send before it is read.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// What all streams of an HTTP/2 connection may send before it is read.
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;

/// What a stream of an HTTP/2 connection holds of an answer that its caller does not read.
const HTTP2_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The connection builders of both HTTP versions.
#[derive(Clone, Debug)]
pub(super) struct Builders {
    http1: http1::Builder,
    http2: http2::Builder<TokioExecutor>,
}

/// One accepted connection.
pub(super) struct Connection {
    pub socket: TcpStream,
    pub builders: Arc<Builders>,
    /// Timeout for the connection's first bytes.
    pub first_bytes_timeout: Duration,
    /// Whether the body of its last request has not been read to its end.
    pub unread_body: UnreadBody,
    /// Shuts the connection down after its open requests.
    pub watcher: Watcher,
    /// Closes the connection before its first request.
    pub shutdown: CancellationToken,
}

/// Why a connection ended before its requests were complete.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error("its socket failed before a request began")]
    Socket(#[from] io::Error),
    #[error("serving HTTP on it failed")]
    Protocol(#[from] hyper::Error),
}

/// Creates the connection builders with the given limits.
pub(super) fn builders(limits: HttpLimits) -> Builders {
    let mut http1 = http1::Builder::new();
    http1
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let mut http2 = http2::Builder::new(TokioExecutor::new());
    http2
        .timer(TokioTimer::new())
        .keep_alive_interval(Some(HTTP2_KEEP_ALIVE_INTERVAL))
        .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    Builders { http1, http2 }
}

impl Connection {
    /// Serves the connection until it ends.
    pub async fn serve<S>(self, answer: S)
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S::Future: Send + 'static,
    {
        let shutdown = self.shutdown.clone();
        let is_http2 = tokio::select! {
            () = shutdown.cancelled() => return,
            is_http2 = tokio::time::timeout(self.first_bytes_timeout, is_http2(&self.socket)) => is_http2,
        };
        let served = match is_http2 {
            // No request began in time.
            Err(_elapsed) => return,
            Ok(Err(error)) => Err(ConnectionError::Socket(error)),
            Ok(Ok(false)) => self.serve_http1(answer).await,
            // HTTP/2 state is many times larger than HTTP/1 state and few connections need it, so
            // it is boxed.
            Ok(Ok(true)) => Box::pin(self.serve_http2(answer)).await,
        };
        if let Err(error) = served {
            log::debug!(error:err = error; "a caller's connection ended before its requests were complete");
        }
    }

    async fn serve_http1<S>(self, answer: S) -> Result<(), ConnectionError>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
    {
        let socket = TokioIo::new(LingeringSocket::new(self.socket, self.unread_body));
        let served = self.builders.http1.serve_connection(socket, answer);
        Ok(self.watcher.watch(served).await?)
    }

    async fn serve_http2<S>(self, answer: S) -> Result<(), ConnectionError>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S::Future: Send + 'static,
    {
        let socket = TokioIo::new(self.socket);
        let served = self.builders.http2.serve_connection(socket, answer);
        Ok(self.watcher.watch(served).await?)
    }
}

/// Returns whether a connection starts like HTTP/2; the bytes stay in the socket.
async fn is_http2(socket: &TcpStream) -> io::Result<bool> {
    let mut prefix = [0; HTTP2_PREFIX.len()];
    loop {
        let seen = socket.peek(&mut prefix).await?;
        match &prefix[..seen] {
            // The peer closed the connection; the HTTP/1 server handles this.
            [] => return Ok(false),
            seen if seen == HTTP2_PREFIX => return Ok(true),
            seen if HTTP2_PREFIX.starts_with(seen) => tokio::time::sleep(PEEK_INTERVAL).await,
            _ => return Ok(false),
        }
    }
}

#[cfg(test)]
mod tests;
