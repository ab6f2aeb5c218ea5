//! `GET /v1/entries`: the addresses of the nodes, and new request ids.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

use super::authorize;
use super::refusal::{Refusal, json};
use super::routes::RequestContext;

/// How long a caller may use the addresses.
pub(super) const ENTRIES_TTL_MS: u64 = 5_000;

/// Maximum number of ids in one response.
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

/// Handles the request; ids require a team's token, addresses do not.
pub(super) async fn entries(context: RequestContext) -> Response<Body> {
    let requested = context
        .parameter("ids")
        .and_then(|ids| ids.parse::<usize>().ok())
        .unwrap_or(0);
    let ids = match ids(&context, requested.min(MAX_IDS)) {
        Ok(ids) => ids,
        Err(refusal) => return refusal.response(),
    };
    let addresses = context.node.entries();
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

fn ids(context: &RequestContext, requested: usize) -> Result<Vec<String>, Refusal> {
    if requested == 0 {
        return Ok(Vec::new());
    }
    let in_force = context
        .node
        .core
        .blackboard
        .active_configuration()
        .ok_or(Refusal::NotConfigured)?;
    let team = authorize::team(&in_force.document, &context.headers)?;
    Ok((0..requested)
        .map(|_id| context.node.mint_here(&team.name).to_string())
        .collect())
}
