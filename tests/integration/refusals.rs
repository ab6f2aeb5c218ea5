//! What nodes may say of requests that they cannot take in.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::Value;
use teaselline::client::http::BufferedResponse;
use teaselline_stand_ins::log::Outage;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const CLAIMS: &str = "/v1/services/claims/deposits";

async fn claim(client: &Client, at: SocketAddr, id: &str, body: &str) -> BufferedResponse {
    let headers = [("request-id", id)];
    let answer = client.send(Method::POST, at, CLAIMS, &headers, body.to_owned());
    answer.await.unwrap()
}

fn outcome(answer: &BufferedResponse) -> Option<String> {
    let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
    Some(refusal["outcome"].as_str()?.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_document_does_not_say_that_a_claim_of_another_node_did_not_run() {
    // Symptom: a deposit is paid twice.
    // Sequence: a claim runs; its caller, whose connection broke, sends it again to a node that has
    // just started; that one refuses it as not run, and the caller claims under a new id.
    // Cause: a refusal by a node that has not asked the id's home.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    fleet.site.log.change(|knobs| knobs.outage = Outage::Refuse);
    let new = fleet.start_apart().await.unwrap();
    let client = Client::new(trial::TOKEN);
    let home = fleet.node(0).callers;
    let id = client.id(home).await.unwrap();
    let ran = claim(&client, home, &id, "keg 4").await;
    assert_eq!(ran.status, StatusCode::OK);
    let refused = claim(&client, new.callers, &id, "keg 4").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(outcome(&refused).as_deref(), Some("unknown"));
    let path = format!("/v1/requests/{id}");
    let asked = client.get(new.callers, &path);
    assert_eq!(outcome(&asked.await.unwrap()).as_deref(), Some("unknown"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_has_not_been_seen_yet_is_not_said_to_have_not_run() {
    // Symptom: a claim runs after its caller was told that it did not and never would.
    // Sequence: a caller asks for a claim that is still on its way to the home.
    // Cause: a home that takes what it has not seen for what will never come.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let home = fleet.node(0).callers;
    let id = client.id(home).await.unwrap();
    let path = format!("/v1/requests/{id}");
    for node in fleet.nodes() {
        let asked = client.get(node.callers, &path);
        let asked = asked.await.unwrap();
        assert_eq!(asked.status, StatusCode::NOT_FOUND);
        assert_eq!(outcome(&asked), None);
    }
    let ran = claim(&client, home, &id, "keg 5").await;
    assert_eq!(ran.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_no_node_takes_is_said_to_have_not_run() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let at = fleet.node(0).callers;
    let id = client.id(at).await.unwrap();
    let headers = [("request-id", id.as_str())];
    let cut = r#"{ "model": "ledger", "pro"#;
    let answer = client.send(Method::POST, at, "/v1/completions", &headers, cut);
    assert_eq!(outcome(&answer.await.unwrap()).as_deref(), Some("not_run"));
}
