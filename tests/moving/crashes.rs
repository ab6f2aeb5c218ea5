//! Nodes that crash while streams run.

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::begin;
use crate::streams::Streams;
use crate::trial::Trial;

/// Number of streams in a test.
const STREAMS: usize = 60;

/// Streams that last longer than the faults of a test.
fn long_streams(non_idempotent_part: f64) -> Streams {
    Streams {
        count: STREAMS,
        prompt_tokens: (200, 2_000),
        answer_tokens: (900, 1_500),
        non_idempotent_part,
        latency_class: "interactive",
        seed: 1,
    }
}

// Guards against streams of a crashed node that are computed again from the start or end as
// `unknown`: callers ask the other nodes for the rest, and no other node knows the engine and the
// attempt of the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_of_a_crashed_node_continue_at_their_engines() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.5).calls());
    trial.until_streaming(STREAMS).await;
    trial.nodes[0].crash();
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, STREAMS as u64, "{tally:?}");
    assert_eq!(tally.tokens_recomputed, 0, "{tally:?}");
}

// Guards against a stream that restarts at position 0 after most of it was generated: a node and all
// hosts of a failure domain are lost at once without notice, and the standby knows the request but
// not its position.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_that_lose_node_and_host_go_on_from_the_standbys_position() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.0).calls());
    trial.until_streaming(STREAMS).await;
    trial.until_position(STREAMS, 200).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    trial.nodes[0].crash();
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 0);
    assert!(
        trial.running_on(&hosts) > 0,
        "no stream runs on the lost hosts"
    );
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, STREAMS as u64, "{tally:?}");
    let history = trial.site.history();
    let restarted = history.ran.iter().filter(|ran| ran.number > 1);
    let restarted = restarted.filter_map(|ran| ran.stream.as_ref());
    assert!(restarted.clone().count() > 0, "no stream was restarted");
    for stream in restarted {
        assert!(stream.position > 0, "{stream:?}");
    }
}

// Guards against a standby that ignores all further tokens of a stream since it missed some: the peers
// of a node cannot be reached while its streams go on, and are reached again before node and hosts are
// lost at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_whose_reports_were_lost_go_on_from_the_standbys_position() {
    check_streams_with_lost_reports(200, 600).await;
}

// Guards against reports that stay rare after an outage of the standbys has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_whose_standbys_were_away_for_long_go_on_from_the_standbys_position() {
    check_streams_with_lost_reports(500, 700).await;
}

/// Makes a node's peers unreachable until its streams have come to `reached_at`, and loses the node
/// and a domain of hosts when they have come to `lost_at`; no stream may restart at position 0.
async fn check_streams_with_lost_reports(reached_at: u64, lost_at: u64) {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.0).calls());
    trial.until_streaming(STREAMS).await;
    let standbys = || trial.nodes.iter().skip(1);
    standbys().for_each(|node| node.refuse_peers(true));
    trial.until_position(STREAMS, reached_at).await;
    standbys().for_each(|node| node.refuse_peers(false));
    trial.until_position(STREAMS, lost_at).await;
    trial.nodes[0].crash();
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    trial.site.cloud.announce_reclaim(&reclaim, 0);
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, STREAMS as u64, "{tally:?}");
    let history = trial.site.history();
    let restarted = history.ran.iter().filter(|ran| ran.number > 1);
    let restarted = restarted.filter_map(|ran| ran.stream.as_ref());
    assert!(restarted.clone().count() > 0, "no stream was restarted");
    for stream in restarted {
        assert!(stream.position > 0, "{stream:?}");
    }
}

// Guards against losing a stream although its host's reclaim was announced: a failure domain gets
// notice, one node crashes while it moves its streams, and no other node can complete the moves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_crash_during_stream_moves_loses_no_stream() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.0).calls());
    trial.until_streaming(STREAMS).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 3_000);
    assert!(
        trial.running_on(&hosts) > 0,
        "no stream runs on the reclaimed hosts"
    );
    trial.until_moving().await;
    trial.nodes[0].crash();
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, STREAMS as u64, "{tally:?}");
}

// Guards against lost streams and requests that end as `unknown` when a stream is handed over during
// its move: a failure domain gets notice, and a node is stopped as planned at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_during_a_reclaim_loses_nothing() {
    let mut trial = Trial::start(3).await;
    let running = begin(&trial.caller(), long_streams(0.5).calls());
    trial.until_streaming(STREAMS).await;
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, 5_000);
    assert!(
        trial.running_on(&hosts) > 0,
        "no stream runs on the reclaimed hosts"
    );
    trial.nodes.remove(0).stop().await;
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, STREAMS as u64, "{tally:?}");
}
