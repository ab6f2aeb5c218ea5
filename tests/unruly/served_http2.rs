//! Bodies on many streams of a few HTTP/2 connections at the role `serve`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::client::SendRequest;
use http::Request;
use teaselline_stand_ins::operators::HostLimits;
use tokio::net::TcpStream;

use super::support::{Usage, alone, one_served_node, ordinary_served_request_is_answered};
use crate::trial;

const HOST: HostLimits = HostLimits {
    memory_mb: 96,
    max_descriptors: 4_100,
};

const SETTINGS: &[(&str, &str)] = &[
    ("TEASELLINE_MEMORY_MB", "96"),
    ("TEASELLINE_MAX_DESCRIPTORS", "4100"),
    ("TEASELLINE_MAX_BODY_BYTES", "1000000"),
];

/// Connections, each with many streams.
const CONNECTIONS: usize = 3;

/// Streams of each connection.
const STREAMS: usize = 50;

/// What each stream sends of a body that does not end.
const BODY_BYTES: usize = 990_000;

/// Longest time for which a stream sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

async fn connect(node: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(node).await.expect("the node listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("HTTP/2");
    tokio::spawn(async move {
        // The node may close it.
        drop(connection.await);
    });
    sender
}

/// Sends a body but for its end, as far as the node takes it.
async fn send_body(stream: &mut SendStream<Bytes>) {
    let mut left = BODY_BYTES;
    while left > 0 {
        stream.reserve_capacity(left);
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let Some(Ok(granted)) = granted else { return };
        let part = Bytes::from(vec![b' '; granted.min(left)]);
        left -= part.len();
        if stream.send_data(part, false).is_err() {
            return;
        }
    }
}

/// Guards against streams of a few connections whose bodies together take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn served_bodies_on_many_streams_stay_within_memory() {
    let _alone = alone().await;
    let fleet = one_served_node(HOST, SETTINGS).await;
    let node = fleet.node(0);
    let usage = Usage::watch(node.id());
    let mut sending = tokio::task::JoinSet::new();
    for _connection in 0..CONNECTIONS {
        let sender = connect(node.callers).await;
        for _stream in 0..STREAMS {
            let mut sender = sender
                .clone()
                .ready()
                .await
                .expect("the connection is open");
            let request = Request::post(format!("http://{}/v1/completions", node.callers))
                .header("authorization", format!("Bearer {}", trial::TOKEN))
                .body(())
                .expect("a request");
            let Ok((response, mut stream)) = sender.send_request(request, false) else {
                continue;
            };
            sending.spawn(async move {
                drop(tokio::time::timeout(SEND_TIMEOUT, send_body(&mut stream)).await);
                (response, stream)
            });
        }
    }
    let crowd = sending.join_all().await;
    ordinary_served_request_is_answered(&fleet).await;
    usage.assert_within(HOST);
    drop(crowd);
}
