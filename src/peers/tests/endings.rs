//! Connections that end while a request is sent on them.

use super::raw::{Ending, end_at_first_request};
use super::*;

/// Time without streams after which connections end here.
const IDLE_TIMEOUT_MS: u64 = 50;

/// A connection that has been idle for so long has been ended by each of its sides.
const LONG_IDLE: Duration = Duration::from_millis(6 * IDLE_TIMEOUT_MS);

fn without_pings() -> Settings {
    Settings {
        verify_after_idle_ms: TIMEOUT_MS,
        ..Settings::default().with_silence_timeout_ms(TIMEOUT_MS)
    }
}

/// Sends a request to a peer that ends its connection like this.
async fn error_of(ending: Ending) -> PeerError {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(end_at_first_request(socket, ending));
        }
    });
    echo(&pool(key()), address, "").await.unwrap_err()
}

/// Sends a request on an open connection on which nothing passes while `ending` acts on the node.
async fn echo_while(
    settings: Settings,
    ending: impl AsyncFnOnce(&Node),
) -> (Node, Result<String, PeerError>) {
    let (node, address, flow) = start_node_behind_proxy(settings).await;
    let connections = pool(key()).with_settings(without_pings());
    echo(&connections, address, "before").await.unwrap();
    flow.send(false).unwrap();
    let call = echo(&connections, address, "under way");
    let resume = async {
        ending(&node).await;
        flow.send(true).unwrap();
    };
    let (called, ()) = tokio::join!(call, resume);
    (node, called)
}

/// Guards against a request that is lost because the accepting side ends an idle connection while it is under way.
#[tokio::test]
async fn request_under_way_is_answered_although_its_connection_was_idle() {
    let settings = Settings {
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        ..without_pings()
    };
    let (node, called) = echo_while(settings, async |_node| {
        tokio::time::sleep(LONG_IDLE).await;
    })
    .await;
    assert_eq!(called.unwrap(), "under way");
    assert_eq!(node.handler.handled.load(SeqCst), 2);
}

/// Guards against a request that is lost because the node shuts down while it is under way.
#[tokio::test]
async fn request_under_way_is_answered_although_the_node_shuts_down() {
    let (node, called) = echo_while(without_pings(), async |node| {
        node.shutdown.cancel();
        tokio::time::sleep(LONG_IDLE).await;
    })
    .await;
    assert_eq!(called.unwrap(), "under way");
    assert_eq!(node.handler.handled.load(SeqCst), 2);
    node.done.await.unwrap();
}

/// Guards against a connection of a lost peer that is kept for good because the peer does not read that it ends.
#[tokio::test]
async fn idle_connection_of_a_lost_peer_ends() {
    let settings = Settings {
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        ..Settings::default().with_silence_timeout_ms(IDLE_TIMEOUT_MS)
    };
    let (node, address, flow) = start_node_behind_proxy(settings).await;
    let connections = pool(key()).with_settings(without_pings());
    echo(&connections, address, "").await.unwrap();
    flow.send(false).unwrap();
    node.shutdown.cancel();
    let ended = tokio::time::timeout(Duration::from_secs(20), node.done).await;
    ended.expect("the connection ends").unwrap();
}

/// Guards against a request that counts as possibly run although its peer says that it has not read it.
#[tokio::test]
async fn request_behind_a_goaway_counts_as_not_handled() {
    let error = error_of(Ending::GoAway { last_stream: 0 }).await;
    assert!(error.is_not_handled(), "{error:?}");
}

/// Guards against a request that counts as possibly run although its peer has refused its stream.
#[tokio::test]
async fn request_of_a_refused_stream_counts_as_not_handled() {
    let error = error_of(Ending::RefusedStream).await;
    assert!(error.is_not_handled(), "{error:?}");
}

/// Guards against a second run of a request that the peer may have handled before its connection ended.
#[tokio::test]
async fn request_of_an_ended_connection_may_have_been_handled_without_proof() {
    for ending in [Ending::GoAway { last_stream: 1 }, Ending::Closed] {
        let error = error_of(ending).await;
        assert!(!error.is_not_handled(), "{ending:?}: {error:?}");
    }
}

/// Guards against requests that fail for as long as a stream is open on a connection that its peer has said it ends.
#[tokio::test]
async fn connection_that_its_peer_ends_takes_no_further_request() {
    let first = start_node().await;
    let connections = pool(key());
    let opened = connections.open(first.address, TestRequest::Quiet, TIMEOUT_MS);
    let (_, mut items) = opened.await.unwrap();
    first.shutdown.cancel();
    eventually(|| std::net::TcpStream::connect(first.address).is_err()).await;
    let listener = TcpListener::bind(first.address).await.unwrap();
    let second = start_node_on(listener, None, Settings::default());
    let second_call = echo(&connections, second.address, "second").await;
    assert_eq!(second_call.unwrap(), "second");
    assert_eq!(second.handler.handled.load(SeqCst), 1);
    let next = tokio::time::timeout(Duration::from_millis(200), items.next()).await;
    assert!(next.is_err(), "the stream ended: {next:?}");
}

/// Guards against accepting sides that end connections on which their peers are about to send.
#[test]
fn asking_side_ends_idle_connections_first() {
    let settings = Settings::default();
    let call_ms = settings.verify_after_idle_ms + settings.connect_timeout_ms;
    let (asking, accepted) = (settings.asking(), settings.accepted());
    assert!(accepted.idle_timeout_ms >= asking.idle_timeout_ms + call_ms);
    assert!(accepted.close_delay_ms >= call_ms);
}

/// Calls of one pool, each of which finds its connection idle or about to end.
async fn echo_at_the_idle_timeout(address: SocketAddr, pool_number: u64) -> Result<(), PeerError> {
    let settings = Settings {
        idle_timeout_ms: 1,
        ..without_pings()
    };
    let connections = pool(key()).with_settings(settings);
    for call in 0..150_u64 {
        let pause_us = 200 + (call * 37 + pool_number * 131) % 1_900;
        tokio::time::sleep(Duration::from_micros(pause_us)).await;
        echo(&connections, address, "").await?;
    }
    Ok(())
}

/// Guards against requests that are lost because the asking side ends an idle connection as it sends on it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_while_their_connections_become_idle() {
    let node = start_node().await;
    let callers = (0..8).map(|number| tokio::spawn(echo_at_the_idle_timeout(node.address, number)));
    for called in join_all(callers).await {
        called.unwrap().unwrap();
    }
}
