//! Who works with the console: sessions in signed cookies, and posts that come from our own pages.
//!
//! No node keeps a session. Its cookie names the operator and its end, under a tag that only the
//! fleet key makes; the hash of the operator's token is part of the tag, so that a new token ends
//! the sessions of the old one on every node at once.

use http::HeaderMap;
use http::header::{COOKIE, HOST, ORIGIN};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::Document;
use crate::document::hex::{from_hex, to_hex};
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// The cookie's name.
const COOKIE_NAME: &str = "teaselline_session";
/// How long a session lasts, a working day.
const SESSION_MS: u64 = 12 * 60 * 60 * 1_000;
/// What the tags of sessions are for.
const SESSION_PURPOSE: &str = "console session";
/// What the tags of forms are for.
const FORM_PURPOSE: &str = "console form";
/// What the tags of the first sign-in are for.
const FIRST_PURPOSE: &str = "console first sign-in";
/// The name under which the first document is applied.
pub const FIRST_OPERATOR: &str = "first operator";

/// A signed-in operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The operator's name.
    pub operator: String,
    /// What each form of the session carries, so that no other site can make one.
    pub form_token: String,
}

/// Signs an operator in by bearer token; gives the cookie's header value.
///
/// Before any document is in force there are no operators; the fleet key, which whoever started
/// the nodes has, is taken then.
#[must_use]
pub fn sign_in(
    token: &str,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Option<String> {
    let (operator, token_sha256) = match document {
        Some(document) => operator_of(token, document)?,
        None if is_fleet_key(token, key) => (FIRST_OPERATOR, [0; 32]),
        None => return None,
    };
    let value = cookie_value(operator, &token_sha256, now.after(SESSION_MS), key);
    let age_s = SESSION_MS / 1_000;
    Some(format!(
        "{COOKIE_NAME}={value}; Path=/console; HttpOnly; SameSite=Strict; Max-Age={age_s}"
    ))
}

/// The header value of a cookie that ends the session in the browser.
#[must_use]
pub fn sign_out() -> String {
    format!("{COOKIE_NAME}=; Path=/console; HttpOnly; SameSite=Strict; Max-Age=0")
}

/// The session of a request.
#[must_use]
pub fn session(
    headers: &HeaderMap,
    document: Option<&Document>,
    key: &FleetKey,
    now: TimeMs,
) -> Option<Session> {
    let value = cookie(headers)?;
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
    // The whole tag is compared; a part of it would be easy to guess.
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

/// Whether a post carries the token of its session's forms.
#[must_use]
pub fn has_form_token(session: &Session, given: Option<&str>) -> bool {
    let given = given.unwrap_or_default().as_bytes();
    session.form_token.as_bytes().ct_eq(given).into()
}

/// Whether a post comes from a page of this node.
///
/// A page of another site could post a form that an operator's browser sends with the operator's
/// cookie; one would see changes that nobody at the console made. Browsers say where a post comes
/// from, and one that says elsewhere, or will not say, is refused. Where a client says nothing at
/// all, the form's token decides.
#[must_use]
pub fn is_same_site(headers: &HeaderMap) -> bool {
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let host = text(HOST.as_str()).unwrap_or_default();
    let fetched_here = match text("sec-fetch-site") {
        None | Some("same-origin") => true,
        Some(_) => false,
    };
    let posted_here = match text(ORIGIN.as_str()) {
        None => true,
        Some(origin) => origin
            .split_once("://")
            .is_some_and(|(_, from)| from == host),
    };
    fetched_here && posted_here
}

/// The operator whose token this is. Every entry is compared, in constant time, so that timing
/// tells nothing about any token.
fn operator_of<'a>(token: &str, document: &'a Document) -> Option<(&'a str, [u8; 32])> {
    let offered = Sha256::digest(token);
    let mut found = None;
    for operator in &document.operators {
        if bool::from(offered.as_slice().ct_eq(&operator.token_sha256)) {
            found = Some((operator.name.as_str(), operator.token_sha256));
        }
    }
    found
}

fn is_fleet_key(token: &str, key: &FleetKey) -> bool {
    let own = key.tag(FIRST_PURPOSE, &[]);
    FleetKey::try_from(token.as_bytes())
        .is_ok_and(|given| given.tag(FIRST_PURPOSE, &[]).ct_eq(&own).into())
}

fn cookie_value(
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

fn cookie(headers: &HeaderMap) -> Option<&str> {
    let values = headers.get_all(COOKIE).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut cookies = texts.flat_map(|text| text.split(';'));
    cookies.find_map(|cookie| cookie.trim().strip_prefix(COOKIE_NAME)?.strip_prefix('='))
}

#[cfg(test)]
mod tests;
