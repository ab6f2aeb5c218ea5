//! Reads request bodies up to a maximum size and parses headers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::refusal::Refusal;
use crate::requests::RequestId;

/// Header with the request's id.
pub(super) const REQUEST_ID: &str = "request-id";

/// Header with the caller's own key for the request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that states whether the call may run more than once.
const IDEMPOTENT: &str = "idempotent";

/// Header with the last position received; the stream resumes after it.
const LAST_EVENT_ID: &str = "last-event-id";

/// Reads a complete body.
///
/// A truncated body is an error and is never passed on as a shorter body: a ledger that lost its
/// end would be reconciled as if it were complete.
pub(super) async fn read(body: Body, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyTruncated),
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
