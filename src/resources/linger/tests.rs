use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::*;

const BUFFER_BYTES: usize = 1_024;

/// Guards against a close that is given up while its caller is still sending, which resets the connection.
#[tokio::test]
async fn socket_reads_on_while_its_caller_is_still_sending() {
    let (mut caller, socket) = duplex(BUFFER_BYTES);
    let unread_body = UnreadBody::default();
    unread_body.begin(true);
    let mut socket = LingeringSocket::new(socket, unread_body);
    let sending = async {
        let sent = caller.write_all(&[b'x'; 8 * BUFFER_BYTES]).await;
        sent.expect("the socket reads on");
        drop(caller);
    };
    let (_sent, shut_down) = tokio::join!(sending, socket.shutdown());
    shut_down.expect("the caller has closed the connection");
}

/// Guards against callers that never close their connections and keep the node's.
#[tokio::test]
async fn caller_that_stays_keeps_a_closed_socket_for_a_bounded_time() {
    let (mut caller, socket) = duplex(BUFFER_BYTES);
    let unread_body = UnreadBody::default();
    unread_body.begin(true);
    let mut socket = LingeringSocket::new(socket, unread_body);
    let closed = tokio::time::timeout(2 * LINGER_TIMEOUT, socket.shutdown()).await;
    assert!(closed.is_ok(), "the socket stays open");
    let mut byte = [0];
    assert_eq!(caller.read(&mut byte).await.ok(), Some(0));
}

/// Guards against a wait at the end of each connection whose requests have been read.
#[tokio::test]
async fn socket_closes_at_once_after_a_body_that_was_read() {
    let (_caller, socket) = duplex(BUFFER_BYTES);
    let unread_body = UnreadBody::default();
    unread_body.begin(true);
    unread_body.end();
    let mut socket = LingeringSocket::new(socket, unread_body);
    let closed = futures::FutureExt::now_or_never(socket.shutdown());
    assert!(closed.is_some(), "the socket waits");
}
