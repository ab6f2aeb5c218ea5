//! Serves one connection in the protocol that its first bytes show.
//!
//! hyper-util can tell the protocols apart, too, but its look at the first bytes leaves every
//! HTTP/1 connection with a read buffer of twice the size, which a node with 10,000 open streams
//! cannot afford.

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

use super::accept::Bounds;

/// How an HTTP/2 connection begins; no HTTP/1 method that is served here does.
const HTTP2_START: [u8; 3] = *b"PRI";

/// Between two looks at a connection whose first bytes may be of either protocol.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// Smallest buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Between two probes of an HTTP/2 connection.
const HTTP2_PROBE: Duration = Duration::from_secs(10);

/// How connections of either protocol are served.
#[derive(Clone, Debug)]
pub(super) struct Builders {
    http1: http1::Builder,
    http2: http2::Builder<TokioExecutor>,
}

/// One accepted connection.
pub(super) struct Connection {
    pub socket: TcpStream,
    pub builders: Arc<Builders>,
    /// How long its first bytes may take.
    pub patience: Duration,
    /// Ends it after its open requests.
    pub watcher: Watcher,
    /// Ends it before its first request.
    pub shutdown: CancellationToken,
}

/// Why a connection ended early.
#[derive(Debug, Error)]
enum Broken {
    #[error("its socket failed")]
    Socket(#[from] io::Error),
    #[error("its protocol failed")]
    Protocol(#[from] hyper::Error),
}

/// Serves connections within the bounds.
pub(super) fn builders(bounds: Bounds) -> Builders {
    let mut http1 = http1::Builder::new();
    http1
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.header_read_timeout_ms))
        .max_buf_size(bounds.max_header_bytes.max(LEAST_BUFFER_BYTES));
    let mut http2 = http2::Builder::new(TokioExecutor::new());
    http2
        .timer(TokioTimer::new())
        .keep_alive_interval(Some(HTTP2_PROBE))
        .max_header_list_size(u32::try_from(bounds.max_header_bytes).unwrap_or(u32::MAX));
    Builders { http1, http2 }
}

impl Connection {
    /// Serves it to its end.
    pub async fn serve<S>(self, answer: S)
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S::Future: Send + 'static,
    {
        let shutdown = self.shutdown.clone();
        let is_http2 = tokio::select! {
            () = shutdown.cancelled() => return,
            is_http2 = tokio::time::timeout(self.patience, is_http2(&self.socket)) => is_http2,
        };
        let served = match is_http2 {
            // It said nothing in time.
            Err(_elapsed) => return,
            Ok(Err(error)) => Err(Broken::Socket(error)),
            Ok(Ok(false)) => self.serve_http1(answer).await,
            // Its state is many times that of HTTP/1, and few connections have it.
            Ok(Ok(true)) => Box::pin(self.serve_http2(answer)).await,
        };
        if let Err(error) = served {
            log::debug!(error:err = error; "a connection ended early");
        }
    }

    async fn serve_http1<S>(self, answer: S) -> Result<(), Broken>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
    {
        let socket = TokioIo::new(self.socket);
        let served = self.builders.http1.serve_connection(socket, answer);
        Ok(self.watcher.watch(served).await?)
    }

    async fn serve_http2<S>(self, answer: S) -> Result<(), Broken>
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S::Future: Send + 'static,
    {
        let socket = TokioIo::new(self.socket);
        let served = self.builders.http2.serve_connection(socket, answer);
        Ok(self.watcher.watch(served).await?)
    }
}

/// Whether a connection begins as HTTP/2 does; what is looked at stays to be read.
async fn is_http2(socket: &TcpStream) -> io::Result<bool> {
    let mut start = [0; HTTP2_START.len()];
    loop {
        let seen = socket.peek(&mut start).await?;
        match &start[..seen] {
            // Its end, which the server for HTTP/1 knows how to take.
            [] => return Ok(false),
            seen if seen == HTTP2_START => return Ok(true),
            seen if HTTP2_START.starts_with(seen) => tokio::time::sleep(LOOK_AGAIN).await,
            _ => return Ok(false),
        }
    }
}

#[cfg(test)]
mod tests;
