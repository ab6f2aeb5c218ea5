//! Refusals of upstreams that do not say that the request was not executed.

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Ended, Fault};

use super::answers::assert_at_most_once;
use super::support::{deployment, send};

/// Statuses with which a caller is promised that its request has not run.
///
/// 421 is not among them: with that status itself an upstream states that it has not run the request.
const PROMISES: [&str; 3] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "408 Request Timeout",
];

/// Statuses of answers to requests that have run.
const ANSWERS: [&str; 3] = ["200 OK", "500 Internal Server Error", "504 Gateway Timeout"];

/// Sends a call on a route while all upstreams have a fault.
async fn call_beside(deployment: &Deployment, id: &str, route: &str, fault: Fault) -> Ended {
    deployment.upstreams.iter().for_each(|one| one.set(fault));
    send(deployment, 0, &asked(id, route)).await
}

/// Guards against a caller that is promised that its call has not run, by an upstream's status alone.
#[tokio::test(flavor = "multi_thread")]
async fn status_of_an_upstream_does_not_show_that_a_call_has_not_run() {
    let deployment = deployment(1, 2).await;
    for (number, status) in PROMISES.into_iter().enumerate() {
        for route in ["once", "stream"] {
            let id = format!("{route}-{number}");
            let fault = Fault::RunsAndRefuses(status);
            let ended = call_beside(&deployment, &id, route, fault).await;
            assert_at_most_once(&deployment, &id, &ended);
            assert_eq!(deployment.runs_of(&id).len(), 1, "{status}");
            assert_eq!(ended.status(), Some(502), "{status}: {ended:?}");
        }
    }
}

/// Guards against a call that runs twice, since an answer to it says that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_denies_its_run_does_not_have_the_call_sent_again() {
    let deployment = deployment(1, 2).await;
    for (number, status) in ANSWERS.into_iter().enumerate() {
        for route in ["once", "stream"] {
            let id = format!("{route}-{number}");
            let fault = Fault::RunsAndDenies(status);
            let ended = call_beside(&deployment, &id, route, fault).await;
            assert_at_most_once(&deployment, &id, &ended);
            assert_eq!(deployment.runs_of(&id).len(), 1, "{status}");
            assert_eq!(ended.status(), Some(502), "{status}: {ended:?}");
        }
    }
}

/// Guards against a call that is given up because it met another upstream at a reassigned address.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_meets_another_upstream_goes_on_to_one_of_its_pool() {
    let deployment = deployment(1, 2).await;
    let desks = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"));
    let other = desks().next().expect("there is an upstream");
    other.set(Fault::Misdirects);
    for number in 0..10 {
        let id = format!("once-{number}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        assert_eq!(deployment.runs_of(&id).len(), 1);
    }
    let misdirected = other.arrivals().len();
    assert!(misdirected > 0, "no call reached the other upstream");
}

/// Guards against a call that may be repeated and is not, since its first upstream refuses it without saying that it has
/// not run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_call_that_may_be_repeated_goes_to_another_upstream() {
    let deployment = deployment(1, 2).await;
    let desks = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("desk"));
    let first = desks().next().expect("there is an upstream");
    first.set(Fault::RunsAndRefuses(PROMISES[0]));
    for number in 0..10 {
        let id = format!("again-{number}");
        let ended = send(&deployment, 0, &asked(&id, "again")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
    let refused = first.arrivals().len();
    assert!(refused > 0, "no call reached the upstream that refuses");
}
