//! Troubles of the store.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::support::{deployment, eventually, send};

#[tokio::test(flavor = "multi_thread")]
async fn a_short_outage_of_the_store_is_not_felt() {
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

/// Symptom: a node goes on with old announcements for ever.
/// Sequence: the store forgets its history while a node could not read it.
/// Cause: a read that says that records are gone was tried again and again.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_missed_history_reads_what_is_newest() {
    let mut deployment = deployment(1, 1).await;
    deployment.doors[0].set(Door::Refusing);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.upstreams[0].drain();
    let added = deployment.add_upstream("desk", "desk-new").await;
    added.expect("a port");
    deployment.configure(&document(2));
    for topic in ["keyed.servers", "keyed.op", "duties"] {
        deployment.store.forget_history(topic);
    }
    deployment.doors[0].set(Door::Open);
    eventually("the new upstream is used", async || {
        send(&deployment, 0, &asked("after", "again")).await;
        let runs = deployment.runs_of("after");
        runs.last().is_some_and(|run| run.upstream == "desk-new")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_configuration_refuses_as_not_run() {
    let deployment = deployment(2, 1).await;
    deployment.doors[1].set(Door::Silent);
    deployment.nodes[1].restart().expect("it starts");
    eventually("it answers", async || {
        let ended = send(&deployment, 1, &asked("early", "once")).await;
        ended.status() == Some(503)
    })
    .await;
    assert_eq!(deployment.runs_of("early"), []);
}
