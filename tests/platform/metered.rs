//! Metrics of a node's requests and state.

use futures::future::join_all;
use teaselline_stand_ins::operators::Node;
use teaselline_stand_ins::operators::deployment::{KEYS, asked, get};

use super::support::{deployment, eventually, send};

/// Returns the value of the first series whose line starts with `series`.
pub async fn value(node: &Node, series: &str) -> Option<f64> {
    let answer = get(node.metrics(), "/metrics").await;
    let mut lines = answer.body().lines();
    let line = lines.find(|line| line.starts_with(series))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn is_equal(found: Option<f64>, expected: f64) -> bool {
    found.is_some_and(|found| (found - expected).abs() < 1e-9)
}

#[tokio::test(flavor = "multi_thread")]
async fn histograms_count_by_route_and_kind() {
    let deployment = deployment(1, 2).await;
    for place in 0..3 {
        let ended = send(&deployment, 0, &asked(&format!("stream-{place}"), "stream")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
    let ended = send(&deployment, 0, &asked("once", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let node = &deployment.nodes[0];
    let stream = r#"{route="stream",kind="stream"}"#;
    for (name, count) in [
        ("teaselline_answer_ms_count", 3.0),
        ("teaselline_first_token_ms_count", 3.0),
        ("teaselline_expected_ms_count", 3.0),
        // Ten events per stream; the stand-in may send several of them together.
        ("teaselline_pause_ms_count", 1.0),
    ] {
        let found = value(node, &format!("{name}{stream}")).await;
        assert!(
            found.is_some_and(|found| found >= count),
            "{name}: {found:?}"
        );
    }
    let plain = value(
        node,
        r#"teaselline_answer_ms_count{route="once",kind="plain"}"#,
    )
    .await;
    assert!(is_equal(plain, 1.0), "{plain:?}");
    let in_bucket = r#"teaselline_answer_ms_bucket{route="once",kind="plain",le="10000"}"#;
    assert!(
        is_equal(value(node, in_bucket).await, 1.0),
        "the histogram has no bucket up to 10000 ms with one response"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn gauges_report_the_state_of_the_node() {
    let deployment = deployment(2, 2).await;
    let first = &deployment.nodes[0];
    eventually("one of the nodes has the duties", async || {
        let mut held = 0.0;
        for node in &deployment.nodes {
            held += value(node, "teaselline_lease_held ").await.unwrap_or(0.0);
        }
        is_equal(Some(held), 1.0)
    })
    .await;
    assert!(is_equal(value(first, "teaselline_ready ").await, 1.0));
    assert!(is_equal(
        value(first, "teaselline_configuration_version ").await,
        1.0
    ));
    assert!(is_equal(
        value(first, r#"teaselline_nodes{state="heard"}"#).await,
        2.0
    ));
    let ready = r#"teaselline_upstreams{pool="pool",state="ready"}"#;
    assert!(is_equal(value(first, ready).await, 2.0));
    let left = value(first, r#"teaselline_repeats_left{pool="desk"}"#).await;
    assert!(left.is_some_and(|left| left > 10.0), "{left:?}");
    let read_calls = value(
        first,
        r#"teaselline_store_calls_total{call="read",outcome="200"}"#,
    )
    .await;
    assert!(
        read_calls.is_some_and(|calls| calls >= 1.0),
        "{read_calls:?}"
    );
}

/// Guards against a missing metric for the limits of teams: on-call engineers must see that a team
/// approaches its limit before the team complains.
#[tokio::test(flavor = "multi_thread")]
async fn remaining_limit_of_a_team_is_a_metric() {
    let deployment = deployment(1, 1).await;
    let node = &deployment.nodes[0];
    // All at once: calls one after the other may take as long as the limit needs to recover.
    let calls = (0..18).map(|place| {
        let mut call = asked(&format!("limit-{place}"), "once");
        KEYS[1].clone_into(&mut call.key);
        call
    });
    let calls: Vec<_> = calls.collect();
    join_all(calls.iter().map(|call| send(&deployment, 0, call))).await;
    let left = value(node, r#"teaselline_limit_left_part{team="studio"}"#).await;
    assert!(left.is_some_and(|left| left < 0.9), "{left:?}");
}
