//! Nodes that cannot hear each other.

use http::{Method, StatusCode};
use serde_json::Value;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::process::Cut;
use crate::trial;

const HEARS_NOTHING: Cut = Cut {
    hears_nothing: true,
    is_not_heard: false,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_is_refused_as_not_run_while_its_witness_cannot_be_asked() {
    // Symptom: a claim runs although another node has said `not_run`.
    // Sequence: nobody can reach any other node; the home takes a claim in.
    // Cause: a home that dispatches without consent when nobody contradicts.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let home = fleet.node(0);
    let id = client.id(home.callers).await.unwrap();
    for node in fleet.nodes() {
        node.cut_off(HEARS_NOTHING);
    }
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/claims/deposits";
    let send = || client.send(Method::POST, home.callers, path, &headers, "keg 8");
    let answer = send().await.unwrap();
    let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(refusal["outcome"], "not_run");
    for node in fleet.nodes() {
        node.cut_off(Cut::default());
        node.reset_connections();
    }
    let again = send().await.unwrap();
    assert_eq!(again.body, answer.body);
    assert!(!fleet.site.history().has_run(&id));
    assert_eq!(again.status, StatusCode::SERVICE_UNAVAILABLE);
}
