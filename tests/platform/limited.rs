//! Upstreams that name how many requests a second they take.

use std::time::Duration;

use nix::sys::signal::Signal;

use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Ended, Fault};

use super::support::{Load, busiest, deployment, eventually, now_ms, send};

/// Limits bind this long after they were first named, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Spans over which what reaches an upstream is judged, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// An upstream that named a limit gets more than that from all nodes together.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_together_keep_the_limit_that_an_upstream_names() {
    let deployment = deployment(5, 3).await;
    let load = Load::start(&deployment);
    // One plain service and one that streams.
    let limited = [
        busiest(&deployment, "desk").await,
        busiest(&deployment, "pool").await,
    ];
    for upstream in limited {
        upstream.name_limit(Some("1"));
    }
    let binds_ms = now_ms() + CONTACT_MS;
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    for (version, place) in [(2, 0), (3, 1)] {
        deployment.configure(&document(version));
        let node = &deployment.nodes[place];
        node.signal(Signal::SIGTERM).expect("it runs");
        node.wait_for_end(Duration::from_secs(8)).await;
        node.restart().expect("it starts again");
        assert!(deployment.wait_until_ready(place).await);
    }
    tokio::time::sleep(Duration::from_millis(SPAN_MS)).await;
    let ended = load.end().await;
    for upstream in limited {
        let most = upstream.most_in_span(SPAN_MS, binds_ms);
        // One and a half times the limit, and five.
        assert!(most <= 11, "{} got {most}; {ended:?}", upstream.id());
    }
    assert!(ended[&Some(200)] > 300, "{ended:?}");
}

/// A limit that is named on refusals only, since the service takes nothing, is exceeded.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_together_keep_a_limit_that_is_named_on_refusals() {
    let deployment = deployment(5, 3).await;
    let load = Load::start(&deployment);
    busiest(&deployment, "desk").await;
    let desks = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"));
    for desk in desks() {
        desk.name_limit(Some("0"));
        desk.set(Fault::Sheds);
    }
    let binds_ms = now_ms() + CONTACT_MS;
    tokio::time::sleep(Duration::from_millis(CONTACT_MS + SPAN_MS)).await;
    let ended = load.end().await;
    for desk in desks() {
        let most = desk.most_in_span(SPAN_MS, binds_ms);
        assert!(most <= 5, "{} got {most}; {ended:?}", desk.id());
    }
}

/// An upstream that no longer names a limit is left alone for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_no_longer_names_a_limit_gets_its_part_again() {
    // With three, each node would get calls of one route only.
    let deployment = deployment(4, 2).await;
    let load = Load::start(&deployment);
    let upstream = busiest(&deployment, "desk").await;
    upstream.name_limit(Some("0.5"));
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    upstream.name_limit(None);
    let before = upstream.arrivals().len();
    eventually("it gets its part again", async || {
        upstream.arrivals().len() > before + 50
    })
    .await;
    load.end().await;
}

/// Callers wait in vain for a pool whose upstreams all name limits.
#[tokio::test(flavor = "multi_thread")]
async fn what_limited_upstreams_cannot_take_is_refused_at_once() {
    let deployment = deployment(2, 2).await;
    let desks = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"));
    desks().for_each(|desk| desk.name_limit(Some("1")));
    let load = Load::start(&deployment);
    for desk in desks() {
        eventually("it has answered", async || !desk.arrivals().is_empty()).await;
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let mut refused = 0;
    for number in 0..40 {
        let asked_at_ms = now_ms();
        let call = asked(&format!("refused-{number}"), "once");
        let ended = send(&deployment, number % 2, &call).await;
        if ended.status() == Some(503) {
            refused += 1;
            assert!(now_ms() - asked_at_ms < 1_000, "it waited");
            let Ended::Whole { head, .. } = ended else {
                unreachable!("it has a status")
            };
            // The two take two a second.
            assert!(
                head.to_ascii_lowercase().contains("retry-after: 0.500"),
                "{head}"
            );
            assert!(deployment.runs_of(&call.id).is_empty(), "it ran");
        }
    }
    assert!(refused > 30, "{refused}");
    load.end().await;
}
