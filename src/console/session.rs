//! Authenticates operators by signed session cookies and protects posts against request forgery.
//!
//! Nodes store no sessions. The cookie carries the operator's name and the session's expiry time,
//! authenticated by a tag that only holders of the fleet key can compute. The tag also covers the
//! hash of the operator's token: once a node applies a document with a new token, it rejects all
//! sessions of the old one.

use http::HeaderMap;
use http::header::{COOKIE, HOST, ORIGIN};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::Document;
use crate::document::hex::{from_hex, to_hex};
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// Name of the session cookie.
const COOKIE_NAME: &str = "teaselline_session";
/// Lifetime of a session: 12 hours, which cover a working day.
const SESSION_MS: u64 = 12 * 60 * 60 * 1_000;
/// Purpose under which session cookies are tagged.
const SESSION_PURPOSE: &str = "console session";
/// Purpose under which form tokens are derived.
const FORM_PURPOSE: &str = "console form";
/// Purpose of the tags that compare an offered fleet key with the node's own.
const BOOTSTRAP_PURPOSE: &str = "console first sign-in";
/// Operator name for sign-ins with the fleet key, which apply the first document.
pub const BOOTSTRAP_OPERATOR: &str = "first operator";

/// A signed-in operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The operator's name.
    pub operator: String,
    /// Anti-forgery token of the session's forms, which other sites cannot compute.
    pub form_token: String,
}

/// Signs an operator in by bearer token and returns the value of the `set-cookie` header.
///
/// Returns `None` if the token belongs to no operator. Before the first document is in force, no
/// operators are defined; the fleet key, which the person who starts the nodes has, is accepted
/// instead.
#[must_use]
pub fn sign_in(
    token: &str,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Option<String> {
    let (operator, token_sha256) = match document {
        Some(document) => operator_with_token(token, document)?,
        None if is_fleet_key(token, key) => (BOOTSTRAP_OPERATOR, [0; 32]),
        None => return None,
    };
    let value = signed_cookie(operator, &token_sha256, now.after(SESSION_MS), key);
    let age_s = SESSION_MS / 1_000;
    Some(format!(
        "{COOKIE_NAME}={value}; Path=/console; HttpOnly; SameSite=Strict; Max-Age={age_s}"
    ))
}

/// Returns the `set-cookie` header value that deletes the session cookie in the browser.
#[must_use]
pub fn delete_cookie() -> String {
    format!("{COOKIE_NAME}=; Path=/console; HttpOnly; SameSite=Strict; Max-Age=0")
}

/// Returns the session of a request.
///
/// Returns `None` if the cookie is missing, malformed, expired, or has a wrong tag, or if its
/// operator is not in `document`.
#[must_use]
pub fn authenticate(
    headers: &HeaderMap,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Option<Session> {
    let value = session_cookie(headers)?;
    let mut parts = value.split('.');
    let operator = String::from_utf8(from_hex(parts.next()?)?).ok()?;
    let ends_at_ms = TimeMs(parts.next()?.parse().ok()?);
    let tag = from_hex(parts.next()?)?;
    let token_sha256 = match document {
        Some(document) => {
            let mut operators = document.operators.iter();
            operators.find(|known| known.name == operator)?.token_sha256
        }
        None => [0; 32],
    };
    let signed = signed_parts(&operator, &token_sha256, ends_at_ms);
    let signed: Vec<&[u8]> = signed.iter().map(Vec::as_slice).collect();
    // The whole tag must match: a tag cut to a few bytes could be guessed.
    let is_signed: bool = key
        .tag(SESSION_PURPOSE, &signed)
        .as_slice()
        .ct_eq(&tag)
        .into();
    (is_signed && now < ends_at_ms).then(|| Session {
        operator,
        form_token: to_hex(&key.tag(FORM_PURPOSE, &[value.as_bytes()])),
    })
}

/// Returns whether a post carries the form token of its session.
#[must_use]
pub fn has_form_token(session: &Session, given: Option<&str>) -> bool {
    let given = given.unwrap_or_default().as_bytes();
    session.form_token.as_bytes().ct_eq(given).into()
}

/// Returns whether a post may come from a page of this node.
///
/// A page of another site can make an operator's browser post a form with the operator's cookie and
/// so change the document without the operator's knowledge. Browsers state the origin of a post in
/// `sec-fetch-site` and `origin`; a post with another origin, or with the origin withheld (`none`,
/// `null`), is rejected. `origin` is compared by host and port, without the scheme. If both headers
/// are missing, the form token alone decides.
#[must_use]
pub fn is_same_origin(headers: &HeaderMap) -> bool {
    let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let host = header(HOST.as_str()).unwrap_or_default();
    let is_fetched_from_self = match header("sec-fetch-site") {
        None | Some("same-origin") => true,
        Some(_) => false,
    };
    let is_posted_from_self = match header(ORIGIN.as_str()) {
        None => true,
        Some(origin) => origin
            .split_once("://")
            .is_some_and(|(_, from)| from == host),
    };
    is_fetched_from_self && is_posted_from_self
}

/// Returns the name and token hash of the operator with this token.
///
/// All entries are compared, each in constant time, so that the response time reveals nothing about
/// any token.
fn operator_with_token<'a>(token: &str, document: &'a Document) -> Option<(&'a str, [u8; 32])> {
    let token_hash = Sha256::digest(token);
    let mut found = None;
    for operator in &document.operators {
        if bool::from(token_hash.as_slice().ct_eq(&operator.token_sha256)) {
            found = Some((operator.name.as_str(), operator.token_sha256));
        }
    }
    found
}

fn is_fleet_key(token: &str, key: &FleetKey) -> bool {
    let expected = key.tag(BOOTSTRAP_PURPOSE, &[]);
    FleetKey::try_from(token.as_bytes())
        .is_ok_and(|given| given.tag(BOOTSTRAP_PURPOSE, &[]).ct_eq(&expected).into())
}

fn signed_cookie(
    operator: &str,
    token_sha256: &[u8; 32],
    ends_at_ms: TimeMs,
    key: &FleetKey,
) -> String {
    let signed = signed_parts(operator, token_sha256, ends_at_ms);
    let signed: Vec<&[u8]> = signed.iter().map(Vec::as_slice).collect();
    let tag = to_hex(&key.tag(SESSION_PURPOSE, &signed));
    format!("{}.{}.{tag}", to_hex(operator.as_bytes()), ends_at_ms.0)
}

fn signed_parts(operator: &str, token_sha256: &[u8; 32], ends_at_ms: TimeMs) -> [Vec<u8>; 3] {
    [
        operator.as_bytes().to_vec(),
        token_sha256.to_vec(),
        ends_at_ms.0.to_be_bytes().to_vec(),
    ]
}

fn session_cookie(headers: &HeaderMap) -> Option<&str> {
    let values = headers.get_all(COOKIE).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut cookies = texts.flat_map(|text| text.split(';'));
    cookies.find_map(|cookie| cookie.trim().strip_prefix(COOKIE_NAME)?.strip_prefix('='))
}

#[cfg(test)]
mod tests;
