//! Paths and bodies of what the platform and callers ask a node about itself.

use std::net::SocketAddr;

use serde::Serialize;

use crate::gateway::num;

/// The platform asks here whether a node takes requests.
pub(crate) const READY_PATH: &str = "/api/ready";
/// Callers ask here where to connect.
pub(crate) const RESOLVE_PATH: &str = "/api/resolve";
/// The parameter of [`RESOLVE_PATH`] that names the caller's failure domain.
pub(crate) const DOMAIN_PARAMETER: &str = "zone";
/// Metrics are read here, as `deploy/system.toml` says.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Most addresses in one answer.
pub(crate) const MOST_ADDRESSES: usize = 64;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RawAddresses {
    addresses: Vec<String>,
    ttl_s: f64,
}

/// The body that tells a caller where to connect.
///
/// # Errors
///
/// If it cannot be encoded.
pub(crate) fn addresses(
    addresses: &[SocketAddr],
    ttl_ms: u64,
) -> Result<String, serde_json::Error> {
    serde_json::to_string(&RawAddresses {
        addresses: addresses.iter().map(ToString::to_string).collect(),
        ttl_s: num::to_f64(ttl_ms) / 1_000.0,
    })
}
