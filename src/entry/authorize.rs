//! Authenticates teams and operators by bearer token.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::refusal::Refusal;
use crate::document::Document;
use crate::document::checked::{Operator, Team};
use crate::options::Secret;

/// Returns the team whose token the request carries.
pub(super) fn team<'a>(document: &'a Document, headers: &HeaderMap) -> Result<&'a Team, Refusal> {
    find(&document.teams, |team| &team.token_sha256, headers)
}

/// Returns the operator whose token the request carries.
pub(super) fn operator<'a>(
    document: &'a Document,
    headers: &HeaderMap,
) -> Result<&'a Operator, Refusal> {
    find(
        &document.operators,
        |operator| &operator.token_sha256,
        headers,
    )
}

/// Returns whether the request carries the fleet's secret.
pub(super) fn has_fleet_key(secret: &Secret, headers: &HeaderMap) -> bool {
    bearer(headers).is_some_and(|token| token.ct_eq(secret.expose_bytes()).into())
}

/// Finds the entry with the token's hash.
///
/// Compares with every entry in constant time, so that the duration reveals nothing about any
/// token.
fn find<'a, T>(
    entries: &'a [T],
    hash: impl Fn(&T) -> &[u8; 32],
    headers: &HeaderMap,
) -> Result<&'a T, Refusal> {
    let token = bearer(headers).ok_or(Refusal::NoToken)?;
    let token_sha256 = Sha256::digest(token);
    let mut found = None;
    for entry in entries {
        if bool::from(token_sha256.as_slice().ct_eq(hash(entry))) {
            found = Some(entry);
        }
    }
    found.ok_or(Refusal::NoToken)
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    headers
        .get(AUTHORIZATION)?
        .as_bytes()
        .strip_prefix(b"Bearer ")
}
