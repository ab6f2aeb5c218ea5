//! The document of a fleet, of any size.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The region of all failure domains.
pub const REGION: &str = "region";
/// The class of all engine hosts.
pub const CLASS: &str = "class";
/// The pool of all engine hosts.
pub const POOL: &str = "engines";
/// The model.
pub const MODEL: &str = "model";
/// The first team's token.
pub const TEAM_TOKEN: &str = "team-token";
/// The operator's token, and the fleet's key: the first document needs the one, the rest the other.
pub const FLEET_KEY: &str = "a fleet key for measurements only";

/// How much there is of everything.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Failure domains.
    pub domains: usize,
    /// Engine hosts.
    pub engines: usize,
    /// Teams.
    pub teams: usize,
}

impl Shape {
    /// The document as its operator would write it.
    pub fn document(&self) -> Value {
        let domains = (0..self.domains)
            .map(|domain| json!({ "name": domain_name(domain), "region": REGION }));
        let hosts = (0..self.domains).map(|domain| {
            let count = (self.engines + self.domains - 1 - domain) / self.domains;
            json!({ "failure_domain": domain_name(domain), "count": count })
        });
        let teams = (0..self.teams).map(|team| {
            json!({
                "name": format!("team-{team}"),
                "token_sha256": sha256_hex(&team_token(team)),
                "weight": 1.0,
                "max_waiting": 100_000,
                "default_latency_class": "interactive"
            })
        });
        json!({
            "deployment": "measurement",
            "measure": { "cost_weight": 0.5, "recomputed_tokens_weight": 0.5 },
            "failure_domains": domains.collect::<Vec<_>>(),
            "host_classes": [{
                "name": CLASS, "provider": "provider", "reclaimable": true, "price_per_hour": 1.0,
                "slots": 65_536, "tokens_per_second": 1e9, "prefill_tokens_per_second": 1e9,
                "kv_tokens_capacity": 1_u64 << 40, "kv_bytes_per_second": 1e9
            }],
            "models": [{
                "name": MODEL, "version": "1", "adapters": [], "weights_bytes": 1_000_000_000,
                "kv_bytes_per_token": 1024
            }],
            "pools": [{
                "name": POOL, "kind": { "engine": { "models": [MODEL], "checks_orders": true } },
                "hosts": hosts.collect::<Vec<_>>(), "host_classes": [CLASS]
            }],
            "latency_classes": [{
                "name": "interactive", "first_token_ms": 750, "between_tokens_ms": 64,
                "deadline_ms": 3_600_000, "priority": 8
            }],
            "teams": teams.collect::<Vec<_>>(),
            "operators": [{
                "name": "operator", "token_sha256": sha256_hex(FLEET_KEY)
            }]
        })
    }
}

/// The name of a failure domain.
pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain:02}")
}

/// The body that proposes a document on top of a revision.
pub fn change(base_revision: u64, document: &Value) -> String {
    json!({ "base_revision": base_revision, "document": document }).to_string()
}

fn team_token(team: usize) -> String {
    match team {
        0 => TEAM_TOKEN.to_owned(),
        team => format!("{TEAM_TOKEN}-{team}"),
    }
}

fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    format!("{digest:x}")
}
