//! The validated document, with names resolved to keys and all values in range.
//!
//! Each arena is sorted by name: lookups by name use binary search, and a key is an index.

use serde::{Deserialize, Serialize};

use crate::keys::{ClassKey, DomainKey, LatencyKey, ModelKey, PoolKey, TeamKey};

/// A validated configuration document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the deployment, shown to operators.
    pub deployment: String,
    /// Weights of the two cost measures in a trade-off.
    pub measure: Measure,
    /// Failure domains, sorted by name.
    pub failure_domains: Vec<FailureDomain>,
    /// Host classes, sorted by name.
    pub host_classes: Vec<HostClass>,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Pools of upstreams, sorted by name.
    pub pools: Vec<Pool>,
    /// Latency classes, sorted by name.
    pub latency_classes: Vec<LatencyClass>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Operators, sorted by name.
    pub operators: Vec<Operator>,
}

/// Weights of the two measures that the deployment minimizes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// Weight of the monetary cost, from 0 to 1.
    pub cost_weight: f64,
    /// Weight of recomputed tokens, from 0 to 1; both weights add up to 1.
    pub recomputed_tokens_weight: f64,
}

/// A group of hosts that fail or are reclaimed together.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureDomain {
    /// Name of the failure domain in the settings and on the platform.
    pub name: String,
    /// Region of the failure domain.
    pub region: String,
}

/// A class of hosts that the platform offers.
#[derive(Clone, Debug, PartialEq)]
pub struct HostClass {
    /// Name of the class on the platform.
    pub name: String,
    /// Provider of the hosts.
    pub provider: String,
    /// Whether the provider may reclaim hosts of this class.
    pub reclaimable: bool,
    /// List price per hour in the deployment's currency.
    pub price_per_hour: f64,
    /// Number of concurrent streams at which one host meets the latency target.
    pub slots: u32,
    /// Generation rate of one host at full load.
    pub tokens_per_second: f64,
    /// Prefill rate of one host without cached tokens.
    pub prefill_tokens_per_second: f64,
    /// KV cache capacity of one host in tokens.
    pub kv_tokens_capacity: u64,
    /// Bandwidth for KV cache transfers to or from one host.
    pub kv_bytes_per_second: f64,
}

/// A model that callers can request.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model in requests.
    pub name: String,
    /// Version to serve.
    pub version: String,
    /// Names of the model's adapters, sorted.
    pub adapters: Vec<String>,
    /// Size of the weights.
    pub weights_bytes: u64,
    /// KV cache size of one token.
    pub kv_bytes_per_token: u64,
}

/// A group of upstreams that serve the same models or the same service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool in the platform's host list and, for services, in requests.
    pub name: String,
    /// Type of its upstreams.
    pub kind: PoolKind,
    /// Target number of hosts per failure domain, in key order.
    pub hosts: Vec<(DomainKey, u16)>,
    /// Allowed host classes, in key order.
    pub host_classes: Vec<ClassKey>,
}

/// Type of the upstreams of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// Models that the engines serve, in key order.
        models: Vec<ModelKey>,
        /// Whether the engines reject an order with a stale fencing token.
        checks_orders: bool,
    },
    /// Plain services.
    Service {
        /// Whether calls are idempotent, unless the caller specifies otherwise.
        idempotent: bool,
        /// Timeout of one call.
        timeout_ms: u64,
    },
}

/// Latency targets, deadline and priority of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyClass {
    /// Name of the class in requests.
    pub name: String,
    /// Target for the 95th percentile of the time to the first token.
    pub first_token_ms: u64,
    /// Target for the 95th percentile of the time between tokens.
    pub between_tokens_ms: u64,
    /// Time after which the request is aborted.
    pub deadline_ms: u64,
    /// Priority from 0 to 9; higher values are served first.
    pub priority: u8,
}

/// A group of callers that share a bearer token and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// SHA-256 of the team's bearer token.
    pub token_sha256: [u8; 32],
    /// Share of the capacity relative to the other teams.
    pub weight: f64,
    /// Maximum number of queued requests over all nodes.
    pub max_waiting: u32,
    /// Latency class of requests that do not specify one.
    pub default_latency_class: LatencyKey,
}

/// A person who may change the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Name of the operator in the audit trail.
    pub name: String,
    /// SHA-256 of the operator's bearer token.
    pub token_sha256: [u8; 32],
}

macro_rules! arena {
    ($field:ident, $item:ty, $key:ty, $get:ident, $find:ident) => {
        /// Returns the entry of a key.
        ///
        /// # Panics
        ///
        /// If the key is out of bounds; only keys of this document are valid.
        #[must_use]
        pub fn $get(&self, key: $key) -> &$item {
            &self.$field[key.index()]
        }

        /// Returns the key of the entry with this name, or `None` if there is none.
        #[must_use]
        pub fn $find(&self, name: &str) -> Option<$key> {
            let found = self
                .$field
                .binary_search_by(|entry| entry.name.as_str().cmp(name));
            found.ok().map(<$key>::from)
        }
    };
}

impl Document {
    arena!(
        failure_domains,
        FailureDomain,
        DomainKey,
        failure_domain,
        find_failure_domain
    );
    arena!(
        host_classes,
        HostClass,
        ClassKey,
        host_class,
        find_host_class
    );
    arena!(models, Model, ModelKey, model, find_model);
    arena!(pools, Pool, PoolKey, pool, find_pool);
    arena!(
        latency_classes,
        LatencyClass,
        LatencyKey,
        latency_class,
        find_latency_class
    );
    arena!(teams, Team, TeamKey, team, find_team);
}

impl Pool {
    /// Returns whether the upstreams of the pool serve this model.
    #[must_use]
    pub fn serves(&self, model: ModelKey) -> bool {
        match &self.kind {
            PoolKind::Engine { models, .. } => models.binary_search(&model).is_ok(),
            PoolKind::Service { .. } => false,
        }
    }
}
