//! What a request carries to prove who sent it, to whom and when.

use std::net::SocketAddr;

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::key::{FleetKey, TAG_BYTES, Tag};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// How far a request's time may lie from the receiver's.
///
/// A recorded request could be sent again within this window; at-most-once therefore never rests
/// on it, but on request ids.
const WINDOW_MS: u64 = 60_000;

const REQUEST_PURPOSE: &str = "teaselline peer request";
const REPLY_PURPOSE: &str = "teaselline peer reply";

const FROM: HeaderName = HeaderName::from_static("teaselline-from");
const SENT: HeaderName = HeaderName::from_static("teaselline-sent-ms");
const BODY: HeaderName = HeaderName::from_static("teaselline-body-sha256");
const TAG: HeaderName = HeaderName::from_static("teaselline-tag");

/// Why a peer doesn't accept credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CredentialsError {
    /// A header is absent or isn't in its form.
    #[error("the credentials are malformed")]
    Malformed,
    /// The sender has another key, or something was changed.
    #[error("the credentials don't fit the fleet key")]
    WrongTag,
    /// Sender and receiver differ too much in time.
    #[error("the request was made at another time than now")]
    OutsideWindow,
    /// The request is meant for another node.
    #[error("the request is meant for another receiver")]
    WrongReceiver,
}

/// Proof of a request's sender, receiver, time, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Credentials {
    /// The incarnation that sent the request.
    pub from: Incarnation,
    /// Where it was sent.
    pub to: SocketAddr,
    /// When.
    pub sent_ms: TimeMs,
    /// The start of the body's SHA-256.
    pub body: Tag,
}

impl Credentials {
    pub(super) fn tag(&self, key: &FleetKey, path: &str) -> Tag {
        let to = self.to.to_string();
        key.tag(
            REQUEST_PURPOSE,
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
        headers.insert(SENT, unique(&self.sent_ms.0.to_string()));
        headers.insert(BODY, unique(&to_hex(&self.body)));
        headers.insert(TAG, unique(&to_hex(tag)));
    }

    /// Reads and checks the credentials of a request that reached `receiver`.
    ///
    /// The body is not checked here, so that a stranger's body is never read: see
    /// [`Credentials::fits`].
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
            _ if age_ms > WINDOW_MS => Err(CredentialsError::OutsideWindow),
            credentials if credentials.to != receiver => Err(CredentialsError::WrongReceiver),
            credentials => Ok((credentials, tag)),
        }
    }

    /// Whether `body` is the one that the credentials were made for.
    pub(super) fn fits(&self, body: &[u8]) -> bool {
        equal(&self.body, &digest(body))
    }

    fn read(request: &http::request::Parts) -> Option<(Self, Tag)> {
        let text = |name| request.headers.get(name)?.to_str().ok();
        let credentials = Self {
            from: Incarnation(text(FROM)?.parse().ok()?),
            to: request.uri.authority()?.as_str().parse().ok()?,
            sent_ms: TimeMs(text(SENT)?.parse().ok()?),
            body: from_hex(text(BODY)?)?,
        };
        Some((credentials, from_hex(text(TAG)?)?))
    }
}

/// The start of a body's SHA-256.
pub(super) fn digest(body: &[u8]) -> Tag {
    let whole = Sha256::digest(body);
    let mut digest = Tag::default();
    digest.copy_from_slice(&whole[..TAG_BYTES]);
    digest
}

/// Writes into a reply that whoever answers holds the key and has seen this request.
///
/// Addresses on reclaimable hosts are given to others: without this proof, a stranger's process at
/// a departed peer's address could answer in its name.
pub(super) fn prove_reply(key: &FleetKey, request: &Tag, headers: &mut HeaderMap) {
    let proof = key.tag(REPLY_PURPOSE, &[request]);
    headers.insert(TAG, unique(&to_hex(&proof)));
}

/// Whether a reply carries the proof for this request.
pub(super) fn reply_is_proved(key: &FleetKey, request: &Tag, headers: &HeaderMap) -> bool {
    let proof = headers.get(TAG).and_then(|value| value.to_str().ok());
    proof
        .and_then(from_hex)
        .is_some_and(|proof| key.verify(REPLY_PURPOSE, &[request], &proof))
}

/// A value that is different each time, which header compression should not remember.
fn unique(text: &str) -> HeaderValue {
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
