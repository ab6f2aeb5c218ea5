//! Nodes that stand still for a while, once or again and again, and find their answers in their sockets when they go on.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use teaselline_stand_ins::operators::deployment::{Deployment, asked};
use teaselline_stand_ins::operators::{Asked, Ended, Node};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::support::{deployment, eventually, now_ms};

/// Longer than all timeouts of an attempt, and than a stream of the stand-ins.
const FROZEN: Duration = Duration::from_millis(1_900);

/// Streams of each kind that run while the node is frozen.
const STREAMS: usize = 10;

/// Time for which a slow node stands still and then runs, again and again.
const SLOW_PERIODS: [(Duration, Duration); 2] = [
    (Duration::from_millis(20), Duration::from_millis(4)),
    (Duration::from_millis(250), Duration::from_millis(50)),
];

/// Time for which a node is slow; its streams end within it.
const SLOW: Duration = Duration::from_millis(2_400);

/// Pause between two events of streams that go on for a while; far below all timeouts of a silence.
const EVENT_PAUSE_MS: u64 = 170;

/// Time after which a node has read a record of the store.
const READ: Duration = Duration::from_millis(500);

/// Time after which calls have reached their upstreams.
const SENT: Duration = Duration::from_millis(100);

/// Time after which upstreams that stand still answer the calls of a node that is frozen by then.
const ANSWERED_AFTER_MS: u64 = 630;

/// Longer than what an upstream had sent before it restarted is awaited.
const FROZEN_AFTER_RESTART: Duration = Duration::from_millis(750);

type Call = (String, JoinHandle<Ended>);

/// Sends streams on these routes and returns them once all of them run.
async fn begin_streams(deployment: &Deployment, case: &str, routes: &[&str]) -> Vec<Call> {
    let callers = deployment.nodes[0].callers();
    let calls: Vec<Call> = (0..STREAMS)
        .flat_map(|place| routes.iter().map(move |route| (place, route)))
        .map(|(place, route)| {
            let id = format!("{case}-{route}-{place}");
            let call = Asked {
                deadline_ms: 8_000,
                ..asked(&id, route)
            };
            (id, tokio::spawn(async move { call.send(callers).await }))
        })
        .collect();
    eventually("all streams run", async || {
        (calls.iter()).all(|(id, _call)| !deployment.runs_of(id).is_empty())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    calls
}

/// Sends streams that go on for nearly two seconds and returns them once all of them run.
async fn begin_long_streams(deployment: &Deployment, case: &str, routes: &[&str]) -> Vec<Call> {
    for upstream in &deployment.upstreams {
        upstream.pause_between_events(EVENT_PAUSE_MS);
    }
    begin_streams(deployment, case, routes).await
}

/// Stops and continues a node again and again.
async fn slow_down(node: &Node, stopped: Duration, running: Duration) {
    let until = Instant::now() + SLOW;
    while Instant::now() < until {
        node.signal(Signal::SIGSTOP).expect("the node runs");
        tokio::time::sleep(stopped).await;
        node.signal(Signal::SIGCONT).expect("the node runs");
        tokio::time::sleep(running).await;
    }
}

/// Has the store state a newer start of all upstreams, whose streams go on.
fn state_restarts(deployment: &Deployment) {
    for upstream in &deployment.upstreams {
        let (service, _number) = upstream.id().split_once('-').expect("the id names it");
        let record = json!({
            "service": service, "address": upstream.address().to_string(), "zone": upstream.zone(),
            "version": upstream.version(), "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "seq": 1, "born": now_ms() + 1_000,
        });
        upstream.overwrite(&record.to_string());
    }
}

async fn assert_whole_from_one_upstream(deployment: &Deployment, calls: Vec<Call>) {
    for (id, call) in calls {
        let ended = call.await.expect("the call does not panic");
        assert_eq!(ended.status(), Some(200), "{id}: {ended:?}");
        assert!(ended.body().contains("id: 10\n"), "{id}: {ended:?}");
        assert_eq!(deployment.runs_of(&id).len(), 1, "{id}");
    }
}

/// Guards against streams that a node takes for silent, since its timers run out before it reads what came while it stood still: those
/// that may not be resumed would be cut, others would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_frozen_node_arrive_whole_from_their_upstreams() {
    let deployment = deployment(1, 2).await;
    let node = &deployment.nodes[0];
    let calls = begin_streams(&deployment, "frozen", &["stream", "stream-on"]).await;
    node.signal(Signal::SIGSTOP).expect("the node runs");
    tokio::time::sleep(FROZEN).await;
    node.signal(Signal::SIGCONT).expect("the node runs");
    assert_whole_from_one_upstream(&deployment, calls).await;
}

/// Guards against streams that a node takes for silent since it is merely slow, none of its pauses long enough to stand out.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_slow_node_arrive_whole_from_their_upstreams() {
    for (stopped, running) in SLOW_PERIODS {
        let deployment = deployment(1, 2).await;
        let case = format!("slow-{}", stopped.as_millis());
        let calls = begin_long_streams(&deployment, &case, &["stream", "stream-on"]).await;
        slow_down(&deployment.nodes[0], stopped, running).await;
        assert_whole_from_one_upstream(&deployment, calls).await;
    }
}

/// Guards against answers that are cut since a node that stood still acts on a restart of their upstream before it reads what has come.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_frozen_node_arrive_whole_although_their_upstream_has_restarted() {
    let deployment = deployment(1, 2).await;
    let node = &deployment.nodes[0];
    let calls = begin_long_streams(&deployment, "restarted", &["stream"]).await;
    state_restarts(&deployment);
    tokio::time::sleep(READ).await;
    node.signal(Signal::SIGSTOP).expect("the node runs");
    tokio::time::sleep(FROZEN_AFTER_RESTART).await;
    node.signal(Signal::SIGCONT).expect("the node runs");
    assert_whole_from_one_upstream(&deployment, calls).await;
}

/// Guards against answers that are cut since a slow node acts on a restart of their upstream before it reads what has come.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_slow_node_arrive_whole_although_their_upstream_has_restarted() {
    for (stopped, running) in SLOW_PERIODS {
        let deployment = deployment(1, 2).await;
        let case = format!("slow-restarted-{}", stopped.as_millis());
        let calls = begin_long_streams(&deployment, &case, &["stream"]).await;
        state_restarts(&deployment);
        slow_down(&deployment.nodes[0], stopped, running).await;
        assert_whole_from_one_upstream(&deployment, calls).await;
    }
}

/// Guards against calls that may run once and get 502 since a node that stood still acts on a restart of their upstream before it reads
/// the answer.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_frozen_node_are_answered_although_their_upstream_has_restarted() {
    let deployment = deployment(1, 2).await;
    let node = &deployment.nodes[0];
    for upstream in &deployment.upstreams {
        upstream.stand_still(ANSWERED_AFTER_MS);
    }
    let callers = node.callers();
    let calls: Vec<Call> = (0..STREAMS)
        .map(|place| {
            let id = format!("restarted-once-{place}");
            let call = asked(&id, "once");
            (id, tokio::spawn(async move { call.send(callers).await }))
        })
        .collect();
    tokio::time::sleep(SENT).await;
    state_restarts(&deployment);
    tokio::time::sleep(READ).await;
    node.signal(Signal::SIGSTOP).expect("the node runs");
    tokio::time::sleep(FROZEN_AFTER_RESTART).await;
    node.signal(Signal::SIGCONT).expect("the node runs");
    for (id, call) in calls {
        let ended = call.await.expect("the call does not panic");
        assert_eq!(ended.status(), Some(200), "{id}: {ended:?}");
        assert_eq!(deployment.runs_of(&id).len(), 1, "{id}");
    }
}
