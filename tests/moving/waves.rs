//! Announced reclaims of whole failure domains while streams run.

use std::time::Duration;

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::begin;
use crate::streams::Streams;
use crate::trial::Trial;

const OTARU: &str = "otaru-vault";
const SAPPORO: &str = "sapporo-lab";

/// Streams that last longer than the notices of these tests.
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

/// Reclaims these domains while streams run; asserts that each stream completes.
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

// Guards against missing or truncated responses after the cloud reclaims a zone: streams run on all
// hosts, one failure domain gets ten seconds' notice, and a stream that is not moved in time ends
// with its host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reclaim_of_one_domain_with_ten_seconds_notice_loses_nothing() {
    let trial = Trial::start(3).await;
    check_reclaim(&trial, long_streams(), &[OTARU], 10_000).await;
}

// Guards against missing or truncated responses, and non-idempotent streams that end as `unknown`:
// two failure domains with half of the hosts get two seconds' notice at once. In that time the links
// transfer only a part of the KV caches; a stream that stays on its host is cut, and a
// non-idempotent one must not be restarted.
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

// Guards against new work and moved streams on hosts under notice: the host list lags by ten seconds
// throughout the reclaim and must not override a notice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lagging_host_list_does_not_override_a_notice() {
    let trial = Trial::start(3).await;
    let lag = Duration::from_secs(10);
    tokio::time::sleep(lag).await;
    let lag_ms = u64::try_from(lag.as_millis()).expect("the lag fits into u64");
    trial.site.cloud.change(|knobs| knobs.list_lag_ms = lag_ms);
    check_reclaim(&trial, long_streams(), &[OTARU], 3_000).await;
}
