//! Upstreams that turn nodes away and ask them for rest.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Ended, Fault, Upstream};

use super::support::{Load, busiest, deployment, eventually, now_ms, send};

/// Requests of one node that an upstream may get while it rests.
const ALLOWED: usize = 2;

fn desks(deployment: &Deployment) -> impl Iterator<Item = &Upstream> {
    (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"))
}

/// Requests that fail elsewhere are sent again to an upstream that asked for rest.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asked_for_rest_gets_no_repeats_of_what_fails_elsewhere() {
    let deployment = deployment(3, 2).await;
    let load = Load::start(&deployment);
    let resting = busiest(&deployment, "desk").await;
    let failing = desks(&deployment).find(|desk| desk.id() != resting.id());
    let failing = failing.expect("there are two");
    failing.set(Fault::Fails);
    resting.ask_for_rest(Some("2.5"));
    resting.set(Fault::Sheds);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = resting.arrivals().len();
    resting.set(Fault::None);
    eventually("it gets its part again", async || {
        resting.arrivals().len() > before + 20
    })
    .await;
    let ended = load.end().await;
    let most = resting.most_in_rest(|id| Load::node_of(id, 3));
    assert!(most <= ALLOWED, "{} got {most}; {ended:?}", resting.id());
}

/// All upstreams of a service rest, and requests go to them since nothing else is there.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_all_rest_are_left_alone_and_their_callers_told_at_once_when_to_return() {
    let deployment = deployment(2, 2).await;
    for (desk, rest_s) in desks(&deployment).zip(["3.0", "2.0"]) {
        desk.ask_for_rest(Some(rest_s));
        desk.set(Fault::Sheds);
    }
    let load = Load::start(&deployment);
    for desk in desks(&deployment) {
        eventually("it has asked both", async || desk.arrivals().len() >= 2).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..10 {
        let asked_at_ms = now_ms();
        let call = asked(&format!("l{number}-told"), "once");
        let ended = send(&deployment, number % 2, &call).await;
        assert!(now_ms() - asked_at_ms < 1_000, "it waited");
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
            .expect("it is told");
        assert!(after_s <= 2.1, "the first of them rests for 2 s: {head}");
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let ended = load.end().await;
    for desk in desks(&deployment) {
        let most = desk.most_in_rest(|id| Load::node_of(id, 2));
        assert!(most <= ALLOWED, "{} got {most}; {ended:?}", desk.id());
    }
}
