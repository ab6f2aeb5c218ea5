//! HTTP client of plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};

use super::error::{NotRunReason, UpstreamError};
use super::http::{HttpClient, request};
use super::{CallTimeouts, Delivery, PlainServices};

/// Header with the unique id of the attempt.
const ATTEMPT_HEADER: &str = "attempt";
/// Header that states that a call did not start.
const OUTCOME_HEADER: &str = "outcome";

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// Unique id of this attempt, in characters that a header value allows.
    pub attempt: &'a str,
    /// The path with its leading slash.
    pub path: &'a str,
    /// The body's media type, if the caller gave one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be executed more than once.
    pub delivery: Delivery,
    /// Timeout for the response head, in addition to the connect timeout.
    pub timeout_ms: u64,
}

/// Successful response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The body's media type, if the service gave one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// HTTP client of plain services; implements [`PlainServices`].
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new(patience: CallTimeouts) -> Self {
        Self {
            http: HttpClient::new(patience),
        }
    }
}

impl PlainServices for ServiceClient {
    async fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
    ) -> Result<ServiceResponse, UpstreamError> {
        let mut request = request(Method::POST, address, call.path, call.body.clone())?;
        let attempt = HeaderValue::from_str(call.attempt).map_err(http::Error::from)?;
        request.headers_mut().insert(ATTEMPT_HEADER, attempt);
        if let Some(content_type) = &call.content_type {
            let headers = request.headers_mut();
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        let sent = self
            .http
            .send(address, request, call.delivery, call.timeout_ms);
        let mut response = sent.await?;
        let is_not_run = response
            .headers()
            .get(OUTCOME_HEADER)
            .map(HeaderValue::as_bytes)
            == Some(b"not_run".as_slice());
        match response.status() {
            StatusCode::OK => {
                let content_type = response.headers_mut().remove(CONTENT_TYPE);
                let (_, body) = self.http.collect(response).await?;
                Ok(ServiceResponse { content_type, body })
            }
            StatusCode::SERVICE_UNAVAILABLE if is_not_run => {
                Err(UpstreamError::NotRun(NotRunReason::Other))
            }
            status => Err(UpstreamError::Rejected { status }),
        }
    }

    async fn health(&self, address: SocketAddr) -> Result<bool, UpstreamError> {
        let request = request(Method::GET, address, "/healthz", Bytes::new())?;
        let answer_ms = self.http.timeouts.response_timeout_ms;
        let sent = self
            .http
            .send(address, request, Delivery::Repeatable, answer_ms);
        Ok(sent.await?.status() == StatusCode::OK)
    }
}
