//! Draining, restarted and replaced upstreams; stopped and killed nodes.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use teaselline_stand_ins::operators::Asked;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::support::{deployment, eventually, send};

/// A time limit that ends after the exit of a node that was told to stop 2.7 s before.
const LONG_LIMIT_MS: u64 = 4_000;

/// Guards against requests to an upstream two seconds after it announced that it leaves: the store
/// refuses one node, which misses the announcement if it relies on its own reads of the store alone.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_the_store_learns_of_leaving_upstreams_from_peers() {
    let deployment = deployment(3, 2).await;
    deployment.doors[2].set(Door::Refusing);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let leaving = &deployment.upstreams[0];
    assert!(leaving.id().starts_with("desk"));
    leaving.drain();
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    for place in 0..30 {
        let id = format!("drain-{place}");
        let ended = send(&deployment, place % 3, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        assert_ne!(
            deployment.runs_of(&id)[0].upstream,
            leaving.id(),
            "node {}",
            place % 3
        );
    }
}

/// Guards against requests that are cut by a planned stop: a node gets SIGTERM while streams run and
/// calls arrive, and its process exits as soon as its listener closes.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_all_requests() {
    let deployment = deployment(2, 2).await;
    let node = deployment.nodes[0].callers();
    let mut calls = Vec::new();
    for place in 0..40 {
        let route = if place % 2 == 0 { "stream" } else { "once" };
        let call = asked(&format!("stop-{place}"), route);
        calls.push(tokio::spawn(async move { (call.send(node).await, call) }));
        if place == 10 {
            deployment.nodes[0]
                .signal(Signal::SIGTERM)
                .expect("the node runs");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for call in calls {
        let (ended, call) = call.await.expect("the call does not panic");
        assert_eq!(ended.status(), Some(200), "{call:?}: {ended:?}");
    }
    eventually("the directory lists only the other node", async || {
        deployment.addresses(1).await == [deployment.nodes[1].callers().to_string()]
    })
    .await;
    let status = deployment.nodes[0]
        .wait_for_end(Duration::from_secs(8))
        .await;
    assert!(status.expect("the node exited").success());
}

/// Guards against cutting a stream that a stopping node accepted: a caller with an outdated
/// directory entry sends a stream shortly before the node exits.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_refuses_streams_that_it_cannot_complete() {
    let deployment = deployment(1, 1).await;
    let mut next = document(2);
    for route in next["routes"].as_array_mut().expect("there are routes") {
        route["timeoutMs"] = json!(LONG_LIMIT_MS);
    }
    next["limits"]["maxBodyBytes"] = json!(2);
    deployment.configure(&next);
    eventually("the configuration is in force", async || {
        let call = Asked {
            body: String::from("long"),
            ..asked("in-force", "again")
        };
        send(&deployment, 0, &call).await.status() == Some(413)
    })
    .await;
    let long = |id: &str| Asked {
        deadline_ms: LONG_LIMIT_MS,
        ..asked(id, "stream")
    };
    // An open stream keeps the node from exiting before its grace period ends.
    deployment.upstreams[1].set(teaselline_stand_ins::operators::Fault::Silent);
    let node = deployment.nodes[0].callers();
    let keeping = long("keeping");
    let keeping = tokio::spawn(async move { keeping.send(node).await });
    eventually("the stream runs", async || {
        !deployment.runs_of("keeping").is_empty()
    })
    .await;
    deployment.nodes[0]
        .signal(Signal::SIGTERM)
        .expect("the node runs");
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    let late = send(&deployment, 0, &long("late")).await;
    if late != teaselline_stand_ins::operators::Ended::Refused {
        assert!(late.says_not_run(), "{late:?}");
    }
    assert_eq!(deployment.runs_of("late"), []);
    drop(keeping.await);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_removed_from_the_directory_until_it_restarts() {
    let deployment = deployment(2, 1).await;
    deployment.nodes[1]
        .signal(Signal::SIGKILL)
        .expect("the node runs");
    eventually("the directory omits the killed node", async || {
        deployment.addresses(0).await.len() == 1
    })
    .await;
    deployment.nodes[1].restart().expect("the node starts");
    eventually("the directory lists the restarted node", async || {
        deployment.addresses(0).await.len() == 2
    })
    .await;
    let ended = send(&deployment, 1, &asked("back", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
}

/// Guards against late responses after a wave of reclaims (half of them, for ten seconds): an engine
/// with a long shared prefix in its KV cache announces that it leaves, a request with that prefix
/// arrives at another node, and its engine computes the prefix again instead of copying it.
#[tokio::test(flavor = "multi_thread")]
async fn engine_copies_the_kv_cache_of_a_leaving_engine() {
    let deployment = deployment(2, 2).await;
    let mut next = document(2);
    next["services"][1]["engine"] =
        json!({"slots": 64, "kvCapacity": 700_000, "kvTokenBytes": 18_432, "linkMbps": 88_000});
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let request_with_prefix = |id: &str| Asked {
        extra: String::from(
            "Model: m\r\nToken-Count: 17000,120\r\nPrompt-Prefix: 5c1e:13300,9f:3700\r\n\
             Kv-Fetch: 10.0.0.1:1\r\n",
        ),
        ..asked(id, "stream")
    };
    let ended = send(&deployment, 0, &request_with_prefix("before")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let before = deployment.runs_of("before");
    assert_eq!(before.len(), 1);
    let mut upstreams = deployment.upstreams.iter();
    let first = upstreams
        .find(|upstream| upstream.id() == before[0].upstream)
        .expect("the upstream of the first run exists");
    let own = first.address().to_string();
    assert_ne!(
        before[0].copied_from.as_deref(),
        Some("10.0.0.1:1"),
        "the node forwarded the caller's kv-fetch header"
    );
    assert_ne!(before[0].copied_from, Some(own.clone()));
    first.drain();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let ended = send(&deployment, 1, &request_with_prefix("after")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let after = deployment.runs_of("after");
    assert_ne!(after[0].upstream, before[0].upstream);
    assert_eq!(after[0].copied_from, Some(own), "{after:?}");
}

/// Guards against waiting for an upstream that has restarted: it crashes behind a network cut, so
/// that no connection is reset, and restarts under the same id with a new record sequence. If the
/// node takes it for the old process, a call waits for its whole timeout and a stream breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_restarted_upstream_fail_without_waiting() {
    let deployment = deployment(2, 1).await;
    for upstream in &deployment.upstreams {
        upstream.set(teaselline_stand_ins::operators::Fault::Silent);
    }
    let node = deployment.nodes[0].callers();
    let waiting = tokio::spawn(async move { asked("lost", "once").send(node).await });
    eventually("the call runs", async || {
        !deployment.runs_of("lost").is_empty()
    })
    .await;
    for upstream in &deployment.upstreams {
        upstream.set(teaselline_stand_ins::operators::Fault::None);
        upstream.restart();
    }
    let ended = waiting.await.expect("the call does not panic");
    assert_eq!(
        ended.status(),
        Some(502),
        "the call may have run: {ended:?}"
    );
    for node in 0..2 {
        let id = format!("anew-{node}");
        let ended = send(&deployment, node, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
    assert_eq!(
        deployment.runs_of("lost").len(),
        1,
        "the call ran more than once"
    );
}

/// Guards against calls to an upstream whose record another writer has replaced: the record of one
/// of two upstreams is overwritten with malformed data, and the last valid record stays in use.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_with_a_malformed_record_receives_no_requests() {
    let deployment = deployment(1, 2).await;
    let overwritten = &deployment.upstreams[0];
    assert!(overwritten.id().starts_with("desk"));
    overwritten.overwrite("{\"service\":7");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for place in 0..20 {
        let id = format!("beside-{place}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        assert_ne!(deployment.runs_of(&id)[0].upstream, overwritten.id());
    }
}
