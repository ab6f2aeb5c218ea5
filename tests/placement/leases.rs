//! Who may act, and when nobody may.

use serde_json::{Value, json};
use teaselline::client::http::HttpClient;
use teaselline_stand_ins::log::Outage;

use crate::site::{Deployment, ENGINES, LEASE_OVER, ROUNDS, document, until};
use crate::trial::{DOMAINS, MODEL};

/// A fencing number that no lease of these trials has.
const NEWER: u64 = 1_000_000;

const PATIENCE_MS: u64 = 5_000;

// Symptom: a failure domain's hosts are not replaced, or are bought by two nodes.
// Sequence: the holder of its lease is cut off from the log, and goes on; hosts are lost.
// Cause: a holder that goes by what it read last, beside its successor.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_holder_without_the_log_is_followed_by_another_and_nothing_is_bought_twice() {
    let deployment = Deployment::start(&document().to_string()).await;
    let holder = deployment.holder(DOMAINS[0]).expect("the lease is held");
    deployment.to_log[holder].change(|knobs| knobs.refuse = true);
    deployment.to_log[holder].cut();
    let after = |index: Option<usize>| index.is_some_and(|index| index != holder);
    until("the holder to stop", || {
        deployment.holder(DOMAINS[0]) != Some(holder)
    })
    .await;
    for host in deployment.held("engines", DOMAINS[0]) {
        deployment.site.cloud.lose(&host);
    }
    until("another holder", || after(deployment.holder(DOMAINS[0]))).await;
    check_replaced(&deployment).await;
}

// Symptom and cause as above.
// Sequence: hosts are lost, and the holder dies in the same moment, perhaps in mid-purchase.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_holder_that_dies_in_mid_purchase_is_followed_by_another() {
    let mut deployment = Deployment::start(&document().to_string()).await;
    let holder = deployment.holder(DOMAINS[0]).expect("the lease is held");
    let cloud = &deployment.site.cloud;
    cloud.change(|knobs| knobs.lose_answer_probability = 1.0);
    for host in deployment.held("engines", DOMAINS[0]) {
        cloud.lose(&host);
    }
    // The host list forgets the hosts ten seconds later; the first purchase follows.
    until("a purchase", || !cloud.purchases().is_empty()).await;
    cloud.change(|knobs| knobs.lose_answer_probability = 0.0);
    let dead = deployment.nodes.remove(holder);
    dead.abort();
    until("another holder", || deployment.holder(DOMAINS[0]).is_some()).await;
    check_replaced(&deployment).await;
}

async fn check_replaced(deployment: &Deployment) {
    let whole = DOMAINS.len() * ENGINES as usize;
    until("replacements", || deployment.engines() == whole).await;
    tokio::time::sleep(ROUNDS).await;
    assert_eq!(deployment.engines(), whole);
    let bought = deployment.site.cloud.purchases().len();
    assert_eq!(bought, ENGINES as usize);
}

// Symptom: hosts are ordered about by a node that may have lost its lease without knowing.
// Sequence: the log is out for longer than a lease lasts; hosts are lost meanwhile.
// Cause: a lease that is believed beyond its end because nobody can be seen to take it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn while_the_log_is_out_nobody_acts() {
    let deployment = Deployment::start(&document().to_string()).await;
    let log = &deployment.site.log;
    log.change(|knobs| knobs.outage = Outage::Refuse);
    tokio::time::sleep(LEASE_OVER).await;
    for domain in DOMAINS {
        assert_eq!(deployment.holder(domain), None);
    }
    for host in deployment.held("engines", DOMAINS[2]) {
        deployment.site.cloud.lose(&host);
    }
    // Longer than the host list needs to forget them.
    tokio::time::sleep(LEASE_OVER).await;
    assert_eq!(deployment.site.cloud.purchases(), []);
    log.change(|knobs| knobs.outage = Outage::None);
    check_replaced(&deployment).await;
}

// Symptom: an engine loads and unloads in turns, as two nodes order.
// Sequence: a later holder has ordered the engine; an order of an earlier one arrives.
// Cause: an engine that cannot tell the two apart, or a controller that does not say who it is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stale_order_is_refused_by_an_engine_that_checks() {
    for checks in [true, false] {
        let mut document = document();
        document["pools"][0]["kind"]["engine"]["checks_orders"] = checks.into();
        let deployment = Deployment::start(&document.to_string()).await;
        let host = deployment.held("engines", DOMAINS[0]).swap_remove(0);
        let address = deployment.engine_address(&host);
        let order = json!({
            "order": { "kind": "unload_model", "model": MODEL, "version": "1" },
            "fencing": NEWER,
        });
        ask("POST", address, "/v1/orders", &order.to_string()).await;
        tokio::time::sleep(ROUNDS).await;
        let state = ask("GET", address, "/v1/state", "").await;
        let loaded = state["models"].as_array().map_or(0, Vec::len);
        assert_eq!(loaded, usize::from(!checks), "{state}");
    }
}

async fn ask(method: &str, at: std::net::SocketAddr, path: &str, body: &str) -> Value {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"))
        .body(http_body_util::Full::new(body.to_owned().into()))
        .expect("a valid request");
    let answer = HttpClient::new().fetch(request, PATIENCE_MS).await;
    let answer = answer.expect("the engine answers");
    serde_json::from_slice(&answer.body).expect("the engine answers JSON")
}
