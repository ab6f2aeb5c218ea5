//! Limits on callers that change while they keep connections open.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use teaselline_stand_ins::operators::Ended;
use teaselline_stand_ins::operators::caller::parse;
use teaselline_stand_ins::operators::deployment::{asked, document};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::{deployment, eventually};

/// An idle timeout in whose double a configuration comes into force.
const SHORT_MS: u64 = 1_500;

/// An idle timeout that does not pass within the test.
const LONG_MS: u64 = 60_000;

/// Longer than twice the short timeout.
const PAUSE: Duration = Duration::from_millis(4_500);

/// Longest wait for the end of a connection, shorter than the long timeout.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

fn limited(version: u64, idle_timeout_ms: u64) -> Value {
    let mut next = document(version);
    next["limits"]["idleTimeoutMs"] = json!(idle_timeout_ms);
    next
}

async fn connect(callers: SocketAddr) -> TcpStream {
    TcpStream::connect(callers).await.expect("the node listens")
}

/// Returns whether the node closes the connection within this time.
async fn is_closed(socket: &mut TcpStream, within: Duration) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(within, socket.read(&mut byte)).await;
    read.is_ok_and(|read| read.unwrap_or(0) == 0)
}

/// Sends a call on a kept connection; panics without an answer.
async fn call(socket: &mut TcpStream, id: &str) {
    let sent = socket.write_all(asked(id, "once").text().as_bytes()).await;
    sent.expect("the connection is open");
    let mut received = Vec::new();
    while parse(&received).is_none() {
        let length = socket.read_buf(&mut received).await.unwrap_or(0);
        assert!(length > 0, "{id}: closed without an answer");
    }
    let status = parse(&received).as_ref().and_then(Ended::status);
    assert_eq!(status, Some(200), "{id}");
}

/// Guards against kept connections that close by an old idle timeout while their callers, who know a longer one, send requests, and
/// against those that stay open by an old one for good.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_follow_the_idle_timeout_in_force() {
    let deployment = deployment(1, 1).await;
    let callers = deployment.nodes[0].callers();
    deployment.configure(&limited(2, SHORT_MS));
    eventually("the short timeout is in force", async || {
        is_closed(&mut connect(callers).await, PAUSE).await
    })
    .await;
    let mut kept = connect(callers).await;
    call(&mut kept, "short").await;
    deployment.configure(&limited(3, LONG_MS));
    tokio::time::sleep(PAUSE).await;
    call(&mut kept, "risen").await;
    deployment.configure(&limited(4, SHORT_MS));
    tokio::time::sleep(PAUSE).await;
    call(&mut kept, "fallen").await;
    assert!(
        is_closed(&mut kept, CLOSE_TIMEOUT).await,
        "the connection stays open"
    );
}
