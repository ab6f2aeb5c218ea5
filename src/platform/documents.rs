//! Decodes the operators' configuration document into a catalog.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::catalog::{
    CallerLimits, Catalog, Engine, Pool, RepeatPolicy, Route, Scaling, Team, TeamKey, Unit,
};
use crate::gateway::num;
use crate::gateway::upstreams::tag;

/// Tokens charged for a request without a token count, unless the document sets a number.
const DEFAULT_PLAIN_TOKENS: u64 = 1;

/// Bytes per millisecond on a link of one megabit per second.
const BYTES_PER_MS_PER_MBPS: f64 = 125.0;

/// Longest duration that has an effect, one day. Points in time and sums of durations stay representable.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Largest number of upstreams, slots or tokens that has an effect. Sums over all domains, upstreams or
/// targets stay representable.
const MAX_UPSTREAMS: u32 = 100_000;
const MAX_SLOTS: u32 = 1_000_000;
const MAX_TOKENS: u64 = 1 << 50;
const MAX_WEIGHT: u64 = 1 << 50;

/// Reason why a configuration document is rejected.
#[derive(Debug, Error)]
pub(crate) enum DocumentError {
    /// A field is missing or has the wrong type.
    #[error("the field `{field}` cannot be read: {source}")]
    Field {
        /// JSON path of the field.
        field: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A route has no target service.
    #[error("route `{route}` names no service")]
    NoTarget {
        /// Name of the route.
        route: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawDocument {
    version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    tenants: Vec<RawTenant>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: f64,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<RawTrafficShare>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    gap_aim_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct RawTrafficShare {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    name: String,
    #[serde(default)]
    max_connections: Option<usize>,
    engine: Option<RawEngine>,
    scaling: Option<RawScaling>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEngine {
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    kv_capacity: f64,
    /// Memory in bytes that the KV cache of one token occupies.
    #[serde(default)]
    kv_token_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawScaling {
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: BTreeMap<String, f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<f64>,
    unit: Option<String>,
    plain_tokens: Option<f64>,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Decodes a configuration document.
///
/// # Errors
///
/// If the text is not JSON with the expected fields, or a route has no target service.
pub(crate) fn parse(text: &[u8]) -> Result<Catalog, DocumentError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw: RawDocument =
        serde_path_to_error::deserialize(&mut json).map_err(|error| DocumentError::Field {
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    Catalog::try_from(raw)
}

impl TryFrom<RawDocument> for Catalog {
    type Error = DocumentError;

    fn try_from(raw: RawDocument) -> Result<Self, DocumentError> {
        let mut routes = (raw.routes.into_iter())
            .map(Route::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        let mut pools: Vec<Pool> = raw.services.into_iter().map(Pool::from).collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        let mut tenants = raw.tenants;
        tenants.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, TeamKey)> = (tenants.iter().enumerate())
            .flat_map(|(index, tenant)| {
                let keys = tenant.api_keys.iter().cloned();
                keys.map(move |key| (key, TeamKey(index)))
            })
            .collect();
        keys.sort();
        Ok(Self {
            version: raw.version,
            routes,
            pools,
            teams: tenants.into_iter().map(Team::from).collect(),
            keys,
            limits: CallerLimits::from(raw.limits),
        })
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = DocumentError;

    fn try_from(raw: RawRoute) -> Result<Self, DocumentError> {
        let single = raw.service.map(|service| (service, 1));
        let split = raw.traffic_split.into_iter();
        let mut targets: Vec<(String, u64)> = split
            .map(|share| (share.service, share_weight(share.weight)))
            .filter(|(_service, weight)| *weight > 0)
            .collect();
        if targets.is_empty() {
            targets.extend(single);
        }
        if targets.is_empty() {
            return Err(DocumentError::NoTarget { route: raw.name });
        }
        let timeout_ms = duration_ms(raw.timeout_ms);
        Ok(Self {
            name: raw.name,
            host: raw.host.to_ascii_lowercase(),
            path_prefix: raw.path_prefix,
            // An unknown kind gets the strictest repeat policy.
            repeat: match raw.kind.as_str() {
                "idempotent" => RepeatPolicy::Idempotent,
                _ => RepeatPolicy::AtMostOnce,
            },
            is_stream: raw.kind == "streaming",
            is_resumable: raw.kind == "streaming" && raw.resumable,
            timeout_ms,
            target_ms: raw.target_latency_ms.map_or(timeout_ms, duration_ms),
            gap_target_ms: raw.gap_aim_ms.map(duration_ms),
            priority: priority(raw.priority),
            max_upstreams: raw.max_attempts.unwrap_or(1).max(1),
            is_public: raw.public,
            targets,
        })
    }
}

impl From<RawService> for Pool {
    fn from(raw: RawService) -> Self {
        Self {
            name: raw.name,
            max_connections: raw.max_connections.unwrap_or(usize::MAX),
            engine: raw.engine.map(|engine| Engine {
                slots: engine.slots.clamp(1, MAX_SLOTS),
                cache_tokens: num::round_to_u64(engine.kv_capacity).min(MAX_TOKENS),
                copy_tokens_per_ms: (engine.kv_token_bytes > 0.0 && engine.link_mbps > 0.0)
                    .then(|| engine.link_mbps * BYTES_PER_MS_PER_MBPS / engine.kv_token_bytes),
            }),
            scaling: raw.scaling.map(|scaling| Scaling {
                min_upstreams: scaling.min.min(MAX_UPSTREAMS),
                max_upstreams: scaling.max.min(MAX_UPSTREAMS),
                startup_ms: duration_ms(scaling.boot_s * 1_000.0),
                reclaimable_price: scaling.spot_price,
                domain_prices: scaling.zone_prices.into_iter().collect(),
            }),
        }
    }
}

impl From<RawTenant> for Team {
    fn from(raw: RawTenant) -> Self {
        let default_tokens = raw
            .plain_tokens
            .map_or(DEFAULT_PLAIN_TOKENS, num::round_to_u64)
            .min(MAX_TOKENS);
        Self {
            tag: tag(&raw.name),
            name: raw.name,
            priority: raw.priority.map(priority),
            unit: match raw.unit.as_deref() {
                Some("tokens") => Unit::Tokens { default_tokens },
                _ => Unit::Requests,
            },
            rate_per_s: (raw.rate_per_s > 0.0).then_some(raw.rate_per_s),
            burst: raw.burst,
        }
    }
}

impl From<RawLimits> for CallerLimits {
    fn from(raw: RawLimits) -> Self {
        let defaults = Self::default();
        Self {
            max_header_bytes: raw.max_header_bytes.unwrap_or(defaults.max_header_bytes),
            max_body_bytes: raw.max_body_bytes.unwrap_or(defaults.max_body_bytes),
            header_timeout_ms: (raw.header_timeout_ms)
                .map_or(defaults.header_timeout_ms, |ms| ms.min(MAX_DURATION_MS)),
            idle_timeout_ms: (raw.idle_timeout_ms)
                .map_or(defaults.idle_timeout_ms, |ms| ms.min(MAX_DURATION_MS)),
        }
    }
}

/// Rounds a duration, and limits it to the longest one that has an effect.
fn duration_ms(value_ms: f64) -> u64 {
    num::round_to_u64(value_ms).min(MAX_DURATION_MS)
}

/// Returns the weight of a share in thousandths, limited likewise.
fn share_weight(weight: f64) -> u64 {
    num::round_to_u64(weight * 1_000.0).min(MAX_WEIGHT)
}

fn priority(value: f64) -> u8 {
    u8::try_from(num::round_to_u64(value)).unwrap_or(u8::MAX)
}

#[cfg(test)]
mod tests;
