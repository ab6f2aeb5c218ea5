//! HTTP client for nodes with timeouts and a response size limit.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

use crate::head_limit::PooledClient;

/// Timeout for connecting; the round trip to a node takes a few milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Maximum length of a buffered response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection was established, so nothing of the request has been sent.
    #[error("cannot connect")]
    Connect(#[source] legacy::Error),
    /// The connection broke; the node may have received the request.
    #[error("the connection broke")]
    Broken(#[source] legacy::Error),
    /// The response body could not be read.
    #[error("cannot read the response body")]
    BrokenBody(#[from] BodyError),
    /// The timeout expired; the node may have received the request.
    #[error("timed out after {waited_ms} ms")]
    TimedOut {
        /// The timeout.
        waited_ms: u64,
    },
    /// The request is not valid HTTP, so nothing of it has been sent.
    #[error("the request is not valid HTTP")]
    Unwritable(#[from] http::Error),
}

/// Why a response body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds the maximum length.
    #[error("the body is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The connection broke before the end of the body.
    #[error("the connection broke: {reason}")]
    Broken {
        /// Error message of the HTTP library.
        reason: String,
    },
}

impl HttpError {
    /// Whether nothing of the request has been sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unwritable(_))
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client with a pool of connections to nodes.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: PooledClient,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client without open connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = PooledClient::new(&mut Client::builder(TokioExecutor::new()), connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If no response head arrives within `timeout_ms`, or the connection fails before.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, HttpError> {
        let response = self.client.request(request);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::Connect(error)),
            Ok(Err(error)) => Err(HttpError::Broken(error)),
            Err(_) => Err(HttpError::TimedOut {
                waited_ms: timeout_ms,
            }),
        }
    }

    /// Sends a request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// If the response is incomplete or too long; head and body have `timeout_ms` each.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<BufferedResponse, HttpError> {
        let response = self.send(request, timeout_ms).await?;
        read_body(response, timeout_ms).await
    }
}

/// Reads the body of a response.
///
/// # Errors
///
/// If the connection breaks, the body is too long, or it is incomplete after `timeout_ms`.
pub async fn read_body(
    response: Response<Incoming>,
    timeout_ms: u64,
) -> Result<BufferedResponse, HttpError> {
    let (head, body) = response.into_parts();
    let whole = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    match tokio::time::timeout(Duration::from_millis(timeout_ms), whole).await {
        Ok(Ok(collected)) => Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body: collected.to_bytes(),
        }),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong.into()),
        Ok(Err(error)) => {
            let reason = error.to_string();
            Err(BodyError::Broken { reason }.into())
        }
        Err(_) => Err(HttpError::TimedOut {
            waited_ms: timeout_ms,
        }),
    }
}
