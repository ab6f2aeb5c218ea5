//! Rate limits that upstreams state in their responses, in requests per second.

use std::time::Duration;

use nix::sys::signal::Signal;

use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Ended, Fault};

use super::support::{Load, busiest, deployment, eventually, now_ms, send};

/// Time from the first response that states a limit until all nodes must keep it, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Length of the window in which the requests to an upstream are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// Guards against nodes that together exceed the limit that an upstream stated.
#[tokio::test(flavor = "multi_thread")]
async fn stated_limit_holds_across_all_nodes() {
    let deployment = deployment(5, 3).await;
    let load = Load::start(&deployment);
    // One service with plain responses and one with streams.
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
        node.signal(Signal::SIGTERM).expect("the node runs");
        node.wait_for_end(Duration::from_secs(8)).await;
        node.restart().expect("the node restarts");
        assert!(deployment.wait_until_ready(place).await);
    }
    tokio::time::sleep(Duration::from_millis(SPAN_MS)).await;
    let ended = load.end().await;
    for upstream in limited {
        let most = upstream.most_in_span(SPAN_MS, binds_ms);
        // 1.5 times the limit of one a second over four seconds, plus a slack of five.
        assert!(most <= 11, "{} got {most}; {ended:?}", upstream.id());
    }
    assert!(ended[&Some(200)] > 300, "{ended:?}");
}

/// Guards against exceeding a limit that only refusals state, because the service sheds all requests.
#[tokio::test(flavor = "multi_thread")]
async fn limit_stated_in_refusals_holds_across_all_nodes() {
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

/// Guards against avoiding an upstream for ever after it stopped stating a limit.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_without_a_stated_limit_regains_its_share() {
    // With three nodes, each node would receive calls of one route only.
    let deployment = deployment(4, 2).await;
    let load = Load::start(&deployment);
    let upstream = busiest(&deployment, "desk").await;
    upstream.name_limit(Some("0.5"));
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    upstream.name_limit(None);
    let before = upstream.arrivals().len();
    eventually("the upstream regains its share", async || {
        upstream.arrivals().len() > before + 50
    })
    .await;
    load.end().await;
}

/// Guards against callers that wait in vain for a pool whose upstreams have all stated limits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_above_the_limits_of_all_upstreams_are_refused_immediately() {
    let deployment = deployment(2, 2).await;
    let desks = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"));
    desks().for_each(|desk| desk.name_limit(Some("1")));
    let load = Load::start(&deployment);
    for desk in desks() {
        eventually("the upstream has received a request", async || {
            !desk.arrivals().is_empty()
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let mut refused = 0;
    for number in 0..40 {
        let asked_at_ms = now_ms();
        let call = asked(&format!("refused-{number}"), "once");
        let ended = send(&deployment, number % 2, &call).await;
        if ended.status() == Some(503) {
            refused += 1;
            assert!(now_ms() - asked_at_ms < 1_000, "the refusal was delayed");
            let Ended::Whole { head, .. } = ended else {
                unreachable!("a call with a status has a whole response")
            };
            // The two upstreams accept two requests a second together.
            assert!(
                head.to_ascii_lowercase().contains("retry-after: 0.500"),
                "{head}"
            );
            assert!(
                deployment.runs_of(&call.id).is_empty(),
                "the refused request ran"
            );
        }
    }
    assert!(refused > 30, "{refused}");
    load.end().await;
}
