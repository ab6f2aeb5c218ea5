//! Late copies of an upstream's answer to one request, where the answer to the next one is due.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Fault, Upstream};

use super::answers::assert_at_most_once;
use super::support::{deployment, send};

/// Calls of one test.
const CALLS: usize = 40;

fn desks(deployment: &Deployment) -> impl Iterator<Item = &Upstream> {
    (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"))
}

/// Sends calls that may run once, one after the other, and asserts that each did.
async fn assert_calls_run_at_most_once(fault: Fault) {
    let deployment = deployment(1, 2).await;
    desks(&deployment).for_each(|desk| desk.set(fault));
    let mut ran = 0;
    for number in 0..CALLS {
        let id = format!("once-{number}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        assert_at_most_once(&deployment, &id, &ended);
        ran += deployment.runs_of(&id).len();
    }
    assert!(ran > CALLS / 4, "{ran} calls met a late copy");
}

/// Guards against a call that runs twice, or runs and is refused: a late copy of the refusal of another call counts as its
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_refusal_does_not_show_that_the_next_call_has_not_run() {
    assert_calls_run_at_most_once(Fault::RepeatsRefusals).await;
}

/// Guards against the same with a late answer that another call named another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn late_misdirection_does_not_show_that_the_next_call_has_not_run() {
    assert_calls_run_at_most_once(Fault::MisdirectsLate).await;
}

/// Guards against a backoff that begins anew with each late copy of the refusal that asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_refusal_does_not_begin_its_backoff_anew() {
    let deployment = deployment(1, 1).await;
    let desk = desks(&deployment).next().expect("there is an upstream");
    desk.ask_for_rest(Some("2"));
    desk.set(Fault::RepeatsRefusals);
    for (number, pause_ms) in [2_300, 700, 0].into_iter().enumerate() {
        let id = format!("backoff-{number}");
        send(&deployment, 0, &asked(&id, "again")).await;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    let arrived = desk.arrivals().len();
    assert_eq!(arrived, 3, "the upstream was taken to ask for rest again");
}
