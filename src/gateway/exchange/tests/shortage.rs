//! A pool of engines that other nodes have filled, and requests of one caller.

use serde_json::json;
use teaselline_stand_ins::operators::{Asked, Ended};

use super::*;
use crate::gateway::scheduling::demand::{DemandReport, Kind, KindDemand, Source};
use crate::gateway::scheduling::gate;
use crate::gateway::shutdown::Shutdown;
use crate::gateway::upstreams::Load;
use crate::limits::TeamTag;

/// Target for the first token, and the time that callers wait.
const TARGET_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 15_000;

/// Tokens that an engine reads in 2.5 s at the speed that is assumed at first.
const BACKLOG_TOKENS: u64 = 112_500;

/// The incarnation of the node that fills the engines.
const PEER: u64 = 99;

fn prompted(id: &str) -> Asked {
    Asked {
        deadline_ms: DEADLINE_MS,
        ..asked(id, "stream")
    }
    .with_prompt(40)
}

/// Sends a request without waiting for its end.
fn ask(test_node: &TestNode, id: &str) -> tokio::task::JoinHandle<Ended> {
    let (asked, callers) = (prompted(id), test_node.callers);
    tokio::spawn(async move { asked.send(callers).await })
}

/// States that a peer has this much to be read at each engine.
fn fill(node: &Gateway, unread_tokens: u64) {
    let load = Load {
        running: 1,
        unread_tokens,
    };
    let mut upstreams = node.upstreams.lock();
    let loads: Vec<(u64, Load)> = (upstreams.iter())
        .filter(|(_key, upstream)| upstream.announcement.pool == "pool")
        .map(|(_key, upstream)| (upstream.tag, load))
        .collect();
    upstreams.set_peer_loads(PEER, &loads);
}

fn is_short(node: &Gateway) -> bool {
    let scheduling = node.scheduling.lock();
    scheduling.iter().any(|state| state.scheduler.is_short())
}

fn waiting(node: &Gateway) -> u32 {
    let scheduling = node.scheduling.lock();
    scheduling
        .iter()
        .map(|state| state.scheduler.queue().len())
        .sum()
}

/// Returns a node whose engines have more to read than they can in time.
async fn full_node(upstreams: &Upstreams) -> TestNode {
    let test_node = TestNode::start("short", upstreams, Link::Works).await;
    configure_with(&test_node.node, |document| {
        document["services"][1]["engine"] = json!({"slots": 64});
        let routes = document["routes"].as_array_mut().expect("routes");
        for route in routes {
            route["timeoutMs"] = json!(DEADLINE_MS);
            route["targetLatencyMs"] = json!(TARGET_MS);
        }
    });
    fill(&test_node.node, BACKLOG_TOKENS);
    test_node
}

/// Returns a node whose pool is short.
async fn short_node(upstreams: &Upstreams) -> TestNode {
    let test_node = full_node(upstreams).await;
    test_node.node.scheduling.lock().switch_on();
    tokio::spawn(gate::run(Arc::clone(&test_node.node)));
    eventually(|| is_short(&test_node.node)).await;
    test_node
}

/// Returns a peer's report that asks for more than any pool can read.
fn endless_demand() -> DemandReport {
    let kind = Kind {
        team: TeamTag::of("archive"),
        urgency: 3,
    };
    DemandReport {
        source: Source::Node(PEER),
        pool: tag("pool"),
        nodes: 1,
        kinds: vec![KindDemand {
            kind,
            tokens_per_s: 1e12,
        }],
    }
}

/// Guards against a part that decides, tells peers or shows anything while it is switched off.
#[tokio::test(flavor = "multi_thread")]
async fn requests_start_at_once_and_nothing_is_told_while_switched_off() {
    let upstreams = Upstreams::start().await;
    let test_node = full_node(&upstreams).await;
    let node = &test_node.node;
    tokio::spawn(gate::run(Arc::clone(node)));
    node.scheduling
        .lock()
        .record_report(endless_demand(), clock::now());
    tokio::time::sleep(Duration::from_millis(600)).await;
    let ended = ask(&test_node, "off").await.expect("the request ends");
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    assert_eq!(upstreams.runs_of("off").len(), 1);
    let scheduling = node.scheduling.lock();
    assert_eq!(scheduling.iter().count(), 0);
    let now = clock::now();
    assert_eq!(scheduling.own_reports(node.incarnation, now), Vec::new());
    assert_eq!(scheduling.group_reports(1, now), Vec::new());
}

/// Guards against requests that a short pool refuses after an upstream has received them.
#[tokio::test(flavor = "multi_thread")]
async fn request_above_its_share_is_refused_as_not_run() {
    let upstreams = Upstreams::start().await;
    let test_node = short_node(&upstreams).await;
    // The report counts from the next division of the room on.
    eventually(|| {
        let mut scheduling = test_node.node.scheduling.lock();
        scheduling.record_report(endless_demand(), clock::now());
        let mut states = scheduling.iter();
        states.any(|state| state.scheduler.demand_tokens_per_s() > 1e9)
    })
    .await;
    let ended = ask(&test_node, "above").await.expect("the request ends");
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert!(ended.body().contains("over_share"), "{ended:?}");
    assert!(upstreams.runs_of("above").is_empty());
}

/// Guards against requests that wait although the engines have read what was ahead of them.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_is_sent_when_the_engines_have_room() {
    let upstreams = Upstreams::start().await;
    let test_node = short_node(&upstreams).await;
    let request = ask(&test_node, "waits");
    eventually(|| waiting(&test_node.node) == 1).await;
    assert!(upstreams.runs_of("waits").is_empty());
    fill(&test_node.node, 0);
    let ended = request.await.expect("the request ends");
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    assert_eq!(upstreams.runs_of("waits").len(), 1);
}

/// Guards against requests that wait for room at a node that stops, until their callers give up.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_is_refused_when_its_node_stops() {
    let upstreams = Upstreams::start().await;
    let test_node = short_node(&upstreams).await;
    let request = ask(&test_node, "stops");
    eventually(|| waiting(&test_node.node) == 1).await;
    *test_node.node.stop.lock() = Some(Shutdown {
        requested_at: clock::now(),
        grace_ms: DEADLINE_MS,
    });
    test_node.node.stopping.cancel();
    let ended = request.await.expect("the request ends");
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert!(ended.body().contains("stopping"), "{ended:?}");
    assert!(upstreams.runs_of("stops").is_empty());
}

/// Guards against requests that are sent although their callers have left the queue.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_caller_leaves_the_queue_is_not_sent() {
    let upstreams = Upstreams::start().await;
    let test_node = short_node(&upstreams).await;
    let request = ask(&test_node, "leaves");
    eventually(|| waiting(&test_node.node) == 1).await;
    request.abort();
    eventually(|| waiting(&test_node.node) == 0).await;
    fill(&test_node.node, 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(upstreams.runs_of("leaves").is_empty());
}
