//! The document as operators write it: JSON whose shape is known and nothing else.
//!
//! Single values are kept as they were written, so that one that is missing or of the wrong kind
//! becomes a fault with its own path, and so that a form can hold what a person typed.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::faults::DocumentFaults;
use super::shape;

/// A single value as it was written: a text, a number, true or false, or nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Scalar(pub Value);

impl Scalar {
    /// What a person would see in a form: a text without its quotes, nothing for null.
    #[must_use]
    pub fn shown(&self) -> String {
        match &self.0 {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

impl<T: Into<Value>> From<T> for Scalar {
    fn from(value: T) -> Self {
        Self(value.into())
    }
}

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDocument {
    /// The deployment's name.
    pub deployment: Scalar,
    /// How much the measures weigh.
    pub measure: RawMeasure,
    /// Failure domains.
    pub failure_domains: Vec<RawFailureDomain>,
    /// Classes of hosts.
    pub host_classes: Vec<RawHostClass>,
    /// Models.
    pub models: Vec<RawModel>,
    /// Pools of upstreams.
    pub pools: Vec<RawPool>,
    /// Latency classes.
    pub latency_classes: Vec<RawLatencyClass>,
    /// Teams of callers.
    pub teams: Vec<RawTeam>,
    /// Operators.
    pub operators: Vec<RawOperator>,
}

impl RawDocument {
    /// Reads a document from JSON text without checking its values.
    ///
    /// # Errors
    ///
    /// If the text is not JSON, or has a field that no document has, or a list where a single
    /// value belongs. Every entry with such a fault is listed.
    pub fn read(text: &str) -> Result<Self, DocumentFaults> {
        shape::read(text)
    }

    /// The document as indented JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// See [`super::checked::Measure`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawMeasure {
    /// Weight of money spent.
    pub cost_weight: Scalar,
    /// Weight of tokens computed again.
    pub recomputed_tokens_weight: Scalar,
}

/// See [`super::checked::FailureDomain`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawFailureDomain {
    /// Its name.
    pub name: Scalar,
    /// Its region.
    pub region: Scalar,
}

/// See [`super::checked::HostClass`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawHostClass {
    /// Its name.
    pub name: Scalar,
    /// Its provider.
    pub provider: Scalar,
    /// Whether it may be reclaimed.
    pub reclaimable: Scalar,
    /// List price.
    pub price_per_hour: Scalar,
    /// Streams at once.
    pub slots: Scalar,
    /// Tokens generated at full load.
    pub tokens_per_second: Scalar,
    /// Prompt tokens computed.
    pub prefill_tokens_per_second: Scalar,
    /// KV cache.
    pub kv_tokens_capacity: Scalar,
    /// Link for KV caches.
    pub kv_bytes_per_second: Scalar,
}

/// See [`super::checked::Model`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawModel {
    /// Its name.
    pub name: Scalar,
    /// Its version.
    pub version: Scalar,
    /// Adapters.
    pub adapters: Vec<Scalar>,
    /// Size of the weights.
    pub weights_bytes: Scalar,
    /// KV cache per token.
    pub kv_bytes_per_token: Scalar,
}

/// See [`super::checked::Pool`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPool {
    /// Its name.
    pub name: Scalar,
    /// What its upstreams are.
    pub kind: RawPoolKind,
    /// Hosts by failure domain.
    pub hosts: Vec<RawPoolHosts>,
    /// Names of host classes.
    pub host_classes: Vec<Scalar>,
}

/// See [`super::checked::PoolKind`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawPoolKind {
    /// Model engines.
    Engine(RawEngine),
    /// Plain services.
    Service(RawPlainService),
}

impl Default for RawPoolKind {
    fn default() -> Self {
        Self::Engine(RawEngine::default())
    }
}

/// What a pool of model engines adds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawEngine {
    /// Names of models.
    pub models: Vec<Scalar>,
    /// Whether old fencing numbers are refused.
    pub checks_orders: Scalar,
}

/// What a pool of plain services adds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPlainService {
    /// Whether calls may be repeated.
    pub idempotent: Scalar,
    /// How long a call may take.
    pub timeout_ms: Scalar,
}

/// How many hosts a pool holds in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPoolHosts {
    /// Name of the failure domain.
    pub failure_domain: Scalar,
    /// Hosts in it.
    pub count: Scalar,
}

/// See [`super::checked::LatencyClass`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLatencyClass {
    /// Its name.
    pub name: Scalar,
    /// Target for the first token.
    pub first_token_ms: Scalar,
    /// Target between tokens.
    pub between_tokens_ms: Scalar,
    /// When a request is given up.
    pub deadline_ms: Scalar,
    /// 0 to 9.
    pub priority: Scalar,
}

/// See [`super::checked::Team`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTeam {
    /// Its name.
    pub name: Scalar,
    /// SHA-256 of its bearer token, 64 hexadecimal digits.
    pub token_sha256: Scalar,
    /// Its part of the capacity.
    pub weight: Scalar,
    /// Requests waiting.
    pub max_waiting: Scalar,
    /// Name of a latency class.
    pub default_latency_class: Scalar,
}

/// See [`super::checked::Operator`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawOperator {
    /// The operator's name.
    pub name: Scalar,
    /// SHA-256 of the operator's bearer token, 64 hexadecimal digits.
    pub token_sha256: Scalar,
}
