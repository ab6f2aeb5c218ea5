//! A small document for trials: one model, two plain services, two teams, three failure domains.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The model.
pub const MODEL: &str = "ledger";
/// The plain service whose calls must run at most once.
pub const CLAIMS: &str = "claims";
/// The plain service whose calls may be repeated.
pub const TRACKING: &str = "tracking";
/// The token of the team that sends the trials' calls.
pub const TOKEN: &str = "team-pubs-trial";
/// The token of a team that has nothing to do with them.
pub const OTHER_TOKEN: &str = "team-haulers-trial";
/// The token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-novakova-trial";
/// The name of the team that sends the trials' calls.
pub const TEAM: &str = "pubs";
/// The failure domains; nodes are placed in them in turn.
pub const DOMAINS: [&str; 3] = ["hala-a", "hala-b", "hala-c"];
/// The region of all of them.
pub const REGION: &str = "bratislava";

/// How long a call to a plain service may take, where a trial says nothing else.
pub const SERVICE_TIMEOUT_MS: u64 = 2_000;

/// The document, in which calls of the default latency class are given up after `deadline_ms`.
pub fn document(deadline_ms: u64) -> String {
    document_with(deadline_ms, SERVICE_TIMEOUT_MS)
}

/// The document, in which a plain service may take `service_timeout_ms` for a call.
pub fn document_with(deadline_ms: u64, service_timeout_ms: u64) -> String {
    let hosts = |count: u32| {
        let hosts = DOMAINS.map(|name| json!({ "failure_domain": name, "count": count }));
        Value::from(hosts.to_vec())
    };
    let service = |name: &str, idempotent: bool| {
        json!({
            "name": name,
            "kind": { "service": { "idempotent": idempotent, "timeout_ms": service_timeout_ms } },
            "hosts": hosts(1),
            "host_classes": ["small"],
        })
    };
    let team = |name: &str, token: &str| {
        json!({
            "name": name,
            "token_sha256": hex_digest(token),
            "weight": 1.0,
            "max_waiting": 1_000,
            "default_latency_class": "clerk",
        })
    };
    let class = |name: &str, slots: u32, tokens_per_second: f64| {
        json!({
            "name": name,
            "provider": "dunaj",
            "reclaimable": true,
            "price_per_hour": 0.1,
            "slots": slots,
            "tokens_per_second": tokens_per_second,
            "prefill_tokens_per_second": 1e6,
            "kv_tokens_capacity": 1_000_000,
            "kv_bytes_per_second": 1e9,
        })
    };
    let document = json!({
        "deployment": "trial",
        "measure": { "cost_weight": 0.5, "recomputed_tokens_weight": 0.5 },
        "failure_domains": DOMAINS.map(|name| json!({ "name": name, "region": REGION })),
        "host_classes": [class("engine", 64, 5_000.0), class("small", 64, 1.0)],
        "models": [{
            "name": MODEL,
            "version": "1",
            "adapters": [],
            "weights_bytes": 1_000_000,
            "kv_bytes_per_token": 1_024,
        }],
        "pools": [
            {
                "name": "engines",
                "kind": { "engine": { "models": [MODEL], "checks_orders": true } },
                "hosts": hosts(1),
                "host_classes": ["engine"],
            },
            service(CLAIMS, false),
            service(TRACKING, true),
        ],
        "latency_classes": [{
            "name": "clerk",
            "first_token_ms": 500,
            "between_tokens_ms": 64,
            "deadline_ms": deadline_ms,
            "priority": 7,
        }],
        "teams": [team(TEAM, TOKEN), team("haulers", OTHER_TOKEN)],
        "operators": [{ "name": "novakova", "token_sha256": hex_digest(OPERATOR_TOKEN) }],
    });
    document.to_string()
}

fn hex_digest(token: &str) -> String {
    format!("{:x}", Sha256::digest(token.as_bytes()))
}
