//! What the tests share.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::task::JoinSet;

use teaselline_stand_ins::operators::deployment::{DeploymentSettings, asked};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Upstream};

/// How long something may take to come about on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Between two looks.
const LOOK: Duration = Duration::from_millis(30);

/// An installation with these numbers of nodes and of upstreams of each service.
pub async fn deployment(nodes: usize, upstreams: usize) -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        nodes,
        upstreams,
        grace_s: 6,
        usage_window_s: 1.0,
        is_proxied: false,
    };
    Deployment::start(settings)
        .await
        .expect("all nodes come to be ready")
}

/// Sends a call to one of the nodes.
pub async fn send(deployment: &Deployment, node: usize, asked: &Asked) -> Ended {
    asked.send(deployment.nodes[node].callers()).await
}

/// Waits until `holds`; fails with `what` if it never does.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "{what}");
        tokio::time::sleep(LOOK).await;
    }
}

/// Callers that ask one call after the other at each node, and their pause in between.
const CALLERS_BY_NODE: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);

/// The time of day in Unix milliseconds.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("it fits")
}

/// Callers that go on until they are told to stop; then how many calls ended with which status.
pub struct Load {
    is_over: Arc<AtomicBool>,
    callers: JoinSet<BTreeMap<Option<u16>, usize>>,
}

impl Load {
    /// Begins to ask all nodes.
    pub fn start(deployment: &Deployment) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for caller in 0..deployment.nodes.len() * CALLERS_BY_NODE {
            let node = deployment.nodes[caller % deployment.nodes.len()].callers();
            let is_over = Arc::clone(&is_over);
            let route = ["once", "again", "stream-on"][caller % CALLERS_BY_NODE];
            callers.spawn(async move {
                let mut ended = BTreeMap::new();
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let call = asked(&format!("l{caller}-{number}"), route);
                    *ended.entry(call.send(node).await.status()).or_default() += 1;
                    tokio::time::sleep(PAUSE).await;
                }
                ended
            });
        }
        Self { is_over, callers }
    }

    /// The node that got a call, of so many.
    pub fn node_of(id: &str, nodes: usize) -> usize {
        let caller = id.strip_prefix('l').and_then(|rest| rest.split('-').next());
        let caller: Option<usize> = caller.and_then(|caller| caller.parse().ok());
        caller.expect("a call of a load") % nodes
    }

    /// Ends it; gives how many calls ended with which status.
    pub async fn end(self) -> BTreeMap<Option<u16>, usize> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut sum = BTreeMap::new();
        for ended in self.callers.join_all().await {
            for (status, count) in ended {
                *sum.entry(status).or_default() += count;
            }
        }
        sum
    }
}

/// The upstream of a service that gets most of the load; nodes may leave one alone that nobody has tried yet.
pub async fn busiest<'a>(deployment: &'a Deployment, service: &str) -> &'a Upstream {
    let of_service = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with(service));
    eventually("the service gets calls", async || {
        of_service().any(|one| one.arrivals().len() > 10)
    })
    .await;
    let most = of_service().max_by_key(|one| one.arrivals().len());
    most.expect("there is one")
}

/// Asks all nodes in turn for a while.
pub async fn call_for(deployment: &Deployment, prefix: &str, span: Duration) {
    let until = tokio::time::Instant::now() + span;
    let mut place = 0;
    while tokio::time::Instant::now() < until {
        let node = place % deployment.nodes.len();
        if deployment.nodes[node].ended().is_none() {
            send(
                deployment,
                node,
                &asked(&format!("{prefix}-{place}"), "once"),
            )
            .await;
        }
        place += 1;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// The node whose call for a duty was accepted last.
pub fn holder(deployment: &Deployment) -> Option<usize> {
    let calls = deployment.cloud.calls();
    let last = calls.iter().rev().find(|call| call.is_accepted)?;
    let mut names = deployment
        .nodes
        .iter()
        .map(|node| node.launch.name.as_str());
    names.position(|name| name == last.holder)
}

/// Each token belongs to one node, and no call was refused for a lower one.
pub fn check_tokens(deployment: &Deployment) {
    let calls = deployment.cloud.calls();
    let mut holders: Vec<(u64, &str)> = calls
        .iter()
        .map(|call| (call.token, call.holder.as_str()))
        .collect();
    holders.sort_unstable();
    holders.dedup();
    let mut tokens: Vec<u64> = holders.iter().map(|(token, _holder)| *token).collect();
    tokens.dedup();
    assert_eq!(tokens.len(), holders.len(), "{holders:?}");
    assert!(calls.iter().all(|call| call.is_accepted), "{calls:?}");
}
