use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{BuyError, InvalidPurchaseId, PurchaseId, active_purchases, buy};
use crate::coordination::cloud::{Cloud, NewPurchase};
use crate::coordination::fakes::{FakeCloud, OrderFault};
use crate::coordination::leases::FencingToken;
use crate::time::Clock;

fn id(buyer: &str, fencing: u64, number: u64) -> PurchaseId {
    PurchaseId {
        buyer: buyer.to_owned(),
        fencing: FencingToken(fencing),
        number,
    }
}

async fn order(cloud: &FakeCloud, id: &PurchaseId, left_ms: u64) -> Result<String, BuyError> {
    let order = NewPurchase {
        purchase: id.to_string(),
        host_class: "gpu-small".to_owned(),
        failure_domain: "hala-a".to_owned(),
        pool: "engines".to_owned(),
    };
    let clock = Clock::new();
    let mut rng = SmallRng::seed_from_u64(1);
    buy(cloud, &order, clock.now().after(left_ms), clock, &mut rng).await
}

/// Guards against a host that is bought twice, and against a host that is paid for and never used:
/// the response to an order is lost after or before the order took effect, which look alike.
#[tokio::test]
async fn lost_responses_buy_one_host() {
    let cloud = FakeCloud::new();
    cloud.add_faults([OrderFault::LostResponse]);
    let first = order(&cloud, &id("hala-a", 7, 1), 10_000).await;
    assert_eq!(first.ok().as_deref(), Some("h-1"));
    assert_eq!(cloud.orders(), 1, "the purchase is read back, not repeated");

    cloud.add_faults([OrderFault::LostRequest, OrderFault::Rejected]);
    let second = order(&cloud, &id("hala-a", 7, 2), 10_000).await;
    assert_eq!(second.ok().as_deref(), Some("h-2"));
    assert_eq!(cloud.purchases().await.map_or(0, |held| held.len()), 2);
}

#[tokio::test]
async fn order_without_capacity_fails_without_a_retry() {
    let cloud = FakeCloud::new();
    cloud.add_faults([OrderFault::NoCapacity]);
    let refused = order(&cloud, &id("hala-a", 7, 1), 10_000).await;
    assert!(refused.is_err_and(|error| error.is_no_capacity()));
    assert_eq!(cloud.orders(), 1);
}

/// Guards against hosts that run unused: the buyer fails after its order, and the next holder of
/// the lease finds the purchase only in the cloud's list.
#[tokio::test]
async fn next_holder_finds_earlier_purchases() {
    let cloud = FakeCloud::new();
    for (buyer, fencing) in [("hala-a", 7), ("hala-b", 3), ("hala-a", 9)] {
        let bought = order(&cloud, &id(buyer, fencing, 1), 10_000).await;
        bought.expect("the cloud is available");
    }
    cloud
        .return_host("h-3")
        .await
        .expect("the cloud is available");
    let listed = cloud.purchases().await.expect("the cloud is available");
    let found: Vec<(u64, &str)> = active_purchases(&listed, "hala-a")
        .map(|(id, purchase)| (id.fencing.0, purchase.host.as_str()))
        .collect();
    assert_eq!(found, [(7, "h-1")]);
}

#[test]
fn purchase_ids_are_parsed_as_written() {
    let written = id("placement/hala#a", 12, 3);
    assert_eq!(
        PurchaseId::try_from(written.to_string().as_str()),
        Ok(written)
    );
    for foreign in ["", "h-1", "a#b", "a#1#x", "1#2"] {
        assert_eq!(PurchaseId::try_from(foreign), Err(InvalidPurchaseId));
    }
}
