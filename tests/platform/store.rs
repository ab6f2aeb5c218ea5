//! Outages of the store and lost history.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::support::{deployment, eventually, send};

#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_during_a_short_outage_of_the_store() {
    let deployment = deployment(2, 1).await;
    for (round, door) in [Door::Refusing, Door::Silent, Door::Resetting]
        .into_iter()
        .enumerate()
    {
        for node in &deployment.doors {
            node.set(door);
        }
        let until = tokio::time::Instant::now() + Duration::from_millis(1_800);
        let mut place = 0;
        while tokio::time::Instant::now() < until {
            let id = format!("outage-{round}-{place}");
            let ended = send(&deployment, place % 2, &asked(&id, "once")).await;
            assert_eq!(ended.status(), Some(200), "{door:?}: {ended:?}");
            place += 1;
        }
        for node in &deployment.doors {
            node.set(Door::Open);
        }
        tokio::time::sleep(Duration::from_millis(3_200)).await;
    }
}

/// Guards against a node that keeps outdated announcements for ever: the store drops history that
/// the node could not read, and the node repeats the read that reports the records as gone.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_missed_dropped_history_reads_the_newest_records() {
    let mut deployment = deployment(1, 1).await;
    deployment.doors[0].set(Door::Refusing);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.upstreams[0].drain();
    let added = deployment.add_upstream("desk", "desk-new").await;
    added.expect("a port is free");
    deployment.configure(&document(2));
    for topic in ["keyed.servers", "keyed.op", "duties"] {
        deployment.store.forget_history(topic);
    }
    deployment.doors[0].set(Door::Open);
    eventually("the new upstream receives requests", async || {
        send(&deployment, 0, &asked("after", "again")).await;
        let runs = deployment.runs_of("after");
        runs.last().is_some_and(|run| run.upstream == "desk-new")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_without_a_configuration_refuses_requests_as_not_run() {
    let deployment = deployment(2, 1).await;
    deployment.doors[1].set(Door::Silent);
    deployment.nodes[1].restart().expect("the node starts");
    eventually("the restarted node refuses requests", async || {
        let ended = send(&deployment, 1, &asked("early", "once")).await;
        ended.status() == Some(503)
    })
    .await;
    assert_eq!(deployment.runs_of("early"), []);
}
