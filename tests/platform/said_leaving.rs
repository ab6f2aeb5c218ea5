//! Upstreams that state in responses, but not in their announcements, that they leave.

use std::time::Duration;

use teaselline_stand_ins::operators::{Deployment, Fault, Upstream};

use super::support::{Load, busiest, deployment, eventually};

/// Time after the first such response from which new requests must not reach the upstream.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Allowance for requests in transit.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(300);

/// Duration for which arrivals are counted afterwards.
const OBSERVATION: Duration = Duration::from_secs(2);

/// Time for which an announcement lapses: all nodes have read it and evicted the upstream.
const LAPSE: Duration = Duration::from_secs(2);

/// Returns how many requests reach each upstream after `DRAIN_LIMIT`.
async fn count_late_arrivals<const N: usize>(leaving: [&Upstream; N]) -> [usize; N] {
    tokio::time::sleep(DRAIN_LIMIT + TRANSIT_ALLOWANCE).await;
    let before = leaving.map(|upstream| upstream.arrivals().len());
    tokio::time::sleep(OBSERVATION).await;
    let mut counts = leaving.map(|upstream| upstream.arrivals().len());
    for (count, before) in counts.iter_mut().zip(before) {
        *count -= before;
    }
    counts
}

/// Has an upstream state in its responses that it leaves, and waits until a node has read that.
async fn say_leaving(deployment: &Deployment, upstream: &Upstream) {
    let id = format!("\"{}\"", upstream.id());
    let states_it = |line: &String| line.contains("upstream_leaving_said") && line.contains(&id);
    upstream.say_leaving(Some("1"));
    eventually("a response states that the upstream leaves", async || {
        (deployment.nodes.iter()).any(|node| node.log().iter().any(states_it))
    })
    .await;
}

async fn busiest_of_each_service(deployment: &Deployment) -> [&Upstream; 2] {
    [
        busiest(deployment, "desk").await,
        busiest(deployment, "pool").await,
    ]
}

/// Guards against requests to an upstream long after its responses, plain or streamed, said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_leaving_by_its_responses_receives_nothing_until_it_restarts() {
    let deployment = deployment(3, 2).await;
    let load = Load::start(&deployment);
    let leaving = busiest_of_each_service(&deployment).await;
    for upstream in leaving {
        say_leaving(&deployment, upstream).await;
    }
    let late = count_late_arrivals(leaving).await;
    assert_eq!(late, [0; 2]);
    for upstream in leaving {
        let before = upstream.arrivals().len();
        upstream.say_leaving(None);
        upstream.restart();
        eventually("the restarted upstream receives requests", async || {
            upstream.arrivals().len() > before + 20
        })
        .await;
    }
    load.end().await;
}

/// Guards against requests to upstreams that say only in refusals and failures that they leave, for want of others.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_leaving_by_their_refusals_and_failures_receive_nothing() {
    let deployment = deployment(2, 1).await;
    let load = Load::start(&deployment);
    let leaving = busiest_of_each_service(&deployment).await;
    for (upstream, fault) in leaving.into_iter().zip([Fault::Sheds, Fault::Fails]) {
        upstream.set(fault);
        say_leaving(&deployment, upstream).await;
    }
    let late = count_late_arrivals(leaving).await;
    assert_eq!(late, [0; 2]);
    load.end().await;
}

/// Guards against requests to an upstream that leaves by its responses, after its announcement lapsed and it announced itself again.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_leaving_by_its_responses_receives_nothing_after_its_announcement_lapsed() {
    let deployment = deployment(3, 2).await;
    let load = Load::start(&deployment);
    let leaving = busiest_of_each_service(&deployment).await;
    for upstream in leaving {
        say_leaving(&deployment, upstream).await;
    }
    tokio::time::sleep(DRAIN_LIMIT).await;
    for upstream in leaving {
        upstream.say_leaving(None);
        upstream.set_announcing(false);
    }
    tokio::time::sleep(LAPSE).await;
    for upstream in leaving {
        upstream.set_announcing(true);
    }
    let late = count_late_arrivals(leaving).await;
    assert_eq!(late, [0; 2]);
    load.end().await;
}
