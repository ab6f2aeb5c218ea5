//! Roll-outs: a service's traffic moves to another version, or back.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::Deployment;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::Fault;

use super::support::{deployment, eventually, send};

/// The part of all requests that a bad version may get, and what may come beyond it.
const EXPOSURE_PERCENT: usize = 10;
const EXPOSURE_SLACK: usize = 50;

/// Calls a second of the service under test.
const CALLS_PER_S: u64 = 120;

/// Sends calls to all nodes until something holds; gives how many were sent.
async fn call_until(deployment: &Deployment, span: Duration, holds: impl Fn() -> bool) -> usize {
    let until = tokio::time::Instant::now() + span;
    let mut sent = 0;
    let mut calls = Vec::new();
    while tokio::time::Instant::now() < until && !holds() {
        let alive: Vec<_> = (deployment.nodes.iter())
            .filter(|node| node.ended().is_none())
            .map(teaselline_stand_ins::operators::Node::callers)
            .collect();
        let address = alive[sent % alive.len()];
        let route = if sent % 3 == 0 { "again" } else { "once" };
        let call = asked(&format!("roll-{sent}"), route);
        calls.push(tokio::spawn(async move { call.send(address).await }));
        sent += 1;
        tokio::time::sleep(Duration::from_millis(1_000 / CALLS_PER_S)).await;
    }
    for call in calls {
        call.await.expect("a call");
    }
    sent
}

/// Runs at upstreams of the new version.
fn exposed(deployment: &Deployment) -> usize {
    let runs = deployment.runs.lock();
    runs.iter()
        .filter(|run| run.upstream.starts_with("new"))
        .count()
}

async fn with_new_version(nodes: usize, fault: Fault) -> Deployment {
    let mut deployment = deployment(nodes, 4).await;
    for place in 0..4 {
        let id = format!("new-{place}");
        (deployment.add_upstream_of("desk", &id, "v2").await).expect("a port is free");
        deployment.upstreams.last().expect("just added").set(fault);
    }
    deployment
}

/// Symptom: half of the calls fail for as long as a bad version stands beside the old one.
/// Sequence: its upstreams announce themselves and take calls like any others.
/// Cause: nothing told versions apart.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_is_rolled_back_with_few_calls_to_it() {
    let mut deployment = deployment(3, 4).await;
    deployment.roll_out("desk", "v2", 12.0);
    eventually("the order is taken up", async || {
        deployment.rollout_state("desk").as_deref() == Some("running")
    })
    .await;
    for place in 0..4 {
        let id = format!("new-{place}");
        (deployment.add_upstream_of("desk", &id, "v2").await).expect("a port is free");
        let upstream = deployment.upstreams.last().expect("just added");
        upstream.set(Fault::Fails);
    }
    let is_over = || deployment.rollout_state("desk").as_deref() == Some("rolled_back");
    let sent = call_until(&deployment, Duration::from_secs(12), is_over).await;
    assert!(
        is_over(),
        "{:?} after {sent} calls",
        deployment.rollout_state("desk")
    );
    let until_then = exposed(&deployment);
    let allowed = EXPOSURE_SLACK + sent * EXPOSURE_PERCENT / 100;
    assert!(until_then > 0, "it was tried");
    assert!(until_then <= allowed, "{until_then} of {sent}");
    call_until(&deployment, Duration::from_secs(1), || false).await;
    assert_eq!(
        exposed(&deployment),
        until_then,
        "nothing goes there any more"
    );
}

/// Symptom: a good version is not taken over, or calls are lost when the old one stops.
/// Sequence: the node with the duties is killed in the middle; when the roll-out has succeeded, the
/// old version's upstreams stop at once.
/// Cause: what was decided was known to one node; calls were still on their way to the old version.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_takes_over_although_the_holder_is_killed() {
    let deployment = with_new_version(3, Fault::None).await;
    let span = Duration::from_secs(12);
    deployment.roll_out("desk", "v2", span.as_secs_f64());
    call_until(&deployment, Duration::from_secs(3), || false).await;
    let holder = (deployment.cloud.calls().iter().rev())
        .find(|call| call.is_accepted)
        .map(|call| call.holder.clone());
    let node = (deployment.nodes.iter()).find(|node| Some(&node.launch.name) == holder.as_ref());
    let killed = node.expect("one has the duties").signal(Signal::SIGKILL);
    killed.expect("it lives");
    let is_over = || deployment.rollout_state("desk").as_deref() == Some("succeeded");
    call_until(&deployment, span, is_over).await;
    assert!(is_over(), "{:?}", deployment.rollout_state("desk"));
    for upstream in &deployment.upstreams {
        if upstream.id().starts_with("desk") {
            upstream.set(Fault::Silent);
        }
    }
    let alive = deployment
        .nodes
        .iter()
        .position(|node| node.ended().is_none());
    let alive = alive.expect("two nodes live");
    for number in 0..20 {
        let ended = send(
            &deployment,
            alive,
            &asked(&format!("after-{number}"), "once"),
        )
        .await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
}
