//! Requests that reach a stopping node, or are sent on by it, late in its grace.

use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::deployment::{DeploymentSettings, asked, document};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::support::{eventually, send};

/// Longer than the time limits of the document that a deployment starts with.
const WORK_MS: u64 = 3_500;

/// Time limit of the route and of each call.
const LIMIT_MS: u64 = 6_000;

const GRACE_S: u64 = 8;

/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Calls that are sent from the stop signal until the node has ended.
const CALLS: usize = 150;

/// A deployment whose routes have this time limit, and whose upstreams work for `work_ms` on each request.
async fn slow_deployment(nodes: usize, grace_s: u64, limit_ms: u64, work_ms: u64) -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        nodes,
        upstreams: 1,
        grace_s,
        usage_window_s: 1.0,
        has_quota_window: false,
        is_proxied: false,
        host: None,
    };
    let deployment = Deployment::start(settings).await;
    let deployment = deployment.expect("all nodes become ready");
    let mut next = document(2);
    for route in next["routes"].as_array_mut().expect("there are routes") {
        route["timeoutMs"] = limit_ms.into();
    }
    for upstream in &deployment.upstreams {
        upstream.work_for(WORK_MS);
    }
    deployment.configure(&next);
    eventually("a call takes longer than the limit before", async || {
        let id = format!("in-force-{}", deployment.runs.lock().len());
        send(&deployment, 0, &limited(&id, "once", limit_ms))
            .await
            .status()
            == Some(200)
    })
    .await;
    for upstream in &deployment.upstreams {
        upstream.work_for(work_ms);
    }
    deployment
}

fn limited(id: &str, route: &str, limit_ms: u64) -> Asked {
    Asked {
        deadline_ms: limit_ms,
        ..asked(id, route)
    }
}

/// Returns the ids of the calls that ended so.
fn matching(ended: &[(Ended, String)], is_such: impl Fn(&Ended, &str) -> bool) -> Vec<&str> {
    let such = ended.iter().filter(|(ended, id)| is_such(ended, id));
    such.map(|(_ended, id)| id.as_str()).collect()
}

/// Guards against calls that a stopping node passes on although its exit comes before their time limit: they are cut while
/// they run.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_cannot_end_before_the_exit_is_refused_as_not_run() {
    let deployment = slow_deployment(1, GRACE_S, LIMIT_MS, WORK_MS).await;
    let node = deployment.nodes[0].callers();
    deployment.nodes[0]
        .signal(Signal::SIGTERM)
        .expect("the node runs");
    let mut calls = JoinSet::new();
    for place in 0..CALLS {
        let id = format!("late-{place}");
        calls.spawn(async move { (limited(&id, "once", LIMIT_MS).send(node).await, id) });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let ended = calls.join_all().await;
    let has_run = |id: &str| !deployment.runs_of(id).is_empty();
    let answered = matching(&ended, |ended, _id| ended.status() == Some(200));
    let refused = matching(&ended, |ended, _id| ended.says_not_run());
    // A word at the exit that the call may have run is none of an answer either.
    let cut = matching(&ended, |ended, id| {
        has_run(id) && ended.status() != Some(200)
    });
    let betrayed = matching(&ended, |ended, id| has_run(id) && ended.says_not_run());
    let counts = format!(
        "{} answered, {} refused as not run, {} passed on and cut: {cut:?}",
        answered.len(),
        refused.len(),
        cut.len()
    );
    eprintln!("{counts}");
    assert!(cut.is_empty(), "{counts}");
    assert!(betrayed.is_empty(), "{betrayed:?}");
    assert!(answered.len() >= 10, "{counts}");
    assert!(!refused.is_empty(), "{counts}");
}

/// A time limit that no grace of these tests covers.
const BEYOND_GRACE_MS: u64 = 20_000;

/// A grace after which a node ends within a test.
const SHORT_GRACE_S: u64 = 4;

/// Reads until the connection ends.
async fn read_rest(socket: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let read = socket.read_to_end(&mut received).await;
    if let Err(error) = read {
        received.extend_from_slice(format!(" {error}").as_bytes());
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against calls whose head is read before the stop signal and whose body comes after it: they are passed on
/// although they cannot end before the exit.
#[tokio::test(flavor = "multi_thread")]
async fn call_whose_body_comes_after_the_stop_signal_is_refused_as_not_run() {
    let deployment = slow_deployment(1, SHORT_GRACE_S, BEYOND_GRACE_MS, BEYOND_GRACE_MS / 2).await;
    let mut socket = TcpStream::connect(deployment.nodes[0].callers())
        .await
        .expect("the node listens");
    let call = Asked {
        body: "late".to_owned(),
        ..limited("late-body", "once", BEYOND_GRACE_MS)
    };
    let text = call.text();
    let (head, body) = text.split_at(text.len() - call.body.len());
    let sent = socket.write_all(head.as_bytes()).await;
    sent.expect("the head is written");
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.nodes[0]
        .signal(Signal::SIGTERM)
        .expect("the node runs");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let sent = socket.write_all(body.as_bytes()).await;
    sent.expect("the body is written");
    let received = read_rest(&mut socket).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
    assert_eq!(deployment.runs_of("late-body"), []);
}

/// Guards against a connection that a stopping node closes without a word while an upstream works on its request.
#[tokio::test(flavor = "multi_thread")]
async fn call_under_way_at_the_exit_is_answered_that_it_may_have_run() {
    let deployment = slow_deployment(1, SHORT_GRACE_S, BEYOND_GRACE_MS, BEYOND_GRACE_MS / 2).await;
    let node = deployment.nodes[0].callers();
    let calls = ["once", "again", "stream", "stream-on"].map(|route| {
        let id = format!("under-way-{route}");
        tokio::spawn(async move { (limited(&id, route, BEYOND_GRACE_MS).send(node).await, id) })
    });
    eventually("all calls run", async || {
        (deployment.runs.lock().iter())
            .filter(|run| run.request.starts_with("under-way"))
            .count()
            == calls.len()
    })
    .await;
    deployment.nodes[0]
        .signal(Signal::SIGTERM)
        .expect("the node runs");
    for call in calls {
        let (ended, id) = call.await.expect("the call does not panic");
        assert_eq!(ended.status(), Some(502), "{id}: {ended:?}");
    }
}
