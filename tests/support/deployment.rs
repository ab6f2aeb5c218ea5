//! A deployment of stand-ins that fits a document, with nodes in this process.
//!
//! Shared by integration tests and examples.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use teaselline::document::Document;
use teaselline::document::checked::{Pool, PoolKind as CheckedKind};
use teaselline::membership::Member;
use teaselline::node::{self, RunError, RunningNode};
use teaselline::options::{Secret, ServeSettings};
use teaselline_stand_ins::engine::EngineSettings;
use teaselline_stand_ins::service::ServiceSettings;
use teaselline_stand_ins::site::{
    PoolKind, Site, SiteClass, SiteDomain, SiteHosts, SitePool, SiteSettings,
};
use url::Url;

/// The fleet key of all trials.
pub const FLEET_KEY: &str = "a fleet key for trials only";

/// How long a deployment may take to be ready.
const READY_TRIES: u32 = 600;

/// Pause between two looks at whether it is.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Loopback, on a port that the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

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

/// The settings of the `index`th node of a deployment.
pub fn node_settings(document: &Document, site: &Site, index: usize) -> ServeSettings {
    let domain = &document.failure_domains[index % document.failure_domains.len()];
    ServeSettings::new(any_port(), any_port(), any_port())
        .with_name(format!("entry-{index}"))
        .with_location(domain.region.clone(), domain.name.clone())
        .with_platform(
            url(site.log.address()),
            url(site.cloud.address()),
            url(site.weights.address()),
        )
        .with_fleet_key(Secret::new(FLEET_KEY))
        .with_drain_timeout_ms(20_000)
}

/// Starts nodes that know each other from the first one's heartbeat address.
pub async fn start_nodes(
    document: &Document,
    site: &Site,
    count: usize,
) -> Result<Vec<RunningNode>, RunError> {
    let mut nodes: Vec<RunningNode> = Vec::new();
    for index in 0..count {
        let seeds: Vec<_> = nodes.iter().map(|node| node.heartbeat_address).collect();
        let settings = node_settings(document, site, index).with_seeds(seeds);
        nodes.push(node::start(settings).await?);
    }
    Ok(nodes)
}

/// Waits until each node has the revision, knows all others and all hosts; tells whether it came
/// to that.
pub async fn wait_until_ready(nodes: &[RunningNode], revision: u64, hosts: usize) -> bool {
    for _try in 0..READY_TRIES {
        let ready = nodes.iter().all(|started| {
            let mut known = 0;
            started
                .node
                .core
                .blackboard
                .for_each_host(|_row| known += 1);
            let others = started.node.directory.members().into_iter();
            let live = others.filter(Member::is_live).count();
            started.node.revision() >= revision && live >= nodes.len() && known >= hosts
        });
        if ready {
            return true;
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
    false
}
