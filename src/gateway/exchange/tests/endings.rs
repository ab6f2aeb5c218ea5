//! Requests to a peer that ends the connection on which they are sent.

use super::*;
use crate::peers::tests::raw::{Ending, end_at_first_request, pass_on};

/// Ends the first connection that carries a request like this, and passes the others on.
async fn end_first(listener: TcpListener, to: SocketAddr, ending: Ending) {
    let (first, _) = listener.accept().await.expect("a connection");
    tokio::spawn(end_at_first_request(first, ending));
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(pass_on(socket, to));
    }
}

/// Sends a request that may run once to a node whose only peer ends its first connection like this.
async fn send_into(ending: Ending, id: &str) -> (Option<u16>, usize) {
    let upstreams = Upstreams::start().await;
    let cut = TestNode::start("cut", &upstreams, Link::Refuses).await;
    let (front, front_address) = bind().await;
    let (peers, own_address) = bind().await;
    let whole = TestNode::start_at("whole", &upstreams, Link::Works, peers, front_address).await;
    cut.notice("desk", "again").await;
    tokio::spawn(end_first(front, own_address, ending));
    cut.hear(&whole);
    confirm(&cut.node);
    let ended = asked(id, "once").send(cut.callers).await;
    (ended.status(), upstreams.runs_of(id).len())
}

/// Guards against a call that is answered 502 although its peer has said that it has not read it.
#[tokio::test(flavor = "multi_thread")]
async fn call_behind_a_goaway_of_its_peer_is_answered() {
    let sent = send_into(Ending::GoAway { last_stream: 0 }, "unread").await;
    assert_eq!(sent, (Some(200), 1));
}

/// Guards against a call that runs twice because its peer ended the connection without a word.
#[tokio::test(flavor = "multi_thread")]
async fn call_on_a_connection_that_ends_without_a_word_is_not_sent_again() {
    for ending in [Ending::Closed, Ending::GoAway { last_stream: 1 }] {
        let sent = send_into(ending, "unknown").await;
        assert_eq!(sent, (Some(502), 0), "{ending:?}");
    }
}
