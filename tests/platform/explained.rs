//! The cause of a failed request is found from its id and the logs alone.

use teaselline::telemetry::explain::{Story, explain};
use teaselline_stand_ins::operators::deployment::{KEYS, asked};
use teaselline_stand_ins::operators::{Deployment, Fault, Node};

use super::support::{deployment, eventually, send};

/// The story of a request from the logs of all nodes, once its end has been written.
async fn story_of(deployment: &Deployment, id: &str) -> Story {
    let read = || {
        let logs: Vec<String> = deployment.nodes.iter().flat_map(Node::log).collect();
        explain(id, &logs.join("\n"))
    };
    eventually("the request's end is logged", async || {
        read().is_ok_and(|story| story.steps.iter().any(|step| step.event == "request_ended"))
    })
    .await;
    read().expect("it is there")
}

fn field<'a>(story: &'a Story, event: &str, name: &str) -> Option<&'a str> {
    let step = story.steps.iter().find(|step| step.event == event)?;
    step.fields.get(name)?.as_str()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_although_there_seemed_to_be_room() {
    let deployment = deployment(2, 1).await;
    let mut refused = None;
    for place in 0..60 {
        let mut call = asked(&format!("refused-{place}"), "once");
        KEYS[1].clone_into(&mut call.key);
        if send(&deployment, place % 2, &call).await.status() == Some(429) {
            refused = Some(call.id);
            break;
        }
    }
    let id = refused.expect("the team has a limit of 20 at once");
    let story = story_of(&deployment, &id).await;
    assert_eq!(field(&story, "request_ended", "outcome"), Some("refused"));
    assert_eq!(field(&story, "request_ended", "reason"), Some("over_limit"));
    assert_eq!(field(&story, "request_ended", "team"), Some("studio"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_cut_in_the_middle() {
    let deployment = deployment(2, 1).await;
    for upstream in &deployment.upstreams {
        upstream.set(Fault::BreaksOff);
    }
    let ended = send(&deployment, 1, &asked("cut", "stream")).await;
    assert_eq!(ended.status(), None, "{ended:?}");
    let story = story_of(&deployment, "cut").await;
    assert_eq!(
        field(&story, "attempt_failed", "reason"),
        Some("stream_broken")
    );
    assert_eq!(
        field(&story, "attempt_failed", "detail"),
        Some("within the stream")
    );
    assert_eq!(field(&story, "attempt_failed", "upstream"), Some("pool-0"));
    assert_eq!(
        field(&story, "request_ended", "outcome"),
        Some("broken_off")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_came_too_late() {
    let deployment = deployment(1, 1).await;
    for upstream in &deployment.upstreams {
        upstream.set(Fault::Silent);
    }
    let ended = send(&deployment, 0, &asked("late", "once")).await;
    assert_eq!(ended.status(), Some(504), "{ended:?}");
    let story = story_of(&deployment, "late").await;
    assert_eq!(field(&story, "attempt_failed", "reason"), Some("silent"));
    assert_eq!(field(&story, "attempt_failed", "upstream"), Some("desk-0"));
    assert_eq!(
        field(&story, "request_ended", "reason"),
        Some("answer_timeout")
    );
    let ended = story.steps.last().expect("a step");
    for input in [
        "expected_ms",
        "upstream_running",
        "upstream_slots",
        "upstreams_age_ms",
        "took_ms",
    ] {
        assert!(ended.fields[input].is_number(), "{input}: {ended:?}");
    }
    println!("{story}");
}

/// Symptom: the answer to a question of who caused it stands in a log: a caller's key.
/// Sequence: calls succeed, fail and are refused; someone reads the log.
/// Cause: whole requests were logged.
#[tokio::test(flavor = "multi_thread")]
async fn no_key_and_no_body_stands_in_a_log() {
    let deployment = deployment(1, 1).await;
    for route in ["once", "again", "stream", "nowhere"] {
        let mut call = asked(&format!("secret-{route}"), route);
        "a body that is nobody's business".clone_into(&mut call.body);
        send(&deployment, 0, &call).await;
    }
    let mut wrong = asked("secret-key", "once");
    "key-that-nobody-holds".clone_into(&mut wrong.key);
    send(&deployment, 0, &wrong).await;
    story_of(&deployment, "secret-key").await;
    let log = deployment.nodes[0].log().join("\n");
    for secret in [KEYS[0], KEYS[1], "key-that-nobody-holds", "business"] {
        assert!(!log.contains(secret), "{secret}");
    }
}
