//! Tests of the bound on what comes before the end of a head.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::{CONNECTION_BUFFER_BYTES, HeadLimitedSender, HeadTooLong, handshake};

/// Bytes that fit into the pipe between the two sides.
const PIPE_BYTES: usize = 256 * 1024;

/// Opens a connection over a pipe; returns its client side and the server's end of the pipe.
async fn connect() -> (HeadLimitedSender, DuplexStream) {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let (sender, connection) = handshake(near).await.expect("the pipe is open");
    tokio::spawn(connection);
    (sender, far)
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"body")))
}

/// Answers one request with `head` repeated and a body of `body_bytes`.
async fn serve(far: &mut DuplexStream, informational: usize, body_bytes: usize) {
    let mut request = [0; 1024];
    let length = far.read(&mut request).await.expect("the pipe is open");
    assert!(length > 0);
    let heads = "HTTP/1.1 103 Early Hints\r\nhint: value\r\n\r\n".repeat(informational);
    let head = format!("{heads}HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; body_bytes]].concat();
    // The other side may have closed the connection.
    drop(far.write_all(&answer).await);
}

/// Guards against informational heads without end.
#[tokio::test]
async fn informational_heads_beyond_the_bound_end_the_connection() {
    let (mut sender, mut far) = connect().await;
    let answered = tokio::join!(sender.send_request(request()), serve(&mut far, 4_000, 10));
    let error = answered.0.expect_err("the heads exceed the bound");
    assert!(HeadTooLong::is_cause_of(&error), "{error:?}");
}

/// Guards against a bound that refuses the informational heads of a sound server.
#[tokio::test]
async fn some_informational_heads_are_skipped() {
    let (mut sender, mut far) = connect().await;
    let answered = tokio::join!(sender.send_request(request()), serve(&mut far, 20, 10));
    let body = answered.0.expect("a response").collect().await;
    assert_eq!(body.expect("a body").to_bytes().len(), 10);
}

/// Guards against a bound that counts the body, or the responses before, toward a head.
#[tokio::test]
async fn bodies_and_earlier_responses_count_toward_no_head() {
    let (mut sender, mut far) = connect().await;
    let body_bytes = CONNECTION_BUFFER_BYTES * 6;
    for _request in 0..5 {
        sender.ready().await.expect("the connection is kept");
        let exchange = async {
            let response = sender.send_request(request()).await.expect("a response");
            response.collect().await.expect("a whole body").to_bytes()
        };
        let answered = tokio::join!(exchange, serve(&mut far, 20, body_bytes));
        assert_eq!(answered.0.len(), body_bytes);
    }
}
