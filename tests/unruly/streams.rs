//! Streams at the callers' listener of the operators' platform whose callers read nothing.

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Crowd, HostLimits, Member};

use super::support::{
    FEW_DESCRIPTORS, SMALL_HOST, Usage, alone, one_node, ordinary_request_is_answered,
};

/// Callers, more than a host has descriptors.
const CALLERS: usize = 600;

/// Callers whose streams together pass the memory of a host.
const CALLERS_OF_SMALL_HOST: usize = 100;

/// Size of events that fill a connection's buffers.
const EVENT_BYTES: usize = 600_000;

/// Receive buffer of callers that read nothing.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

async fn unread_streams_are_borne(host: HostLimits, count: usize) {
    let _alone = alone().await;
    let deployment = one_node(host).await;
    let node = &deployment.nodes[0];
    for upstream in &deployment.upstreams {
        upstream.fill_answers(EVENT_BYTES);
    }
    let usage = Usage::watch(node.process_id());
    let member = |place| {
        let call = asked(&format!("unread-{place}"), "stream");
        Member::sending(call.text().into()).receiving_into(RECEIVE_BUFFER_BYTES)
    };
    let crowd = Crowd::gather(node.callers(), count, member).await;
    for upstream in &deployment.upstreams {
        upstream.fill_answers(0);
    }
    ordinary_request_is_answered(&deployment).await;
    usage.assert_within(host);
    drop(crowd);
}

/// Guards against streams that callers do not read, which keep their connections and upstreams for good.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_leave_descriptors() {
    unread_streams_are_borne(FEW_DESCRIPTORS, CALLERS).await;
}

/// Guards against long events that wait for callers who do not read, and take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_stay_within_memory() {
    unread_streams_are_borne(SMALL_HOST, CALLERS_OF_SMALL_HOST).await;
}
