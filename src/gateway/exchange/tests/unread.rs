//! Answers that their callers have not read to the end.

use std::sync::atomic::Ordering;

use hyper_util::server::graceful::GracefulShutdown;
use serde_json::json;
use teaselline_stand_ins::operators::Asked;
use teaselline_stand_ins::proxy::Direction;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};

use super::*;

/// Bytes that a caller's connection takes before its caller reads.
const SMALL_BUFFER_BYTES: usize = 64;

/// Bytes of an event that sockets and windows do not hold ten times.
const LONG_EVENT_BYTES: usize = 700_000;

/// Bytes of a whole answer that the path between two nodes does not hold.
const LONG_ANSWER_BYTES: usize = 3_000_000;

/// Longer than an upstream needs for an answer.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time that a caller waits, and the timeout of routes.
const DEADLINE_MS: u64 = 10_000;

fn in_flight(node: &TestNode) -> usize {
    node.node.in_flight.load(Ordering::Relaxed)
}

fn patient(id: &str, route: &str) -> Asked {
    Asked {
        deadline_ms: DEADLINE_MS,
        ..asked(id, route)
    }
}

fn lengthen_timeouts(node: &TestNode) {
    configure_with(&node.node, |document| {
        for route in document["routes"].as_array_mut().into_iter().flatten() {
            route["timeoutMs"] = json!(DEADLINE_MS);
        }
    });
}

/// Reads until `end` has arrived; panics if the connection ends before.
async fn read_to(socket: &mut (impl AsyncRead + Unpin), received: &mut Vec<u8>, end: &str) {
    let has_end =
        |received: &[u8]| (received.windows(end.len())).any(|part| part == end.as_bytes());
    let mut searched = 0;
    while !has_end(&received[searched..]) {
        searched = received.len().saturating_sub(end.len());
        let read = tokio::time::timeout(PATIENCE, socket.read_buf(received)).await;
        let length = read.expect("something arrives in time").unwrap_or(0);
        assert!(length > 0, "cut after {} bytes", received.len());
    }
}

/// Guards against a node that exits while the end of an answer waits in its own buffer.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_in_flight_until_its_caller_has_read_it() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    for (route, end) in [("once", "for unread-once"), ("stream", "\r\n0\r\n\r\n")] {
        let (mut caller, socket) = tokio::io::duplex(SMALL_BUFFER_BYTES);
        let graceful = GracefulShutdown::new();
        caller_listener::serve_connection(socket, &node.node, &graceful);
        let call = asked(&format!("unread-{route}"), route);
        let sent = caller.write_all(call.text().as_bytes()).await;
        sent.expect("the request is written");
        let mut received = Vec::new();
        read_to(&mut caller, &mut received, "HTTP/1.1 200").await;
        tokio::time::sleep(PAUSE).await;
        assert_eq!(in_flight(&node), 1, "{route}");
        read_to(&mut caller, &mut received, end).await;
        eventually(|| in_flight(&node) == 0).await;
    }
}

/// Guards against an answer that stays in flight although its caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn answer_whose_caller_leaves_is_not_in_flight() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    for route in ["once", "stream"] {
        let (mut caller, socket) = tokio::io::duplex(SMALL_BUFFER_BYTES);
        let graceful = GracefulShutdown::new();
        caller_listener::serve_connection(socket, &node.node, &graceful);
        let call = asked(&format!("left-{route}"), route);
        let sent = caller.write_all(call.text().as_bytes()).await;
        sent.expect("the request is written");
        read_to(&mut caller, &mut Vec::new(), "HTTP/1.1 200").await;
        drop(caller);
        eventually(|| in_flight(&node) == 0).await;
    }
}

/// Guards against a stopping peer that exits while it holds events which the caller's node has not read.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_in_flight_at_a_peer_until_the_callers_node_has_read_it() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    lengthen_timeouts(&cut);
    lengthen_timeouts(&whole);
    cut.notice("pool", "stream-on").await;
    for stand_in in &upstreams.stand_ins {
        stand_in.fill_answers(LONG_EVENT_BYTES);
    }
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("the size is set");
    let mut caller = socket.connect(cut.callers).await.expect("the node listens");
    let call = patient("relayed", "stream");
    let sent = caller.write_all(call.text().as_bytes()).await;
    sent.expect("the request is written");
    let mut received = Vec::new();
    read_to(&mut caller, &mut received, "id: 1\n").await;
    tokio::time::sleep(PAUSE).await;
    assert_eq!(in_flight(&whole), 1);
    read_to(&mut caller, &mut received, "\r\n0\r\n\r\n").await;
    eventually(|| in_flight(&whole) == 0 && in_flight(&cut) == 0).await;
}

/// Guards against a stopping peer that exits before it has written an answer to the caller's node.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_is_in_flight_at_a_peer_until_it_is_written() {
    let upstreams = Upstreams::start().await;
    let cut = TestNode::start("cut", &upstreams, Link::Refuses).await;
    let (whole, path) = TestNode::start_behind_proxy("whole", &upstreams).await;
    lengthen_timeouts(&cut);
    lengthen_timeouts(&whole);
    cut.hear(&whole);
    whole.hear(&cut);
    cut.notice("desk", "again").await;
    for stand_in in &upstreams.stand_ins {
        stand_in.fill_answers(LONG_ANSWER_BYTES);
    }
    let set_silent = |silent| {
        path.change(|knobs| {
            knobs.to_caller = Direction {
                silent,
                ..Direction::default()
            };
        });
    };
    let callers = cut.callers;
    let first = patient("first", "once").send(callers).await;
    assert_eq!(first.status(), Some(200));
    set_silent(true);
    let request = tokio::spawn(async move { patient("unwritten", "once").send(callers).await });
    eventually(|| !upstreams.runs_of("unwritten").is_empty()).await;
    tokio::time::sleep(PAUSE).await;
    assert_eq!(in_flight(&whole), 1);
    set_silent(false);
    let ended = request.await.expect("the request ends");
    assert_eq!(ended.status(), Some(200));
    eventually(|| in_flight(&whole) == 0).await;
}
