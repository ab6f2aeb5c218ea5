//! Planned stops of nodes.

use crate::calling::{begin, keep_calling, mixed_calls};
use crate::streams::Streams;
use crate::trial::Trial;

// Guards against requests that end as `unknown` or truncated after a rolling restart: the witness of
// a request stops and is replaced, then its home stops while the request runs. The home must not
// hand its requests over to the witness that their ids name, which is gone by then, and a node must
// also hand over requests that it inherited, whose home is another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_restart_of_all_nodes_cuts_no_request() {
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
    assert!(
        !running.is_finished(),
        "all streams ended before the last stop"
    );
    let mut seen = short.stop().await;
    seen.extend(running.await.expect("callers do not panic"));
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, seen.len() as u64, "{tally:?}");
    assert_eq!(tally.tokens_recomputed, 0, "{tally:?}");
}
