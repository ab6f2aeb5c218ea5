//! Planned stops of nodes.

use crate::calling::{begin, keep_calling, mixed_calls};
use crate::streams::Streams;
use crate::trial::Trial;

// Symptom: after a rolling restart some callers hear `unknown`, or their stream ends half-way.
// Sequence: a request's witness stops and is replaced; its home stops later, while it still runs.
// Cause: the home hands its requests to the witness that their ids name, which is gone by then;
// and a node that had inherited requests hands over only those whose home it is itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_nodes_replaced_one_after_another_cut_no_request() {
    let mut trial = Trial::start(3).await;
    let streams = Streams {
        count: 60,
        prompt_tokens: (200, 1_000),
        answer_tokens: (2_500, 3_000),
        non_idempotent_part: 0.5,
        latency_class: "report",
        seed: 1,
    };
    let caller = trial.caller();
    let running = begin(&caller, streams.calls());
    trial.until_streaming(60).await;
    let short = keep_calling(&caller, &mixed_calls());
    for _node in 0..3 {
        trial.replace_oldest().await.expect("a node starts");
    }
    assert!(!running.is_finished(), "streams outlast all the stops");
    let mut seen = short.stop().await;
    seen.extend(running.await.expect("callers do not panic"));
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, seen.len() as u64, "{tally:?}");
    assert_eq!(tally.tokens_recomputed, 0, "{tally:?}");
}
