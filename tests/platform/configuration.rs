//! Configuration versions and revoked keys.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::metered::value;
use super::support::{deployment, eventually, send};

/// Routes of a large document, which takes some 800 kB.
const MANY_ROUTES: usize = 4_000;

/// Bytes that a node may send its peers for one change: 0.4 of what a link of 10 Mbit/s carries in
/// the two seconds in which a change has to be active.
const MAX_SENT_BYTES: f64 = 1_000_000.0;

#[tokio::test(flavor = "multi_thread")]
async fn new_version_is_active_on_all_nodes_within_1500_ms() {
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

/// Guards against restoring a route that a later version removed: an older version is read after a
/// newer one, and the node applies the last record that it read.
#[tokio::test(flavor = "multi_thread")]
async fn older_version_read_later_is_not_applied() {
    let deployment = deployment(1, 1).await;
    let mut next = document(7);
    next["routes"][0]["pathPrefix"] = json!("/renamed/");
    deployment.configure(&next);
    deployment.configure(&document(3));
    eventually("version 7 is active", async || {
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
async fn malformed_version_leaves_the_previous_one_active() {
    let deployment = deployment(1, 1).await;
    let mut broken = document(2);
    broken["routes"][0]["timeoutMs"] = json!("soon");
    deployment.configure(&broken);
    eventually("the rejected version is logged", async || {
        let log = deployment.nodes[0].log();
        log.iter().any(|line| {
            line.contains("configuration_rejected") && line.contains("routes[0].timeoutMs")
        })
    })
    .await;
    let ended = send(&deployment, 0, &asked("before", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
}

/// Guards against running a request with a key that was revoked more than five seconds before: the
/// store stops responding to all nodes, the key is revoked, and the nodes treat their configuration
/// as current because they read no newer one.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_without_the_store_stop_accepting_keys() {
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
    eventually("all nodes apply the revocation", async || {
        let mut statuses = Vec::new();
        for node in 0..2 {
            statuses.push(
                send(&deployment, node, &asked("again", "once"))
                    .await
                    .status(),
            );
        }
        statuses == [Some(401), Some(401)]
    })
    .await;
}

/// Guards against a node that refuses all keys while the store does not respond to it, or accepts a
/// key revoked meanwhile. The store responds to the other node only. The node fails if only the
/// store can confirm a configuration, or if it ignores the newer version of its peer.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_the_store_uses_the_configuration_that_a_peer_confirms() {
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

/// Guards against treating a configuration too large for one datagram as delivered to peers: a node
/// without the store would refuse all keys beside a peer that holds it. The configuration grows to
/// 100 KB, and all nodes apply it within the operators' bound.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_too_large_for_a_datagram_is_active_on_all_nodes() {
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

/// Guards against links that a large document fills, so that answers wait behind it: each peer was sent the whole of it several times.
#[tokio::test(flavor = "multi_thread")]
async fn large_document_leaves_most_of_each_link_to_callers() {
    let deployment = deployment(8, 1).await;
    let sent = async |node: usize| {
        let series = "teaselline_datagram_bytes_sent_total{kind=\"confirmation\"}";
        value(&deployment.nodes[node], series).await.unwrap_or(0.0)
    };
    let mut before = Vec::new();
    for node in 0..8 {
        before.push(sent(node).await);
    }
    let mut large = document(2);
    let routes = large["routes"].as_array_mut().expect("there are routes");
    let last = routes.last().cloned().expect("there is a route");
    routes.extend((0..MANY_ROUTES).map(|number| {
        let mut route = last.clone();
        route["name"] = json!(format!("idle-{number}"));
        route["pathPrefix"] = json!(format!("/idle-{:x}/", number * 7_919 % 65_521));
        route
    }));
    deployment.configure(&large);
    for node in 0..8 {
        eventually("all nodes activate the document", async || {
            let version = value(&deployment.nodes[node], "teaselline_configuration_version").await;
            version.is_some_and(|version| version >= 2.0)
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (node, before) in before.into_iter().enumerate() {
        let bytes = sent(node).await - before;
        assert!(bytes <= MAX_SENT_BYTES, "node {node} sent {bytes} bytes");
    }
}
