//! Shared helpers: deployments, calls, background load and polling.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::task::JoinSet;

use teaselline_stand_ins::operators::deployment::{DeploymentSettings, asked};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Upstream};

/// Maximum wait for a condition; generous, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Starts a deployment with `nodes` nodes and `upstreams` upstreams per service.
pub async fn deployment(nodes: usize, upstreams: usize) -> Deployment {
    start(nodes, upstreams, false).await
}

/// The same with the window over which operators judge the limits of teams.
pub async fn deployment_with_limits(nodes: usize, upstreams: usize) -> Deployment {
    start(nodes, upstreams, true).await
}

async fn start(nodes: usize, upstreams: usize, has_quota_window: bool) -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        nodes,
        upstreams,
        grace_s: 6,
        usage_window_s: 1.0,
        has_quota_window,
        is_proxied: false,
        host: None,
    };
    Deployment::start(settings)
        .await
        .expect("all nodes become ready")
}

/// Most memory that the node may gain, half of the smallest host that operators name.
pub const MAX_GAINED_KB: u64 = 80 * 1024;

/// The most memory that the node's process has held, in kilobytes.
pub fn peak_kb(deployment: &Deployment) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", deployment.nodes[0].process_id()));
    let status = status.expect("the node runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    peak.and_then(|peak| peak.parse().ok())
        .expect("the process has a peak")
}

/// Sends a call to the node at index `node`.
pub async fn send(deployment: &Deployment, node: usize, asked: &Asked) -> Ended {
    asked.send(deployment.nodes[node].callers()).await
}

/// Polls until `holds` returns true; panics with `message` after `WAIT_TIMEOUT`.
pub async fn eventually(message: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "{message}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Number of callers per node; each sends one call at a time.
const CALLERS_PER_NODE: usize = 3;

/// Delay of a caller between the end of a call and its next call.
const CALL_DELAY: Duration = Duration::from_millis(60);

/// The time of day in Unix milliseconds.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("the clock is set after 1970").as_millis())
        .expect("Unix milliseconds fit into u64")
}

/// Background callers that send calls until `end`; counts the calls by response status.
pub struct Load {
    is_over: Arc<AtomicBool>,
    callers: JoinSet<BTreeMap<Option<u16>, usize>>,
}

impl Load {
    /// Starts the callers of all nodes.
    pub fn start(deployment: &Deployment) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for caller in 0..deployment.nodes.len() * CALLERS_PER_NODE {
            let node = deployment.nodes[caller % deployment.nodes.len()].callers();
            let is_over = Arc::clone(&is_over);
            let route = ["once", "again", "stream-on"][caller % CALLERS_PER_NODE];
            callers.spawn(async move {
                let mut ended = BTreeMap::new();
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let call = asked(&format!("l{caller}-{number}"), route);
                    *ended.entry(call.send(node).await.status()).or_default() += 1;
                    tokio::time::sleep(CALL_DELAY).await;
                }
                ended
            });
        }
        Self { is_over, callers }
    }

    /// Returns the index of the node that received the call with this id, for `nodes` nodes.
    pub fn node_of(id: &str, nodes: usize) -> usize {
        let caller = id.strip_prefix('l').and_then(|rest| rest.split('-').next());
        let caller: Option<usize> = caller.and_then(|caller| caller.parse().ok());
        caller.expect("the id of a call of a load") % nodes
    }

    /// Stops the callers; returns the number of calls by status, `None` for calls without a whole response.
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

/// Returns the upstream of a service with the most requests; nodes may not have tried all upstreams yet.
pub async fn busiest<'a>(deployment: &'a Deployment, service: &str) -> &'a Upstream {
    let of_service = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with(service));
    eventually("the service receives calls", async || {
        of_service().any(|one| one.arrivals().len() > 10)
    })
    .await;
    let most = of_service().max_by_key(|one| one.arrivals().len());
    most.expect("the service has an upstream")
}

/// Sends calls to all running nodes in turn for the duration `span`.
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

/// Returns the index of the node whose call for a duty the cloud accepted last.
pub fn holder(deployment: &Deployment) -> Option<usize> {
    let calls = deployment.cloud.calls();
    let last = calls.iter().rev().find(|call| call.is_accepted)?;
    let mut names = deployment
        .nodes
        .iter()
        .map(|node| node.launch.name.as_str());
    names.position(|name| name == last.holder)
}

/// Asserts that each fencing token belongs to one node and that no call was refused as stale.
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
