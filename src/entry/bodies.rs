//! Reads bodies within their bound and turns headers into checked values.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::refusal::Refusal;
use crate::requests::RequestId;

/// Names the request.
pub(super) const REQUEST_ID: &str = "request-id";

/// Names the request by a key of its caller's own.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Whether the call may run more than once.
const IDEMPOTENT: &str = "idempotent";

/// The position after which a stream is to go on.
const LAST_EVENT_ID: &str = "last-event-id";

/// Reads a whole body.
///
/// A body that is cut half way is an error here and never a shorter body: a ledger that lost its
/// end would be reconciled as if it were whole.
pub(super) async fn read(body: Body, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyCut),
    }
}

/// The id that the caller gives.
pub(super) fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, Refusal> {
    text(headers, REQUEST_ID)?
        .map(|id| id.parse().map_err(|_not_an_id| Refusal::Header))
        .transpose()
}

/// Whether the request has a name under which it may have come to another node before.
pub(super) fn is_named(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID) || headers.contains_key(IDEMPOTENCY_KEY)
}

/// What the caller says about repeating the call.
pub(super) fn idempotent(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    match text(headers, IDEMPOTENT)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Refusal::Header),
    }
}

/// The first position that the caller has not seen.
pub(super) fn next_position(headers: &HeaderMap, from: Option<String>) -> Result<u64, Refusal> {
    let last = text(headers, LAST_EVENT_ID)?;
    match (last, from) {
        (Some(last), _) => {
            let last: u64 = last.parse().map_err(|_number| Refusal::Header)?;
            Ok(last.saturating_add(1))
        }
        (None, Some(from)) => from.parse().map_err(|_number| Refusal::Header),
        (None, None) => Ok(0),
    }
}

/// A header's value as text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_bytes| Refusal::Header))
        .transpose()
}
