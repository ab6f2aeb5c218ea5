//! Announced reclaims of whole failure domains.

use teaselline_stand_ins::cloud::Reclaim;

use crate::streams::Streams;
use crate::trial::Trial;

const OTARU: &str = "otaru-vault";

/// Streams that outlast the notices of these tests.
fn long_streams(count: usize) -> Streams {
    Streams {
        count,
        prompt_tokens: (200, 2_000),
        answer_tokens: (900, 1_500),
        non_idempotent_part: 0.2,
        latency_class: "interactive",
        seed: 1,
    }
}

// Symptom: a caller gets no answer, or half of one, after the platform has reclaimed a zone.
// Sequence: streams run on all hosts; one failure domain gets ten seconds' notice; its hosts end.
// Cause: a stream that is not moved in time ends with its host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wave_with_ten_seconds_notice_loses_nothing() {
    let trial = Trial::start(3).await;
    let running = trial.begin(long_streams(60).calls());
    trial.until_streaming(60).await;
    let reclaim = Reclaim::Domain(OTARU.to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 10_000);
    assert!(trial.running_on(&hosts) > 0, "the wave takes streams along");
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, 60, "{tally:?}");
}
