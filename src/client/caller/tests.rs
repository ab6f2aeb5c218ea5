//! Tests of a caller against nodes that follow a script.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use url::Url;

use super::{Caller, Report};
use crate::client::call::{Call, CallContent};
use crate::client::policy::End;
use crate::client::scripted::{Asked, json, node};
use crate::client::wire::RefusalOutcome;
use crate::options::Secret;

/// An event stream that announces more than it gives if `cut`.
fn events(tokens: &[(u64, &str)], last: &str, cut: bool) -> String {
    let mut body = String::new();
    for (position, token) in tokens {
        let data = format!("{{\"position\":{position},\"token\":\"{token}\"}}");
        body.extend(["event: token\ndata: ", &data, "\n\n"]);
    }
    body.push_str(last);
    let length = body.len() + usize::from(cut);
    format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn done(tokens: u64) -> String {
    format!("event: done\ndata: {{\"tokens\":{tokens},\"finish\":\"stop\"}}\n\n")
}

fn report_on_reel() -> Call {
    Call::new(CallContent::Completion {
        model: String::from("newsreel-damage"),
        prompt: String::from("Reel 7: 傷の報告"),
        max_tokens: 8,
        latency_class: None,
    })
}

async fn call(nodes: &[&str], call: Call) -> (Report, Vec<(u64, String)>) {
    let urls = nodes
        .iter()
        .map(|node| Url::parse(&format!("http://{node}")).unwrap());
    let secret = Some(Secret::new("team-archive-sample"));
    let caller = Caller::new(&urls.collect::<Vec<_>>(), secret)
        .with_seed(7)
        .with_limits(4, 2);
    let tokens = Arc::new(Mutex::new(Vec::new()));
    let sink = Arc::clone(&tokens);
    let keep = move |position, token: &str| sink.lock().push((position, token.to_owned()));
    let task = tokio::spawn(async move { caller.call(&call, keep).await });
    let report = task.await.unwrap();
    let tokens = tokens.lock().clone();
    (report, tokens)
}

/// Symptom: a caller gets the beginning of its answer twice, or half of it. Sequence: the node dies
/// in the middle of a stream; the caller goes on at another node, which sends some tokens again.
/// Cause: taking tokens in the order in which they come rather than by position.
#[tokio::test]
async fn a_broken_stream_is_resumed_elsewhere_and_whole() {
    let first = |_| events(&[(0, "a"), (1, "b")], "", true);
    let second = |_| events(&[(1, "b"), (2, "c")], &done(3), false);
    let asked = Asked::default();
    let (a, b) = (node(&asked, first).await, node(&asked, second).await);
    let (report, tokens) = call(&[&a, &b], report_on_reel()).await;
    let expected = [(0, "a"), (1, "b"), (2, "c")].map(|(at, text)| (at, text.to_owned()));
    assert_eq!(tokens, expected);
    assert_eq!(
        report.end,
        End::Completed {
            tokens: 3,
            finish: String::from("stop")
        }
    );
    assert_eq!(report.ids, ["id-0"]);
    let expected = ["POST /v1/completions id-0 -", "GET /v1/requests/id-0 - 1"];
    assert_eq!(*asked.lock(), expected);
}

/// Symptom: a caller takes half an answer for the whole. Sequence: a node that has fewer tokens
/// than were sent says that the answer is done. Cause: believing `done` without its count.
#[tokio::test]
async fn an_early_end_is_not_believed() {
    let script = |count| match count {
        0 => events(&[(0, "a")], &done(2), false),
        _ => events(&[(1, "b")], &done(2), false),
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let (report, tokens) = call(&[&address], report_on_reel()).await;
    assert_eq!(tokens.len(), 2);
    assert!(report.end.is_answer());
}

#[tokio::test]
async fn a_refusal_before_work_is_sent_again_under_a_new_id() {
    let script = |count| match count {
        0 => {
            let refusal = r#"{"outcome":"not_run","reason":"overloaded","retry_after_ms":1}"#;
            json("503 Service Unavailable", refusal)
        }
        _ => events(&[(0, "a")], &done(1), false),
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let (report, _) = call(&[&address], report_on_reel().with_idempotent(false)).await;
    assert!(report.end.is_answer());
    assert_eq!(report.ids, ["id-0", "id-1"]);
}

/// Symptom: an archivist logs a reel twice. Sequence: the node says that the lookup may have run;
/// the caller sends it again. Cause: treating `unknown` like a refusal.
#[tokio::test]
async fn a_call_that_may_have_run_is_asked_for_and_not_sent_again() {
    let script = |_| {
        let refusal = r#"{"outcome":"unknown","reason":"upstream_lost","retry_after_ms":1}"#;
        json("502 Bad Gateway", refusal)
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let lookup = Call::new(CallContent::Service {
        name: String::from("catalogue"),
        path: String::from("/splices"),
        body: "reel 7".into(),
    });
    let (report, _) = call(&[&address], lookup).await;
    assert!(
        matches!(&report.end, End::Refused(refusal) if refusal.outcome == RefusalOutcome::Unknown)
    );
    let asked = asked.lock();
    let sent = asked.iter().filter(|line| line.starts_with("POST")).count();
    assert_eq!((sent, asked.len()), (1, 4));
}

#[tokio::test]
async fn a_caller_without_nodes_says_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let (report, _) = call(&[&address], report_on_reel()).await;
    assert_eq!(report.end, End::Unsent);
}

/// Symptom: a deposit is paid twice. Sequence: the call's connection breaks while the node that
/// took it is paused; another node finds the id nowhere and says `not_run`; the caller sends the
/// call under a new id; the paused node goes on and passes the first call to its home. Cause:
/// reading "no such request" as "never runs".
#[tokio::test]
async fn an_id_found_nowhere_is_sent_again_and_not_replaced() {
    let script = |count| match count {
        0 => events(&[], "", true),
        1 => {
            let nowhere = r#"{"outcome":"not_run","reason":"no_such_request","message":"none"}"#;
            json("404 Not Found", nowhere)
        }
        _ => events(&[(0, "a")], &done(1), false),
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let (report, _) = call(&[&address], report_on_reel()).await;
    assert!(report.end.is_answer());
    assert_eq!(report.ids, ["id-0"]);
}

#[tokio::test]
async fn the_answer_of_a_service_may_look_like_a_refusal() {
    let body = r#"{"outcome":"not_run","reason":"the reel was not run"}"#;
    let script = |_| {
        json(
            "200 OK",
            r#"{"outcome":"not_run","reason":"the reel was not run"}"#,
        )
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let lookup = Call::new(CallContent::Service {
        name: String::from("catalogue"),
        path: String::from("reels/7"),
        body: Bytes::new(),
    });
    let (report, _) = call(&[&address], lookup).await;
    let body = Bytes::from(body);
    assert_eq!(report.end, End::Answered { status: 200, body });
}

#[tokio::test]
async fn a_bad_token_is_told_at_once() {
    let script = |_| {
        json(
            "401 Unauthorized",
            r#"{"outcome":"not_run","reason":"no_token"}"#,
        )
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let (report, _) = call(&[&address], report_on_reel()).await;
    assert!(matches!(report.end, End::Rejected(rejection) if rejection.status == 401));
    assert_eq!(report.attempts, 1);
}

#[tokio::test]
async fn the_answer_of_a_service_is_found_by_its_id() {
    let script = |count| match count {
        0 => events(
            &[],
            "event: error\ndata: {\"outcome\":\"answered\"}\n\n",
            false,
        ),
        _ => json("200 OK", "whole"),
    };
    let asked = Asked::default();
    let address = node(&asked, script).await;
    let caller = Caller::new(&[Url::parse(&format!("http://{address}")).unwrap()], None);
    let report = caller.resume("id-9", 0, |_, _| {}).await;
    let body = Bytes::from("whole");
    assert_eq!(report.end, End::Answered { status: 200, body });
}
