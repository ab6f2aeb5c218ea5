//! Requests that are refused or cancelled by the thousand beside an open stream.

use super::*;

/// More cancelled requests than `h2` takes by default.
const CANCELLED: usize = 1_200;

/// Refused requests, whose late frames are more than `h2` takes by default over all of a connection's time.
const REFUSED: usize = 1_400;

/// Streams that a node takes at once; the refused ones fit into their connection's own limit.
const MAX_STREAMS: u32 = 1_500;

/// Body of a refused request.
const BODY_BYTES: usize = 2 * 1024;

/// Bytes that a slow path carries at once, and the pause after them.
const PIECE_BYTES: usize = 4 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Carries bytes to the node piece by piece, and back at once.
async fn slow_path(listener: TcpListener, to: SocketAddr) {
    while let Ok((caller, _)) = listener.accept().await {
        let node = TcpStream::connect(to).await.unwrap();
        let (caller_read, caller_write) = caller.into_split();
        let (node_read, node_write) = node.into_split();
        let (_flow, flowing) = watch::channel(true);
        tokio::spawn(forward(node_read, caller_write, flowing));
        tokio::spawn(carry_slowly(caller_read, node_write));
    }
}

async fn carry_slowly(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
) {
    let mut piece = [0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
        tokio::time::sleep(PIECE_PAUSE).await;
    }
}

/// Checks that a stream is still open, and that its connection takes a request.
async fn assert_open(
    connections: &Connections<TestProtocol>,
    address: SocketAddr,
    items: &mut Items<TestProtocol>,
) {
    let opened_before = connections.traffic().connections.load(SeqCst);
    assert_eq!(echo(connections, address, "after").await.unwrap(), "after");
    let opened = connections.traffic().connections.load(SeqCst);
    assert_eq!(opened, opened_before, "the request used another connection");
    let next = tokio::time::timeout(Duration::from_millis(200), items.next()).await;
    assert!(next.is_err(), "the stream ended: {next:?}");
}

/// Opens streams until the node takes no further one.
async fn occupy(
    address: SocketAddr,
    streams: u32,
) -> (
    Connections<TestProtocol>,
    Vec<(String, Items<TestProtocol>)>,
) {
    let connections = pool(key());
    let opening = (0..streams).map(|_| {
        let opened = connections.open(address, TestRequest::Quiet, TIMEOUT_MS);
        async { opened.await.unwrap() }
    });
    let opened = join_all(opening).await;
    (connections, opened)
}

/// Guards against answers that are cut because the same peer sent many requests that were refused: their bodies arrive
/// later, and each frame counts as an error of the connection.
#[tokio::test]
async fn late_bodies_of_refused_requests_do_not_end_the_open_streams() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = Settings {
        verify_after_idle_ms: 6 * TIMEOUT_MS,
        ..Settings::default().with_max_streams(MAX_STREAMS)
    };
    let node = start_node_with(Some(address), settings).await;
    tokio::spawn(slow_path(listener, node.address));
    let connections = pool(key()).with_settings(settings);
    let opened = connections.open(address, TestRequest::Quiet, TIMEOUT_MS);
    let (_, mut items) = opened.await.unwrap();
    let occupied = occupy(address, MAX_STREAMS - 1).await;
    let body = "x".repeat(BODY_BYTES);
    let calls = (0..REFUSED).map(|_| echo(&connections, address, &body));
    for called in join_all(calls).await {
        let error = called.unwrap_err();
        assert!(error.is_not_handled(), "{error:?}");
    }
    drop(occupied);
    eventually(|| node.handler.counting.load(SeqCst) <= 1).await;
    assert_open(&connections, address, &mut items).await;
}

/// Guards against answers that are cut because many callers of the same peer left before it read their requests.
#[tokio::test]
async fn requests_cancelled_under_way_do_not_end_the_open_streams() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = TcpProxy::start(ProxySettings::new(listener.local_addr().unwrap()));
    let proxy = proxy.await.unwrap();
    let settings = Settings {
        verify_after_idle_ms: 6 * TIMEOUT_MS,
        ..Settings::default().with_silence_timeout_ms(6 * TIMEOUT_MS)
    };
    let node = start_node_on(listener, Some(proxy.address()), settings);
    let connections = pool(key()).with_settings(settings);
    let opened = connections.open(proxy.address(), TestRequest::Quiet, TIMEOUT_MS);
    let (_, mut items) = opened.await.unwrap();
    let set_silent = |silent| {
        proxy.change(|knobs| {
            knobs.to_target = Direction {
                silent,
                ..Direction::default()
            };
        });
    };
    set_silent(true);
    let calls = (0..CANCELLED).map(|_| connections.call(proxy.address(), TestRequest::Hang, 1_000));
    for called in join_all(calls).await {
        assert!(called.unwrap_err().is_timed_out());
    }
    set_silent(false);
    assert_open(&connections, proxy.address(), &mut items).await;
    eventually(|| node.handler.hanging.load(SeqCst) == 0).await;
}
