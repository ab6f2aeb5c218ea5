//! Versions of the configuration and keys that are taken away.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::support::{deployment, eventually, send};

#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_in_force_on_all_nodes_within_moments() {
    let deployment = deployment(2, 1).await;
    let mut next = document(2);
    next["routes"][0]["pathPrefix"] = json!("/renamed/");
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for node in 0..2 {
        let old = send(&deployment, node, &asked("old", "once")).await;
        assert_eq!(old.status(), Some(404), "{old:?}");
        let new = send(&deployment, node, &asked(&format!("new-{node}"), "renamed")).await;
        assert_eq!(new.status(), Some(200), "{new:?}");
    }
}

/// Symptom: a route comes back that a later version had dropped.
/// Sequence: an older version is read after a newer one.
/// Cause: the last record read was taken for the newest.
#[tokio::test(flavor = "multi_thread")]
async fn versions_never_go_back() {
    let deployment = deployment(1, 1).await;
    let mut next = document(7);
    next["routes"][0]["pathPrefix"] = json!("/renamed/");
    deployment.configure(&next);
    deployment.configure(&document(3));
    eventually("version 7 is in force", async || {
        send(&deployment, 0, &asked("renamed", "renamed"))
            .await
            .status()
            == Some(200)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old = send(&deployment, 0, &asked("old", "once")).await;
    assert_eq!(old.status(), Some(404), "{old:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_cannot_be_read_leaves_the_one_before() {
    let deployment = deployment(1, 1).await;
    let mut broken = document(2);
    broken["routes"][0]["timeoutMs"] = json!("soon");
    deployment.configure(&broken);
    eventually("it is logged", async || {
        let log = deployment.nodes[0].log();
        log.iter().any(|line| {
            line.contains("configuration_rejected") && line.contains("routes[0].timeoutMs")
        })
    })
    .await;
    let ended = send(&deployment, 0, &asked("before", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
}

/// Symptom: a request runs with a key that was taken away more than five seconds before.
/// Sequence: the store turns all nodes away without an answer; a key is taken away; they go on.
/// Cause: a configuration was taken to be current for as long as nothing newer came.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_cannot_see_revocations_stop_accepting_keys() {
    let deployment = deployment(2, 1).await;
    for door in &deployment.doors {
        door.set(Door::Silent);
    }
    let mut next = document(2);
    next["tenants"][0]["apiKeys"] = json!(["another"]);
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for place in 0..10 {
        let id = format!("revoked-{place}");
        let ended = send(&deployment, place % 2, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(503), "{ended:?}");
        assert_eq!(deployment.runs_of(&id), []);
    }
    for door in &deployment.doors {
        door.set(Door::Open);
    }
    eventually("they know the key's end", async || {
        let mut told = Vec::new();
        for node in 0..2 {
            told.push(
                send(&deployment, node, &asked("again", "once"))
                    .await
                    .status(),
            );
        }
        told == [Some(401), Some(401)]
    })
    .await;
}

/// Symptom: a node refuses all callers with keys for as long as the store turns it away, or goes on
/// accepting one that was taken away meanwhile.
/// Sequence: the store turns one node away without an answer and serves the other; a key is taken
/// away.
/// Cause: only the store could confirm a configuration, or what a peer said of it was not taken in.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_store_turns_away_goes_on_by_what_a_peer_confirms() {
    let deployment = deployment(2, 1).await;
    deployment.doors[1].set(Door::Silent);
    let until = tokio::time::Instant::now() + Duration::from_secs(6);
    let mut place = 0;
    while tokio::time::Instant::now() < until {
        let ended = send(&deployment, 1, &asked(&format!("before-{place}"), "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        place += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut next = document(2);
    next["tenants"][0]["apiKeys"] = json!(["another"]);
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for place in 0..5 {
        let id = format!("revoked-{place}");
        let ended = send(&deployment, 1, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(401), "{ended:?}");
        assert_eq!(deployment.runs_of(&id), []);
    }
}

/// Symptom: a node that the store turns away refuses all callers with keys, beside a peer that holds
/// a configuration too large for one datagram.
/// Sequence: the configuration grows to 100 KB; all nodes still take it in within the operators' bound.
/// Cause: what a datagram cannot hold was taken to be handed over.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_too_large_for_a_datagram_is_in_force_everywhere() {
    let deployment = deployment(3, 1).await;
    let mut next = document(2);
    next["routes"][0]["pathPrefix"] = json!("/renamed/");
    let filler: Vec<String> = (0..5_000)
        .map(|place| format!("key-filler-{place:08}"))
        .collect();
    next["tenants"][1]["apiKeys"] = json!(filler);
    assert!(next.to_string().len() > 100_000);
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in 0..3 {
        let new = send(&deployment, node, &asked(&format!("new-{node}"), "renamed")).await;
        assert_eq!(new.status(), Some(200), "{new:?}");
    }
}
