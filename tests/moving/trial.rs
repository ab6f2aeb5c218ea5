//! One trial: a site, its nodes, and streams that run while something happens to them.

use std::sync::Arc;
use std::time::Duration;

use teaselline::blackboard::HostState;
use teaselline::client::call::Call;
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::keys::HostKey;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::site::Site;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::deployment::{site_settings, url};
use crate::load::{self, Load, Seen, Tally};
use crate::runtimes::{self, RuntimeNode, configure, team_token, wait_until_ready};

const DOCUMENT: &str = include_str!("../../sample_configs/valid/kitagawa.json");

/// How long a planned stop may take.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// Trials at once; a machine that is busy with more would be late for the notices.
static TURNS: Semaphore = Semaphore::const_new(3);

/// A deployment that serves.
#[derive(Debug)]
pub struct Trial {
    /// The stand-ins.
    pub site: Site,
    /// The nodes, in the order of their start.
    pub nodes: Vec<RuntimeNode>,
    document: Document,
    _turn: SemaphorePermit<'static>,
    /// Nodes started so far.
    started: usize,
    /// Hosts listed at the start.
    hosts: usize,
}

impl Trial {
    /// Starts the stand-ins of the sample document and `count` nodes before them.
    pub async fn start(count: usize) -> Self {
        let turn = TURNS.acquire().await.expect("it is never closed");
        let document = Document::parse(DOCUMENT).expect("the sample document has no faults");
        let site = Site::start(site_settings(&document))
            .await
            .expect("a site starts");
        let mut trial = Self {
            hosts: site.upstreams().len(),
            site,
            nodes: Vec::new(),
            document,
            _turn: turn,
            started: 0,
        };
        for _node in 0..count {
            trial.start_node().await;
        }
        let configured = configure(&trial.nodes[0], DOCUMENT).await;
        let revision = configured.expect("the document is accepted");
        trial.until_ready(revision).await;
        trial
    }

    /// Starts a new node, and once all know it stops the node that has run longest.
    pub async fn replace_oldest(&mut self) {
        self.start_node().await;
        self.until_ready(self.nodes[0].started.node.revision())
            .await;
        self.nodes.remove(0).stop().await;
    }

    async fn start_node(&mut self) {
        let seeds = runtimes::seeds(&self.nodes);
        let (document, site) = (&self.document, &self.site);
        let node = RuntimeNode::start(document, site, self.started, &seeds, DRAIN_TIMEOUT_MS);
        self.nodes.push(node.await.expect("a node starts"));
        self.started += 1;
    }

    async fn until_ready(&self, revision: u64) {
        let ready = wait_until_ready(&self.nodes, revision, self.hosts).await;
        ready.expect("the nodes get ready");
    }

    /// A caller that knows all nodes.
    pub fn caller(&self) -> Arc<Caller> {
        caller_of(&self.nodes)
    }

    /// Waits until `count` streams have a token.
    pub async fn until_streaming(&self, count: usize) {
        let has_token = |history: &History| {
            let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
            streams.filter(|stream| stream.generated_tokens > 0).count() >= count
        };
        until("streams to have tokens", || has_token(&self.site.history())).await;
    }

    /// Waits until `count` streams have come to a position.
    pub async fn until_position(&self, count: usize, position: u64) {
        let is_there = |history: &History| {
            let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
            streams.filter(|stream| stream.end() >= position).count() >= count
        };
        until("streams to get on", || is_there(&self.site.history())).await;
    }

    /// Waits until the first stream has been moved off its host.
    pub async fn until_moving(&self) {
        let has_moved = |history: &History| history.ran.iter().any(|ran| ran.number > 1);
        until("a stream to move", || has_moved(&self.site.history())).await;
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

    /// Executions that have begun on these hosts so far.
    pub fn begun_on(&self, hosts: &[String]) -> usize {
        let ran = self.site.history().ran;
        ran.iter().filter(|ran| hosts.contains(&ran.host)).count()
    }
}

/// A caller that knows these nodes.
pub fn caller_of(nodes: &[RuntimeNode]) -> Arc<Caller> {
    let urls: Vec<_> = nodes
        .iter()
        .map(|node| url(node.started.caller_address))
        .collect();
    Arc::new(Caller::new(&urls, Some(team_token())).with_seed(1))
}

/// Whether this node gives no work to any of these hosts.
pub fn knows_leaving(node: &RuntimeNode, hosts: &[String]) -> bool {
    let blackboard = &node.started.node.core.blackboard;
    let leaves = |host: &String| {
        let state = blackboard.with_host(HostKey::of(host), |row| row.state);
        !matches!(state, Some(HostState::Live))
    };
    hosts.iter().all(leaves)
}

/// Begins the calls all at once.
pub fn begin(caller: &Arc<Caller>, calls: Vec<Call>) -> JoinHandle<Vec<Seen>> {
    let at_once = calls.len();
    tokio::spawn(load::run_calls(Arc::clone(caller), calls, at_once))
}

/// Makes such calls without a break until told to stop.
pub fn keep_calling(caller: &Arc<Caller>, load: &Load) -> KeepCalling {
    let (caller, stop) = (Arc::clone(caller), CancellationToken::new());
    let (load, stopped) = (load.clone(), stop.clone());
    let task = tokio::spawn(async move {
        let mut seen = Vec::new();
        for seed in 0.. {
            if stopped.is_cancelled() {
                break;
            }
            let load = Load {
                seed,
                ..load.clone()
            };
            seen.extend(load::run(Arc::clone(&caller), &load).await);
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

/// Short calls of all kinds.
pub fn mixed_calls() -> Load {
    Load {
        calls: 20,
        at_once: 10,
        service_part: 0.3,
        non_idempotent_part: 0.5,
        model: "splice-lookup".to_owned(),
        service: "catalogue".to_owned(),
        tokens: (8, 40),
        seed: 0,
    }
}

/// Short calls that need no other node.
pub fn idempotent_calls() -> Load {
    Load {
        service_part: 0.0,
        non_idempotent_part: 0.0,
        ..mixed_calls()
    }
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
