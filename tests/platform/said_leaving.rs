//! Upstreams whose answers say that they leave, while their announcements say nothing of it.

use std::time::Duration;

use teaselline_stand_ins::operators::{Deployment, Fault, Upstream};

use super::support::{Load, busiest, deployment, eventually};

/// From an answer that says so on, requests that callers send later than this must not go there any more.
const DRAIN: Duration = Duration::from_secs(2);

/// For requests on their way, and for what is observed.
const WAY: Duration = Duration::from_millis(300);
const OBSERVED: Duration = Duration::from_secs(2);

/// Requests that reach upstreams after the time in which they may, one count for each.
async fn reached_late<const N: usize>(leaving: [&Upstream; N]) -> [usize; N] {
    tokio::time::sleep(DRAIN + WAY).await;
    let before = leaving.map(|upstream| upstream.arrivals().len());
    tokio::time::sleep(OBSERVED).await;
    let mut counts = leaving.map(|upstream| upstream.arrivals().len());
    for (count, before) in counts.iter_mut().zip(before) {
        *count -= before;
    }
    counts
}

async fn busy(deployment: &Deployment) -> [&Upstream; 2] {
    [
        busiest(deployment, "desk").await,
        busiest(deployment, "pool").await,
    ]
}

/// Requests reach an upstream long after its answers, plain ones and heads of streams, said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_in_answers_that_it_leaves_gets_nothing_new_until_it_starts_again() {
    let deployment = deployment(3, 2).await;
    let load = Load::start(&deployment);
    let leaving = busy(&deployment).await;
    for upstream in leaving {
        upstream.say_leaving(Some("1"));
    }
    let late = reached_late(leaving).await;
    assert_eq!(late, [0; 2]);
    for upstream in leaving {
        let before = upstream.arrivals().len();
        upstream.say_leaving(None);
        upstream.restart();
        eventually("its next start gets work", async || {
            upstream.arrivals().len() > before + 20
        })
        .await;
    }
    load.end().await;
}

/// Requests reach upstreams that say on refusals and failures only that they leave, since nothing else is there.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_say_on_refusals_and_failures_that_they_leave_get_nothing_new() {
    let deployment = deployment(2, 1).await;
    let load = Load::start(&deployment);
    let leaving = busy(&deployment).await;
    for (upstream, fault) in leaving.into_iter().zip([Fault::Sheds, Fault::Fails]) {
        upstream.set(fault);
        upstream.say_leaving(Some("1"));
    }
    let late = reached_late(leaving).await;
    assert_eq!(late, [0; 2]);
    load.end().await;
}
