//! The document as operators write it: JSON of known structure with unvalidated values.
//!
//! Scalar values are kept as written, so that a missing value or a value of the wrong type becomes
//! a fault with its own path, and so that a form can redisplay the text that an operator typed.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::faults::DocumentFaults;
use super::shape;

/// A scalar value as written: a string, a number, a boolean or null.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Scalar(pub Value);

impl Scalar {
    /// Returns the value as displayed in a form: a string without quotes, empty for null.
    #[must_use]
    pub fn display_text(&self) -> String {
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

/// The raw configuration document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDocument {
    /// Name of the deployment.
    pub deployment: Scalar,
    /// Weights of the two measures.
    pub measure: RawMeasure,
    /// Failure domains.
    pub failure_domains: Vec<RawFailureDomain>,
    /// Host classes.
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
    /// Parses a document from JSON text without validating its values.
    ///
    /// # Errors
    ///
    /// If the text is not JSON, has an unknown field, or has a list in place of a scalar value.
    /// The error lists every entry with such a fault.
    pub fn read(text: &str) -> Result<Self, DocumentFaults> {
        shape::read(text)
    }

    /// Returns the document as indented JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// See [`super::checked::Measure`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawMeasure {
    /// Weight of the monetary cost.
    pub cost_weight: Scalar,
    /// Weight of recomputed tokens.
    pub recomputed_tokens_weight: Scalar,
}

/// See [`super::checked::FailureDomain`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawFailureDomain {
    /// Name of the entry.
    pub name: Scalar,
    /// Region of the failure domain.
    pub region: Scalar,
}

/// See [`super::checked::HostClass`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawHostClass {
    /// Name of the entry.
    pub name: Scalar,
    /// Provider of the hosts.
    pub provider: Scalar,
    /// Whether the provider may reclaim hosts of this class.
    pub reclaimable: Scalar,
    /// List price per hour.
    pub price_per_hour: Scalar,
    /// Number of concurrent streams.
    pub slots: Scalar,
    /// Generation rate at full load.
    pub tokens_per_second: Scalar,
    /// Prefill rate.
    pub prefill_tokens_per_second: Scalar,
    /// KV cache capacity.
    pub kv_tokens_capacity: Scalar,
    /// Bandwidth for KV cache transfers.
    pub kv_bytes_per_second: Scalar,
}

/// See [`super::checked::Model`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawModel {
    /// Name of the entry.
    pub name: Scalar,
    /// Version of the model.
    pub version: Scalar,
    /// Names of the adapters.
    pub adapters: Vec<Scalar>,
    /// Size of the weights.
    pub weights_bytes: Scalar,
    /// KV cache size of one token.
    pub kv_bytes_per_token: Scalar,
}

/// See [`super::checked::Pool`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPool {
    /// Name of the entry.
    pub name: Scalar,
    /// Type of the upstreams.
    pub kind: RawPoolKind,
    /// Number of hosts per failure domain.
    pub hosts: Vec<RawPoolHosts>,
    /// Names of the allowed host classes.
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

/// Additional fields of a pool of model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawEngine {
    /// Names of the models that the engines serve.
    pub models: Vec<Scalar>,
    /// Whether the engines reject stale fencing tokens.
    pub checks_orders: Scalar,
}

/// Additional fields of a pool of plain services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPlainService {
    /// Whether calls are idempotent.
    pub idempotent: Scalar,
    /// Timeout of a call.
    pub timeout_ms: Scalar,
}

/// Number of hosts of a pool in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPoolHosts {
    /// Name of the failure domain.
    pub failure_domain: Scalar,
    /// Number of hosts.
    pub count: Scalar,
}

/// See [`super::checked::LatencyClass`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLatencyClass {
    /// Name of the entry.
    pub name: Scalar,
    /// Target for the time to the first token.
    pub first_token_ms: Scalar,
    /// Target for the time between tokens.
    pub between_tokens_ms: Scalar,
    /// Time after which a request is aborted.
    pub deadline_ms: Scalar,
    /// Priority from 0 to 9.
    pub priority: Scalar,
}

/// See [`super::checked::Team`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTeam {
    /// Name of the entry.
    pub name: Scalar,
    /// SHA-256 of the team's bearer token, 64 hexadecimal digits.
    pub token_sha256: Scalar,
    /// Share of the capacity.
    pub weight: Scalar,
    /// Maximum number of queued requests.
    pub max_waiting: Scalar,
    /// Name of the default latency class.
    pub default_latency_class: Scalar,
}

/// See [`super::checked::Operator`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawOperator {
    /// Name of the operator.
    pub name: Scalar,
    /// SHA-256 of the operator's bearer token, 64 hexadecimal digits.
    pub token_sha256: Scalar,
}
