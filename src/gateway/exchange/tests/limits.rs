//! Callers' connections that stay open while the limits on callers change.

use hyper_util::server::graceful::GracefulShutdown;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::*;

/// A timeout that passes within a test, and one that does not.
const SHORT_MS: u64 = 500;
const LONG_MS: u64 = 60_000;

/// Longer than twice the short timeout, after which a connection is closed.
const PAUSE: Duration = Duration::from_millis(1_600);

/// Bytes that a connection takes before its reader reads.
const BUFFER_BYTES: usize = 64 * 1024;

/// Bytes of a head that arrive before the others.
const HEAD_START_BYTES: usize = 20;

fn limit(node: &TestNode, header_timeout_ms: u64, idle_timeout_ms: u64) {
    configure_with(&node.node, |document| {
        document["limits"]["headerTimeoutMs"] = json!(header_timeout_ms);
        document["limits"]["idleTimeoutMs"] = json!(idle_timeout_ms);
    });
}

/// Connects to a node; the connection shuts down once the second value is dropped.
fn connect(node: &TestNode) -> (DuplexStream, GracefulShutdown) {
    let (caller, socket) = tokio::io::duplex(BUFFER_BYTES);
    let graceful = GracefulShutdown::new();
    caller_listener::serve_connection(socket, &node.node, &graceful);
    (caller, graceful)
}

async fn send(caller: &mut DuplexStream, text: &str) {
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("the connection is open");
}

/// Reads one answer; panics if the connection ends before.
async fn read_answer(caller: &mut DuplexStream, id: &str) {
    let mut received = Vec::new();
    let end = format!(" for {id}");
    while !String::from_utf8_lossy(&received).ends_with(&end) {
        let read = tokio::time::timeout(PATIENCE, caller.read_buf(&mut received)).await;
        let length = read.expect("something arrives in time").unwrap_or(0);
        assert!(length > 0, "{id}: closed without an answer");
    }
}

async fn call(caller: &mut DuplexStream, id: &str) {
    send(caller, &asked(id, "once").text()).await;
    read_answer(caller, id).await;
}

/// Waits until the node has closed the connection.
async fn closed(caller: &mut DuplexStream) {
    let mut byte = [0];
    let read = tokio::time::timeout(PATIENCE, caller.read(&mut byte)).await;
    let length = read.expect("the connection is closed").unwrap_or(0);
    assert_eq!(length, 0);
}

/// Guards against a kept connection that is closed by an old limit while its caller, who knows a longer one, sends a request.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_stays_open_as_long_as_a_risen_limit_allows() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    limit(&node, LONG_MS, SHORT_MS);
    let (mut caller, _graceful) = connect(&node);
    call(&mut caller, "risen-first").await;
    limit(&node, LONG_MS, LONG_MS);
    tokio::time::sleep(PAUSE).await;
    call(&mut caller, "risen-second").await;
}

/// Guards against a kept connection that stays open by an old limit for good, and against one that is closed by a new limit while
/// its caller, who knows the old one, sends a request.
#[tokio::test(flavor = "multi_thread")]
async fn fallen_limit_closes_kept_connections_after_their_next_request() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    limit(&node, LONG_MS, LONG_MS);
    let (mut caller, _graceful) = connect(&node);
    call(&mut caller, "fallen-first").await;
    limit(&node, LONG_MS, SHORT_MS);
    tokio::time::sleep(PAUSE).await;
    call(&mut caller, "fallen-second").await;
    closed(&mut caller).await;
}

/// Guards against a request that is lost since its head began within the idle timeout and ended beyond it.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_begins_in_time_is_read_to_its_end() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    limit(&node, LONG_MS, SHORT_MS);
    let (mut caller, _graceful) = connect(&node);
    let text = asked("begun", "once").text();
    let (start, rest) = text.split_at(HEAD_START_BYTES);
    send(&mut caller, start).await;
    tokio::time::sleep(PAUSE).await;
    send(&mut caller, rest).await;
    read_answer(&mut caller, "begun").await;
}

/// Guards against connections that stay open for the idle timeout with a head that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_does_not_end_closes_its_connection_after_the_header_timeout() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    limit(&node, SHORT_MS, LONG_MS);
    let (mut caller, _graceful) = connect(&node);
    let text = asked("slow-head", "once").text();
    send(&mut caller, &text[..HEAD_START_BYTES]).await;
    closed(&mut caller).await;
    assert_eq!(upstreams.runs_of("slow-head"), []);
}

/// Guards against an answer that is cut because it takes longer than the timeouts of callers.
#[tokio::test(flavor = "multi_thread")]
async fn answer_outlasts_the_idle_and_the_header_timeout() {
    let upstreams = Upstreams::start().await;
    let node = TestNode::start("node", &upstreams, Link::Works).await;
    limit(&node, SHORT_MS / 10, SHORT_MS / 10);
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(u64::try_from(PAUSE.as_millis()).expect("it is short"));
    }
    let (mut caller, _graceful) = connect(&node);
    call(&mut caller, "long").await;
}
