//! Two nodes over real sockets, and what happens when one of them fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::*;
use crate::keys::Incarnation;

const CALLER: Incarnation = Incarnation(7);
const TIMEOUT_MS: u64 = 10_000;

#[derive(Debug, Encode, Decode)]
enum Ask {
    Echo(String),
    Count(u64),
    Quiet,
    Hang,
}

struct Test;

impl Protocol for Test {
    type Request = Ask;
    type Reply = String;
    type Item = u64;

    fn kind(request: &Ask) -> &'static str {
        match request {
            Ask::Echo(_) => "echo",
            Ask::Count(_) => "count",
            Ask::Quiet => "quiet",
            Ask::Hang => "hang",
        }
    }
}

#[derive(Debug, Default)]
struct Echo {
    hanging: AtomicUsize,
    counting: Arc<AtomicUsize>,
    handled: AtomicUsize,
}

struct Hanging<'a>(&'a Echo);

impl Drop for Hanging<'_> {
    fn drop(&mut self) {
        self.0.hanging.fetch_sub(1, SeqCst);
    }
}

impl Handler for Echo {
    type Protocol = Test;

    async fn handle(&self, from: Incarnation, request: Ask) -> Answer<Test> {
        assert_eq!(from, CALLER);
        self.handled.fetch_add(1, SeqCst);
        match request {
            Ask::Echo(text) => Answer::Reply(text),
            Ask::Count(to) => {
                let (sender, receiver) = mpsc::channel(16);
                let counting = Arc::clone(&self.counting);
                counting.fetch_add(1, SeqCst);
                tokio::spawn(async move {
                    for item in 0..to {
                        if sender.send(item).await.is_err() {
                            break;
                        }
                    }
                    counting.fetch_sub(1, SeqCst);
                });
                Answer::Stream("counting".to_owned(), receiver)
            }
            Ask::Quiet => {
                let (sender, receiver) = mpsc::channel(16);
                let counting = Arc::clone(&self.counting);
                counting.fetch_add(1, SeqCst);
                tokio::spawn(async move {
                    sender.closed().await;
                    counting.fetch_sub(1, SeqCst);
                });
                Answer::Stream("quiet".to_owned(), receiver)
            }
            Ask::Hang => {
                self.hanging.fetch_add(1, SeqCst);
                let _hanging = Hanging(self);
                std::future::pending().await
            }
        }
    }
}

struct Node {
    address: SocketAddr,
    handler: Arc<Echo>,
    shutdown: CancellationToken,
    done: tokio::task::JoinHandle<()>,
}

fn key() -> FleetKey {
    FleetKey::try_from(b"a key for tests, only".as_slice()).unwrap()
}

async fn node() -> Node {
    node_behind(None, Settings::default()).await
}

async fn node_behind(advertised: Option<SocketAddr>, settings: Settings) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(Echo::default());
    let shutdown = CancellationToken::new();
    let mut server = Server::new(key()).with_settings(settings);
    if let Some(advertised) = advertised {
        server = server.with_advertised_address(advertised);
    }
    let serving = server.serve(listener, Arc::clone(&handler), shutdown.clone());
    let done = tokio::spawn(serving);
    Node {
        address,
        handler,
        shutdown,
        done,
    }
}

fn connections(key: FleetKey) -> Connections<Test> {
    Connections::new(key, CALLER)
}

/// Passes bytes between a caller and a node until `flowing` turns false; then holds both sockets
/// open and passes nothing, as a network that drops every packet would.
async fn link(listener: TcpListener, to: SocketAddr, flowing: watch::Receiver<bool>) {
    while let Ok((caller, _)) = listener.accept().await {
        let node = TcpStream::connect(to).await.unwrap();
        let (caller_read, caller_write) = caller.into_split();
        let (node_read, node_write) = node.into_split();
        tokio::spawn(pass(caller_read, node_write, flowing.clone()));
        tokio::spawn(pass(node_read, caller_write, flowing.clone()));
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut flowing: watch::Receiver<bool>,
) {
    let mut buffer = [0; 4096];
    loop {
        flowing.wait_for(|flowing| *flowing).await.unwrap();
        let length = from.read(&mut buffer).await.unwrap_or(0);
        flowing.wait_for(|flowing| *flowing).await.unwrap();
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// A node behind a link that can be cut.
async fn node_behind_link(settings: Settings) -> (Node, SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = node_behind(Some(address), settings).await;
    let (flow, flowing) = watch::channel(true);
    tokio::spawn(link(listener, node.address, flowing));
    (node, address, flow)
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let bounded = tokio::time::timeout(Duration::from_secs(20), waiting);
    bounded.await.expect("it never came to hold");
}

async fn echo(peers: &Connections<Test>, to: SocketAddr, text: &str) -> Result<String, PeerError> {
    peers.call(to, Ask::Echo(text.to_owned()), TIMEOUT_MS).await
}

#[tokio::test]
async fn a_reply_comes_back_and_is_counted() {
    let node = node().await;
    let peers = connections(key());
    assert_eq!(echo(&peers, node.address, "ahoj").await.unwrap(), "ahoj");
    assert_eq!(echo(&peers, node.address, "světe").await.unwrap(), "světe");
    let kinds = peers.traffic().kinds();
    assert_eq!(kinds.len(), 1);
    assert_eq!(kinds[0].kind, "echo");
    assert_eq!(kinds[0].sent_messages.load(SeqCst), 2);
    assert_eq!(kinds[0].received_messages.load(SeqCst), 2);
    let connections = peers.traffic().connections.load(SeqCst);
    assert_eq!(connections, 1, "the connection is kept for the second call");
}

#[tokio::test]
async fn items_come_in_order_and_end() {
    let node = node().await;
    let peers = connections(key());
    let (reply, mut items) = peers
        .open(node.address, Ask::Count(50_000), TIMEOUT_MS)
        .await
        .unwrap();
    assert_eq!(reply, "counting");
    for expected in 0..50_000 {
        assert_eq!(items.next().await.unwrap().unwrap(), expected);
    }
    assert!(items.next().await.is_none());
}

#[tokio::test]
async fn messages_up_to_the_limit_pass_and_larger_ones_are_not_sent() {
    let node = node().await;
    let peers = connections(key());
    let large = "ž".repeat(3 * 1024 * 1024);
    assert_eq!(echo(&peers, node.address, &large).await.unwrap(), large);
    let too_large = "ž".repeat(MAX_MESSAGE_BYTES / 2 + 1);
    let error = echo(&peers, node.address, &too_large).await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
}

#[tokio::test]
async fn a_refused_connection_means_not_sent() {
    // Symptom: a caller is told `unknown` though its peer was never reached.
    // Sequence: the peer's process ended; its port refuses connections.
    // Cause: a failed connect is not told from a failure after sending.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = echo(&connections(key()), address, "").await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
}

#[tokio::test]
async fn another_key_is_refused_before_the_handler() {
    let node = node().await;
    let other = FleetKey::try_from(b"the key of another fleet".as_slice()).unwrap();
    let error = echo(&connections(other), node.address, "")
        .await
        .unwrap_err();
    assert!(error.is_refused_credentials(), "{error:?}");
    assert!(error.is_not_handled());
    assert!(!error.is_not_sent());
    assert_eq!(node.handler.handled.load(SeqCst), 0);
}

#[tokio::test]
async fn a_call_that_runs_out_of_time_cancels_its_handler() {
    // Symptom: work goes on that nobody waits for.
    // Sequence: a handler takes long; its caller gives up.
    // Cause: the reset of the stream doesn't reach the handler.
    let node = node().await;
    let peers = connections(key());
    let error = peers.call(node.address, Ask::Hang, 50).await.unwrap_err();
    assert!(error.is_timed_out(), "{error:?}");
    assert!(!error.is_not_handled());
    eventually(|| {
        let handler = &node.handler;
        handler.handled.load(SeqCst) == 1 && handler.hanging.load(SeqCst) == 0
    })
    .await;
}

#[tokio::test]
async fn streams_of_a_half_open_connection_fail() {
    // Symptom: a stream hangs for minutes.
    // Sequence: a stream is open; the network between the nodes starts to drop every packet.
    // Cause: without new bytes to send, TCP never notices that the peer is gone.
    let settings = Settings::default().with_silence_timeout_ms(200);
    let (node, address, flow) = node_behind_link(settings).await;
    let peers = connections(key()).with_settings(settings);
    let call = peers.call(address, Ask::Hang, TIMEOUT_MS);
    let cut = async {
        eventually(|| node.handler.hanging.load(SeqCst) == 1).await;
        flow.send(false).unwrap();
    };
    let (result, ()) = tokio::join!(call, cut);
    let error = result.unwrap_err();
    assert!(matches!(error, PeerError::Silent), "{error:?}");
    assert!(!error.is_not_handled());
    // The node on the other side notices, too, and drops its handler.
    eventually(|| node.handler.hanging.load(SeqCst) == 0).await;
}

#[tokio::test]
async fn a_slow_handler_on_a_live_connection_is_not_taken_for_silence() {
    let settings = Settings::default().with_silence_timeout_ms(200);
    let node = node_behind(None, settings).await;
    let peers = connections(key()).with_settings(settings);
    let error = peers
        .call(node.address, Ask::Hang, 1_000)
        .await
        .unwrap_err();
    assert!(error.is_timed_out(), "{error:?}");
}

#[tokio::test]
async fn a_dead_idle_connection_means_not_sent() {
    // Symptom: the first request after a quiet time ends `unknown`.
    // Sequence: a connection is idle; its peer is cut off; a request is sent on it.
    // Cause: the pool hands out a connection that nobody has looked at for long.
    let settings = Settings {
        trusted_idle_ms: 20,
        ..Settings::default().with_connect_timeout_ms(200)
    };
    let (node, address, flow) = node_behind_link(settings).await;
    let peers = connections(key()).with_settings(settings);
    echo(&peers, address, "").await.unwrap();
    flow.send(false).unwrap();
    tokio::time::sleep(Duration::from_millis(40)).await;
    let error = echo(&peers, address, "").await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
    flow.send(true).unwrap();
    echo(&peers, address, "").await.unwrap();
    assert_eq!(node.handler.handled.load(SeqCst), 2);
}

#[tokio::test]
async fn a_restarted_peer_is_connected_to_again() {
    let first = node().await;
    let peers = connections(key());
    echo(&peers, first.address, "").await.unwrap();
    first.shutdown.cancel();
    first.done.await.unwrap();
    let error = echo(&peers, first.address, "").await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
    let listener = TcpListener::bind(first.address).await.unwrap();
    let handler = Arc::clone(&first.handler);
    tokio::spawn(serve(listener, key(), handler, CancellationToken::new()));
    echo(&peers, first.address, "").await.unwrap();
}

#[tokio::test]
async fn a_stream_that_is_dropped_closes_its_handlers_channel() {
    // Symptom: a node goes on making tokens that nobody reads.
    // Sequence: a caller drops a stream half way.
    // Cause: the producer's channel stays open.
    let node = node().await;
    let peers = connections(key());
    for ask in [Ask::Count(u64::MAX), Ask::Quiet] {
        let opened = peers.open(node.address, ask, TIMEOUT_MS).await;
        let (_, items) = opened.unwrap();
        assert_eq!(node.handler.counting.load(SeqCst), 1);
        drop(items);
        eventually(|| node.handler.counting.load(SeqCst) == 0).await;
    }
}

#[tokio::test]
async fn streams_beyond_the_bound_are_refused_before_the_handler() {
    let node = node_behind(None, Settings::default().with_max_streams(1)).await;
    let peers = connections(key());
    let other = connections(key());
    let held = peers.open(node.address, Ask::Count(u64::MAX), TIMEOUT_MS);
    let (_, items) = held.await.unwrap();
    let error = echo(&other, node.address, "").await.unwrap_err();
    assert!(error.is_not_handled(), "{error:?}");
    assert_eq!(node.handler.handled.load(SeqCst), 1);
    drop(items);
    eventually(|| node.handler.counting.load(SeqCst) == 0).await;
    echo(&other, node.address, "").await.unwrap();
}

#[tokio::test]
async fn calls_beyond_the_callers_bound_wait_and_are_not_sent() {
    let node = node().await;
    let peers = connections(key()).with_settings(Settings::default().with_max_streams(1));
    let held = peers.open(node.address, Ask::Count(u64::MAX), TIMEOUT_MS);
    let (_, items) = held.await.unwrap();
    let error = peers.call(node.address, Ask::Hang, 50).await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
    assert_eq!(node.handler.handled.load(SeqCst), 1);
    drop(items);
    echo(&peers, node.address, "").await.unwrap();
}

#[tokio::test]
async fn slow_streams_do_not_hold_up_others() {
    // Symptom: one caller that reads slowly stops the streams of all others between two nodes.
    // Sequence: many streams are open whose items nobody reads; another one is read.
    // Cause: unread bytes fill the window that all streams of a connection share.
    let node = node().await;
    let peers = connections(key());
    let mut unread = Vec::new();
    for _ in 0..40 {
        let opened = peers.open(node.address, Ask::Count(u64::MAX), TIMEOUT_MS);
        unread.push(opened.await.unwrap());
    }
    let (_, mut items) = peers
        .open(node.address, Ask::Count(50_000), TIMEOUT_MS)
        .await
        .unwrap();
    let reading = async { while items.next().await.is_some_and(|item| item.is_ok()) {} };
    let bounded = tokio::time::timeout(Duration::from_secs(30), reading);
    bounded.await.expect("the stream is held up");
    assert_eq!(node.handler.counting.load(SeqCst), unread.len());
}

#[tokio::test]
async fn shutdown_finishes_open_streams() {
    // Symptom: a planned stop cuts streams.
    // Sequence: a stream is half read; its node is told to stop.
    // Cause: the listener's end takes the connections with it.
    let node = node().await;
    let peers = connections(key());
    let (_, mut items) = peers
        .open(node.address, Ask::Count(50_000), TIMEOUT_MS)
        .await
        .unwrap();
    assert_eq!(items.next().await.unwrap().unwrap(), 0);
    node.shutdown.cancel();
    for expected in 1..50_000 {
        assert_eq!(items.next().await.unwrap().unwrap(), expected);
    }
    assert!(items.next().await.is_none());
    node.done.await.unwrap();
}

#[test]
fn a_short_key_is_refused_and_a_key_is_not_printed() {
    let error = FleetKey::try_from(b"fifteen bytes..".as_slice()).unwrap_err();
    assert_eq!(error, KeyError { length_bytes: 15 });
    assert!(!format!("{:?}", key()).contains("tests"));
}
