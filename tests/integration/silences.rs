//! Nodes that hear nothing from each other for a while, and then all that was on its way.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;
use teaselline_stand_ins::site::Upstream;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::process::{Cut, Process};
use crate::streams::{PROMPT, TOKENS, read, start};
use crate::trial;

/// Tokens after which the nodes fall silent.
const SILENT_AFTER: usize = 20;

/// Silence between all nodes, longer than open streams of a connection outlast.
const SILENCE: Duration = Duration::from_secs(3);

/// Silence of the home alone, longer than its witness waits to be asked.
const HOME_SILENCE: Duration = Duration::from_secs(5);

/// Time that the plain service takes for a call.
const SERVICE_MS: u64 = 6_500;

/// Deadline of the calls.
const DEADLINE_MS: u64 = 20_000;

const SILENT: Cut = Cut {
    hears_nothing: true,
    is_not_heard: true,
};

fn settings() -> FleetSettings {
    FleetSettings {
        deadline_ms: DEADLINE_MS,
        service_timeout_ms: DEADLINE_MS,
        ..FleetSettings::new(BINARY)
    }
}

/// Silences nodes for a while.
async fn silence(nodes: Vec<Arc<Process>>, silence: Duration) {
    for node in &nodes {
        node.cut_off(SILENT);
    }
    tokio::time::sleep(silence).await;
    for node in &nodes {
        node.cut_off(Cut::default());
    }
}

/// Starts a stream whose home is node 0 through node 1, and lets all nodes fall silent in its middle.
async fn read_through_silence(idempotent: &str) {
    let fleet = Fleet::start(settings()).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let id = client.id(fleet.node(0).callers).await.unwrap();
    let (request, body) = start(fleet.node(1).callers, &id, idempotent);
    let fall_silent = |tokens| {
        if tokens == SILENT_AFTER {
            tokio::spawn(silence(fleet.nodes(), SILENCE));
        }
    };
    let heard = read(request, body, fall_silent).await;
    assert!(heard.is_whole, "{} tokens", heard.tokens.len());
    let seed = id.parse::<RequestId>().unwrap().seed();
    assert_eq!(heard.text(), expected_answer(PROMPT, seed, TOKENS));
    let is_doubled = fleet.site.history().doubled().contains(&id.as_str());
    assert!(idempotent == "true" || !is_doubled);
}

// Guards against a stream that must run once and is cut because the nodes were silent for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_stream_outlasts_a_silence_between_the_nodes() {
    read_through_silence("false").await;
}

// Guards against a stream that is cut although its home has the rest, because it may be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_stream_outlasts_a_silence_between_the_nodes() {
    read_through_silence("true").await;
}

// Guards against `unknown` for a call that its home is running, told by a witness that knows no more.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_outlasts_a_silence_of_its_home() {
    let fleet = Fleet::start(settings()).await.unwrap();
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            service.change(|knobs| knobs.delay_ms = SERVICE_MS);
        }
    }
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let id = client.id(fleet.node(0).callers).await.unwrap();
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/claims/deposits";
    let call = client.send(
        Method::POST,
        fleet.node(1).callers,
        path,
        &headers,
        "keg 13",
    );
    let fall_silent = async {
        while !fleet.site.history().has_run(&id) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        silence(vec![fleet.node(0)], HOME_SILENCE).await;
    };
    let (answer, ()) = tokio::join!(call, fall_silent);
    let answer = answer.unwrap();
    let body = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, StatusCode::OK, "{body}");
    assert!(!fleet.site.history().doubled().contains(&id.as_str()));
}
