//! Nodes that end without a word.

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::begin;
use crate::streams::Streams;
use crate::trial::Trial;

/// Streams in a trial.
const COUNT: usize = 60;

/// Streams that outlast what happens to them.
fn long_streams(non_idempotent_part: f64) -> Streams {
    Streams {
        count: COUNT,
        prompt_tokens: (200, 2_000),
        answer_tokens: (900, 1_500),
        non_idempotent_part,
        latency_class: "interactive",
        seed: 1,
    }
}

// Symptom: streams of a node that crashed are computed again from their beginning, or end as
// `unknown`.
// Sequence: a node ends without a word; callers ask the others for what is missing.
// Cause: nobody else knows at which engine, and under which attempt, a stream goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_of_a_crashed_node_are_read_on_at_their_engines() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.5).calls());
    trial.until_streaming(COUNT).await;
    trial.nodes[0].crash();
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, COUNT as u64, "{tally:?}");
    assert_eq!(tally.tokens_recomputed, 0, "{tally:?}");
}

// Symptom: a stream starts over at position 0 although most of it had been generated.
// Sequence: a node and all hosts of a failure domain are lost at one moment, without notice.
// Cause: a standby that knows of the request, and not how far it had come.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_that_lose_node_and_host_go_on_from_the_standbys_position() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.0).calls());
    trial.until_streaming(COUNT).await;
    trial.until_position(COUNT, 200).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    trial.nodes[0].crash();
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 0);
    assert!(trial.running_on(&hosts) > 0, "streams are lost");
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, COUNT as u64, "{tally:?}");
    let history = trial.site.history();
    let again = history.ran.iter().filter(|ran| ran.number > 1);
    let again = again.filter_map(|ran| ran.stream.as_ref());
    assert!(again.clone().count() > 0, "streams are started again");
    for stream in again {
        assert!(stream.position > 0, "{stream:?}");
    }
}

// Symptom: a stream is lost although its host's end was announced.
// Sequence: a failure domain gets notice; one node ends without a word while it moves its streams.
// Cause: moves that only the node which began them can end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_that_crashes_while_it_moves_its_streams_loses_none() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.0).calls());
    trial.until_streaming(COUNT).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 3_000);
    assert!(trial.running_on(&hosts) > 0, "the wave takes streams along");
    trial.until_moving().await;
    trial.nodes[0].crash();
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, COUNT as u64, "{tally:?}");
}

// Symptom: as above, or a request ends as `unknown`.
// Sequence: a failure domain gets notice, and a node is stopped as planned at the same time.
// Cause: a move that is under way when its stream is handed over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_during_a_wave_loses_nothing() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.5).calls());
    trial.until_streaming(COUNT).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 5_000);
    assert!(trial.running_on(&hosts) > 0, "the wave takes streams along");
    trial.nodes.remove(0).stop().await;
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, COUNT as u64, "{tally:?}");
}
