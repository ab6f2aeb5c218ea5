//! A node that stands still for a while and finds its answers in its sockets when it goes on.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::Asked;
use teaselline_stand_ins::operators::deployment::asked;

use super::support::{deployment, eventually};

/// Longer than all timeouts of an attempt, and than a stream of the stand-ins.
const FROZEN: Duration = Duration::from_millis(1_900);

/// Streams of each kind that run while the node is frozen.
const STREAMS: usize = 10;

/// Guards against streams that a node takes for silent, since its timers run out before it reads what came while it stood still: those
/// that may not be resumed would be cut, others would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_frozen_node_arrive_whole_from_their_upstreams() {
    let deployment = deployment(1, 2).await;
    let node = &deployment.nodes[0];
    let ids: Vec<(String, &str)> = (0..STREAMS)
        .flat_map(|place| [(place, "stream"), (place, "stream-on")])
        .map(|(place, route)| (format!("frozen-{route}-{place}"), route))
        .collect();
    let calls: Vec<_> = (ids.iter())
        .map(|(id, route)| {
            let call = Asked {
                deadline_ms: 8_000,
                ..asked(id, route)
            };
            let callers = node.callers();
            tokio::spawn(async move { call.send(callers).await })
        })
        .collect();
    eventually("all streams run", async || {
        ids.iter()
            .all(|(id, _route)| !deployment.runs_of(id).is_empty())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    node.signal(Signal::SIGSTOP).expect("the node runs");
    tokio::time::sleep(FROZEN).await;
    node.signal(Signal::SIGCONT).expect("the node runs");
    for (call, (id, _route)) in calls.into_iter().zip(&ids) {
        let ended = call.await.expect("the call does not panic");
        assert_eq!(ended.status(), Some(200), "{id}: {ended:?}");
        assert!(ended.body().contains("id: 10\n"), "{id}: {ended:?}");
        assert_eq!(deployment.runs_of(id).len(), 1, "{id}");
    }
}
