//! One deployment with its nodes, and questions to its cloud.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use teaselline::document::Document;
use teaselline::node::change::Proposal;
use teaselline::node::placement_control::lease_name;
use teaselline::node::{self, RunningNode};
use teaselline_stand_ins::proxy::{ProxySettings, TcpProxy};
use teaselline_stand_ins::site::{Site, Upstream};

use crate::deployment::{node_settings, site_settings, url, wait_until_ready};
use crate::trial;

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_600;
const PAUSE: Duration = Duration::from_millis(25);

/// Deadline of calls in the trial document.
const DEADLINE_MS: u64 = 10_000;

/// Engines in each failure domain.
pub const ENGINES: u32 = 2;

/// Longer than a holder acts without the log, and than its lease lasts.
pub const LEASE_OVER: Duration = Duration::from_secs(16);

/// Several rounds of the controllers.
pub const ROUNDS: Duration = Duration::from_secs(5);

/// A deployment that serves.
#[derive(Debug)]
pub struct Deployment {
    /// The stand-ins.
    pub site: Site,
    /// The nodes, in the order of their start.
    pub nodes: Vec<RunningNode>,
    /// What stands between each node and the log.
    pub to_log: Vec<TcpProxy>,
}

impl Deployment {
    /// Starts the stand-ins of a document and three nodes, and waits until all leases are held.
    pub async fn start(text: &str) -> Self {
        let document = Document::parse(text).expect("the document has no faults");
        let site = Site::start(site_settings(&document)).await;
        let mut deployment = Self {
            site: site.expect("a site starts"),
            nodes: Vec::new(),
            to_log: Vec::new(),
        };
        for index in 0..3 {
            deployment.start_node(&document, index).await;
        }
        let revision = deployment.change(0, text).await;
        let hosts = deployment.site.upstreams().len();
        assert!(wait_until_ready(&deployment.nodes, revision, hosts).await);
        for domain in &document.failure_domains {
            let held = || deployment.holder(&domain.name).is_some();
            until("a lease to be held", held).await;
        }
        deployment
    }

    async fn start_node(&mut self, document: &Document, index: usize) {
        let proxy = TcpProxy::start(ProxySettings::new(self.site.log.address())).await;
        let proxy = proxy.expect("a proxy starts");
        let seeds = self.nodes.iter().map(|node| node.heartbeat_address);
        let settings = node_settings(document, &self.site, index)
            .with_platform(
                url(proxy.address()),
                url(self.site.cloud.address()),
                url(self.site.weights.address()),
            )
            .with_seeds(seeds.collect::<Vec<_>>());
        let started = node::start(settings).await;
        self.nodes.push(started.expect("a node starts"));
        self.to_log.push(proxy);
    }

    /// Changes the document on top of a revision; gives the new revision.
    pub async fn change(&self, base_revision: u64, text: &str) -> u64 {
        let proposal = Proposal {
            base_revision,
            operator: "novakova".to_owned(),
            document: text.to_owned(),
        };
        let proposed = self.nodes[0].node.propose(proposal).await;
        proposed.expect("the document is accepted")
    }

    /// The node that may act on a failure domain now.
    pub fn holder(&self, domain: &str) -> Option<usize> {
        let lease = lease_name(domain);
        let may_act = |started: &RunningNode| {
            let node = &started.node;
            let now = node.core.clock.now();
            node.leases.held_token(&lease, now).is_some()
        };
        self.nodes.iter().position(may_act)
    }

    /// Hosts of a pool in a failure domain that are held and not about to go.
    pub fn held(&self, pool: &str, domain: &str) -> Vec<String> {
        let hosts = self.site.cloud.hosts().into_iter();
        let held = hosts.filter(|host| host.gone_ms.is_none() && host.noticed_ms.is_none());
        let here = held.filter(|h| h.spec.pool == pool && h.spec.failure_domain == domain);
        here.map(|host| host.spec.host).collect()
    }

    /// Engines held in all failure domains.
    pub fn engines(&self) -> usize {
        let held = trial::DOMAINS.iter();
        held.map(|domain| self.held("engines", domain).len()).sum()
    }

    /// The address of an engine.
    pub fn engine_address(&self, host: &str) -> SocketAddr {
        match &*self.site.upstream(host).expect("the host ran") {
            Upstream::Engine(engine) => engine.address(),
            Upstream::Service(_) => panic!("{host} is no engine"),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.abort();
        }
    }
}

/// The trial document with two engines in each failure domain, of a class that may be reclaimed and
/// of one that may not.
pub fn document() -> Value {
    let text = trial::document(DEADLINE_MS);
    let mut document: Value = serde_json::from_str(&text).expect("the document is JSON");
    let mut steady = document["host_classes"][0].clone();
    steady["name"] = "engine-steady".into();
    steady["reclaimable"] = false.into();
    steady["price_per_hour"] = 0.4.into();
    let classes = document["host_classes"].as_array_mut();
    classes.expect("there are classes").push(steady);
    let engines = &mut document["pools"][0];
    engines["host_classes"] = json!(["engine", "engine-steady"]);
    let hosts = engines["hosts"].as_array_mut().expect("there are hosts");
    for group in hosts {
        group["count"] = ENGINES.into();
    }
    document
}

/// Waits until something has come about.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _try in 0..TRIES {
        if holds() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain for {what}");
}
