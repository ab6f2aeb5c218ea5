//! Explains failed requests from their ids and the logs alone.

use futures::future::join_all;
use teaselline::telemetry::explain::{RequestTimeline, explain};
use teaselline_stand_ins::operators::deployment::{KEYS, asked};
use teaselline_stand_ins::operators::{Deployment, Fault, Node};

use super::support::{deployment, eventually, send};

/// Returns the logged steps of a request from the logs of all nodes, once its end is logged.
async fn story_of(deployment: &Deployment, id: &str) -> RequestTimeline {
    let read = || {
        let logs: Vec<String> = deployment.nodes.iter().flat_map(Node::log).collect();
        explain(id, &logs.join("\n"))
    };
    eventually("the request's end is logged", async || {
        read().is_ok_and(|story| story.steps.iter().any(|step| step.event == "request_ended"))
    })
    .await;
    read().expect("the request is in the logs")
}

fn field<'a>(story: &'a RequestTimeline, event: &str, name: &str) -> Option<&'a str> {
    let step = story.steps.iter().find(|step| step.event == event)?;
    step.fields.get(name)?.as_str()
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_by_the_limit_of_a_team_is_explained() {
    let deployment = deployment(2, 1).await;
    // All at once: calls one after the other may take as long as the limit needs to recover.
    let calls = (0..60).map(|place| {
        let mut call = asked(&format!("refused-{place}"), "once");
        KEYS[1].clone_into(&mut call.key);
        call
    });
    let calls: Vec<_> = calls.collect();
    let sent = calls.iter().enumerate();
    let ended = join_all(sent.map(|(place, call)| send(&deployment, place % 2, call))).await;
    let refused = calls.iter().zip(ended);
    let refused = refused.filter(|(_call, ended)| ended.status() == Some(429));
    let refused: Vec<_> = refused.map(|(call, _ended)| call.id.clone()).collect();
    let id = refused.first().expect("the team has a limit of 20 at once");
    let story = story_of(&deployment, id).await;
    assert_eq!(field(&story, "request_ended", "outcome"), Some("refused"));
    assert_eq!(field(&story, "request_ended", "reason"), Some("over_limit"));
    assert_eq!(field(&story, "request_ended", "team"), Some("studio"));
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_is_explained() {
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

/// Guards against streams of which no line says which versions they came from and what they take up.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_is_explained_with_its_versions() {
    let deployment = deployment(1, 1).await;
    deployment.upstreams[1].set(Fault::BreaksOff);
    let mut call = asked("taken-up", "stream-on");
    call.extra = "Resumes: begun\r\nLast-Event-Id: 1\r\n".to_owned();
    send(&deployment, 0, &call).await;
    let story = story_of(&deployment, "taken-up").await;
    for event in ["attempt_failed", "request_ended"] {
        assert_eq!(field(&story, event, "upstream_version"), Some("v1"));
        assert_eq!(field(&story, event, "resumes"), Some("begun"));
    }
    assert_eq!(field(&story, "request_ended", "first_version"), Some("v1"));
    let not_resumed = (story.steps.iter()).any(|step| {
        step.fields
            .get("reason")
            .is_some_and(|reason| reason == "not_resumed")
    });
    assert!(not_resumed, "{story}");
}

#[tokio::test(flavor = "multi_thread")]
async fn response_timeout_is_explained() {
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
    let ended = story.steps.last().expect("the request has steps");
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

/// Guards against secrets in logs, as when whole requests are logged: calls succeed, fail and are
/// refused, and the log must hold neither a caller's key nor a request body.
#[tokio::test(flavor = "multi_thread")]
async fn logs_contain_no_keys_and_no_bodies() {
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
