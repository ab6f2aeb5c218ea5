//! Announced reclaims of whole failure domains.

use std::time::Duration;

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::begin;
use crate::streams::Streams;
use crate::trial::Trial;

const OTARU: &str = "otaru-vault";
const SAPPORO: &str = "sapporo-lab";

/// Streams that outlast the notices of these tests.
fn long_streams() -> Streams {
    Streams {
        count: 60,
        prompt_tokens: (200, 2_000),
        answer_tokens: (1_200, 1_800),
        non_idempotent_part: 0.2,
        latency_class: "interactive",
        seed: 1,
    }
}

/// Reclaims these domains under long streams and checks that each of them got its whole answer.
async fn check_reclaim(trial: &Trial, streams: Streams, domains: &[&str], notice_ms: u64) {
    let running = begin(&trial.caller(), streams.calls());
    trial.until_streaming(streams.count).await;
    for domain in domains {
        let reclaim = Reclaim::Domain((*domain).to_owned());
        let hosts = trial.site.cloud.announce_reclaim(&reclaim, notice_ms);
        assert!(trial.running_on(&hosts) > 0, "no stream on {domain}");
    }
    let seen = running.await.expect("callers do not panic");
    let tally = trial.check(&seen);
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, streams.count as u64, "{tally:?}");
}

// Symptom: a caller gets no answer, or half of one, after the platform has reclaimed a zone.
// Sequence: streams run on all hosts; one failure domain gets ten seconds' notice; its hosts end.
// Cause: a stream that is not moved in time ends with its host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wave_with_ten_seconds_notice_loses_nothing() {
    let trial = Trial::start(3).await;
    check_reclaim(&trial, long_streams(), &[OTARU], 10_000).await;
}

// Symptom: as above; non-idempotent streams end as `unknown`.
// Sequence: two failure domains with half of the hosts get two seconds' notice at once.
// Cause: in so short a time the links carry only some of the KV caches; what is left on its host
// to the end is cut, and may not be started anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_domains_at_once_with_two_seconds_notice_lose_nothing() {
    let trial = Trial::start(3).await;
    let streams = Streams {
        count: 100,
        prompt_tokens: (4_000, 8_000),
        non_idempotent_part: 0.6,
        latency_class: "report",
        ..long_streams()
    };
    check_reclaim(&trial, streams, &[OTARU, SAPPORO], 2_000).await;
}

// Symptom: new work goes to hosts under notice, and streams are moved onto them.
// Sequence: the host list shows everything as it was ten seconds ago, through the whole wave.
// Cause: a late list that is believed over a notice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_list_that_lags_through_the_wave_changes_nothing() {
    let trial = Trial::start(3).await;
    let lag = Duration::from_secs(10);
    tokio::time::sleep(lag).await;
    let lag_ms = u64::try_from(lag.as_millis()).expect("a lag of seconds");
    trial.site.cloud.change(|knobs| knobs.list_lag_ms = lag_ms);
    check_reclaim(&trial, long_streams(), &[OTARU], 3_000).await;
}
