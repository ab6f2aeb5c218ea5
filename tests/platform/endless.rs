//! Upstreams that send bytes that are no answer until the node closes the connection.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Endless, EndlessPart, Fault};

use super::support::{MAX_GAINED_KB, deployment, eventually, peak_kb, send};

/// Requests under way at once.
const CALLS: usize = 24;

/// Latest time after the end of a request by which the upstream sees its connection closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends calls to upstreams with this fault; each has to fail, and no connection may stay open.
async fn endless_answers_end(part: EndlessPart, route: &str) {
    let deployment = deployment(1, 2).await;
    send(&deployment, 0, &asked("before", route)).await;
    let before_kb = peak_kb(&deployment);
    for upstream in &deployment.upstreams {
        upstream.set(Fault::Endless(Endless::fast(part)));
    }
    let calls = (0..CALLS).map(|place| {
        let call = asked(&format!("endless-{place}"), route);
        let node = deployment.nodes[0].callers();
        async move { call.send(node).await }
    });
    for ended in futures::future::join_all(calls).await {
        assert_ne!(ended.status(), Some(200), "{part:?}, {route}: {ended:?}");
    }
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(
        gained_kb <= MAX_GAINED_KB,
        "{part:?}, {route}: {gained_kb} kB"
    );
    let is_closed = async || {
        let runs = (0..CALLS).flat_map(|place| deployment.runs_of(&format!("endless-{place}")));
        runs.into_iter().all(|run| run.left_at_ms.is_some())
    };
    let closed = tokio::time::timeout(
        CLOSE_TIMEOUT,
        eventually("connections stay open", is_closed),
    );
    assert!(closed.await.is_ok(), "{part:?}, {route}: open connections");
    for upstream in &deployment.upstreams {
        upstream.set(Fault::None);
    }
    eventually("the node serves again", async || {
        send(&deployment, 0, &asked("after", route)).await.status() == Some(200)
    })
    .await;
}

/// Guards against a node that reads until its memory is full where an upstream sends bytes without end in place of a head.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_in_place_of_a_head_end_the_attempt() {
    endless_answers_end(EndlessPart::NoAnswer, "once").await;
    endless_answers_end(EndlessPart::NoAnswer, "stream").await;
}

/// Guards against a node that reads until its memory is full where a head does not end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_head_ends_the_attempt() {
    endless_answers_end(EndlessPart::Headers, "once").await;
    endless_answers_end(EndlessPart::Headers, "stream").await;
}

/// Guards against a node whose memory is filled by bodies that do not end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_stay_within_the_nodes_memory() {
    endless_answers_end(EndlessPart::Body, "once").await;
    endless_answers_end(EndlessPart::Body, "again").await;
}

/// Guards against a node whose memory is filled by an event that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_event_ends_the_stream() {
    endless_answers_end(EndlessPart::EventLine, "stream").await;
    endless_answers_end(EndlessPart::EventLine, "stream-on").await;
}
