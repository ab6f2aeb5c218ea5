//! A JSON client of the platform's HTTP interfaces.
//!
//! Callers need to know whether a failed call may have taken effect; [`CallError`] distinguishes
//! the three cases.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use url::Url;

use crate::head_limit::PooledClient;
use crate::telemetry::control::{self, Destination};

#[cfg(test)]
mod tests;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const RESPONSE_TIMEOUT_MS: u64 = 3_000;
const IDLE_CONNECTION_MS: u64 = 20_000;
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const MAX_REASON_CHARS: usize = 200;

/// The reason why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the call had no effect.
    #[error("could not connect to {peer}")]
    NotSent {
        /// The address of the server.
        peer: String,
        /// The cause.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// The server responded with an error status.
    #[error("{peer} responded with {status} ({reason})")]
    Rejected {
        /// The address of the server.
        peer: String,
        /// The response status.
        status: StatusCode,
        /// The `error` field of the response body.
        reason: String,
        /// The delay in milliseconds that the platform asks for before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The request was sent without a usable response, so the call may have taken effect.
    #[error("no response from {peer}; the call may have taken effect")]
    ResponseLost {
        /// The address of the server.
        peer: String,
        /// The cause.
        #[source]
        source: LostCause,
    },
}

/// The reason why a response was lost.
#[derive(Debug, thiserror::Error)]
pub enum LostCause {
    /// The response did not arrive in time.
    #[error("no response within {timeout_ms} ms")]
    Timeout {
        /// The timeout in milliseconds.
        timeout_ms: u64,
    },
    /// The connection failed after the request had been sent.
    #[error("the connection failed")]
    Connection(#[source] hyper_util::client::legacy::Error),
    /// The response body was truncated.
    #[error("the response body was truncated")]
    Body(#[source] hyper::Error),
    /// The body exceeds the size limit, which no response of the protocol reaches.
    #[error("the response body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The size limit in bytes.
        limit_bytes: usize,
    },
    /// The body does not match the protocol.
    #[error("the response body is not the expected JSON")]
    Malformed(#[source] serde_json::Error),
}

impl CallError {
    /// Whether the call may have taken effect.
    ///
    /// A proxy's error (500, 502, 504) does not show whether the server behind it executed the
    /// call; the platform's own errors (4xx, 501, 503) mean that the call had no effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::NotSent { .. } => false,
            Self::ResponseLost { .. } => true,
            Self::Rejected { status, .. } => matches!(status.as_u16(), 500 | 502 | 504),
        }
    }

    /// Returns the status of an error response.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Rejected { status, .. } => Some(*status),
            Self::NotSent { .. } | Self::ResponseLost { .. } => None,
        }
    }

    /// Returns the delay in milliseconds that the platform asks for before a retry.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Rejected { retry_after_ms, .. } => *retry_after_ms,
            Self::NotSent { .. } | Self::ResponseLost { .. } => None,
        }
    }
}

/// The body of an error response.
#[derive(Default, serde::Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
    retry_after_ms: Option<u64>,
}

/// A JSON client of one server.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: PooledClient,
    base: Url,
    peer: String,
    response_timeout_ms: u64,
}

impl JsonClient {
    /// Creates a client of the server at `base`, such as `http://10.0.0.7:8400`.
    #[must_use]
    pub fn new(base: Url) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_CONNECTION_MS));
        Self {
            client: PooledClient::new(&mut builder, connector),
            peer: base.authority().to_owned(),
            base,
            response_timeout_ms: RESPONSE_TIMEOUT_MS,
        }
    }

    /// Sets the response timeout in milliseconds, including the time to connect.
    #[must_use]
    pub fn response_timeout_ms(mut self, response_timeout_ms: u64) -> Self {
        self.response_timeout_ms = response_timeout_ms;
        self
    }

    /// Returns the URL below the base with these path segments, percent-encoded.
    #[must_use]
    pub fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        url
    }

    /// Reads `url`; the server may delay the response by up to `wait_ms`.
    ///
    /// # Errors
    ///
    /// A [`CallError`].
    pub async fn get<A: DeserializeOwned>(&self, url: &Url, wait_ms: u64) -> Result<A, CallError> {
        let body = self.call(Method::GET, url, Bytes::new(), wait_ms).await?;
        self.parse(&body)
    }

    /// Posts `body` to `url` as JSON.
    ///
    /// # Errors
    ///
    /// A [`CallError`]; [`CallError::may_have_taken_effect`] indicates whether the call may have
    /// taken effect.
    ///
    /// # Panics
    ///
    /// If `body` has no JSON form, which is a bug in its type.
    pub async fn post<A: DeserializeOwned>(
        &self,
        url: &Url,
        body: &impl Serialize,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(body).expect("protocol types have a JSON form");
        let body = self.call(Method::POST, url, body.into(), 0).await?;
        self.parse(&body)
    }

    /// Deletes `url`.
    ///
    /// # Errors
    ///
    /// A [`CallError`]; [`CallError::may_have_taken_effect`] indicates whether the call may have
    /// taken effect.
    pub async fn delete(&self, url: &Url) -> Result<(), CallError> {
        self.call(Method::DELETE, url, Bytes::new(), 0).await?;
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        url: &Url,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Bytes, CallError> {
        let timeout_ms = self.response_timeout_ms.saturating_add(wait_ms);
        let response = self.exchange(method, url, body);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), response).await {
            Ok(response) => response,
            Err(_elapsed) => Err(self.lost_response(LostCause::Timeout { timeout_ms })),
        }
    }

    async fn exchange(&self, method: Method, url: &Url, body: Bytes) -> Result<Bytes, CallError> {
        let body_bytes = body.len();
        let request = Request::builder()
            .method(method)
            .uri(url.as_str())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("a parsed URL is a URI");
        let call = control::count_request(Destination::Platform, &request, body_bytes);
        let response = self.client.request(request).await.map_err(|source| {
            if source.is_connect() {
                let peer = self.peer.clone();
                return CallError::NotSent { peer, source };
            }
            self.lost_response(LostCause::Connection(source))
        })?;
        let status = response.status();
        let head_bytes = control::head_bytes(&response);
        let body = self.body(response.into_body()).await;
        let body_bytes = body.as_ref().map_or(0, Bytes::len);
        control::count_response(Destination::Platform, call, head_bytes + body_bytes);
        match body {
            _ if !status.is_success() => Err(self.status_error(status, &body.unwrap_or_default())),
            body => body,
        }
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, CallError> {
        match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(source) => Err(self.lost_response(match source.downcast() {
                Ok(source) => LostCause::Body(*source),
                Err(_too_long) => LostCause::TooLong {
                    limit_bytes: MAX_RESPONSE_BYTES,
                },
            })),
        }
    }

    fn parse<A: DeserializeOwned>(&self, body: &[u8]) -> Result<A, CallError> {
        serde_json::from_slice(body)
            .map_err(|source| self.lost_response(LostCause::Malformed(source)))
    }

    fn lost_response(&self, source: LostCause) -> CallError {
        let peer = self.peer.clone();
        CallError::ResponseLost { peer, source }
    }

    fn status_error(&self, status: StatusCode, body: &[u8]) -> CallError {
        let error_body: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
        CallError::Rejected {
            peer: self.peer.clone(),
            status,
            reason: error_body.error.chars().take(MAX_REASON_CHARS).collect(),
            retry_after_ms: error_body.retry_after_ms,
        }
    }
}
