//! Calls that run while the configuration changes under them.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use teaselline_stand_ins::service::ServiceFault;
use teaselline_stand_ins::site::Upstream;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

/// Time between a claim's effect and the cut of its connection; the configuration changes within it.
const CUT_AFTER_MS: u64 = 1_800;

/// The document without the team that sends the trials' calls.
fn without_team() -> Value {
    let text = trial::document(FleetSettings::new(BINARY).deadline_ms);
    let mut document: Value = serde_json::from_str(&text).unwrap();
    let teams = document["teams"].as_array_mut().unwrap();
    teams.retain(|team| team["name"] != trial::TEAM);
    document
}

// Guards against a deposit that is paid twice: the connection of a claim is cut after its effect, and
// its team was removed from the configuration meanwhile, so that no retry budget decides.
#[tokio::test(flavor = "multi_thread")]
async fn claim_whose_team_is_removed_while_it_runs_does_not_run_again() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            service.change(|knobs| {
                knobs.delay_ms = CUT_AFTER_MS;
                knobs.fault = ServiceFault::CutAfterEffect;
                knobs.fault_probability = 1.0;
            });
        }
    }
    let (client, home) = (Client::new(trial::TOKEN), fleet.node(0).callers);
    let id = client.id(home).await.unwrap();
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/claims/deposits";
    let operator = Client::new(trial::OPERATOR_TOKEN);
    let reconfigure = async {
        tokio::time::sleep(Duration::from_millis(CUT_AFTER_MS / 6)).await;
        let body = json!({ "base_revision": 1, "document": without_team() }).to_string();
        operator
            .send(Method::POST, home, "/v1/configuration", &[], body)
            .await
    };
    let claim = client.send(Method::POST, home, path, &headers, "keg 13");
    let (told, reconfigured) = tokio::join!(claim, reconfigure);
    let reconfigured = reconfigured.unwrap();
    assert!(reconfigured.status.is_success(), "{reconfigured:?}");
    let told = told.unwrap();
    let refusal: Value = serde_json::from_slice(&told.body).unwrap();
    assert_eq!(told.status, StatusCode::GATEWAY_TIMEOUT, "{refusal}");
    assert_eq!(refusal["outcome"], "unknown", "{refusal}");
    let runs = fleet.site.upstreams().into_iter();
    let runs = runs.map(|(_host, upstream)| match &*upstream {
        Upstream::Service(service) => service.executions().len(),
        Upstream::Engine(_) => 0,
    });
    assert_eq!(runs.sum::<usize>(), 1);
}
