//! Heads that do not end, at each listener of the operators' platform that callers reach.

use std::net::SocketAddr;

use teaselline_stand_ins::operators::{Crowd, Member, Node};

use super::support::{SMALL_HOST, Usage, alone, one_node, ordinary_request_is_answered};

/// Callers that send heads just below the limit.
const CALLERS: usize = 1_000;

/// What they send of a head, in bytes.
const HEAD_BYTES: usize = 15_000;

/// Callers that send heads far over the limit.
const CALLERS_OVER_LIMIT: usize = 300;

/// What they send of a head, in bytes.
const OVER_LIMIT_BYTES: usize = 300_000;

/// A head of so many bytes without its end.
fn endless_head(head_bytes: usize) -> Member {
    let mut bytes = b"GET /api/resolve HTTP/1.1\r\nHost: films.example\r\nX: ".to_vec();
    bytes.resize(head_bytes, b'x');
    Member::sending(bytes)
}

/// Checks that a node with little memory bears heads without end at one of its listeners.
async fn heads_are_borne(count: usize, head_bytes: usize, listener: fn(&Node) -> SocketAddr) {
    let _alone = alone().await;
    let deployment = one_node(SMALL_HOST).await;
    let node = &deployment.nodes[0];
    let usage = Usage::watch(node.process_id());
    let crowd = Crowd::gather(listener(node), count, |_place| endless_head(head_bytes)).await;
    ordinary_request_is_answered(&deployment).await;
    let addresses = deployment.addresses(0).await;
    assert_eq!(addresses.len(), 1, "the directory answers: {addresses:?}");
    usage.assert_within(SMALL_HOST);
    drop(crowd);
}

/// Guards against heads below the limit that do not end and together take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_of_callers_stay_within_memory() {
    heads_are_borne(CALLERS, HEAD_BYTES, Node::callers).await;
}

/// Guards against a directory that buffers whatever it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_at_the_directory_stay_within_memory() {
    heads_are_borne(CALLERS_OVER_LIMIT, OVER_LIMIT_BYTES, Node::directory).await;
}

/// Guards against a readiness endpoint that buffers whatever it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_at_the_readiness_endpoint_stay_within_memory() {
    heads_are_borne(CALLERS_OVER_LIMIT, OVER_LIMIT_BYTES, Node::readiness).await;
}

/// Guards against a metrics endpoint that buffers whatever it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_at_the_metrics_endpoint_stay_within_memory() {
    heads_are_borne(CALLERS_OVER_LIMIT, OVER_LIMIT_BYTES, Node::metrics).await;
}
