//! One trial: a site, its nodes, and streams that run while something happens to them.

use std::sync::Arc;
use std::time::Duration;

use teaselline::client::call::Call;
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::node::change::Proposal;
use teaselline::node::{self, Started};
use teaselline::options::Secret;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::site::Site;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::deployment::{node_settings, site_settings, url, wait_until_ready};
use crate::load::{self, Load, Seen, Tally};

const DOCUMENT: &str = include_str!("../../sample_configs/valid/kitagawa.json");
const TOKEN: &str = "team-archive-sample";

/// How long a planned stop may take.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// A deployment that serves.
#[derive(Debug)]
pub struct Trial {
    /// The stand-ins.
    pub site: Site,
    /// The nodes, in the order of their start.
    pub nodes: Vec<Started>,
    /// Nodes started so far.
    started: usize,
    /// Hosts listed at the start.
    hosts: usize,
}

impl Trial {
    /// Starts the stand-ins of the sample document and `count` nodes before them.
    pub async fn start(count: usize) -> Self {
        let document = document();
        let site = Site::start(site_settings(&document))
            .await
            .expect("a site starts");
        let mut trial = Self {
            hosts: site.upstreams().len(),
            site,
            nodes: Vec::new(),
            started: 0,
        };
        for _node in 0..count {
            trial.start_node(&document).await;
        }
        let proposal = Proposal {
            base_revision: 0,
            operator: "kobayashi".to_owned(),
            document: DOCUMENT.to_owned(),
        };
        let proposed = trial.nodes[0].node.propose(proposal).await;
        let revision = proposed.expect("the document is accepted");
        assert!(wait_until_ready(&trial.nodes, revision, trial.hosts).await);
        trial
    }

    /// Starts a new node, and once all know it stops the node that has run longest.
    pub async fn replace_oldest(&mut self) {
        self.start_node(&document()).await;
        let revision = self.nodes[0].node.revision();
        assert!(wait_until_ready(&self.nodes, revision, self.hosts).await);
        self.nodes.remove(0).stop().await;
    }

    async fn start_node(&mut self, document: &Document) {
        let seeds = self.nodes.iter().map(|node| node.heartbeat_address);
        let settings = node_settings(document, &self.site, self.started)
            .with_seeds(seeds.collect::<Vec<_>>())
            .with_drain_timeout_ms(DRAIN_TIMEOUT_MS);
        let started = node::start(settings).await;
        self.nodes.push(started.expect("a node starts"));
        self.started += 1;
    }

    /// A caller that knows all nodes.
    pub fn caller(&self) -> Arc<Caller> {
        let urls: Vec<_> = self
            .nodes
            .iter()
            .map(|node| url(node.caller_address))
            .collect();
        Arc::new(Caller::new(&urls, Some(Secret::new(TOKEN))).with_seed(1))
    }

    /// Waits until `count` streams have a token.
    pub async fn until_streaming(&self, count: usize) {
        let has_token = |history: &History| {
            let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
            streams.filter(|stream| stream.generated_tokens > 0).count() >= count
        };
        until("streams to have tokens", || has_token(&self.site.history())).await;
    }

    /// What the callers saw, checked against what ran.
    pub fn check(&self, seen: &[Seen]) -> Tally {
        load::check(seen, &self.site.history())
    }

    /// Streams that are running on these hosts now.
    pub fn running_on(&self, hosts: &[String]) -> usize {
        let ran = self.site.history().ran;
        let on_them = ran.iter().filter(|ran| hosts.contains(&ran.host));
        let streams = on_them.filter_map(|ran| ran.stream.as_ref());
        streams.filter(|stream| stream.finish.is_none()).count()
    }
}

/// Begins the calls all at once.
pub fn begin(caller: &Arc<Caller>, calls: Vec<Call>) -> JoinHandle<Vec<Seen>> {
    let at_once = calls.len();
    tokio::spawn(load::run_calls(Arc::clone(caller), calls, at_once))
}

/// Makes short mixed calls without a break until told to stop.
pub fn keep_calling(caller: &Arc<Caller>) -> KeepCalling {
    let (caller, stop) = (Arc::clone(caller), CancellationToken::new());
    let stopped = stop.clone();
    let task = tokio::spawn(async move {
        let mut seen = Vec::new();
        for seed in 0.. {
            if stopped.is_cancelled() {
                break;
            }
            seen.extend(load::run(Arc::clone(&caller), &short_calls(seed)).await);
        }
        seen
    });
    KeepCalling { task, stop }
}

/// Short calls that go on.
#[derive(Debug)]
pub struct KeepCalling {
    task: JoinHandle<Vec<Seen>>,
    stop: CancellationToken,
}

impl KeepCalling {
    /// Stops after the calls of the moment and gives what was seen.
    pub async fn stop(self) -> Vec<Seen> {
        self.stop.cancel();
        self.task.await.expect("callers do not panic")
    }
}

fn short_calls(seed: u64) -> Load {
    Load {
        calls: 20,
        at_once: 10,
        service_part: 0.3,
        non_idempotent_part: 0.5,
        model: "splice-lookup".to_owned(),
        service: "catalogue".to_owned(),
        tokens: (8, 40),
        seed,
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.abandon();
        }
    }
}

/// The document of all trials.
pub fn document() -> Document {
    Document::parse(DOCUMENT).expect("the sample document has no faults")
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
