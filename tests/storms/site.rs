//! A small site for storms: few engines with few slots, answers of half a second, many teams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use teaselline::document::Document;
use teaselline::node::Started;
use teaselline::node::change::Proposal;
use teaselline_stand_ins::engine::Engine;
use teaselline_stand_ins::site::{PoolKind, Site, Upstream};

use super::deployment::{site_settings, start_nodes, wait_until_ready};

/// The model.
pub const MODEL: &str = "deposits";
/// A prompt that holds this text kills its engine.
pub const CRASH_MARK: &str = "sud č. 118 dvakrát";
/// The first token is due within so long.
pub const FIRST_TOKEN_MS: u64 = 500;
/// A call is given up after so long.
pub const DEADLINE_MS: u64 = 20_000;
/// The failure domains; nodes are placed in them in turn.
pub const DOMAINS: [&str; 3] = ["hala-a", "hala-b", "hala-c"];

/// How often the document is proposed.
const PROPOSALS: usize = 5;

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Nodes.
    pub nodes: usize,
    /// Engines in each failure domain.
    pub engines_per_domain: usize,
    /// Streams that an engine runs at once.
    pub slots: u32,
    /// Between two tokens of a stream.
    pub token_ms: f64,
    /// A call is given up after so long.
    pub deadline_ms: u64,
    /// Teams with their weights.
    pub teams: Vec<(&'static str, f64)>,
}

/// A site that serves.
#[derive(Debug)]
pub struct StormSite {
    /// The stand-ins.
    pub site: Site,
    /// The nodes.
    pub nodes: Vec<Started>,
}

/// The token of a team.
pub fn token(team: &str) -> String {
    format!("token-of-{team}")
}

impl Shape {
    /// Streams that the site runs at once.
    pub fn slots_in_all(&self) -> u32 {
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

impl StormSite {
    /// Starts stand-ins and nodes; `None` if they do not get ready.
    pub async fn start(shape: &Shape) -> Option<Self> {
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

    /// Where callers reach the nodes.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.caller_address).collect()
    }

    /// The hosts, with what runs on them.
    pub fn hosts(&self) -> Vec<(String, Arc<Upstream>)> {
        self.site.upstreams()
    }

    /// The attempts at upstreams that the nodes began for requests of their own, those that an
    /// upstream turned down included, and the requests.
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

/// Puts the document in force; a busy machine may lose the answer of the log, so it is tried again.
async fn propose(node: &Started, document: &str) -> Option<u64> {
    for _try in 0..PROPOSALS {
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

impl Drop for StormSite {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.abandon();
        }
    }
}

/// The engine that runs on a host.
pub fn engine(upstream: &Upstream) -> Option<&Engine> {
    match upstream {
        Upstream::Engine(engine) => Some(engine),
        Upstream::Service(_) => None,
    }
}
