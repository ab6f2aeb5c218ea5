//! Faulty responses of upstreams and their effect on callers.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::KILLER;
use teaselline_stand_ins::operators::{Deployment, Ended, Fault};

use super::support::{deployment, eventually, send};

fn set_fault_on_all(deployment: &Deployment, fault: Fault) {
    for upstream in &deployment.upstreams {
        upstream.set(fault);
    }
}

/// Asserts that a request ran at most once, and never if its response says that it has not run.
pub fn assert_at_most_once(deployment: &Deployment, id: &str, ended: &Ended) {
    let runs = deployment.runs_of(id).len();
    assert!(runs <= 1, "{id} ran {runs} times");
    assert!(
        !(ended.says_not_run() && runs > 0),
        "{id} ran, but its response says that it has not: {ended:?}"
    );
}

/// Guards against running a non-idempotent call twice: an upstream runs the call and resets the
/// connection without a response, and the node treats the reset as "not run" and retries.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_is_not_retried_after_a_lost_response() {
    let deployment = deployment(1, 2).await;
    set_fault_on_all(&deployment, Fault::LosesAnswers);
    let mut lost = 0;
    for place in 0..40 {
        let id = format!("lost-{place}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        assert_at_most_once(&deployment, &id, &ended);
        lost += usize::from(ended.status() == Some(502));
    }
    assert!(lost >= 10, "only {lost} responses were lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_is_retried_at_another_upstream_after_a_lost_response() {
    let deployment = deployment(1, 3).await;
    deployment.upstreams[0].set(Fault::LosesAnswers);
    for place in 0..30 {
        let id = format!("again-{place}");
        let ended = send(&deployment, 0, &asked(&id, "again")).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        assert!(deployment.runs_of(&id).len() <= 2);
    }
}

/// Guards against a caller receiving the response to another caller's request: an upstream sends a
/// response twice, and the second copy arrives when the connection carries the next request.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_response_is_not_taken_for_the_next_one() {
    let deployment = deployment(1, 1).await;
    set_fault_on_all(&deployment, Fault::AnswersTwice);
    for place in 0..60 {
        let id = format!("twice-{place}");
        let route = if place % 2 == 0 { "once" } else { "again" };
        let ended = send(&deployment, 0, &asked(&id, route)).await;
        assert_at_most_once(&deployment, &id, &ended);
        if ended.status() == Some(200) {
            assert!(ended.body().ends_with(&format!("for {id}")), "{ended:?}");
        }
        if place % 3 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against passing on a truncated response as complete: an upstream closes the connection
/// within a response, with or without a content length, and the node takes this for its end.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_not_reported_as_complete() {
    let deployment = deployment(1, 1).await;
    for (fault, route) in [
        (Fault::BreaksOff, "once"),
        (Fault::BreaksOff, "again"),
        (Fault::BreaksOff, "stream"),
        (Fault::UnframedReset, "once"),
        (Fault::UnframedReset, "again"),
    ] {
        set_fault_on_all(&deployment, fault);
        let id = format!("half-{fault:?}-{route}");
        let ended = send(&deployment, 0, &asked(&id, route)).await;
        assert_ne!(ended.status(), Some(200), "{fault:?}: {ended:?}");
        if route != "again" {
            assert_at_most_once(&deployment, &id, &ended);
        }
    }
}

/// Guards against a resumable stream that ends early or repeats an event: an upstream closes the
/// connection within an event, another resumes after the last complete event. Forwarding bytes
/// instead of whole events would deliver the partial event too.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_resumes_after_its_last_complete_event() {
    let deployment = deployment(1, 2).await;
    let pools = || {
        deployment
            .upstreams
            .iter()
            .filter(|upstream| upstream.id().starts_with("pool"))
    };
    pools()
        .next()
        .expect("the service has an upstream")
        .set(Fault::BreaksOff);
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
    assert!(resumed > 0, "no stream was resumed after event 2");
}

/// Guards against upstreams that keep working for disconnected callers: a caller closes its
/// connection within a stream, and the connection to the upstream stays open.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_connection_closes_when_the_caller_disconnects() {
    let deployment = deployment(1, 1).await;
    set_fault_on_all(&deployment, Fault::Silent);
    for route in ["again", "stream", "once"] {
        let id = format!("left-{route}");
        let mut call = asked(&id, route);
        call.extra.push_str("X-Test: 1\r\n");
        let node = deployment.nodes[0].callers();
        let leaving = tokio::spawn(async move { call.send(node).await });
        eventually("the call runs", async || {
            !deployment.runs_of(&id).is_empty()
        })
        .await;
        leaving.abort();
        eventually("the upstream connection is closed", async || {
            deployment.runs_of(&id)[0].left_at_ms.is_some()
        })
        .await;
    }
}

/// Guards against one request that crashes all upstreams of a service in turn: it crashes the
/// upstream that runs it, and its caller resends it to any node under a new id, so that each
/// attempt looks like a new request.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_upstreams_is_blocked_after_three_crashes() {
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
    let harmless = send(&deployment, 0, &asked("innocent", "once")).await;
    assert_eq!(harmless.status(), Some(200), "{harmless:?}");
}

/// Guards against a node that starts after the third crash and sends the crashing request once more.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_blocks_a_request_that_crashes_upstreams() {
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
    deployment.nodes[2].restart().expect("the node restarts");
    assert!(deployment.wait_until_ready(2).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    kill(2, "kill-3").await;
    assert_eq!(crashed(), 3);
}

/// Guards against a sound request that is refused for good: upstreams that run on reset its connections, and each reset
/// counts as a crash of its upstream.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_answers_are_lost_is_sent_again_once_answers_arrive() {
    let deployment = deployment(3, 6).await;
    let lost = async |place: usize, id: String| {
        let mut call = asked(&id, "once");
        "the same body".clone_into(&mut call.body);
        send(&deployment, place % 3, &call).await.status()
    };
    set_fault_on_all(&deployment, Fault::LosesAllAnswers);
    for place in 0..9 {
        assert_eq!(lost(place, format!("lost-{place}")).await, Some(502));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    set_fault_on_all(&deployment, Fault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for place in 0..12 {
        assert_eq!(lost(place, format!("sound-{place}")).await, Some(200));
    }
}

/// Guards against holding a call until its caller gives up: an upstream runs the call and never
/// responds, and only the caller's deadline ends the wait, not the timeout of the route.
#[tokio::test(flavor = "multi_thread")]
async fn call_times_out_after_the_timeout_of_its_route() {
    let deployment = deployment(1, 1).await;
    set_fault_on_all(&deployment, Fault::Silent);
    let mut call = asked("slow", "once");
    call.deadline_ms = 20_000;
    let ended = send(&deployment, 0, &call).await;
    assert_eq!(ended.status(), Some(504), "{ended:?}");
    assert_eq!(deployment.runs_of("slow").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn load_shed_by_upstreams_is_refused_as_not_run() {
    let deployment = deployment(1, 2).await;
    set_fault_on_all(&deployment, Fault::Sheds);
    let ended = send(&deployment, 0, &asked("shed", "once")).await;
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert!(
        matches!(&ended, Ended::Whole { head, .. } if head.to_lowercase().contains("retry-after"))
    );
    assert_eq!(deployment.runs_of("shed"), []);
}
