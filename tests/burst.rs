//! Calls that arrive together are spread over the hosts that have room.

#[path = "support/deployment.rs"]
mod deployment;

use std::collections::BTreeMap;
use std::sync::Arc;

use deployment::{site_settings, start_nodes, url, wait_until_ready};
use teaselline::client::call::{Call, CallContent};
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::node::change::Proposal;
use teaselline::options::Secret;
use teaselline_stand_ins::site::Site;

const DOCUMENT: &str = include_str!("../sample_configs/valid/kitagawa.json");
const CALLS: usize = 60;

// Symptom: streams wait on one host while others stand idle.
// Sequence: sixty calls reach one node at once; each asks its witness for consent first.
// Cause: a stream is counted on its host only once it is open, after all sixty have chosen.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_that_arrive_together_do_not_queue_on_one_host() {
    let document = Document::parse(DOCUMENT).expect("the sample is valid");
    let site = Site::start(site_settings(&document))
        .await
        .expect("a site starts");
    let nodes = start_nodes(&document, &site, 2).await.expect("nodes start");
    let proposal = Proposal {
        base_revision: 0,
        operator: "kobayashi".to_owned(),
        document: DOCUMENT.to_owned(),
    };
    let revision = nodes[0]
        .node
        .propose(proposal)
        .await
        .expect("the document is accepted");
    assert!(wait_until_ready(&nodes, revision, site.upstreams().len()).await);
    let token = Secret::new("team-colour-sample");
    let caller = Arc::new(Caller::new(&[url(nodes[0].caller_address)], Some(token)));
    let calls = (0..CALLS).map(|index| {
        let caller = Arc::clone(&caller);
        let content = CallContent::Completion {
            model: "newsreel-damage".to_owned(),
            prompt: format!("Reel {index}: list every damaged frame. ").repeat(40),
            max_tokens: 400,
            latency_class: None,
        };
        async move {
            let call = Call::new(content).with_idempotent(false);
            caller.call(&call, |_position, _token| {}).await
        }
    });
    let reports = futures::future::join_all(calls).await;
    assert!(reports.iter().all(|report| report.end.is_answer()));
    let mut streams: BTreeMap<String, usize> = BTreeMap::new();
    for ran in site.history().ran {
        *streams.entry(ran.host).or_default() += 1;
    }
    let least_slots = document
        .host_classes
        .iter()
        .filter(|class| class.prefill_tokens_per_second > 1.0);
    let least_slots = least_slots
        .map(|class| class.slots as usize)
        .min()
        .unwrap_or(0);
    assert!(
        streams.values().all(|count| *count <= least_slots),
        "{streams:?}"
    );
    for node in &nodes {
        node.abort();
    }
}
