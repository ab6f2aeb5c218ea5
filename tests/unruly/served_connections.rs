//! Connections and heads at the role `serve`.

use teaselline_stand_ins::operators::{Crowd, HostLimits, Member};

use super::support::{
    FEW_DESCRIPTORS, SMALL_HOST, Usage, alone, one_served_node, ordinary_served_request_is_answered,
};

/// Callers, more than a host has descriptors.
const CALLERS: usize = 600;

/// Callers that send heads just below the limit.
const CALLERS_WITH_HEADS: usize = 1_000;

/// What they send of a head, in bytes.
const HEAD_BYTES: usize = 15_000;

const FEW_DESCRIPTORS_SETTINGS: &[(&str, &str)] = &[
    ("TEASELLINE_MEMORY_MB", "260"),
    ("TEASELLINE_MAX_DESCRIPTORS", "500"),
];

const SMALL_HOST_SETTINGS: &[(&str, &str)] = &[
    ("TEASELLINE_MEMORY_MB", "64"),
    ("TEASELLINE_MAX_DESCRIPTORS", "4100"),
];

async fn connections_are_borne(
    host: HostLimits,
    settings: &'static [(&'static str, &'static str)],
    count: usize,
    bytes: Vec<u8>,
) {
    let _alone = alone().await;
    let fleet = one_served_node(host, settings).await;
    let node = fleet.node(0);
    let usage = Usage::watch(node.id());
    let member = |_place| Member::sending(bytes.clone());
    let crowd = Crowd::gather(node.callers, count, member).await;
    ordinary_served_request_is_answered(&fleet).await;
    usage.assert_within(host);
    drop(crowd);
}

/// Guards against callers that connect and send nothing, and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn served_silent_connections_leave_descriptors() {
    connections_are_borne(
        FEW_DESCRIPTORS,
        FEW_DESCRIPTORS_SETTINGS,
        CALLERS,
        Vec::new(),
    )
    .await;
}

/// Guards against heads that do not end and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn served_begun_heads_leave_descriptors() {
    let bytes = b"POST /v1/completions HTTP/1.1\r\nHost: ".to_vec();
    connections_are_borne(FEW_DESCRIPTORS, FEW_DESCRIPTORS_SETTINGS, CALLERS, bytes).await;
}

/// Guards against heads below the limit that do not end and together take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn served_endless_heads_stay_within_memory() {
    let mut bytes = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nX: ".to_vec();
    bytes.resize(HEAD_BYTES, b'x');
    connections_are_borne(SMALL_HOST, SMALL_HOST_SETTINGS, CALLERS_WITH_HEADS, bytes).await;
}
