//! Upstreams that refuse requests and state a backoff (`Retry-After`).

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Ended, Fault, Upstream};

use super::support::{Load, busiest, deployment, eventually, now_ms, send};

/// Maximum requests from one node to an upstream during the backoff that it stated.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

fn desks(deployment: &Deployment) -> impl Iterator<Item = &Upstream> {
    (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"))
}

/// Guards against retries, at an upstream in backoff, of requests that failed elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_in_backoff_receives_no_retries_of_requests_that_failed_elsewhere() {
    let deployment = deployment(3, 2).await;
    let load = Load::start(&deployment);
    let resting = busiest(&deployment, "desk").await;
    let failing = desks(&deployment).find(|desk| desk.id() != resting.id());
    let failing = failing.expect("the service has two upstreams");
    failing.set(Fault::Fails);
    resting.ask_for_rest(Some("2.5"));
    resting.set(Fault::Sheds);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = resting.arrivals().len();
    resting.set(Fault::None);
    eventually("the upstream regains its share", async || {
        resting.arrivals().len() > before + 20
    })
    .await;
    let ended = load.end().await;
    let most = resting.most_in_rest(|id| Load::node_of(id, 3));
    assert!(
        most <= MAX_REQUESTS_IN_BACKOFF,
        "{} got {most}; {ended:?}",
        resting.id()
    );
}

/// Guards against requests to a service whose upstreams are all in backoff, for want of another one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_immediately_with_retry_after_while_all_upstreams_are_in_backoff() {
    let deployment = deployment(2, 2).await;
    for (desk, rest_s) in desks(&deployment).zip(["3.0", "2.0"]) {
        desk.ask_for_rest(Some(rest_s));
        desk.set(Fault::Sheds);
    }
    let load = Load::start(&deployment);
    for desk in desks(&deployment) {
        eventually("both nodes have called the upstream", async || {
            desk.arrivals().len() >= 2
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..10 {
        let asked_at_ms = now_ms();
        let call = asked(&format!("l{number}-told"), "once");
        let ended = send(&deployment, number % 2, &call).await;
        assert!(now_ms() - asked_at_ms < 1_000, "the refusal was delayed");
        let Ended::Whole { status, head, .. } = ended else {
            panic!("{ended:?}")
        };
        assert_eq!(status, 503, "{head}");
        let lines = head.to_ascii_lowercase();
        let after = lines
            .lines()
            .find_map(|line| line.strip_prefix("retry-after: "));
        let after_s: f64 = after
            .and_then(|after| after.parse().ok())
            .expect("the refusal has a retry-after header");
        assert!(after_s <= 2.1, "the shortest backoff is 2 s: {head}");
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let ended = load.end().await;
    for desk in desks(&deployment) {
        let most = desk.most_in_rest(|id| Load::node_of(id, 2));
        assert!(
            most <= MAX_REQUESTS_IN_BACKOFF,
            "{} got {most}; {ended:?}",
            desk.id()
        );
    }
}
