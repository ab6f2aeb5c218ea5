//! A document of one pool of engines that serve one model.

use teaselline::document::Document;
use teaselline::document::checked::{FailureDomain, HostClass, Measure, Model, Pool, PoolKind};
use teaselline::keys::{ClassKey, DomainKey, ModelKey};

const REGIONS: u16 = 5;

/// A document with these failure domains and classes; the classes are sorted by name.
pub fn document(domains: u16, host_classes: Vec<HostClass>) -> Document {
    let failure_domains = (0..domains).map(|domain| FailureDomain {
        name: format!("domain-{domain:02}"),
        region: format!("region-{}", domain % REGIONS),
    });
    Document {
        deployment: "measured".to_owned(),
        measure: Measure {
            cost_weight: 0.5,
            recomputed_tokens_weight: 0.5,
        },
        failure_domains: failure_domains.collect(),
        models: vec![Model {
            name: "model".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            weights_bytes: 16_000_000_000,
            kv_bytes_per_token: 100_000,
        }],
        pools: vec![Pool {
            name: "models".to_owned(),
            kind: PoolKind::Engine {
                models: vec![ModelKey(0)],
                checks_orders: true,
            },
            hosts: (0..domains).map(|domain| (DomainKey(domain), 1)).collect(),
            host_classes: (0..host_classes.len()).map(ClassKey::from).collect(),
        }],
        host_classes,
        latency_classes: Vec::new(),
        teams: Vec::new(),
        operators: Vec::new(),
    }
}
