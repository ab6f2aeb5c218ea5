//! Stand-ins that fit a document. Shared by integration tests and examples.

use std::net::SocketAddr;

use teaselline::document::Document;
use teaselline::document::checked::{Pool, PoolKind as CheckedKind};
use teaselline_stand_ins::engine::EngineSettings;
use teaselline_stand_ins::service::ServiceSettings;
use teaselline_stand_ins::site::{
    PoolKind, SiteClass, SiteDomain, SiteHosts, SitePool, SiteSettings,
};
use url::Url;

/// The fleet key of all trials.
pub const FLEET_KEY: &str = "a fleet key for trials only";

/// Stand-ins for everything that a document names.
pub fn site_settings(document: &Document) -> SiteSettings {
    SiteSettings {
        failure_domains: document
            .failure_domains
            .iter()
            .map(|domain| SiteDomain {
                name: domain.name.clone(),
                price_factor: 1.0,
            })
            .collect(),
        host_classes: document
            .host_classes
            .iter()
            .map(|class| SiteClass {
                name: class.name.clone(),
                speed: 1.0,
                price_per_hour: class.price_per_hour,
                reclaimable: class.reclaimable,
            })
            .collect(),
        pools: document
            .pools
            .iter()
            .map(|pool| site_pool(document, pool))
            .collect(),
        ..SiteSettings::default()
    }
}

fn site_pool(document: &Document, pool: &Pool) -> SitePool {
    let classes = || {
        pool.host_classes
            .iter()
            .map(|class| document.host_class(*class))
    };
    let class = classes()
        .find(|class| class.reclaimable)
        .or_else(|| classes().next());
    let class = class.expect("a pool has a class");
    let kind = match &pool.kind {
        CheckedKind::Engine {
            models,
            checks_orders,
        } => PoolKind::Engines(EngineSettings {
            models: models
                .iter()
                .map(|model| document.model(*model))
                .map(|model| (model.name.clone(), model.version.clone()))
                .collect(),
            slots: class.slots as usize,
            tokens_per_second: class.tokens_per_second,
            prefill_tokens_per_second: class.prefill_tokens_per_second,
            min_token_interval_ms: 10.0,
            kv_tokens_capacity: class.kv_tokens_capacity,
            cache_tokens_capacity: class.kv_tokens_capacity,
            kv_bytes_per_token: models
                .iter()
                .map(|model| document.model(*model).kv_bytes_per_token)
                .max()
                .unwrap_or(1),
            kv_bytes_per_second: class.kv_bytes_per_second,
            checks_orders: *checks_orders,
            ..EngineSettings::default()
        }),
        CheckedKind::Service { .. } => PoolKind::Services(ServiceSettings::default()),
    };
    let hosts = pool.hosts.iter().map(|(domain, count)| SiteHosts {
        failure_domain: document.failure_domain(*domain).name.clone(),
        host_class: class.name.clone(),
        count: usize::from(*count),
    });
    SitePool {
        name: pool.name.clone(),
        kind,
        hosts: hosts.collect(),
    }
}

/// A URL on this machine.
pub fn url(address: SocketAddr) -> Url {
    Url::parse(&format!("http://{address}/")).expect("an address makes a URL")
}
