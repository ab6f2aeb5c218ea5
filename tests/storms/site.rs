//! A small site for overload tests: few engines with few slots, responses of half a second, many teams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use teaselline::document::Document;
use teaselline::node::RunningNode;
use teaselline::node::change::Proposal;
use teaselline_stand_ins::engine::Engine;
use teaselline_stand_ins::site::{PoolKind, Site, Upstream};

use super::deployment::{site_settings, start_nodes, wait_until_ready};

/// The model that all engines serve.
pub const MODEL: &str = "deposits";
/// A prompt that contains this text crashes its engine.
pub const CRASH_MARK: &str = "sud č. 118 dvakrát";
/// The first-token target of the latency class, in milliseconds.
pub const FIRST_TOKEN_MS: u64 = 500;
/// The deadline of a call, in milliseconds.
pub const DEADLINE_MS: u64 = 20_000;
/// The failure domains; nodes are assigned to them round robin.
pub const DOMAINS: [&str; 3] = ["hala-a", "hala-b", "hala-c"];

/// Maximum attempts to propose the document.
const MAX_PROPOSALS: usize = 5;

/// The size and the timing of a site.
#[derive(Clone, Debug)]
pub struct SiteShape {
    /// Number of nodes.
    pub nodes: usize,
    /// Engines in each failure domain.
    pub engines_per_domain: usize,
    /// Maximum concurrent streams of an engine.
    pub slots: u32,
    /// Interval between two tokens of a stream, in milliseconds.
    pub token_ms: f64,
    /// The deadline of the latency class, in milliseconds.
    pub deadline_ms: u64,
    /// Teams with their weights.
    pub teams: Vec<(&'static str, f64)>,
}

/// A running site with its nodes; aborts the nodes when dropped.
#[derive(Debug)]
pub struct OverloadSite {
    /// The stand-ins of the platform and the engines.
    pub site: Site,
    /// The nodes.
    pub nodes: Vec<RunningNode>,
}

/// Returns the bearer token of a team.
pub fn token(team: &str) -> String {
    format!("token-of-{team}")
}

impl SiteShape {
    /// Returns the maximum number of concurrent streams of the site.
    pub fn total_slots(&self) -> u32 {
        let engines = DOMAINS.len() * self.engines_per_domain;
        u32::try_from(engines).unwrap_or(u32::MAX) * self.slots
    }

    fn document(&self) -> Value {
        let digest = |token: &str| format!("{:x}", Sha256::digest(token.as_bytes()));
        let hosts =
            DOMAINS.map(|name| json!({ "failure_domain": name, "count": self.engines_per_domain }));
        let teams = self.teams.iter().map(|(name, weight)| {
            json!({
                "name": name,
                "token_sha256": digest(&token(name)),
                "weight": weight,
                "max_waiting": 1_000,
                "default_latency_class": "clerk",
            })
        });
        json!({
            "deployment": "storms",
            "measure": { "cost_weight": 0.5, "recomputed_tokens_weight": 0.5 },
            "failure_domains": DOMAINS.map(|name| json!({ "name": name, "region": "bratislava" })),
            "host_classes": [{
                "name": "engine",
                "provider": "dunaj",
                "reclaimable": true,
                "price_per_hour": 0.1,
                "slots": self.slots,
                "tokens_per_second": f64::from(self.slots) * 1_000.0 / self.token_ms,
                "prefill_tokens_per_second": 1e6,
                "kv_tokens_capacity": 1_000_000,
                "kv_bytes_per_second": 1e9,
            }],
            "models": [{
                "name": MODEL,
                "version": "1",
                "adapters": [],
                "weights_bytes": 1_000_000,
                "kv_bytes_per_token": 1_024,
            }],
            "pools": [{
                "name": "engines",
                "kind": { "engine": { "models": [MODEL], "checks_orders": true } },
                "hosts": hosts,
                "host_classes": ["engine"],
            }],
            "latency_classes": [{
                "name": "clerk",
                "first_token_ms": FIRST_TOKEN_MS,
                "between_tokens_ms": 64,
                "deadline_ms": self.deadline_ms,
                "priority": 7,
            }],
            "teams": teams.collect::<Vec<_>>(),
            "operators": [{ "name": "novakova", "token_sha256": digest("operator") }],
        })
    }
}

impl OverloadSite {
    /// Starts stand-ins and nodes; returns `None` if one fails to start or to become ready.
    pub async fn start(shape: &SiteShape) -> Option<Self> {
        let text = shape.document().to_string();
        let document = Document::parse(&text).ok()?;
        let mut settings = site_settings(&document);
        for pool in &mut settings.pools {
            if let PoolKind::Engines(engine) = &mut pool.kind {
                engine.min_token_interval_ms = shape.token_ms;
                engine.crash_mark = Some(CRASH_MARK.to_owned());
            }
        }
        let site = Site::start(settings).await.ok()?;
        let nodes = start_nodes(&document, &site, shape.nodes).await.ok()?;
        let revision = propose(nodes.first()?, &text).await?;
        let ready = wait_until_ready(&nodes, revision, site.upstreams().len()).await;
        ready.then_some(Self { site, nodes })
    }

    /// Returns the addresses at which nodes accept callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.caller_address).collect()
    }

    /// Returns the names of the hosts with their upstreams.
    pub fn hosts(&self) -> Vec<(String, Arc<Upstream>)> {
        self.site.upstreams()
    }

    /// Returns the numbers of attempts and of requests.
    ///
    /// Counts the requests whose home is the node itself. Attempts include those that an upstream
    /// refused.
    pub fn attempts(&self) -> (u64, u64) {
        let (mut attempts, mut requests) = (0, 0);
        for started in &self.nodes {
            let core = &started.node.core;
            for record in core.records.select(|record| record.id.home == core.own) {
                attempts += u64::from(record.attempts());
                requests += 1;
            }
        }
        (attempts, requests)
    }
}

/// Activates the document; retries, because on a busy machine the response of the log may be lost.
async fn propose(node: &RunningNode, document: &str) -> Option<u64> {
    for _try in 0..MAX_PROPOSALS {
        let proposal = Proposal {
            base_revision: node.node.revision(),
            operator: "novakova".to_owned(),
            document: document.to_owned(),
        };
        if let Ok(revision) = node.node.propose(proposal).await {
            return Some(revision);
        }
    }
    None
}

impl Drop for OverloadSite {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.abort();
        }
    }
}

/// Returns the engine, or `None` for another service.
pub fn engine(upstream: &Upstream) -> Option<&Engine> {
    match upstream {
        Upstream::Engine(engine) => Some(engine),
        Upstream::Service(_) => None,
    }
}
