//! Bodies at the role `serve`.

use teaselline_stand_ins::operators::{Crowd, HostLimits, Member};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::{Usage, alone, chunks, one_served_node, ordinary_served_request_is_answered};
use crate::trial;

/// The limits of the node's host.
const HOST: HostLimits = HostLimits {
    memory_mb: 96,
    max_descriptors: 4_100,
};

/// The same limits and the longest body, as the node is told.
const SETTINGS: &[(&str, &str)] = &[
    ("TEASELLINE_MEMORY_MB", "96"),
    ("TEASELLINE_MAX_DESCRIPTORS", "4100"),
    ("TEASELLINE_MAX_BODY_BYTES", "1000000"),
];

/// Callers that send bodies of nearly the greatest size.
const CALLERS: usize = 150;

/// Size of their bodies.
const BODY_BYTES: usize = 990_000;

/// Callers that send chunks of one byte.
const CALLERS_WITH_TINY_CHUNKS: usize = 200;

/// Size of their bodies.
const TINY_CHUNKS_BYTES: usize = 30_000;

/// Size of bodies far over the limit.
const OVER_LIMIT_BYTES: usize = 10_000_000;

fn head(framing: &str) -> Vec<u8> {
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n{framing}\r\n\r\n",
        trial::TOKEN
    )
    .into_bytes()
}

fn short_of_its_end(_place: usize) -> Member {
    let mut bytes = head(&format!("Content-Length: {BODY_BYTES}"));
    bytes.resize(bytes.len() + BODY_BYTES - 1, b' ');
    Member::sending(bytes)
}

fn chunked(body_bytes: usize, chunk_bytes: usize) -> Member {
    let mut bytes = head("Transfer-Encoding: chunked");
    bytes.extend(chunks(body_bytes, chunk_bytes));
    Member::sending(bytes)
}

/// Checks that a node with little memory bears a crowd and answers an ordinary request beside it.
async fn crowd_is_borne(count: usize, member: impl Fn(usize) -> Member) {
    let _alone = alone().await;
    let fleet = one_served_node(HOST, SETTINGS).await;
    let node = fleet.node(0);
    let usage = Usage::watch(node.id());
    let crowd = Crowd::gather(node.callers, count, member).await;
    ordinary_served_request_is_answered(&fleet).await;
    usage.assert_within(HOST);
    drop(crowd);
}

/// Guards against bodies that stop one byte short and together take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn served_whole_bodies_that_stop_short_stay_within_memory() {
    crowd_is_borne(CALLERS, short_of_its_end).await;
}

/// Guards against the same bodies sent piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn served_bodies_in_pieces_that_stop_short_stay_within_memory() {
    crowd_is_borne(CALLERS, |place| short_of_its_end(place).in_pieces(4_096)).await;
}

/// Guards against chunked bodies that do not end.
#[tokio::test(flavor = "multi_thread")]
async fn served_bodies_in_large_chunks_stay_within_memory() {
    crowd_is_borne(CALLERS, |_place| chunked(BODY_BYTES, 30_000)).await;
}

/// Guards against chunks that cost many times their length.
#[tokio::test(flavor = "multi_thread")]
async fn served_bodies_in_chunks_of_one_byte_stay_within_memory() {
    crowd_is_borne(CALLERS_WITH_TINY_CHUNKS, |_place| {
        chunked(TINY_CHUNKS_BYTES, 1)
    })
    .await;
}

/// Guards against announced bodies over the limit that are kept before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn served_announced_bodies_over_the_limit_stay_within_memory() {
    let member = |_place| {
        let mut bytes = head(&format!("Content-Length: {OVER_LIMIT_BYTES}"));
        bytes.resize(bytes.len() + OVER_LIMIT_BYTES, b' ');
        Member::sending(bytes)
    };
    crowd_is_borne(CALLERS, member).await;
}

/// Guards against bodies over the limit that are just sent.
#[tokio::test(flavor = "multi_thread")]
async fn served_chunked_bodies_over_the_limit_stay_within_memory() {
    crowd_is_borne(CALLERS, |_place| chunked(OVER_LIMIT_BYTES, 50_000)).await;
}

/// Guards against a refusal that its caller never reads because its connection is reset.
#[tokio::test]
async fn served_refusal_reaches_a_caller_that_is_still_sending() {
    let _alone = alone().await;
    let fleet = one_served_node(HOST, SETTINGS).await;
    let node = fleet.node(0).callers;
    for _attempt in 0..20 {
        let mut bytes = head(&format!("Content-Length: {OVER_LIMIT_BYTES}"));
        bytes.resize(bytes.len() + OVER_LIMIT_BYTES, b' ');
        let mut socket = TcpStream::connect(node).await.expect("the node listens");
        let sent = socket.write_all(&bytes).await;
        let mut status = [0; 12];
        let read = socket.read_exact(&mut status).await;
        assert!(read.is_ok(), "sent: {sent:?}, read: {read:?}");
        assert_eq!(&status, b"HTTP/1.1 413");
    }
}
