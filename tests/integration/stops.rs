//! Nodes that stop as planned.

use std::time::Duration;

use http::{Method, StatusCode};
use teaselline_stand_ins::site::Upstream;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const PAUSE: Duration = Duration::from_millis(20);

/// A planned stop that has only begun when the call is sent.
async fn until_leaving(fleet: &Fleet, index: usize) {
    let leaving = || {
        let log = fleet.node(index).log();
        log.iter().any(|line| line.contains("the node is leaving"))
    };
    while !leaving() {
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_outlasts_the_planned_stop_of_its_home_does_not_run_again_at_the_heir() {
    // Symptom: a brewery's deposit is paid twice after a planned stop.
    // Sequence: a service takes longer than the drain timeout; the home hands the running claim to
    // its witness as it ends; the witness goes on with it.
    // Cause: an heir that takes a claim without an outcome for one that has not been dispatched.
    let settings = FleetSettings {
        drain_timeout_ms: 500,
        ..FleetSettings::new(BINARY)
    };
    let fleet = Fleet::start(settings).await.unwrap();
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            service.change(|knobs| knobs.delay_ms = 1_500);
        }
    }
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let (home, other) = (fleet.node(0), fleet.node(1));
    let id = client.id(home.callers).await.unwrap();
    let at = home.callers;
    let send = |at| {
        let (client, id) = (client.clone(), id.clone());
        async move {
            let headers = [("request-id", id.as_str())];
            let path = "/v1/services/claims/deposits";
            client.send(Method::POST, at, path, &headers, "keg 9").await
        }
    };
    let first = tokio::spawn(send(at));
    while !fleet.site.history().has_run(&id) {
        tokio::time::sleep(PAUSE).await;
    }
    home.terminate();
    until_leaving(&fleet, 0).await;
    while !home.has_ended() {
        tokio::time::sleep(PAUSE).await;
    }
    drop(first.await);
    let answer = send(other.callers).await.unwrap();
    let history = fleet.site.history();
    assert_eq!(history.by_request()[id.as_str()].len(), 1);
    assert_ne!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}
