//! Requests that a peer sends by another configuration than that of the node which admitted them.

use serde_json::json;
use teaselline_stand_ins::operators::{Asked, Ended};

use super::*;

/// A timeout of routes that passes within a test, and one that does not.
const SHORT_MS: u64 = 400;
const LONG_MS: u64 = 10_000;

/// Pause between events that makes a stream longer than the short timeout.
const EVENT_PAUSE_MS: u64 = 150;

/// Time for which an upstream stands still, longer than the short timeout.
const STILL_MS: u64 = 1_000;

fn set_timeouts(node: &TestNode, timeout_ms: u64) {
    configure_with(&node.node, |document| {
        for route in document["routes"].as_array_mut().into_iter().flatten() {
            route["timeoutMs"] = json!(timeout_ms);
        }
    });
}

/// Two nodes, the first of which hands its requests to the second, with these timeouts of their routes.
async fn handing_on(upstreams: &Upstreams, cut_ms: u64, whole_ms: u64) -> (TestNode, TestNode) {
    let (cut, whole) = cut_and_whole(upstreams, Link::Refuses).await;
    for (pool, route) in [("desk", "again"), ("pool", "stream-on")] {
        cut.notice(pool, route).await;
    }
    set_timeouts(&cut, cut_ms);
    set_timeouts(&whole, whole_ms);
    (cut, whole)
}

async fn send(node: &TestNode, id: &str, route: &str) -> Ended {
    let call = Asked {
        deadline_ms: LONG_MS,
        ..asked(id, route)
    };
    call.send(node.callers).await
}

/// Guards against a stream that is cut because the peer that sends it knows a newer configuration with a shorter timeout.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_peer_has_the_time_that_its_node_admitted_it_with() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = handing_on(&upstreams, LONG_MS, SHORT_MS).await;
    for stand_in in &upstreams.stand_ins {
        stand_in.pause_between_events(EVENT_PAUSE_MS);
    }
    let ended = send(&cut, "promised-stream", "stream").await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    assert!(ended.body().contains("id: 10\n"), "{ended:?}");
}

/// Guards against an answer that is given up because the peer that sends the request knows a newer configuration with a shorter
/// timeout.
#[tokio::test(flavor = "multi_thread")]
async fn call_of_a_peer_has_the_time_that_its_node_admitted_it_with() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = handing_on(&upstreams, LONG_MS, SHORT_MS).await;
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(STILL_MS);
    }
    let ended = send(&cut, "promised-call", "once").await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    assert_eq!(upstreams.runs_of("promised-call").len(), 1);
}

/// Guards against a peer that works on by its own longer timeout when the time of the node that admitted the request is over.
#[tokio::test(flavor = "multi_thread")]
async fn request_ends_by_the_shorter_timeout_of_the_node_that_admitted_it() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = handing_on(&upstreams, SHORT_MS, LONG_MS).await;
    upstreams.set(Fault::Silent);
    let ended = send(&cut, "short", "once").await;
    assert_eq!(ended.status(), Some(504), "{ended:?}");
    let in_flight = || {
        let count = &whole.node.in_flight;
        count.load(std::sync::atomic::Ordering::Relaxed)
    };
    eventually(|| in_flight() == 0).await;
}

/// Guards against a request that a peer runs for a key which its newer configuration has taken away.
#[tokio::test(flavor = "multi_thread")]
async fn peer_refuses_a_request_whose_key_it_knows_to_be_revoked() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = handing_on(&upstreams, LONG_MS, LONG_MS).await;
    configure_with(&whole.node, |document| {
        let teams = document["tenants"].as_array_mut();
        teams.expect("there are teams").remove(0);
    });
    for route in ["once", "stream"] {
        let id = format!("revoked-{route}");
        let ended = send(&cut, &id, route).await;
        assert!(ended.says_not_run(), "{ended:?}");
        assert_eq!(upstreams.runs_of(&id), []);
    }
}

/// Guards against a request that runs at a peer by a route which the peer's newer configuration has removed.
#[tokio::test(flavor = "multi_thread")]
async fn peer_refuses_a_request_whose_route_it_knows_to_be_removed() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = handing_on(&upstreams, LONG_MS, LONG_MS).await;
    configure_with(&whole.node, |document| {
        let routes = document["routes"].as_array_mut();
        routes
            .expect("there are routes")
            .retain(|route| route["name"] != "once");
    });
    let ended = send(&cut, "removed", "once").await;
    assert!(ended.says_not_run(), "{ended:?}");
    assert_eq!(upstreams.runs_of("removed"), []);
}
