//! Tests of the detection of the HTTP version.

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
use crate::entry::HttpLimits;
use crate::resources::UnreadBody;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length 0, type 4 (SETTINGS), no flags, stream 0.
const EMPTY_SETTINGS_FRAME: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
/// Offset of a frame's type.
const FRAME_TYPE_OFFSET: usize = 3;
const SETTINGS_FRAME_TYPE: u8 = 4;

/// Serves one connection with empty responses; returns the caller's end of it.
async fn connect(first_bytes_timeout: Duration, shutdown: &CancellationToken) -> TcpStream {
    let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let limits = HttpLimits {
            max_connections: 1,
            max_body_bytes: 1_024,
            max_header_bytes: 8_192,
            header_read_timeout_ms: 10_000,
            body_read_timeout_ms: 10_000,
            memory_bytes: 64 * 1024 * 1024,
            max_descriptors: 1_024,
        };
        let graceful = GracefulShutdown::new();
        let connection = Connection {
            socket,
            builders: Arc::new(builders(limits)),
            first_bytes_timeout,
            unread_body: UnreadBody::default(),
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

const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against answering an HTTP/1 caller in HTTP/2: the first byte, which both versions share,
/// arrives in a packet of its own and the version is decided too early.
#[tokio::test]
async fn http1_is_detected_from_single_bytes() {
    let mut socket = connect(LONG_TIMEOUT, &CancellationToken::new()).await;
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
async fn http2_is_detected_from_single_bytes() {
    let mut socket = connect(LONG_TIMEOUT, &CancellationToken::new()).await;
    socket.set_nodelay(true).unwrap();
    for byte in PREFACE.iter().chain(EMPTY_SETTINGS_FRAME) {
        socket.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut frame = [0; 9];
    socket.read_exact(&mut frame).await.unwrap();
    assert_eq!(frame[FRAME_TYPE_OFFSET], SETTINGS_FRAME_TYPE);
}

/// Guards against a node that can no longer be reached: many connections are opened that send
/// nothing, or one byte that both versions start with, and the node waits for them without a
/// timeout.
#[tokio::test]
async fn connection_without_first_bytes_is_closed_after_the_timeout() {
    for sent in [&b""[..], b"P"] {
        let mut socket = connect(Duration::from_millis(20), &CancellationToken::new()).await;
        socket.write_all(sent).await.unwrap();
        let mut rest = Vec::new();
        // A reset is also an end: the server may close before it has read the byte.
        drop(socket.read_to_end(&mut rest).await);
        assert!(rest.is_empty());
    }
}

/// Guards against a graceful shutdown that takes until its timeout: a caller holds a connection
/// open without having sent a request, and only connections with requests learn of the shutdown.
#[tokio::test]
async fn shutdown_closes_a_connection_without_first_bytes() {
    let shutdown = CancellationToken::new();
    let mut socket = connect(LONG_TIMEOUT, &shutdown).await;
    shutdown.cancel();
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).await.unwrap();
    assert!(rest.is_empty());
}
