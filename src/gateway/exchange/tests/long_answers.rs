//! Answers of peers that are longer than one message between nodes.

use super::*;

/// Longer than one message between nodes, and within the bound of one answer.
const FILLER_BYTES: usize = 10 * 1024 * 1024;

/// Guards against a long answer of a request that has run, which is thrown away because it does not fit into one message.
#[tokio::test(flavor = "multi_thread")]
async fn long_answer_of_a_peer_reaches_its_caller_whole() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    cut.notice("desk", "again").await;
    for upstream in &upstreams.stand_ins {
        upstream.fill_answers(FILLER_BYTES);
    }
    for route in ["once", "again"] {
        let id = format!("long-{route}");
        let ended = asked(&id, route).send(cut.callers).await;
        assert_eq!(ended.status(), Some(200), "{route}: {:.200}", ended.body());
        assert!(ended.body().contains(&id), "{route}");
        assert!(ended.body().len() > FILLER_BYTES, "{route}");
        assert_eq!(upstreams.runs_of(&id).len(), 1, "{route}");
    }
}
