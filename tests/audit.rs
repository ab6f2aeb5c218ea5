//! What operators and nodes did, as the audit trail tells it, and who may ask.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/trial.rs"]
mod trial;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use deployment::{FLEET_KEY, site_settings, start_nodes, wait_until_ready};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use teaselline::client::http::{BufferedResponse, HttpClient};
use teaselline::document::Document;
use teaselline_stand_ins::log::Outage;
use teaselline_stand_ins::site::Site;

/// Looks for an entry to have come, and the pause between two; nodes append every ten seconds.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(50);

async fn ask(
    method: Method,
    at: SocketAddr,
    path: &str,
    token: &str,
    body: String,
) -> BufferedResponse {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body)))
        .expect("the request is well formed");
    let answer = HttpClient::new().fetch(request, 20_000).await;
    answer.expect("the node answers")
}

async fn get(at: SocketAddr, path: &str, token: &str) -> BufferedResponse {
    ask(Method::GET, at, path, token, String::new()).await
}

async fn change(at: SocketAddr, token: &str, base: u64, text: &str) -> BufferedResponse {
    let document: Value = serde_json::from_str(text).unwrap();
    let body = json!({ "base_revision": base, "document": document });
    ask(
        Method::POST,
        at,
        "/v1/configuration",
        token,
        body.to_string(),
    )
    .await
}

/// The whole trail, part by part.
async fn trail(at: SocketAddr) -> Vec<Value> {
    let (mut from, mut entries) = (0, Vec::new());
    loop {
        let path = format!("/v1/audit?from={from}");
        let answer = get(at, &path, trial::OPERATOR_TOKEN).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let part: Value = serde_json::from_slice(&answer.body).unwrap();
        let records = part["records"].as_array().unwrap();
        if records.is_empty() {
            return entries;
        }
        entries.extend(records.iter().cloned());
        from = part["next"].as_u64().unwrap();
    }
}

fn is_entry(entry: &Value, act: &str, outcome: &str, target: &str) -> bool {
    entry["act"] == act && entry["outcome"] == outcome && entry["target"] == target
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_notices_and_stops_stand_in_the_trail() {
    let text = trial::document(10_000);
    let document = Document::parse(&text).unwrap();
    let site = Site::start(site_settings(&document)).await.unwrap();
    let nodes = start_nodes(&document, &site, 2).await.unwrap();
    let at = nodes[0].caller_address;

    // Without a document nobody but the holder of the fleet key is told anything.
    for path in ["/v1/status", "/v1/audit"] {
        let stranger = get(at, path, trial::OPERATOR_TOKEN).await;
        assert_eq!(stranger.status, StatusCode::UNAUTHORIZED, "{path}");
        let first = get(at, path, FLEET_KEY).await;
        assert_eq!(first.status, StatusCode::OK, "{path}");
    }
    let accepted = change(at, FLEET_KEY, 0, &text).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    let revision = nodes[0].node.revision();
    assert!(wait_until_ready(&nodes, revision, site.upstreams().len()).await);
    let stale = change(at, trial::OPERATOR_TOKEN, 0, &text).await;
    assert_eq!(stale.status, StatusCode::CONFLICT, "{stale:?}");
    let (host, _) = site.upstreams().remove(0);
    site.cloud.announce_leave(&host, 60_000);
    let stopped = nodes[1].node.name.clone();
    nodes[1].stop().await;

    let wanted = [
        ("change_configuration", "done", "configuration"),
        ("change_configuration", "refused", "configuration"),
        ("clear_host", "done", host.as_str()),
        ("stop_node", "done", stopped.as_str()),
    ];
    let mut entries = Vec::new();
    for _try in 0..TRIES {
        entries = trail(at).await;
        let told = |(act, outcome, target): &(&str, &str, &str)| {
            entries
                .iter()
                .any(|entry| is_entry(entry, act, outcome, target))
        };
        if wanted.iter().all(told) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    for (act, outcome, target) in wanted {
        let mut found = entries
            .iter()
            .filter(|entry| is_entry(entry, act, outcome, target));
        let entry = found
            .next()
            .unwrap_or_else(|| panic!("{act} {outcome} in {entries:#?}"));
        assert!(entry["offset"].as_u64() > Some(0), "{entry}");
        assert!(entry["at_ms"].as_u64() > Some(0), "{entry}");
    }
    let refused = entries
        .iter()
        .find(|entry| is_entry(entry, "change_configuration", "refused", "configuration"));
    let refused = refused.expect("it is there");
    assert_eq!(refused["actor"]["operator"], "novakova", "{refused}");
    assert_eq!(refused["revision"], revision, "{refused}");

    let caller = get(at, "/v1/audit", trial::TOKEN).await;
    assert_eq!(caller.status, StatusCode::UNAUTHORIZED);
    site.log.change(|knobs| knobs.outage = Outage::Refuse);
    let out = get(at, "/v1/audit", trial::OPERATOR_TOKEN).await;
    assert_eq!(out.status, StatusCode::SERVICE_UNAVAILABLE);
}
