//! Paths and response bodies of the HTTP endpoints for readiness, discovery and metrics.

use std::net::SocketAddr;

use serde::Serialize;

use crate::gateway::num;

/// Readiness probe: the platform checks here whether a node accepts requests.
pub(crate) const READY_PATH: &str = "/api/ready";
/// Discovery: callers look up here the addresses to connect to.
pub(crate) const RESOLVE_PATH: &str = "/api/resolve";
/// Query parameter of [`RESOLVE_PATH`] with the caller's failure domain.
pub(crate) const FAILURE_DOMAIN_PARAMETER: &str = "zone";
/// Metrics endpoint; `deploy/system.toml` configures the same path.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Maximum number of addresses in one response.
pub(crate) const MAX_ADDRESSES: usize = 64;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RawAddresses {
    addresses: Vec<String>,
    ttl_s: f64,
}

/// Encodes the response body of [`RESOLVE_PATH`], with `ttl_ms` converted to seconds.
///
/// # Errors
///
/// If the body cannot be encoded as JSON.
pub(crate) fn encode_addresses(
    addresses: &[SocketAddr],
    ttl_ms: u64,
) -> Result<String, serde_json::Error> {
    serde_json::to_string(&RawAddresses {
        addresses: addresses.iter().map(ToString::to_string).collect(),
        ttl_s: num::to_f64(ttl_ms) / 1_000.0,
    })
}
