//! `GET /v1/entries`: which addresses to use, and request ids.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

use super::authorize;
use super::refusal::{Refusal, json};
use super::routes::Asked;

/// How long a caller may use the answer.
pub(super) const ENTRIES_TTL_MS: u64 = 5_000;

/// Most ids in one answer.
const MAX_IDS: usize = 1_000;

#[derive(Serialize)]
struct Entries {
    #[serde(rename = "entries")]
    addresses: Vec<Entry>,
    ttl_ms: u64,
    ids: Vec<String>,
}

#[derive(Serialize)]
struct Entry {
    address: String,
}

/// Answers the call; ids need a team's token, addresses do not.
pub(super) async fn entries(asked: Asked) -> Response<Body> {
    let wanted = asked
        .parameter("ids")
        .and_then(|ids| ids.parse::<usize>().ok())
        .unwrap_or(0);
    let ids = match ids(&asked, wanted.min(MAX_IDS)) {
        Ok(ids) => ids,
        Err(refusal) => return refusal.response(),
    };
    let addresses = asked.node.entries();
    let addresses = addresses
        .into_iter()
        .map(|address| Entry {
            address: address.to_string(),
        })
        .collect();
    let body = Entries {
        addresses,
        ttl_ms: ENTRIES_TTL_MS,
        ids,
    };
    json(StatusCode::OK, &body)
}

fn ids(asked: &Asked, wanted: usize) -> Result<Vec<String>, Refusal> {
    if wanted == 0 {
        return Ok(Vec::new());
    }
    let in_force = asked
        .node
        .core
        .blackboard
        .active_configuration()
        .ok_or(Refusal::NotConfigured)?;
    let team = authorize::team(&in_force.document, &asked.headers)?;
    Ok((0..wanted)
        .map(|_id| asked.node.mint_here(&team.name).to_string())
        .collect())
}
