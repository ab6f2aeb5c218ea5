//! Tests of the caller against scripted nodes.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use url::Url;

use super::{CallReport, Caller};
use crate::client::call::{Call, CallContent};
use crate::client::policy::End;
use crate::client::scripted::{RequestLog, json, start_node};
use crate::client::wire::RefusalOutcome;
use crate::options::Secret;

/// An event stream; if `cut`, its content length exceeds the body.
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

fn completion_call() -> Call {
    Call::new(CallContent::Completion {
        model: String::from("newsreel-damage"),
        prompt: String::from("Reel 7: 傷の報告"),
        max_tokens: 8,
        latency_class: None,
    })
}

async fn call(nodes: &[&str], call: Call) -> (CallReport, Vec<(u64, String)>) {
    let urls = nodes
        .iter()
        .map(|node| Url::parse(&format!("http://{node}")).unwrap());
    let secret = Some(Secret::new("team-archive-sample"));
    let caller = Caller::new(&urls.collect::<Vec<_>>(), secret)
        .with_seed(7)
        .with_limits(4, 2);
    let tokens = Arc::new(Mutex::new(Vec::new()));
    let sink = Arc::clone(&tokens);
    let on_token = move |position, token: &str| sink.lock().push((position, token.to_owned()));
    let task = tokio::spawn(async move { caller.call(&call, on_token).await });
    let report = task.await.unwrap();
    let tokens = tokens.lock().clone();
    (report, tokens)
}

/// Guards against duplicate or missing tokens: the node fails during a stream, and the caller resumes
/// at another node, which repeats some tokens. Tokens must be ordered by position, not by arrival.
#[tokio::test]
async fn broken_stream_is_resumed_at_another_node() {
    let first = |_| events(&[(0, "a"), (1, "b")], "", true);
    let second = |_| events(&[(1, "b"), (2, "c")], &done(3), false);
    let requests = RequestLog::default();
    let (a, b) = (
        start_node(&requests, first).await,
        start_node(&requests, second).await,
    );
    let (report, tokens) = call(&[&a, &b], completion_call()).await;
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
    assert_eq!(*requests.lock(), expected);
}

/// Guards against a partial response taken as complete: a node that has sent fewer tokens than the
/// count in `done` ends the stream. The count must be compared.
#[tokio::test]
async fn early_done_event_is_resumed() {
    let script = |count| match count {
        0 => events(&[(0, "a")], &done(2), false),
        _ => events(&[(1, "b")], &done(2), false),
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let (report, tokens) = call(&[&address], completion_call()).await;
    assert_eq!(tokens.len(), 2);
    assert!(report.end.is_answer());
}

#[tokio::test]
async fn call_refused_as_not_run_is_resent_under_new_id() {
    let script = |count| match count {
        0 => {
            let refusal = r#"{"outcome":"not_run","reason":"overloaded","retry_after_ms":1}"#;
            json("503 Service Unavailable", refusal)
        }
        _ => events(&[(0, "a")], &done(1), false),
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let (report, _) = call(&[&address], completion_call().with_idempotent(false)).await;
    assert!(report.end.is_answer());
    assert_eq!(report.ids, ["id-0", "id-1"]);
}

/// Guards against a service call that runs twice: the node responds that the call may have run, and
/// the caller sends it again as if it had been refused.
#[tokio::test]
async fn call_that_may_have_run_is_queried_and_not_resent() {
    let script = |_| {
        let refusal = r#"{"outcome":"unknown","reason":"upstream_lost","retry_after_ms":1}"#;
        json("502 Bad Gateway", refusal)
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let lookup = Call::new(CallContent::Service {
        name: String::from("catalogue"),
        path: String::from("/splices"),
        body: "reel 7".into(),
    });
    let (report, _) = call(&[&address], lookup).await;
    assert!(
        matches!(&report.end, End::Refused(refusal) if refusal.outcome == RefusalOutcome::Unknown)
    );
    let requests = requests.lock();
    let sent = requests
        .iter()
        .filter(|line| line.starts_with("POST"))
        .count();
    assert_eq!((sent, requests.len()), (1, 4));
}

#[tokio::test]
async fn call_without_reachable_node_ends_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let (report, _) = call(&[&address], completion_call()).await;
    assert_eq!(report.end, End::Unsent);
}

/// Guards against a call that runs twice: its connection breaks while the receiving node is paused,
/// and another node responds `no_such_request`. If the caller resends under a new id, the paused node
/// resumes and forwards the first call to its home as well.
#[tokio::test]
async fn call_with_unknown_id_is_resent_under_same_id() {
    let script = |count| match count {
        0 => events(&[], "", true),
        1 => {
            let not_found = r#"{"outcome":"not_run","reason":"no_such_request","message":"none"}"#;
            json("404 Not Found", not_found)
        }
        _ => events(&[(0, "a")], &done(1), false),
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let (report, _) = call(&[&address], completion_call()).await;
    assert!(report.end.is_answer());
    assert_eq!(report.ids, ["id-0"]);
}

#[tokio::test]
async fn service_response_in_form_of_refusal_is_answered() {
    let body = r#"{"outcome":"not_run","reason":"the reel was not run"}"#;
    let script = |_| {
        json(
            "200 OK",
            r#"{"outcome":"not_run","reason":"the reel was not run"}"#,
        )
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
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
async fn bad_token_ends_call_without_retry() {
    let script = |_| {
        json(
            "401 Unauthorized",
            r#"{"outcome":"not_run","reason":"no_token"}"#,
        )
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let (report, _) = call(&[&address], completion_call()).await;
    assert!(matches!(report.end, End::Rejected(rejection) if rejection.status == 401));
    assert_eq!(report.attempts, 1);
}

#[tokio::test]
async fn service_response_is_resumed_by_id() {
    let script = |count| match count {
        0 => events(
            &[],
            "event: error\ndata: {\"outcome\":\"answered\"}\n\n",
            false,
        ),
        _ => json("200 OK", "whole"),
    };
    let requests = RequestLog::default();
    let address = start_node(&requests, script).await;
    let caller = Caller::new(&[Url::parse(&format!("http://{address}")).unwrap()], None);
    let report = caller.resume("id-9", 0, |_, _| {}).await;
    let body = Bytes::from("whole");
    assert_eq!(report.end, End::Answered { status: 200, body });
}
