//! Requests that a peer sends while the path between the two nodes fails.

use serde_json::json;
use teaselline_stand_ins::operators::{Asked, Ended};
use teaselline_stand_ins::proxy::Direction;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::time::TimeMs;

/// Time for which nothing passes between two nodes. Links that are filled by other traffic delay
/// everything by seconds.
const SILENCE: Duration = Duration::from_secs(3);

/// Time that a caller waits, and the timeout of routes.
const DEADLINE_MS: u64 = 10_000;

/// A node that does not reach the upstreams, one that does, and the path from the former to the latter.
struct Pair {
    cut: TestNode,
    whole: TestNode,
    path: TcpProxy,
}

impl Pair {
    async fn start(upstreams: &Upstreams) -> Self {
        let cut = TestNode::start("cut", upstreams, Link::Refuses).await;
        let (whole, path) = TestNode::start_behind_proxy("whole", upstreams).await;
        for node in [&cut, &whole] {
            configure_with(&node.node, |document| {
                for route in document["routes"].as_array_mut().into_iter().flatten() {
                    route["timeoutMs"] = json!(DEADLINE_MS);
                }
            });
        }
        cut.hear(&whole);
        whole.hear(&cut);
        let pair = Self { cut, whole, path };
        for (pool, route) in [("desk", "again"), ("pool", "stream-on")] {
            pair.cut.notice(pool, route).await;
        }
        pair
    }

    /// Sends a request over an established connection on which nothing returns for a while.
    async fn send_into_silence(&self, upstreams: &Upstreams, id: &str, route: &str) -> Ended {
        let (id, route) = (id.to_owned(), route.to_owned());
        let callers = self.cut.callers;
        for node in [&self.cut, &self.whole] {
            confirm(&node.node);
        }
        let first = asked(&format!("before-{id}"), "again").send(callers).await;
        assert_eq!(first.status(), Some(200), "{first:?}");
        self.set_silent(true);
        let request = {
            let call = patient(&id, &route);
            tokio::spawn(async move { call.send(callers).await })
        };
        eventually(|| !upstreams.runs_of(&id).is_empty()).await;
        tokio::time::sleep(SILENCE).await;
        self.set_silent(false);
        request.await.expect("the request ends")
    }

    fn set_silent(&self, silent: bool) {
        self.path.change(|knobs| {
            knobs.to_caller = Direction {
                silent,
                ..Direction::default()
            };
        });
    }
}

fn patient(id: &str, route: &str) -> Asked {
    Asked {
        deadline_ms: DEADLINE_MS,
        ..asked(id, route)
    }
}

/// Guards against answers that are thrown away because the path between two nodes was silent for longer than a timeout.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_peer_arrives_after_seconds_of_silence_between_the_nodes() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    for route in ["once", "stream", "stream-on"] {
        let id = format!("silent-{route}");
        let ended = pair.send_into_silence(&upstreams, &id, route).await;
        assert_eq!(ended.status(), Some(200), "{route}: {ended:?}");
        assert_eq!(upstreams.runs_of(&id).len(), 1, "{route}");
    }
}

/// Sends a request on a connection of its own and reads until its first event; returns the connection and what was read.
async fn begin_stream(callers: SocketAddr, call: &Asked) -> (TcpStream, String) {
    let mut socket = TcpStream::connect(callers).await.expect("the node listens");
    socket
        .write_all(call.text().as_bytes())
        .await
        .expect("it is sent");
    let mut received = String::new();
    while !received.contains("id: 1\n") {
        read_some(&mut socket, &mut received).await;
    }
    (socket, received)
}

/// Reads what has arrived; returns how many bytes that is, zero at the end of the connection.
async fn read_some(socket: &mut TcpStream, received: &mut String) -> usize {
    let mut buffer = [0; 4_096];
    let read = tokio::time::timeout(PATIENCE, socket.read(&mut buffer)).await;
    let length = read.expect("something arrives in time").unwrap_or(0);
    received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    length
}

/// Guards against a stream that is cut in the middle because nothing came from the peer for longer than a timeout.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_peer_goes_on_after_seconds_of_silence_within_it() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    let call = patient("midway", "stream");
    let (mut socket, mut received) = begin_stream(pair.cut.callers, &call).await;
    pair.set_silent(true);
    tokio::time::sleep(SILENCE).await;
    pair.set_silent(false);
    while !received.contains("\r\n0\r\n") {
        let length = read_some(&mut socket, &mut received).await;
        assert!(length > 0, "the stream was cut: {received}");
    }
    assert!(received.contains("id: 10\n"), "{received}");
}

/// Guards against a stream of a peer that is cut while a configuration spreads: nothing passes between the nodes, neither has the
/// configuration confirmed, idle limits change, and the upstream leaves once it has ended its run.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_peer_outlasts_a_late_configuration_and_its_upstream() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    let call = patient("spread", "stream");
    let (mut socket, mut received) = begin_stream(pair.cut.callers, &call).await;
    pair.set_silent(true);
    for node in [&pair.cut.node, &pair.whole.node] {
        configure_with(node, |document| {
            document["limits"]["idleTimeoutMs"] = json!(500);
            document["limits"]["headerTimeoutMs"] = json!(500);
        });
        node.in_force.write().confirmed_at = TimeMs(1);
        assert!(!node.is_ready(clock::now()));
    }
    tokio::time::sleep(SILENCE / 2).await;
    for stand_in in &upstreams.stand_ins {
        let id = stand_in.id().to_owned();
        let mut table = pair.whole.node.upstreams.lock();
        table.apply(Change::Removed { id }, false, clock::now());
    }
    tokio::time::sleep(SILENCE / 2).await;
    pair.set_silent(false);
    while !received.contains("\r\n0\r\n") {
        let length = read_some(&mut socket, &mut received).await;
        assert!(length > 0, "the stream was cut: {received}");
    }
    assert!(received.contains("id: 10\n"), "{received}");
}

/// Guards against a stream of a silent peer that is kept open for longer than its caller waits.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_peer_that_falls_silent_ends_at_its_deadline() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    let call = Asked {
        deadline_ms: 1_500,
        ..asked("midway-late", "stream")
    };
    let (mut socket, mut received) = begin_stream(pair.cut.callers, &call).await;
    pair.set_silent(true);
    while read_some(&mut socket, &mut received).await > 0 {}
    assert!(!received.contains("\r\n0\r\n"), "{received}");
    let in_flight = || {
        pair.cut
            .node
            .in_flight
            .load(std::sync::atomic::Ordering::Relaxed)
    };
    eventually(|| in_flight() == 0).await;
}

/// Guards against answers on their way that are thrown away because the connection does not answer the ping before another request.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_peer_arrives_although_other_requests_find_the_path_silent() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    let callers = pair.cut.callers;
    let others = tokio::spawn(async move {
        for number in 0..20 {
            asked(&format!("other-{number}"), "again")
                .send(callers)
                .await;
        }
    });
    let ended = pair.send_into_silence(&upstreams, "beside", "stream").await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    others.abort();
}

/// Guards against a node that waits for a silent peer longer than its caller does.
#[tokio::test(flavor = "multi_thread")]
async fn request_at_a_silent_peer_ends_at_its_deadline() {
    let upstreams = Upstreams::start().await;
    let pair = Pair::start(&upstreams).await;
    for route in ["once", "stream"] {
        pair.set_silent(true);
        let call = Asked {
            deadline_ms: 1_500,
            ..asked(&format!("late-{route}"), route)
        };
        let ended = tokio::time::timeout(PATIENCE, call.send(pair.cut.callers)).await;
        let ended = ended.expect("the request ends");
        assert_ne!(ended.status(), Some(200), "{route}: {ended:?}");
        eventually(|| {
            pair.cut
                .node
                .in_flight
                .load(std::sync::atomic::Ordering::Relaxed)
                == 0
        })
        .await;
        pair.set_silent(false);
    }
}
