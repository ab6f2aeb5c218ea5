//! Reads request bodies up to a maximum size and parses headers.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http_body::Body as _;

use super::accept::HttpLimits;
use super::caller::Arrival;
use super::refusal::Refusal;
use crate::requests::RequestId;
use crate::resources::ArrivalError;

/// Header with the request's id.
pub(super) const REQUEST_ID: &str = "request-id";

/// Header with the caller's own key for the request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that states whether the call may run more than once.
const IDEMPOTENT: &str = "idempotent";

/// Header with the last position received; the stream resumes after it.
const LAST_EVENT_ID: &str = "last-event-id";

/// The body of a request, as far as it has arrived.
#[derive(Debug)]
pub(super) struct RequestBody {
    body: Body,
    arrival: Arrival,
}

impl RequestBody {
    /// Creates the body of a request whose head has been read.
    pub fn new(body: Body, arrival: Arrival) -> Self {
        if body.is_end_stream() && arrival.finish().is_err() {
            log::debug!("a request without a body came on a connection that is being closed");
        }
        Self { body, arrival }
    }
}

/// Reads a complete body within the limits on its size and its time.
///
/// A truncated body is an error and is never passed on as a shorter body: a ledger that lost its
/// end would be reconciled as if it were complete.
pub(super) async fn read(body: RequestBody, limits: HttpLimits) -> Result<Bytes, Refusal> {
    let RequestBody { body, arrival } = body;
    let timeout = Duration::from_millis(limits.body_read_timeout_ms);
    let reading = arrival.read(body, limits.max_body_bytes);
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ArrivalError::TooLong)) => Err(Refusal::BodyTooLarge),
        Ok(Err(ArrivalError::Broken)) => Err(Refusal::BodyTruncated),
        Ok(Err(ArrivalError::Evicted(_evicted))) => Err(Refusal::NoMemory),
        Err(_elapsed) => Err(Refusal::BodyTimeout),
    }
}

/// Returns the request id in the headers, if there is one.
pub(super) fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, Refusal> {
    text(headers, REQUEST_ID)?
        .map(|id| id.parse().map_err(|_not_an_id| Refusal::InvalidHeader))
        .transpose()
}

/// Returns whether the request has an id or key, under which another node may have received it.
pub(super) fn is_named(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID) || headers.contains_key(IDEMPOTENCY_KEY)
}

/// Returns the caller's statement whether the call may run more than once, if there is one.
pub(super) fn idempotent(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    match text(headers, IDEMPOTENT)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Refusal::InvalidHeader),
    }
}

/// Returns the first position that the caller has not received.
pub(super) fn next_position(headers: &HeaderMap, from: Option<String>) -> Result<u64, Refusal> {
    let last = text(headers, LAST_EVENT_ID)?;
    match (last, from) {
        (Some(last), _) => {
            let last: u64 = last.parse().map_err(|_number| Refusal::InvalidHeader)?;
            Ok(last.saturating_add(1))
        }
        (None, Some(from)) => from.parse().map_err(|_number| Refusal::InvalidHeader),
        (None, None) => Ok(0),
    }
}

/// Returns a header's value as text; `None` if the header is absent.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_bytes| Refusal::InvalidHeader))
        .transpose()
}
