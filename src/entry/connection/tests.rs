//! Tests of telling the protocols apart.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{Connection, builders};
use crate::entry::Bounds;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length 0, kind 4, no flags, stream 0.
const EMPTY_SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
/// Where a frame's kind stands.
const KIND_AT: usize = 3;
const SETTINGS: u8 = 4;

/// Serves one connection with an empty answer to everything; gives the caller's end of it.
async fn connect(patience: Duration, shutdown: &CancellationToken) -> TcpStream {
    let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let bounds = Bounds {
            max_connections: 1,
            max_body_bytes: 1_024,
            max_header_bytes: 8_192,
            header_read_timeout_ms: 10_000,
        };
        let graceful = GracefulShutdown::new();
        let connection = Connection {
            socket,
            builders: Arc::new(builders(bounds)),
            patience,
            watcher: graceful.watcher(),
            shutdown,
        };
        let answer = |request: Request<Incoming>| async move {
            let mut response = Response::new(Body::default());
            if request.method() != http::Method::POST {
                *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            }
            Ok::<_, Infallible>(response)
        };
        connection.serve(service_fn(answer)).await;
    });
    TcpStream::connect(address).await.unwrap()
}

const LONG: Duration = Duration::from_secs(30);

/// Symptom: a caller of HTTP/1 is answered in HTTP/2. Sequence: its first byte, which the two
/// protocols share, comes in a packet of its own. Cause: telling the protocols apart too early.
#[tokio::test]
async fn http1_is_told_from_bytes_that_come_one_by_one() {
    let mut socket = connect(LONG, &CancellationToken::new()).await;
    socket.set_nodelay(true).unwrap();
    for byte in b"POST / HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n" {
        socket.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut answer = [0; 15];
    socket.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
}

#[tokio::test]
async fn http2_is_told_from_bytes_that_come_one_by_one() {
    let mut socket = connect(LONG, &CancellationToken::new()).await;
    socket.set_nodelay(true).unwrap();
    for byte in PREFACE.iter().chain(EMPTY_SETTINGS) {
        socket.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut frame = [0; 9];
    socket.read_exact(&mut frame).await.unwrap();
    assert_eq!(frame[KIND_AT], SETTINGS);
}

/// Symptom: a node cannot be reached any more. Sequence: many connections are opened that say
/// nothing, or one byte that either protocol begins with. Cause: waiting for them without end.
#[tokio::test]
async fn a_connection_that_does_not_begin_is_closed() {
    for said in [&b""[..], b"P"] {
        let mut socket = connect(Duration::from_millis(20), &CancellationToken::new()).await;
        socket.write_all(said).await.unwrap();
        let mut rest = Vec::new();
        // A reset is an end, too: the server may close before it has read the byte.
        drop(socket.read_to_end(&mut rest).await);
        assert!(rest.is_empty());
    }
}

/// Symptom: a planned stop takes until its limit. Sequence: a caller holds a connection open on
/// which it has sent nothing yet. Cause: only connections with requests being told of the stop.
#[tokio::test]
async fn a_stop_closes_a_connection_that_has_not_begun() {
    let shutdown = CancellationToken::new();
    let mut socket = connect(LONG, &shutdown).await;
    shutdown.cancel();
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).await.unwrap();
    assert!(rest.is_empty());
}
