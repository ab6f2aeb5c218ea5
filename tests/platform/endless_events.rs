//! Upstreams whose streams send bytes or events without end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use teaselline_stand_ins::operators::caller::parse;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Endless, EndlessPart, Fault};

use super::support::{Load, MAX_GAINED_KB, deployment, eventually, peak_kb, send};

/// Streams that are sent at once.
const STREAMS: usize = 20;

/// Time limit of a stream.
const LIMIT_MS: u64 = 1_500;

/// Latest time after its limit by which a stream has ended: a node that sees the limit late reads for up to 250 ms more.
const END_TIMEOUT_MS: u128 = 500;

/// Has the first upstream of streams send so.
fn break_first(deployment: &Deployment, endless: Endless) {
    let mut pool = (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    let first = pool.next().expect("the service has an upstream");
    first.set(Fault::Endless(endless));
}

/// Sends streams at once; returns how each ended and how long it took.
async fn stream_at_once(deployment: &Deployment, route: &str) -> Vec<(Ended, u128)> {
    let streams = (0..STREAMS).map(|place| {
        let stream = Asked {
            deadline_ms: LIMIT_MS,
            extra: "Connection: close\r\n".to_owned(),
            ..asked(&format!("endless-{place}"), route)
        };
        read_to_the_end(stream.text(), deployment.nodes[0].callers())
    });
    futures::future::join_all(streams).await
}

/// Sends a request and reads all that comes back, which is looked at in the end only: so many bytes come that it would take long.
async fn read_to_the_end(text: String, node: SocketAddr) -> (Ended, u128) {
    let begun_at = Instant::now();
    let mut received = Vec::new();
    let reading = async {
        let mut socket = TcpStream::connect(node).await?;
        socket.write_all(text.as_bytes()).await?;
        socket.read_to_end(&mut received).await
    };
    let patience = Duration::from_millis(2 * LIMIT_MS);
    // An answer that is cut may end with an error.
    let _cut = tokio::time::timeout(patience, reading).await;
    let took_ms = begun_at.elapsed().as_millis();
    let cut = || Ended::Cut {
        received: String::from_utf8_lossy(&received).into_owned(),
    };
    (parse(&received).unwrap_or_else(cut), took_ms)
}

/// Whether bytes of a body had come.
fn is_begun(received: &str) -> bool {
    let body = received.split_once("\r\n\r\n");
    body.is_some_and(|(_head, body)| !body.is_empty())
}

/// Sends streams to a node of whose two upstreams one sends so; each gets a word by its limit, and other requests are answered.
async fn streams_end_by_their_limits(endless: Endless) {
    let deployment = deployment(1, 2).await;
    send(&deployment, 0, &asked("before", "stream")).await;
    let before_kb = peak_kb(&deployment);
    break_first(&deployment, endless);
    let others = tokio::spawn(call_others(deployment.nodes[0].callers()));
    for (ended, took_ms) in stream_at_once(&deployment, "stream").await {
        let is_begun = matches!(&ended, Ended::Cut { received } if is_begun(received));
        assert!(
            ended.status().is_some() || is_begun,
            "{endless:?}: no word after {took_ms} ms"
        );
        assert!(
            took_ms <= u128::from(LIMIT_MS) + END_TIMEOUT_MS,
            "{endless:?}: {took_ms} ms"
        );
    }
    let slowest_ms = others.await.expect("all calls are answered");
    assert!(
        slowest_ms <= u128::from(LIMIT_MS),
        "{endless:?}: a call took {slowest_ms} ms"
    );
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(gained_kb <= MAX_GAINED_KB, "{endless:?}: {gained_kb} kB");
    let closed = async || {
        let runs = (0..STREAMS).flat_map(|place| deployment.runs_of(&format!("endless-{place}")));
        runs.into_iter()
            .filter(|run| run.upstream == "pool-0")
            .all(|run| run.left_at_ms.is_some())
    };
    eventually("connections stay open", closed).await;
}

/// Calls an upstream of another service for as long as streams may last; returns how long the slowest call took.
async fn call_others(node: SocketAddr) -> u128 {
    let until = Instant::now() + Duration::from_millis(LIMIT_MS);
    let mut slowest_ms = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let begun_at = Instant::now();
        let ended = asked(&format!("other-{number}"), "once").send(node).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        slowest_ms = slowest_ms.max(begun_at.elapsed().as_millis());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    slowest_ms
}

const PIECES: [(usize, u64); 4] = [(1, 0), (64, 0), (64 * 1024, 0), (1, 5)];

async fn all_pieces_end(part: EndlessPart) {
    for (piece_bytes, pause_ms) in PIECES {
        streams_end_by_their_limits(Endless {
            part,
            piece_bytes,
            pause_ms,
        })
        .await;
    }
}

/// Guards against a time limit that ready bytes put off: they complete no event, and the caller hears nothing.
#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_ends_by_the_limit() {
    all_pieces_end(EndlessPart::EventLine).await;
}

/// Guards against work that grows with the square of an event's length where each chunk is a frame of a few bytes.
#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_in_small_chunks_ends_by_the_limit() {
    all_pieces_end(EndlessPart::Chunks).await;
}

/// Guards against streams that outlast their limit while events come without end.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_end_by_the_limit() {
    all_pieces_end(EndlessPart::Events).await;
}

/// Guards against streams that outlast their limit while comments come without end.
#[tokio::test(flavor = "multi_thread")]
async fn comments_without_end_end_by_the_limit() {
    all_pieces_end(EndlessPart::Comments).await;
}

/// Guards against streams that outlast their limit while one event comes again and again.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_events_end_by_the_limit() {
    all_pieces_end(EndlessPart::RepeatedEvents).await;
}

/// Sends resumable streams to a node of whose two upstreams one sends so; each goes on at the other one and is whole.
async fn streams_leave(part: EndlessPart, reasons: &[&str]) {
    let deployment = deployment(1, 2).await;
    let mut longer = document(2);
    for route in longer["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 8_000.into();
    }
    deployment.configure(&longer);
    eventually("the configuration is in force", async || {
        let log = deployment.nodes[0].log();
        log.iter()
            .any(|line| line.contains("configuration_changed"))
    })
    .await;
    let load = Load::start(&deployment);
    tokio::time::sleep(Duration::from_millis(500)).await;
    break_first(
        &deployment,
        Endless {
            part,
            piece_bytes: 1,
            pause_ms: 20,
        },
    );
    let streams = (0..3).map(|place| {
        let stream = Asked {
            deadline_ms: 8_000,
            ..asked(&format!("leaves-{place}"), "stream-on")
        };
        let node = deployment.nodes[0].callers();
        async move { stream.send(node).await }
    });
    let ended = futures::future::join_all(streams).await;
    load.end().await;
    let statuses: Vec<_> = ended.iter().map(Ended::status).collect();
    let log = deployment.nodes[0].log();
    let left = log
        .iter()
        .filter(|line| reasons.iter().any(|reason| line.contains(reason)));
    assert_eq!(statuses, [Some(200); 3], "{part:?}: {ended:?}");
    assert!(left.count() > 0, "{part:?}: no reason in the log");
}

/// Guards against a silence that bytes without an event put off: the stream stays at the upstream until its limit.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_an_upstream_whose_event_does_not_end() {
    streams_leave(EndlessPart::EventLine, &["stream_silent"]).await;
}

/// Guards against a silence that comments put off.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_an_upstream_that_sends_comments_only() {
    streams_leave(EndlessPart::Comments, &["stream_silent"]).await;
}

/// Guards against a silence that events put off which the caller has already.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_an_upstream_that_repeats_one_event() {
    streams_leave(EndlessPart::RepeatedEvents, &["stream_silent"]).await;
}
