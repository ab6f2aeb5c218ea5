//! Bodies at the callers' listener of the operators' platform.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Asked, Crowd, Ended, Member};

use super::support::{
    MAX_BODY_BYTES, SMALL_HOST, Usage, alone, chunks, configure, head, one_node,
    ordinary_request_is_answered, slow_down,
};

/// Callers that send bodies of nearly the greatest size.
const CALLERS: usize = 500;

/// Size of their bodies.
const BODY_BYTES: usize = 99_000;

/// Callers that send chunks of one byte, each of which takes the node as long as a large one.
const CALLERS_WITH_TINY_CHUNKS: usize = 200;

/// Size of their bodies.
const TINY_CHUNKS_BYTES: usize = 20_000;

/// Callers that send bodies over the limit.
const CALLERS_OVER_LIMIT: usize = 300;

/// Size of their bodies.
const OVER_LIMIT_BYTES: usize = 10 * MAX_BODY_BYTES;

/// Time between two bytes of callers that trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

/// Time limit of a route with slow upstreams.
const SLOW_MS: u64 = 10_000;

/// A request whose announced body stops one byte short.
fn short_of_its_end(place: usize) -> Member {
    let framing = format!("Content-Length: {BODY_BYTES}");
    let mut bytes = head(&format!("crowd-{place}"), &framing);
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    Member::sending(bytes)
}

/// A request whose body in chunks has no end.
fn chunked(place: usize, body_bytes: usize, chunk_bytes: usize) -> Member {
    let mut bytes = head(&format!("crowd-{place}"), "Transfer-Encoding: chunked");
    bytes.extend(chunks(body_bytes, chunk_bytes));
    Member::sending(bytes)
}

/// Checks that a node with little memory bears a crowd and answers an ordinary request beside it.
async fn crowd_is_borne(count: usize, member: impl Fn(usize) -> Member) {
    let _alone = alone().await;
    let deployment = one_node(SMALL_HOST).await;
    let node = &deployment.nodes[0];
    let usage = Usage::watch(node.process_id());
    let crowd = Crowd::gather(node.callers(), count, member).await;
    ordinary_request_is_answered(&deployment).await;
    usage.assert_within(SMALL_HOST);
    drop(crowd);
}

/// Guards against bodies that stop one byte short and together take more memory than there is.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_stop_short_stay_within_memory() {
    crowd_is_borne(CALLERS, short_of_its_end).await;
}

/// Guards against the same bodies sent piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_stay_within_memory() {
    let member = |place| short_of_its_end(place).in_pieces(4_096);
    crowd_is_borne(CALLERS, member).await;
}

/// Guards against chunked bodies that do not end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_short_stay_within_memory() {
    let member = |place| chunked(place, BODY_BYTES, 33_000);
    crowd_is_borne(CALLERS, member).await;
}

/// Guards against chunks that cost many times their length.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_stay_within_memory() {
    let member = |place| chunked(place, TINY_CHUNKS_BYTES, 1);
    crowd_is_borne(CALLERS_WITH_TINY_CHUNKS, member).await;
}

/// Guards against bodies that go on slowly, so that no time limit of one read ends them.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_trickle_stay_within_memory() {
    let member = |place| {
        let mut member = short_of_its_end(place);
        member.bytes.truncate(member.bytes.len() - BODY_BYTES / 10);
        member.then_trickling(b'x', TRICKLE_PAUSE)
    };
    crowd_is_borne(CALLERS, member).await;
}

/// Guards against announced bodies over the limit that are kept before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit_stay_within_memory() {
    let member = |place| {
        let framing = format!("Content-Length: {OVER_LIMIT_BYTES}");
        let mut bytes = head(&format!("crowd-{place}"), &framing);
        bytes.resize(bytes.len() + OVER_LIMIT_BYTES, b'x');
        Member::sending(bytes)
    };
    crowd_is_borne(CALLERS_OVER_LIMIT, member).await;
}

/// Guards against bodies over the limit that are just sent.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_stay_within_memory() {
    let member = |place| chunked(place, OVER_LIMIT_BYTES, 50_000);
    crowd_is_borne(CALLERS_OVER_LIMIT, member).await;
}

/// Guards against whole bodies that are held while upstreams work on their requests.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_slow_upstreams_stay_within_memory() {
    let _alone = alone().await;
    let deployment = one_node(SMALL_HOST).await;
    slow_down(&deployment, SLOW_MS).await;
    let node = &deployment.nodes[0];
    let usage = Usage::watch(node.process_id());
    let member = |place| {
        let mut member = short_of_its_end(place);
        member.bytes.push(b'x');
        member
    };
    let crowd = Crowd::gather(node.callers(), CALLERS, member).await;
    for upstream in &deployment.upstreams {
        upstream.work_for(0);
    }
    ordinary_request_is_answered(&deployment).await;
    usage.assert_within(SMALL_HOST);
    drop(crowd);
}

/// Returns how a request with a body of this size ends.
async fn send_body(node: std::net::SocketAddr, id: &str, body_bytes: usize) -> Ended {
    let call = Asked {
        body: "x".repeat(body_bytes),
        ..asked(id, "once")
    };
    call.send(node).await
}

/// Guards against a bound on memory that refuses the longest legal body in calm, also once the limit rises.
#[tokio::test(flavor = "multi_thread")]
async fn longest_legal_body_is_served_in_calm() {
    let _alone = alone().await;
    let deployment = one_node(SMALL_HOST).await;
    let node = deployment.nodes[0].callers();
    let ended = send_body(node, "longest", MAX_BODY_BYTES).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let mut next = document(2);
    next["limits"]["maxBodyBytes"] = json!(200 * MAX_BODY_BYTES);
    configure(&deployment, &next).await;
    let ended = send_body(node, "risen", 200 * MAX_BODY_BYTES).await;
    assert_eq!(ended.status(), Some(200), "{:?}", ended.status());
}

/// Guards against a refusal that its caller never reads because its connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_is_still_sending() {
    let _alone = alone().await;
    let deployment = one_node(SMALL_HOST).await;
    let node = deployment.nodes[0].callers();
    for place in 0..20 {
        let ended = send_body(node, &format!("over-{place}"), OVER_LIMIT_BYTES).await;
        assert_eq!(ended.status(), Some(413), "{place}: {ended:?}");
    }
}
