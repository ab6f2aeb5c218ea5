//! Upstreams and nodes that go.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use teaselline_stand_ins::operators::Asked;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::Door;

use super::support::{deployment, eventually, send};

/// Symptom: requests reach an upstream two seconds after it has said that it leaves.
/// Sequence: the store turns one node away; an upstream announces that it leaves; the node does
/// not learn of it.
/// Cause: each node went by its own reading of the store alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_store_turns_away_learns_from_its_peers_who_leaves() {
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

/// Symptom: a planned stop cuts requests.
/// Sequence: a node is told to stop while streams run and calls come.
/// Cause: the process ended with its listener.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
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
                .expect("it runs");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for call in calls {
        let (ended, call) = call.await.expect("a call");
        assert_eq!(ended.status(), Some(200), "{call:?}: {ended:?}");
    }
    eventually("the directory names the other node only", async || {
        deployment.addresses(1).await == [deployment.nodes[1].callers().to_string()]
    })
    .await;
    let status = deployment.nodes[0]
        .wait_for_end(Duration::from_secs(8))
        .await;
    assert!(status.expect("it ended").success());
}

/// Symptom: a stream that a stopping node accepted is cut.
/// Sequence: the node is told to stop; a caller with an old answer of the directory sends a stream
/// shortly before the node ends.
/// Cause: a stopping node accepted requests until its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_refuses_what_it_could_not_finish() {
    let deployment = deployment(1, 1).await;
    // A stream that goes on keeps the node from ending before its grace is over.
    deployment.upstreams[1].set(teaselline_stand_ins::operators::Fault::Silent);
    let node = deployment.nodes[0].callers();
    let keeping = tokio::spawn(async move { asked("keeping", "stream").send(node).await });
    eventually("it runs", async || {
        !deployment.runs_of("keeping").is_empty()
    })
    .await;
    deployment.nodes[0]
        .signal(Signal::SIGTERM)
        .expect("it runs");
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    let late = send(&deployment, 0, &asked("late", "stream")).await;
    if late != teaselline_stand_ins::operators::Ended::Refused {
        assert!(late.says_not_run(), "{late:?}");
    }
    assert_eq!(deployment.runs_of("late"), []);
    drop(keeping.await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_leaves_the_directory_and_comes_back() {
    let deployment = deployment(2, 1).await;
    deployment.nodes[1]
        .signal(Signal::SIGKILL)
        .expect("it runs");
    eventually("it is gone from the directory", async || {
        deployment.addresses(0).await.len() == 1
    })
    .await;
    deployment.nodes[1].restart().expect("it starts");
    eventually("it is back", async || {
        deployment.addresses(0).await.len() == 2
    })
    .await;
    let ended = send(&deployment, 1, &asked("back", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
}

/// Symptom: for ten seconds after a wave of reclaims half of the answers come late.
/// Sequence: an engine that has read a long shared part announces that it leaves; a request for the
/// same part comes to another node.
/// Cause: the engine that got it read the part again, although the leaving one still had it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_told_to_copy_from_one_that_leaves() {
    let deployment = deployment(2, 2).await;
    let mut next = document(2);
    next["services"][1]["engine"] =
        json!({"slots": 64, "kvCapacity": 700_000, "kvTokenBytes": 18_432, "linkMbps": 88_000});
    deployment.configure(&next);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let about_reel = |id: &str| Asked {
        extra: String::from(
            "Model: m\r\nToken-Count: 17000,120\r\nPrompt-Prefix: 5c1e:13300,9f:3700\r\n\
             Kv-Fetch: 10.0.0.1:1\r\n",
        ),
        ..asked(id, "stream")
    };
    let ended = send(&deployment, 0, &about_reel("before")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let before = deployment.runs_of("before");
    assert_eq!(before.len(), 1);
    let mut upstreams = deployment.upstreams.iter();
    let first = upstreams
        .find(|upstream| upstream.id() == before[0].upstream)
        .expect("it ran there");
    let own = first.address().to_string();
    assert_ne!(
        before[0].copied_from.as_deref(),
        Some("10.0.0.1:1"),
        "callers cannot say"
    );
    assert_ne!(before[0].copied_from, Some(own.clone()));
    first.drain();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let ended = send(&deployment, 1, &about_reel("after")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let after = deployment.runs_of("after");
    assert_ne!(after[0].upstream, before[0].upstream);
    assert_eq!(after[0].copied_from, Some(own), "{after:?}");
}

/// Symptom: a call waits out its whole time, and a stream breaks off.
/// Sequence: an upstream crashes behind a cut, so that no channel is reset, and starts again under
/// its id; its count of records begins anew.
/// Cause: the node took it for the one that it had been and went on waiting.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_an_upstream_that_started_again_do_not_wait_for_it() {
    let deployment = deployment(2, 1).await;
    for upstream in &deployment.upstreams {
        upstream.set(teaselline_stand_ins::operators::Fault::Silent);
    }
    let node = deployment.nodes[0].callers();
    let waiting = tokio::spawn(async move { asked("lost", "once").send(node).await });
    eventually("it runs", async || !deployment.runs_of("lost").is_empty()).await;
    for upstream in &deployment.upstreams {
        upstream.set(teaselline_stand_ins::operators::Fault::None);
        upstream.restart();
    }
    let ended = waiting.await.expect("a call");
    assert_eq!(ended.status(), Some(502), "it may have run: {ended:?}");
    for node in 0..2 {
        let id = format!("anew-{node}");
        let ended = send(&deployment, node, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
    assert_eq!(deployment.runs_of("lost").len(), 1, "it runs once at most");
}

/// Symptom: calls go to an upstream whose record another writer has replaced.
/// Sequence: the record of one of two upstreams is overwritten with what cannot be read.
/// Cause: the last record that could be read went on counting.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_record_was_overwritten_gets_no_work() {
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
