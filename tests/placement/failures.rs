//! Hosts that go, and a cloud that refuses or loses its answers.

use teaselline_stand_ins::cloud::Reclaim;

use crate::site::{Deployment, ENGINES, ROUNDS, document, until};
use crate::trial::DOMAINS;

const NOTICE_MS: u64 = 3_000;

// Symptom: a failure domain stays empty after its hosts were reclaimed, or twice as many come.
// Sequence: all reclaimable hosts of a failure domain get notice.
// Cause: hosts under notice counted as held, or each round buying for the same need.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reclaimed_hosts_are_replaced_once() {
    let deployment = Deployment::start(&document().to_string()).await;
    let reclaim = Reclaim::Domain(DOMAINS[0].to_owned());
    let reclaimed = deployment.site.cloud.announce_reclaim(&reclaim, NOTICE_MS);
    let held = || deployment.held("engines", DOMAINS[0]).len() == ENGINES as usize;
    until("replacements", held).await;
    tokio::time::sleep(ROUNDS).await;
    assert!(held());
    let engines = reclaimed.len().min(ENGINES as usize);
    let bought = deployment.site.cloud.purchases();
    let bought = bought.iter().filter(|p| p.purchase.contains("/engines/"));
    assert_eq!(bought.count(), engines);
}

// Symptom: more hosts on the bill than the document names, or one that nobody uses.
// Sequence: hosts are lost; the purchases of others take effect, but their answers do not come.
// Cause: asking again under another name, or forgetting what was asked for.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn purchases_whose_answers_are_lost_are_made_once() {
    let deployment = Deployment::start(&document().to_string()).await;
    let cloud = &deployment.site.cloud;
    cloud.change(|knobs| {
        knobs.lose_answer_probability = 0.8;
        knobs.list_lag_ms = 2_000;
    });
    let lost = deployment.held("engines", DOMAINS[1]);
    assert_eq!(lost.len(), ENGINES as usize);
    for host in &lost {
        cloud.lose(host);
    }
    let whole = DOMAINS.len() * ENGINES as usize;
    until("replacements", || deployment.engines() == whole).await;
    tokio::time::sleep(ROUNDS).await;
    assert_eq!(deployment.engines(), whole);
    let held = cloud.purchases();
    assert_eq!(
        held.iter().filter(|p| p.state != "ended").count(),
        lost.len()
    );
}

// Symptom: a pool stays short for as long as one failure domain has no host to sell.
// Sequence: a failure domain's engines are lost; no class that the pool may use is to be had there.
// Cause: each failure domain's count looked at by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn starts_refused_in_one_domain_are_made_in_others() {
    let mut only_reclaimable = document();
    only_reclaimable["pools"][0]["host_classes"] = serde_json::json!(["engine"]);
    let deployment = Deployment::start(&only_reclaimable.to_string()).await;
    let cloud = &deployment.site.cloud;
    cloud.change(|knobs| knobs.exhausted_domains = vec![DOMAINS[0].to_owned()]);
    for host in deployment.held("engines", DOMAINS[0]) {
        cloud.lose(&host);
    }
    let whole = DOMAINS.len() * ENGINES as usize;
    until("engines elsewhere", || deployment.engines() >= whole).await;
    assert_eq!(deployment.held("engines", DOMAINS[0]), Vec::<String>::new());
}
