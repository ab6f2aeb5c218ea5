//! Roll-outs: traffic of a service moves to a new version, or is rolled back.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::Deployment;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::Fault;

use super::support::{deployment, eventually, send};

/// Maximum share of all requests that a failing version may receive, and an allowance in requests.
const EXPOSURE_PERCENT: usize = 10;
const EXPOSURE_SLACK: usize = 50;

/// Call rate of the service under test.
const CALLS_PER_S: u64 = 120;

/// Sends calls to all running nodes until `holds` or `span` has passed; returns the number sent.
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
        call.await.expect("the call does not panic");
    }
    sent
}

/// Returns the number of runs at upstreams of the new version.
fn runs_of_new_version(deployment: &Deployment) -> usize {
    let runs = deployment.runs.lock();
    runs.iter()
        .filter(|run| run.upstream.starts_with("new"))
        .count()
}

async fn deployment_with_new_version(nodes: usize, fault: Fault) -> Deployment {
    let mut deployment = deployment(nodes, 4).await;
    for place in 0..4 {
        let id = format!("new-{place}");
        (deployment.add_upstream_of("desk", &id, "v2").await).expect("a port is free");
        deployment
            .upstreams
            .last()
            .expect("the added upstream exists")
            .set(fault);
    }
    deployment
}

/// Guards against half of the calls failing while a bad version runs beside the old one: without a
/// distinction of versions, its upstreams announce themselves and receive calls like all others.
#[tokio::test(flavor = "multi_thread")]
async fn failing_version_is_rolled_back_after_few_calls() {
    let mut deployment = deployment(3, 4).await;
    deployment.roll_out("desk", "v2", 12.0);
    eventually("the roll-out is running", async || {
        deployment.rollout_state("desk").as_deref() == Some("running")
    })
    .await;
    for place in 0..4 {
        let id = format!("new-{place}");
        (deployment.add_upstream_of("desk", &id, "v2").await).expect("a port is free");
        let upstream = deployment
            .upstreams
            .last()
            .expect("the added upstream exists");
        upstream.set(Fault::Fails);
    }
    let is_over = || deployment.rollout_state("desk").as_deref() == Some("rolled_back");
    let sent = call_until(&deployment, Duration::from_secs(12), is_over).await;
    assert!(
        is_over(),
        "{:?} after {sent} calls",
        deployment.rollout_state("desk")
    );
    let until_then = runs_of_new_version(&deployment);
    let allowed = EXPOSURE_SLACK + sent * EXPOSURE_PERCENT / 100;
    assert!(until_then > 0, "the new version received no calls");
    assert!(until_then <= allowed, "{until_then} of {sent}");
    call_until(&deployment, Duration::from_secs(1), || false).await;
    assert_eq!(
        runs_of_new_version(&deployment),
        until_then,
        "the new version receives calls after the rollback"
    );
}

/// Guards against a roll-out that stalls, or calls lost when the old version stops. The lease holder
/// is killed during the roll-out, so its decisions must be known to other nodes; the upstreams of the
/// old version stop responding right after the success, so no call may still be on its way to them.
#[tokio::test(flavor = "multi_thread")]
async fn healthy_version_is_rolled_out_after_the_lease_holder_is_killed() {
    let deployment = deployment_with_new_version(3, Fault::None).await;
    let span = Duration::from_secs(12);
    deployment.roll_out("desk", "v2", span.as_secs_f64());
    call_until(&deployment, Duration::from_secs(3), || false).await;
    let holder = (deployment.cloud.calls().iter().rev())
        .find(|call| call.is_accepted)
        .map(|call| call.holder.clone());
    let node = (deployment.nodes.iter()).find(|node| Some(&node.launch.name) == holder.as_ref());
    let killed = node
        .expect("a node holds the lease")
        .signal(Signal::SIGKILL);
    killed.expect("the node runs");
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
    let alive = alive.expect("two nodes run");
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
