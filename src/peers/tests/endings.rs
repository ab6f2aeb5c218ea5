//! Connections that end while a request is sent on them.

use super::raw::{Ending, end_at_first_request};
use super::*;

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
