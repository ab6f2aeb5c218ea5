//! What upstreams may do wrong with an answer, and what callers must get of it.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::KILLER;
use teaselline_stand_ins::operators::{Deployment, Ended, Fault};

use super::support::{deployment, eventually, send};

fn set_all(deployment: &Deployment, fault: Fault) {
    for upstream in &deployment.upstreams {
        upstream.set(fault);
    }
}

/// Checks that a request ran at most once, and not at all if its caller was told so.
fn check_once(deployment: &Deployment, id: &str, ended: &Ended) {
    let runs = deployment.runs_of(id).len();
    assert!(runs <= 1, "{id} ran {runs} times");
    assert!(
        !(ended.says_not_run() && runs > 0),
        "{id} ran although {ended:?}"
    );
}

/// Symptom: a call that may run once runs twice.
/// Sequence: an upstream runs it and resets the channel without an answer; the call is sent again.
/// Cause: a reset was taken to say that the call had not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_answer_is_lost_is_not_sent_again() {
    let deployment = deployment(1, 2).await;
    set_all(&deployment, Fault::LosesAnswers);
    let mut lost = 0;
    for place in 0..40 {
        let id = format!("lost-{place}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        check_once(&deployment, &id, &ended);
        lost += usize::from(ended.status() == Some(502));
    }
    assert!(lost >= 10, "{lost} answers were lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_whose_answer_is_lost_is_answered_by_another_upstream() {
    let deployment = deployment(1, 3).await;
    deployment.upstreams[0].set(Fault::LosesAnswers);
    for place in 0..30 {
        let id = format!("again-{place}");
        let ended = send(&deployment, 0, &asked(&id, "again")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        assert!(deployment.runs_of(&id).len() <= 2);
    }
}

/// Symptom: a caller gets the answer to another caller's request.
/// Sequence: an upstream sends an answer twice; the second copy comes when the channel carries the
/// next request.
/// Cause: the first answer on a channel was taken to be the next request's.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_an_answer_is_no_ones_answer() {
    let deployment = deployment(1, 1).await;
    set_all(&deployment, Fault::AnswersTwice);
    for place in 0..60 {
        let id = format!("twice-{place}");
        let route = if place % 2 == 0 { "once" } else { "again" };
        let ended = send(&deployment, 0, &asked(&id, route)).await;
        check_once(&deployment, &id, &ended);
        if ended.status() == Some(200) {
            assert!(ended.body().ends_with(&format!("for {id}")), "{ended:?}");
        }
        if place % 3 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Symptom: a caller takes half an answer for a whole one.
/// Sequence: an upstream closes the channel in the middle of its answer, with a length or without.
/// Cause: the end of the channel was taken for the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn half_an_answer_is_never_whole() {
    let deployment = deployment(1, 1).await;
    for (fault, route) in [
        (Fault::BreaksOff, "once"),
        (Fault::BreaksOff, "again"),
        (Fault::BreaksOff, "stream"),
        (Fault::UnframedReset, "once"),
        (Fault::UnframedReset, "again"),
    ] {
        set_all(&deployment, fault);
        let id = format!("half-{fault:?}-{route}");
        let ended = send(&deployment, 0, &asked(&id, route)).await;
        assert_ne!(ended.status(), Some(200), "{fault:?}: {ended:?}");
        if route != "again" {
            check_once(&deployment, &id, &ended);
        }
    }
}

/// Symptom: a stream that may go on elsewhere ends where its upstream crashed, or an event comes
/// twice.
/// Sequence: an upstream breaks off within an event; another goes on behind the last whole one.
/// Cause: bytes were passed on as they came, and not as events.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_goes_on_behind_its_last_event() {
    let deployment = deployment(1, 2).await;
    let pools = || {
        deployment
            .upstreams
            .iter()
            .filter(|upstream| upstream.id().starts_with("pool"))
    };
    pools().next().expect("a pool").set(Fault::BreaksOff);
    let mut resumed = 0;
    for place in 0..20 {
        let id = format!("on-{place}");
        let ended = send(&deployment, 0, &asked(&id, "stream-on")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        let ids: Vec<&str> = ended
            .body()
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6", "7", "8", "9", "10"]);
        let runs = deployment.runs_of(&id);
        assert!(runs.len() <= 2);
        resumed += runs
            .iter()
            .filter(|run| run.resumed_after == Some(2))
            .count();
    }
    assert!(resumed > 0, "a stream went on behind event 2");
}

/// Symptom: an upstream works on for callers who have left.
/// Sequence: a caller closes its channel in the middle of a stream.
/// Cause: the channel to the upstream stayed open.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_stops_when_the_caller_leaves() {
    let deployment = deployment(1, 1).await;
    set_all(&deployment, Fault::Silent);
    for route in ["again", "stream", "once"] {
        let id = format!("left-{route}");
        let mut call = asked(&id, route);
        call.extra.push_str("X-Test: 1\r\n");
        let node = deployment.nodes[0].callers();
        let leaving = tokio::spawn(async move { call.send(node).await });
        eventually("it runs", async || !deployment.runs_of(&id).is_empty()).await;
        leaving.abort();
        eventually("its upstream is left", async || {
            deployment.runs_of(&id)[0].left_at_ms.is_some()
        })
        .await;
    }
}

/// Symptom: one request crashes all upstreams of a service, one after the other.
/// Sequence: it crashes the upstream that runs it; its caller sends it again under a new id, to
/// any node.
/// Cause: each attempt was taken for a new request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_is_not_sent_for_ever() {
    let deployment = deployment(2, 6).await;
    for place in 0..8 {
        let mut call = asked(&format!("kill-{place}"), "once");
        KILLER.clone_into(&mut call.body);
        let ended = send(&deployment, place % 2, &call).await;
        assert_ne!(ended.status(), Some(200));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let crashed = deployment
        .upstreams
        .iter()
        .filter(|upstream| upstream.has_crashed())
        .count();
    assert_eq!(crashed, 3);
    let innocent = send(&deployment, 0, &asked("innocent", "once")).await;
    assert_eq!(innocent.status(), Some(200), "{innocent:?}");
}

/// A node that starts after the third crash sends the request that crashes upstreams once more.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_knows_which_request_crashes_upstreams() {
    let deployment = deployment(3, 6).await;
    let crashed = || {
        (deployment.upstreams.iter())
            .filter(|one| one.has_crashed())
            .count()
    };
    let kill = async |place: usize, id: &str| {
        let mut call = asked(id, "once");
        KILLER.clone_into(&mut call.body);
        let ended = send(&deployment, place, &call).await;
        assert_ne!(ended.status(), Some(200));
    };
    for (place, id) in ["kill-0", "kill-1", "kill-2"].into_iter().enumerate() {
        kill(place % 2, id).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(crashed(), 3);
    deployment.nodes[2].restart().expect("it starts again");
    assert!(deployment.wait_until_ready(2).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    kill(2, "kill-3").await;
    assert_eq!(crashed(), 3);
}

/// Symptom: a call is held until its caller has given up.
/// Sequence: an upstream runs a call and never answers; the route's time passes.
/// Cause: only the caller's own time ended the wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_answered_when_its_routes_time_is_over() {
    let deployment = deployment(1, 1).await;
    set_all(&deployment, Fault::Silent);
    let mut call = asked("slow", "once");
    call.deadline_ms = 20_000;
    let ended = send(&deployment, 0, &call).await;
    assert_eq!(ended.status(), Some(504), "{ended:?}");
    assert_eq!(deployment.runs_of("slow").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_upstreams_refuse_is_refused_as_not_run() {
    let deployment = deployment(1, 2).await;
    set_all(&deployment, Fault::Sheds);
    let ended = send(&deployment, 0, &asked("shed", "once")).await;
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert!(
        matches!(&ended, Ended::Whole { head, .. } if head.to_lowercase().contains("retry-after"))
    );
    assert_eq!(deployment.runs_of("shed"), []);
}
