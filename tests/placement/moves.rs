//! A move of all engines from one provider's hosts to another's, under calls.

use std::sync::Arc;

use serde_json::json;
use teaselline::client::caller::Caller;
use teaselline::options::Secret;

use crate::deployment::url;
use crate::load::{self, Load, Seen};
use crate::site::{Deployment, document, until};
use crate::trial::{CLAIMS, DOMAINS, MODEL, TOKEN};

const OLD: &str = "engine";
const NEW: &str = "engine-tatra";

/// The trial document with one engine in each failure domain, of one provider's class.
fn with_class(class: &str) -> String {
    let mut document = document();
    let mut new = document["host_classes"][0].clone();
    new["name"] = NEW.into();
    new["provider"] = "tatra".into();
    let classes = document["host_classes"].as_array_mut();
    classes.expect("there are classes").push(new);
    let engines = &mut document["pools"][0];
    engines["host_classes"] = json!([class]);
    let hosts = engines["hosts"].as_array_mut().expect("there are hosts");
    for group in hosts {
        group["count"] = 1.into();
    }
    document.to_string()
}

// Symptom: callers get errors or wait while a deployment changes its provider.
// Sequence: the document names another provider's class; its hosts take two seconds to start.
// Cause: old hosts drained or given back before the new ones serve, or with work on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_move_to_another_provider_loses_no_call() {
    let deployment = Deployment::start(&with_class(OLD)).await;
    let cloud = &deployment.site.cloud;
    cloud.change(|knobs| knobs.start_delay_ms = 2_000);
    let nodes = deployment.nodes.iter();
    let urls: Vec<_> = nodes.map(|node| url(node.caller_address)).collect();
    let caller = Arc::new(Caller::new(&urls, Some(Secret::new(TOKEN))).with_seed(1));
    let revision = deployment.nodes[0].node.revision();
    deployment.change(revision, &with_class(NEW)).await;
    let of_class = |class: &str| {
        let hosts = cloud.hosts().into_iter();
        let held = hosts.filter(|host| host.gone_ms.is_none());
        held.filter(|host| host.spec.host_class == class).count()
    };
    let mut seen: Vec<Seen> = Vec::new();
    for seed in 0..60 {
        if of_class(OLD) == 0 {
            break;
        }
        seen.extend(load::run(Arc::clone(&caller), &calls(seed)).await);
    }
    until("the old hosts to be given back", || of_class(OLD) == 0).await;
    seen.extend(load::run(Arc::clone(&caller), &calls(60)).await);
    let tally = load::check(&seen, &deployment.site.history());
    assert!(!tally.is_broken(), "{tally:?}");
    assert_eq!(tally.answered, seen.len() as u64, "{tally:?}");
    assert_eq!(of_class(NEW), DOMAINS.len());
    assert_eq!(cloud.purchases().len(), DOMAINS.len());
}

fn calls(seed: u64) -> Load {
    Load {
        calls: 40,
        at_once: 20,
        service_part: 0.1,
        non_idempotent_part: 0.4,
        model: MODEL.to_owned(),
        service: CLAIMS.to_owned(),
        tokens: (16, 120),
        seed,
    }
}
