//! Connections that stay open, at each listener of the operators' platform that callers reach.

use std::net::SocketAddr;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Crowd, Member, Node};

use super::support::{FEW_DESCRIPTORS, Usage, alone, head, one_node, ordinary_request_is_answered};

/// Callers, more than a host has descriptors.
const CALLERS: usize = 600;

/// Checks that a node with few descriptors bears connections that stay open at one of its listeners.
async fn connections_are_borne(bytes: &[u8], listener: fn(&Node) -> SocketAddr) {
    let _alone = alone().await;
    let deployment = one_node(FEW_DESCRIPTORS).await;
    let node = &deployment.nodes[0];
    let usage = Usage::watch(node.process_id());
    let member = |_place| Member::sending(bytes.to_vec());
    let crowd = Crowd::gather(listener(node), CALLERS, member).await;
    ordinary_request_is_answered(&deployment).await;
    let addresses = deployment.addresses(0).await;
    assert_eq!(addresses.len(), 1, "the directory answers: {addresses:?}");
    usage.assert_within(FEW_DESCRIPTORS);
    drop(crowd);
}

/// Guards against callers that connect and send nothing, and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_of_callers_leave_descriptors() {
    connections_are_borne(b"", Node::callers).await;
}

/// Guards against heads that do not end and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn begun_heads_of_callers_leave_descriptors() {
    connections_are_borne(b"POST /once/x HTTP/1.1\r\nHost: ", Node::callers).await;
}

/// Guards against small bodies that do not end and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_that_stop_short_leave_descriptors() {
    let mut bytes = head("crowd", "Content-Length: 2000");
    bytes.resize(bytes.len() + 1_999, b'x');
    connections_are_borne(&bytes, Node::callers).await;
}

/// Guards against connections that are kept after one answer each and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_of_callers_leave_descriptors() {
    let call = asked("kept", "again").text();
    connections_are_borne(call.as_bytes(), Node::callers).await;
}

/// Guards against connections to the directory that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_directory_leave_descriptors() {
    connections_are_borne(b"", Node::directory).await;
}

/// Guards against connections to the readiness endpoint that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_readiness_endpoint_leave_descriptors() {
    connections_are_borne(b"", Node::readiness).await;
}

/// Guards against connections to the metrics endpoint that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_metrics_endpoint_leave_descriptors() {
    connections_are_borne(b"", Node::metrics).await;
}
