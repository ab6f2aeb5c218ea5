//! What is held follows the document, and nothing else moves.

use crate::site::{Deployment, ENGINES, ROUNDS, document, until};
use crate::trial::DOMAINS;

const SAMPLES: [&str; 2] = [
    include_str!("../../sample_configs/valid/kitagawa.json"),
    include_str!("../../sample_configs/valid/keg.json"),
];

// Symptom: hosts are bought, drained or ordered about although nothing has changed.
// Sequence: nodes start before a site that holds just what the document says.
// Cause: a decision on a host table that is not filled yet, or one that does not come to rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_full_site_is_left_alone() {
    for sample in SAMPLES {
        let deployment = Deployment::start(sample).await;
        tokio::time::sleep(ROUNDS).await;
        let cloud = &deployment.site.cloud;
        assert_eq!(cloud.purchases(), []);
        assert!(cloud.hosts().iter().all(|host| host.gone_ms.is_none()));
        assert_eq!(deployment.site.weights.tickets(), []);
        for started in &deployment.nodes {
            let node = &started.node;
            let now = node.core.clock.now();
            node.core.blackboard.for_each_host(|row| {
                let upstreams = &node.core.blackboard.upstreams;
                assert!(!upstreams.with(row.key, |row| row.is_draining(now)));
            });
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_document_with_more_hosts_gets_them_and_one_with_fewer_drains_them() {
    let deployment = Deployment::start(&document().to_string()).await;
    let mut more = document();
    more["pools"][0]["hosts"][1]["count"] = (ENGINES + 1).into();
    let revision = deployment.nodes[0].node.revision();
    let revision = deployment.change(revision, &more.to_string()).await;
    let held = |count: u32| deployment.held("engines", DOMAINS[1]).len() == count as usize;
    until("a third engine", || held(ENGINES + 1)).await;
    deployment.change(revision, &document().to_string()).await;
    until("the third engine to be given back", || held(ENGINES)).await;
    tokio::time::sleep(ROUNDS).await;
    assert_eq!(deployment.engines(), DOMAINS.len() * ENGINES as usize);
    assert_eq!(deployment.site.cloud.purchases().len(), 1);
}
