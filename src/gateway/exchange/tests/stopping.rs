//! Requests between a node that does not reach their pool and a peer that does, while one of them stops.

use teaselline_stand_ins::operators::{Asked, Ended};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::gateway::shutdown::Shutdown;

/// A time limit that the peer's route allows, and that ends after the grace.
const LIMIT_MS: u64 = 10_000;

/// The peer's own time limit of the route, which ends before the exit.
const PEER_LIMIT_MS: u64 = 400;

const GRACE_MS: u64 = 5_000;

fn stop(node: &TestNode) {
    *node.node.stop.lock() = Some(Shutdown {
        requested_at: clock::now(),
        grace_ms: GRACE_MS,
    });
}

fn limit_routes(node: &TestNode, timeout_ms: u64) {
    configure_with(&node.node, |document| {
        for route in document["routes"].as_array_mut().into_iter().flatten() {
            route["timeoutMs"] = serde_json::json!(timeout_ms);
        }
    });
}

async fn handing_on(upstreams: &Upstreams) -> (TestNode, TestNode) {
    let (cut, whole) = cut_and_whole(upstreams, Link::Refuses).await;
    cut.notice("desk", "again").await;
    limit_routes(&cut, LIMIT_MS);
    limit_routes(&whole, PEER_LIMIT_MS);
    (cut, whole)
}

fn call(id: &str) -> Asked {
    Asked {
        deadline_ms: LIMIT_MS,
        body: "body".to_owned(),
        ..asked(id, "once")
    }
}

/// Guards against a request that a stopping peer passes on by its own shorter time limit: its node admitted it with more time than
/// the peer has left.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_peer_declines_what_it_cannot_answer_before_its_exit() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = handing_on(&upstreams).await;
    stop(&whole);
    let ended: Ended = call("to-a-stopping-peer").send(cut.callers).await;
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert_eq!(upstreams.runs_of("to-a-stopping-peer"), []);
}

/// Guards against a request that a stopping node hands on late: its head was read before the stop, its body after it.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_hands_nothing_on_that_it_cannot_answer_before_its_exit() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = handing_on(&upstreams).await;
    let mut socket = TcpStream::connect(cut.callers)
        .await
        .expect("the node listens");
    let text = call("by-a-stopping-node").text();
    let (head, body) = text.split_at(text.len() - "body".len());
    let sent = socket.write_all(head.as_bytes()).await;
    sent.expect("the head is written");
    tokio::time::sleep(Duration::from_millis(200)).await;
    stop(&cut);
    let sent = socket.write_all(body.as_bytes()).await;
    sent.expect("the body is written");
    let mut status = [0; 12];
    let read = socket.read_exact(&mut status).await;
    read.expect("the request is answered");
    assert_eq!(&status, b"HTTP/1.1 503");
    assert_eq!(upstreams.runs_of("by-a-stopping-node"), []);
}
