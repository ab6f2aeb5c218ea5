//! The cloud's list, notices, purchases and reclaims.

use serde_json::json;
use teaselline_stand_ins::cloud::{Cloud, CloudSettings, HostEvent, HostSpec, Price, Reclaim};

use crate::client::call;

fn spec(host: &str, failure_domain: &str) -> HostSpec {
    HostSpec {
        host: host.to_owned(),
        failure_domain: failure_domain.to_owned(),
        host_class: "spot".to_owned(),
        pool: "models".to_owned(),
    }
}

async fn cloud() -> Cloud {
    let price = |failure_domain: &str| Price {
        host_class: "spot".to_owned(),
        failure_domain: failure_domain.to_owned(),
        price_per_hour: 3.6e6,
        reclaimable: true,
    };
    let prices = vec![price("hala-a"), price("hala-b")];
    Cloud::start(CloudSettings {
        prices,
        ..CloudSettings::default()
    })
    .await
    .unwrap()
}

#[tokio::test]
async fn a_reclaim_takes_a_failure_domain_after_its_notice() {
    let cloud = cloud().await;
    let mut events = cloud.take_events().unwrap();
    cloud.register(spec("h-1", "hala-a"), cloud.address());
    cloud.register(spec("h-2", "hala-b"), cloud.address());
    cloud.change(|knobs| knobs.list_lag_ms = 60_000);
    let poll = call(
        cloud.address(),
        "GET",
        "/v1/notices?from=0&wait_ms=30000",
        "",
    );
    let (notices, leaving) = tokio::join!(poll, async {
        cloud.announce_reclaim(&Reclaim::Domain("hala-a".to_owned()), 20)
    });
    assert_eq!(leaving, ["h-1"]);
    let notices = notices.unwrap().json();
    assert_eq!(
        (&notices["notices"][0]["host"], &notices["next"]),
        (&json!("h-1"), &json!(1))
    );
    assert_eq!(
        events.recv().await,
        Some(HostEvent::Stop {
            host: "h-1".to_owned()
        })
    );
    let list = call(cloud.address(), "GET", "/v1/hosts", "")
        .await
        .unwrap()
        .json();
    // The list lags by a minute, so it shows the host as live.
    assert_eq!(
        (&list["hosts"][0]["host"], &list["hosts"][0]["state"]),
        (&json!("h-1"), &json!("live"))
    );
}

// Symptom: two hosts are paid for where one was wanted. Sequence: a purchase takes effect, its
// answer is lost, the client buys again. Cause: the second purchase has another id.
#[tokio::test]
async fn a_repeated_purchase_gives_the_host_it_gave_before() {
    let cloud = cloud().await;
    let mut events = cloud.take_events().unwrap();
    cloud.change(|knobs| knobs.lose_answer_probability = 1.0);
    let body = json!({
        "purchase": "p-1", "host_class": "spot", "failure_domain": "hala-a", "pool": "models"
    })
    .to_string();
    assert!(
        call(cloud.address(), "POST", "/v1/purchases", &body)
            .await
            .is_none()
    );
    let again = call(cloud.address(), "POST", "/v1/purchases", &body)
        .await
        .unwrap();
    assert_eq!(
        (again.status, again.json()),
        (201, json!({ "host": "h-1" }))
    );
    assert_eq!(
        events.recv().await,
        Some(HostEvent::Start(spec("h-1", "hala-a")))
    );
    cloud.started("h-1", cloud.address());
    assert_eq!(cloud.purchases()[0].state, "live");
    let deleted = call(cloud.address(), "DELETE", "/v1/hosts/h-1", "")
        .await
        .unwrap();
    assert_eq!((deleted.status, cloud.purchases()[0].state), (204, "ended"));
    let host = &cloud.hosts()[0];
    let held_ms = host.gone_ms.unwrap() - host.held_ms;
    assert_eq!(format!("{:.3}", cloud.cost()), format!("{held_ms}.000"));
}

#[tokio::test]
async fn a_refused_purchase_has_no_effect() {
    let cloud = cloud().await;
    cloud.change(|knobs| knobs.exhausted_domains = vec!["hala-a".to_owned()]);
    let body = json!({
        "purchase": "p-1", "host_class": "spot", "failure_domain": "hala-a", "pool": "models"
    })
    .to_string();
    let refused = call(cloud.address(), "POST", "/v1/purchases", &body)
        .await
        .unwrap();
    assert_eq!(
        (refused.status, refused.json()),
        (409, json!({ "error": "no_capacity" }))
    );
    assert!(cloud.hosts().is_empty());
}
