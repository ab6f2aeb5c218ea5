//! HTTP client for the platform's own addresses that keeps connections alive between calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::head_limit::{self, HeadLimitedSender};

/// Idle connections kept per address: one each for a long poll, a periodic read and a write.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Timeout for opening a connection.
///
/// The store responds within 4 ms; a lost SYN packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest accepted response; a page of records has at most a few megabytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a call to the platform has no response.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection was established; nothing was sent.
    #[error("cannot connect to {address}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The connect error, or `None` after a timeout.
        #[source]
        source: Option<std::io::Error>,
    },
    /// The connection failed; the call may have been executed.
    #[error("the connection to {address} failed")]
    Channel {
        /// The address.
        address: SocketAddr,
        /// The connection error.
        #[source]
        source: hyper::Error,
    },
    /// The response is too large or was cut off; the call may have been executed.
    #[error("the response from {address} is too large or was cut off")]
    Body {
        /// The address.
        address: SocketAddr,
    },
    /// No response before the timeout; the call may have been executed or may still be.
    #[error("{address} did not respond within {timeout_ms} ms")]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// Timeout of the call.
        timeout_ms: u64,
    },
    /// The HTTP request cannot be built.
    #[error("cannot build the HTTP request")]
    Request(#[from] http::Error),
}

impl CallError {
    /// Value of the `outcome` label in metrics.
    pub fn metric_label(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "unreachable",
            Self::Timeout { .. } => "timeout",
            Self::Channel { .. } => "channel_broken",
            Self::Body { .. } => "answer_broken",
            Self::Request(_) => "unsendable",
        }
    }
}

/// A response of the platform with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct PlatformResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// One call to the platform.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub method: Method,
    /// Path and query string.
    pub path: &'a str,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
    pub timeout_ms: u64,
}

/// HTTP client for one address of the platform.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<HeadLimitedSender>>,
}

impl Client {
    /// Creates a client without opening a connection.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// A connection is not reused after any failure: after a lost response it would deliver
    /// nothing more, or the response to another call.
    ///
    /// # Errors
    ///
    /// If the complete response does not arrive before the timeout.
    pub async fn call(&self, call: Call<'_>) -> Result<PlatformResponse, CallError> {
        let timeout_ms = call.timeout_ms;
        let timeout = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(CallError::Timeout {
                address: self.address,
                timeout_ms,
            }),
        }
    }

    async fn exchange(&self, call: Call<'_>) -> Result<PlatformResponse, CallError> {
        let request = self.request(call)?;
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let sent = connection.send_request(request).await;
        let response = sent.map_err(|source| self.connection_error(source))?;
        let response = self.read(response).await?;
        self.put_idle(connection);
        Ok(response)
    }

    fn request(&self, call: Call<'_>) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        Ok(request.body(Full::new(call.body))?)
    }

    fn connection_error(&self, source: hyper::Error) -> CallError {
        CallError::Channel {
            address: self.address,
            source,
        }
    }

    async fn read(
        &self,
        response: Response<hyper::body::Incoming>,
    ) -> Result<PlatformResponse, CallError> {
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = collected.map_err(|error| {
            log::debug!(address:% = self.address, error:% = error; "reading the body of a platform response failed; the connection is dropped");
            CallError::Body {
                address: self.address,
            }
        })?;
        Ok(PlatformResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    fn take_idle(&self) -> Option<HeadLimitedSender> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| !connection.is_closed());
        let index = idle.iter().rposition(HeadLimitedSender::is_ready)?;
        Some(idle.swap_remove(index))
    }

    fn put_idle(&self, connection: HeadLimitedSender) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    async fn connect(&self) -> Result<HeadLimitedSender, CallError> {
        let address = self.address;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let socket = match connect.await {
            Ok(Ok(socket)) => socket,
            Ok(Err(source)) => {
                let source = Some(source);
                return Err(CallError::Connect { address, source });
            }
            Err(_elapsed) => {
                let source = None;
                return Err(CallError::Connect { address, source });
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!(error:err = error; "setting TCP_NODELAY failed; the connection keeps Nagle's algorithm");
        }
        let handshake = head_limit::handshake(socket).await;
        let (sender, driver) = handshake.map_err(|source| self.connection_error(source))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:err = error; "a connection to the platform ended with an error");
            }
        });
        Ok(sender)
    }
}

#[cfg(test)]
mod tests;
