//! Authentication of requests and replies with the fleet key.

use std::net::SocketAddr;

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::key::{FleetKey, TAG_BYTES, Tag};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Maximum difference between a request's send time and the receiver's clock.
///
/// A recorded request can be replayed within this window. At-most-once execution therefore relies
/// on request ids and not on this check.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 60_000;

const REQUEST_TAG_PURPOSE: &str = "teaselline peer request";
const REPLY_TAG_PURPOSE: &str = "teaselline peer reply";

const FROM: HeaderName = HeaderName::from_static("teaselline-from");
const SENT_MS: HeaderName = HeaderName::from_static("teaselline-sent-ms");
const BODY_HASH: HeaderName = HeaderName::from_static("teaselline-body-sha256");
const TAG: HeaderName = HeaderName::from_static("teaselline-tag");

/// The reason for rejecting credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CredentialsError {
    /// A header is missing or malformed.
    #[error("a credentials header is missing or malformed")]
    Malformed,
    /// The sender has another fleet key, or the request was modified.
    #[error("the tag of the credentials does not match the fleet key")]
    WrongTag,
    /// The send time differs too much from the receiver's clock.
    #[error(
        "the send time of the request differs from the clock by more than {MAX_CLOCK_DIFFERENCE_MS} ms; synchronize the clocks"
    )]
    OutsideWindow,
    /// The request is addressed to another node.
    #[error("the request is addressed to another node")]
    WrongReceiver,
}

/// The authenticated sender, receiver, send time and body hash of a request.
///
/// The tag over them also covers the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Credentials {
    /// The sender's incarnation.
    pub from: Incarnation,
    /// The address that the request was sent to.
    pub to: SocketAddr,
    /// The send time by the sender's clock.
    pub sent_ms: TimeMs,
    /// The truncated SHA-256 of the body.
    pub body: Tag,
}

impl Credentials {
    pub(super) fn tag(&self, key: &FleetKey, path: &str) -> Tag {
        let to = self.to.to_string();
        key.tag(
            REQUEST_TAG_PURPOSE,
            &[
                &self.from.0.to_be_bytes(),
                to.as_bytes(),
                &self.sent_ms.0.to_be_bytes(),
                path.as_bytes(),
                &self.body,
            ],
        )
    }

    /// Writes the credentials and their tag into a request's headers.
    pub(super) fn write(&self, tag: &Tag, headers: &mut HeaderMap) {
        headers.insert(FROM, HeaderValue::from(self.from.0));
        headers.insert(SENT_MS, uncompressed(&self.sent_ms.0.to_string()));
        headers.insert(BODY_HASH, uncompressed(&to_hex(&self.body)));
        headers.insert(TAG, uncompressed(&to_hex(tag)));
    }

    /// Reads and checks the credentials of a request that arrived at `receiver`.
    ///
    /// The body is checked separately by [`Credentials::matches_body`], so that the body of an
    /// unauthenticated request is never read.
    pub(super) fn check(
        request: &http::request::Parts,
        key: &FleetKey,
        receiver: SocketAddr,
        now: TimeMs,
    ) -> Result<(Self, Tag), CredentialsError> {
        let (credentials, tag) = Self::read(request).ok_or(CredentialsError::Malformed)?;
        let expected = credentials.tag(key, request.uri.path());
        let age_ms = credentials.sent_ms.0.abs_diff(now.0);
        match credentials {
            _ if !equal(&expected, &tag) => Err(CredentialsError::WrongTag),
            _ if age_ms > MAX_CLOCK_DIFFERENCE_MS => Err(CredentialsError::OutsideWindow),
            credentials if credentials.to != receiver => Err(CredentialsError::WrongReceiver),
            credentials => Ok((credentials, tag)),
        }
    }

    /// Returns whether `body` has the hash in the credentials.
    pub(super) fn matches_body(&self, body: &[u8]) -> bool {
        equal(&self.body, &body_hash(body))
    }

    fn read(request: &http::request::Parts) -> Option<(Self, Tag)> {
        let text = |name| request.headers.get(name)?.to_str().ok();
        let credentials = Self {
            from: Incarnation(text(FROM)?.parse().ok()?),
            to: request.uri.authority()?.as_str().parse().ok()?,
            sent_ms: TimeMs(text(SENT_MS)?.parse().ok()?),
            body: from_hex(text(BODY_HASH)?)?,
        };
        Some((credentials, from_hex(text(TAG)?)?))
    }
}

/// Returns the truncated SHA-256 of a body.
pub(super) fn body_hash(body: &[u8]) -> Tag {
    let whole = Sha256::digest(body);
    let mut hash = Tag::default();
    hash.copy_from_slice(&whole[..TAG_BYTES]);
    hash
}

/// Writes a proof into a reply's headers that its sender holds the key and received the request.
///
/// Addresses of reclaimed hosts are reassigned. Without this proof, an unrelated process at the
/// address of a departed peer could answer in its place.
pub(super) fn authenticate_reply(key: &FleetKey, request: &Tag, headers: &mut HeaderMap) {
    let proof = key.tag(REPLY_TAG_PURPOSE, &[request]);
    headers.insert(TAG, uncompressed(&to_hex(&proof)));
}

/// Returns whether a reply's headers contain the proof for this request.
pub(super) fn is_reply_authenticated(key: &FleetKey, request: &Tag, headers: &HeaderMap) -> bool {
    let proof = headers.get(TAG).and_then(|value| value.to_str().ok());
    proof
        .and_then(from_hex)
        .is_some_and(|proof| key.verify(REPLY_TAG_PURPOSE, &[request], &proof))
}

/// Returns a header value excluded from HPACK's dynamic table, since it differs per request.
fn uncompressed(text: &str) -> HeaderValue {
    let mut value = HeaderValue::from_str(text).expect("digits are valid in a header");
    value.set_sensitive(true);
    value
}

fn equal(a: &Tag, b: &Tag) -> bool {
    subtle::ConstantTimeEq::ct_eq(a.as_slice(), b.as_slice()).into()
}

fn to_hex(tag: &Tag) -> String {
    format!("{:032x}", u128::from_be_bytes(*tag))
}

fn from_hex(text: &str) -> Option<Tag> {
    match u128::from_str_radix(text, 16) {
        Ok(number) if text.len() == 2 * TAG_BYTES => Some(number.to_be_bytes()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
