//! Nodes that die or stand still without notice.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::Value;
use teaselline::client::http::{BufferedResponse, HttpError};

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const CLAIM: &str = "keg 7, hala-b, deposit 40 €";

async fn claim(client: &Client, at: SocketAddr, id: &str) -> Result<BufferedResponse, HttpError> {
    let headers = [("request-id", id)];
    let path = "/v1/services/claims/deposits";
    client.send(Method::POST, at, path, &headers, CLAIM).await
}

fn outcome(answer: &BufferedResponse) -> String {
    let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
    refusal["outcome"].as_str().unwrap().to_owned()
}

fn runs(fleet: &Fleet, id: &str) -> usize {
    let history = fleet.site.history();
    let ran = history.ran.iter().filter(|ran| ran.request == id);
    ran.count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_resent_after_its_home_was_killed_never_runs_twice() {
    // Symptom: a brewery's deposit is paid twice.
    // Sequence: the claim runs, its home is killed, and the caller sends it again to another node.
    // Cause: a node that runs what it has no record of.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let (home, other) = (fleet.node(0), fleet.node(1));
    let id = client.id(home.callers).await.unwrap();
    let first = claim(&client, home.callers, &id).await.unwrap();
    assert_eq!(first.status, StatusCode::OK);
    home.kill();
    let second = claim(&client, other.callers, &id).await.unwrap();
    assert_eq!(runs(&fleet, &id), 1);
    // The witness has the answer, unless the home died before it told it.
    match second.status {
        StatusCode::OK => assert_eq!(second.body, first.body),
        _ => assert_eq!(outcome(&second), "unknown"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_home_stood_still_before_it_arrived_is_settled_for_good() {
    // Symptom: a clerk is told `not_run`, claims again under a new id, and the first claim runs too.
    // Sequence: the home is paused with the claim in its socket; another node has the witness settle
    // the id and says `not_run`; the home goes on and finds the claim.
    // Cause: a home that dispatches by its own view alone.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let (home, other) = (fleet.node(0), fleet.node(1));
    let id = client.id(home.callers).await.unwrap();
    home.pause();
    let at_home = tokio::spawn({
        let (client, id, at) = (client.clone(), id.clone(), home.callers);
        async move { claim(&client.with_patience_ms(60_000), at, &id).await }
    });
    let patient = client.with_patience_ms(60_000);
    let elsewhere = claim(&patient, other.callers, &id).await.unwrap();
    assert_eq!(outcome(&elsewhere), "not_run");
    home.resume();
    let late = at_home.await.unwrap().unwrap();
    assert_eq!(outcome(&late), "not_run");
    assert_eq!(runs(&fleet, &id), 0);
}
