//! A JSON client for the platform's HTTP interfaces.
//!
//! What matters to its callers is whether a failed call can have taken effect; [`CallError`] keeps
//! the three cases apart.

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

use crate::telemetry::control::{self, Side};

#[cfg(test)]
mod tests;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const ANSWER_TIMEOUT_MS: u64 = 3_000;
const IDLE_CONNECTION_MS: u64 = 20_000;
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const REASON_LIMIT_CHARS: usize = 200;

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so it took no effect.
    #[error("could not connect to {peer}")]
    NotSent {
        /// Whom the call was for.
        peer: String,
        /// What went wrong.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// It was answered with an error status.
    #[error("{peer} answered {status} ({reason})")]
    Refused {
        /// Whom the call was for.
        peer: String,
        /// The answer's status.
        status: StatusCode,
        /// The `error` of the answer's body.
        reason: String,
        /// When the platform wants to be asked again.
        retry_after_ms: Option<u64>,
    },
    /// It was sent, and no usable answer came: it may have taken effect.
    #[error("no answer from {peer}, the call may have taken effect")]
    Lost {
        /// Whom the call was for.
        peer: String,
        /// What went wrong.
        #[source]
        source: LostCause,
    },
}

/// How an answer got lost.
#[derive(Debug, thiserror::Error)]
pub enum LostCause {
    /// It did not come in time.
    #[error("no answer within {timeout_ms} ms")]
    Timeout {
        /// The time given.
        timeout_ms: u64,
    },
    /// The connection failed after the request had been sent.
    #[error("the connection failed")]
    Connection(#[source] hyper_util::client::legacy::Error),
    /// The body broke off.
    #[error("the answer's body broke off")]
    Body(#[source] hyper::Error),
    /// The body was longer than any answer of the protocol.
    #[error("the answer's body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The longest body that is read.
        limit_bytes: usize,
    },
    /// The body was not what the protocol says.
    #[error("the answer could not be understood")]
    Malformed(#[source] serde_json::Error),
}

impl CallError {
    /// Whether the call may have taken effect.
    ///
    /// A refusal by a gateway (500, 502, 504) says nothing about what happened behind it; the
    /// platform's own refusals (4xx, 501, 503) say that nothing did.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::NotSent { .. } => false,
            Self::Lost { .. } => true,
            Self::Refused { status, .. } => matches!(status.as_u16(), 500 | 502 | 504),
        }
    }

    /// The status of a refusal.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Refused { status, .. } => Some(*status),
            Self::NotSent { .. } | Self::Lost { .. } => None,
        }
    }

    /// When the platform wants to be asked again.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Refused { retry_after_ms, .. } => *retry_after_ms,
            Self::NotSent { .. } | Self::Lost { .. } => None,
        }
    }
}

/// The body of a refusal.
#[derive(Default, serde::Deserialize)]
struct Refusal {
    #[serde(default)]
    error: String,
    retry_after_ms: Option<u64>,
}

/// A JSON client of one server.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base: Url,
    peer: String,
    answer_timeout_ms: u64,
}

impl JsonClient {
    /// A client of the server at `base`, such as `http://10.0.0.7:8400`.
    #[must_use]
    pub fn new(base: Url) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_CONNECTION_MS))
            .build(connector);
        Self {
            client,
            peer: base.authority().to_owned(),
            base,
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
        }
    }

    /// Sets how long an answer may take, connecting included.
    #[must_use]
    pub fn answer_timeout_ms(mut self, answer_timeout_ms: u64) -> Self {
        self.answer_timeout_ms = answer_timeout_ms;
        self
    }

    /// The URL below the base with these path segments, percent-encoded.
    #[must_use]
    pub fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        url
    }

    /// Reads `url`; the server may hold the answer back for `wait_ms`.
    ///
    /// # Errors
    ///
    /// A [`CallError`] that says whether it was sent.
    pub async fn get<A: DeserializeOwned>(&self, url: &Url, wait_ms: u64) -> Result<A, CallError> {
        let body = self.call(Method::GET, url, Bytes::new(), wait_ms).await?;
        self.parse(&body)
    }

    /// Posts `question` to `url`.
    ///
    /// # Errors
    ///
    /// A [`CallError`] that says whether it can have taken effect.
    ///
    /// # Panics
    ///
    /// If `question` has no JSON form, which is a bug in its type.
    pub async fn post<A: DeserializeOwned>(
        &self,
        url: &Url,
        question: &impl Serialize,
    ) -> Result<A, CallError> {
        let question = serde_json::to_vec(question).expect("protocol types have a JSON form");
        let body = self.call(Method::POST, url, question.into(), 0).await?;
        self.parse(&body)
    }

    /// Deletes `url`.
    ///
    /// # Errors
    ///
    /// A [`CallError`] that says whether it can have taken effect.
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
        let timeout_ms = self.answer_timeout_ms.saturating_add(wait_ms);
        let answer = self.exchange(method, url, body);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), answer).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(self.lost(LostCause::Timeout { timeout_ms })),
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
        let call = control::count_request(Side::Platform, &request, body_bytes);
        let answer = self.client.request(request).await.map_err(|source| {
            if source.is_connect() {
                let peer = self.peer.clone();
                return CallError::NotSent { peer, source };
            }
            self.lost(LostCause::Connection(source))
        })?;
        let status = answer.status();
        let head_bytes = control::head_bytes(&answer);
        let body = self.body(answer.into_body()).await;
        let body_bytes = body.as_ref().map_or(0, Bytes::len);
        control::count_answer(Side::Platform, call, head_bytes + body_bytes);
        match body {
            _ if !status.is_success() => Err(self.refused(status, &body.unwrap_or_default())),
            body => body,
        }
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, CallError> {
        match Limited::new(body, ANSWER_LIMIT_BYTES).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(source) => Err(self.lost(match source.downcast() {
                Ok(source) => LostCause::Body(*source),
                Err(_too_long) => LostCause::TooLong {
                    limit_bytes: ANSWER_LIMIT_BYTES,
                },
            })),
        }
    }

    fn parse<A: DeserializeOwned>(&self, body: &[u8]) -> Result<A, CallError> {
        serde_json::from_slice(body).map_err(|source| self.lost(LostCause::Malformed(source)))
    }

    fn lost(&self, source: LostCause) -> CallError {
        let peer = self.peer.clone();
        CallError::Lost { peer, source }
    }

    fn refused(&self, status: StatusCode, body: &[u8]) -> CallError {
        let refusal: Refusal = serde_json::from_slice(body).unwrap_or_default();
        CallError::Refused {
            peer: self.peer.clone(),
            status,
            reason: refusal.error.chars().take(REASON_LIMIT_CHARS).collect(),
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}
