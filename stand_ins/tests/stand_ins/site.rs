//! A whole site, its weight store and its history.

use serde_json::json;
use teaselline_stand_ins::{
    EngineSettings, ServiceSettings, Site, SiteSettings, Weights, WeightsSettings,
    cloud::Reclaim,
    site::{PoolKind, SiteClass, SiteDomain, SiteHosts, SitePool},
};

use crate::client::{call, call_with};

fn settings() -> SiteSettings {
    let domains = ["otaru-vault", "sapporo-lab"];
    let pool = |name: &str, kind| SitePool {
        name: name.to_owned(),
        kind,
        hosts: domains
            .map(|domain| SiteHosts {
                failure_domain: domain.to_owned(),
                host_class: "spot".to_owned(),
                count: 2,
            })
            .to_vec(),
    };
    SiteSettings {
        failure_domains: domains
            .map(|name| SiteDomain {
                name: name.to_owned(),
                price_factor: 1.5,
            })
            .to_vec(),
        host_classes: vec![SiteClass {
            name: "spot".to_owned(),
            speed: 1.0,
            price_per_hour: 2.0,
            reclaimable: true,
        }],
        pools: vec![
            pool("models", PoolKind::Engines(EngineSettings::default())),
            pool("catalogue", PoolKind::Services(ServiceSettings::default())),
        ],
        ..SiteSettings::default()
    }
}

#[tokio::test]
async fn a_site_lists_its_hosts_and_starts_purchased_ones() {
    let site = Site::start(settings()).await.unwrap();
    let at = site.cloud.address();
    let list = call(at, "GET", "/v1/hosts", "").await.unwrap().json();
    assert_eq!(list["hosts"].as_array().unwrap().len(), 8);
    let prices = call(at, "GET", "/v1/prices", "").await.unwrap().json();
    assert_eq!(prices["prices"][0]["price_per_hour"], 3.0);
    let body = json!({
        "purchase": "p", "host_class": "spot", "failure_domain": "sapporo-lab", "pool": "models"
    });
    let bought = call(at, "POST", "/v1/purchases", &body.to_string())
        .await
        .unwrap()
        .json();
    assert_eq!(bought["host"], "h-9");
    while site.cloud.purchases()[0].state != "live" {
        tokio::task::yield_now().await;
    }
    let engine = site.upstream("h-9").unwrap();
    assert_eq!(
        call(engine.address(), "GET", "/v1/load", "")
            .await
            .unwrap()
            .status,
        200
    );
}

#[tokio::test]
async fn a_reclaim_kills_a_failure_domain_but_not_its_history() {
    let site = Site::start(settings()).await.unwrap();
    let service = site.upstream("h-5").unwrap();
    for attempt in ["Attempt: q.1\r\n", "Attempt: q.2\r\n", "Attempt: s.1\r\n"] {
        call_with(service.address(), "POST", "/log", attempt, "reel")
            .await
            .unwrap();
    }
    let leaving = site
        .cloud
        .announce_reclaim(&Reclaim::Domain("otaru-vault".to_owned()), 0);
    assert_eq!(leaving, ["h-1", "h-2", "h-5", "h-6"]);
    while call(service.address(), "GET", "/healthz", "")
        .await
        .is_some()
    {
        tokio::task::yield_now().await;
    }
    let history = site.history();
    assert_eq!(history.by_request()["q"].len(), 2);
    assert_eq!((history.doubled(), history.has_run("s")), (vec!["q"], true));
}

// Symptom: a night's report is computed twice. Sequence: an attempt ends early, the next one
// starts from nothing instead of going on. Cause: the tokens so far were not given as a prefix.
#[tokio::test]
async fn the_history_tells_a_restart_from_a_resumption() {
    let site = Site::start(settings()).await.unwrap();
    let engines = [site.upstream("h-1").unwrap(), site.upstream("h-2").unwrap()];
    let run = async |engine: usize, attempt: &str, prefix: &str, position: u64, max_tokens: u64| {
        let body = json!({
            "attempt": attempt, "model": "m", "prompt": "p".repeat(40), "prefix": prefix,
            "position": position, "max_tokens": max_tokens,
        });
        let at = engines[engine].address();
        call(at, "POST", "/v1/streams", &body.to_string())
            .await
            .unwrap()
            .text()
    };
    let part = run(0, "resumed.1", "", 0, 3).await;
    run(1, "resumed.2", &part, 3, 6).await;
    assert!(site.history().doubled().is_empty());
    // The prompt's 10 tokens and the prefix's 3 were computed on the second engine.
    assert_eq!(site.history().recomputed_tokens(), 13);
    run(0, "restarted.1", "", 0, 3).await;
    run(1, "restarted.2", "", 0, 6).await;
    assert_eq!(site.history().doubled(), ["restarted"]);
    assert_eq!(site.history().recomputed_tokens(), 26);
}

#[tokio::test]
async fn the_weight_store_keeps_its_rate() {
    let settings = WeightsSettings {
        tickets_per_second: 1e-3,
        burst: 1.0,
        ..WeightsSettings::default()
    };
    let weights = Weights::start(settings).await.unwrap();
    let body = json!({ "model": "m", "version": "2", "host": "h-1" }).to_string();
    let given = call(weights.address(), "POST", "/v1/tickets", &body)
        .await
        .unwrap();
    assert_eq!(
        (given.status, &given.json()["ticket"]),
        (200, &json!("t-1"))
    );
    let refused = call(weights.address(), "POST", "/v1/tickets", &body)
        .await
        .unwrap();
    assert_eq!(refused.status, 429);
    assert!(refused.json()["retry_after_ms"].as_u64().unwrap() > 900_000);
    assert_eq!(weights.tickets().len(), 1);
}
