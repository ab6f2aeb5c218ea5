//! Tests of the controller against a simulated cloud with faults.

use super::super::*;
use super::simulated_cloud::*;
use crate::keys::{DomainKey, HostKey};

const STREAMS: f64 = 85.0;
const MINUTE_MS: u64 = 60_000;

/// Returns a cloud whose pool has settled on the hosts for `STREAMS`.
///
/// Ten hosts serve the streams; the pool holds more, so that ten remain after the loss of any
/// failure domain.
fn settled_cloud() -> SimulatedCloud {
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.run(5 * MINUTE_MS);
    cloud
}

#[test]
fn settled_pool_gets_no_further_orders() {
    let mut cloud = settled_cloud();
    assert!(cloud.slots_after_loss() * 0.85 >= STREAMS);
    let bought = cloud.hosts.len();
    // 14 hosts in four failure domains leave 10 after the loss of one; 3 of the 14 are on demand.
    assert_eq!((bought, cloud.active_hosts_of_class(ON_DEMAND)), (14, 3));
    cloud.run_with_check(10 * MINUTE_MS, |cloud| assert_eq!(cloud.orders, []));
}

#[test]
fn refused_starts_back_off_and_hosts_are_bought_elsewhere() {
    // One failure domain has no spot hosts for an hour. If each round repeats the same start and
    // tries no other offer, refused starts exhaust the cloud's rate limit and capacity is missing.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.refused = vec![(SPOT, DomainKey(0))];
    cloud.run(5 * MINUTE_MS);
    assert!(cloud.slots_after_loss() * 0.85 >= STREAMS);
    cloud.step_ms = 10 * STEP_MS;
    cloud.run(60 * MINUTE_MS);
    assert!(cloud.refused_starts <= 24, "{}", cloud.refused_starts);
    assert_eq!(
        cloud.active_hosts().len(),
        cloud.hosts.len(),
        "every host bought is still held"
    );
}

#[test]
fn lost_response_causes_no_duplicate_or_unknown_host() {
    // A purchase takes effect, its response is lost and the controller retries it. A retry under a
    // new id buys a second host, and more hosts are billed than the controller knows of.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.lost_response_interval = Some(2);
    cloud.faults.list_lag_ms = 30_000;
    cloud.run(10 * MINUTE_MS);
    assert_eq!(cloud.hosts.len(), 14);
    let mut names: Vec<PurchaseId> = cloud.hosts.iter().map(|host| host.purchase).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 14);
}

#[test]
fn delayed_purchase_is_not_bought_twice() {
    // A purchase is delayed in transit, the controller retries it, and both requests arrive. If the
    // retry has a different id, two hosts are bought for one need.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.request_delay_ms = 5_000;
    cloud.run(5 * MINUTE_MS);
    assert_eq!(cloud.hosts.len(), 14);
}

#[test]
fn new_lease_holder_waits_for_purchases_in_flight() {
    // Purchases of the lease holder are in flight when the lease moves. If the successor lists the
    // purchases before they arrive, it buys the same hosts again.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.request_delay_ms = 1_500;
    cloud.run(STEP_MS);
    assert_eq!(cloud.hosts.len(), 0);
    cloud.lease.fencing = 8;
    cloud.lease.since_ms = cloud.now;
    cloud.requested_purchases = 0;
    cloud.asks.clear();
    cloud.faults.request_delay_ms = 0;
    cloud.run(5 * MINUTE_MS);
    assert_eq!(cloud.hosts.len(), 14);
}

#[test]
fn hosts_under_notice_are_replaced_immediately_in_other_domains() {
    // The spot hosts of a failure domain are put under notice. If they count as held until they are
    // gone, or are bought again in the same domain, hosts are missing afterwards and starts are
    // refused.
    let mut cloud = settled_cloud();
    cloud.reclaim(DomainKey(0), MINUTE_MS);
    let leaving = cloud
        .active_hosts()
        .iter()
        .filter(|host| host.leave_at_ms.is_some())
        .count();
    assert!(leaving > 0);
    let bought = cloud.hosts.len();
    cloud.run(30 * STEP_MS);
    assert!(cloud.hosts.len() >= bought + leaving);
    let repurchased = cloud.hosts[bought..].iter();
    let repurchased = repurchased
        .filter(|host| (host.purchase.class, host.purchase.domain) == (SPOT, DomainKey(0)));
    assert_eq!(repurchased.count(), 0);
}

#[test]
fn lagging_host_list_causes_no_additional_purchase() {
    // The host list does not show bought hosts for a minute. If each round counts listed hosts
    // only, it buys the missing ones again, several times the hosts needed.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.list_lag_ms = MINUTE_MS;
    cloud.run(10 * MINUTE_MS);
    assert_eq!(cloud.hosts.len(), 14);
}

#[test]
fn mass_reclaim_during_purchases_is_compensated() {
    // The spot hosts of a failure domain are put under notice while purchases for a rise in demand
    // are in progress, and the domain refuses starts. If hosts under notice count as held, or if
    // the controller waits for starts in that domain, the pool remains short of hosts.
    let mut cloud = settled_cloud();
    cloud.streams = 150.0;
    cloud.run(3 * STEP_MS);
    cloud.reclaim(DomainKey(0), 10_000);
    cloud.faults.refused = vec![(SPOT, DomainKey(0)), (ON_DEMAND, DomainKey(0))];
    // Hosts starting in other domains must not be released for temporarily cheaper ones.
    cloud.run(START_MS + LOAD_MS + 20 * STEP_MS);
    assert!(cloud.slots_after_loss() * 0.85 >= 150.0);
    cloud.run(3 * MINUTE_MS);
    cloud.faults.refused.clear();
    cloud.step_ms = 10 * STEP_MS;
    cloud.run(120 * MINUTE_MS);
    assert!(cloud.slots_after_loss() * 0.85 >= 150.0);
}

#[test]
fn new_lease_holder_counts_purchases_of_its_predecessor() {
    // The lease holder fails after its purchases, before the host list shows the hosts. A successor
    // that relies on the host list alone buys the same hosts again.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.faults.list_lag_ms = 30_000;
    cloud.run(2 * STEP_MS);
    let bought = cloud.hosts.len();
    assert_eq!(bought, 14);
    cloud.lease.fencing = 8;
    cloud.lease.since_ms = cloud.now;
    cloud.requested_purchases = 0;
    cloud.asks.clear();
    // The purchases of the predecessor are unknown until they are listed.
    cloud.faults.is_purchase_list_unavailable = true;
    cloud.run(10 * STEP_MS);
    cloud.faults.is_purchase_list_unavailable = false;
    cloud.run(5 * MINUTE_MS);
    assert_eq!(cloud.hosts.len(), 14);
}

#[test]
fn expired_lease_permits_no_orders_and_log_outage_only_idempotent_ones() {
    // The lease holder is paused beyond the expiry of its lease and then continues. If it does not
    // check the time again, two controllers buy hosts for the same need.
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.lease.ends_at_ms = cloud.now.after(1_500);
    cloud.run(STEP_MS);
    assert_eq!(cloud.orders, []);
    let mut cloud = settled_cloud();
    cloud.lease.ends_at_ms = cloud.now;
    cloud.lease.is_log_reachable = false;
    cloud.document.models[0].version = "2".to_owned();
    cloud.streams = 150.0;
    cloud.run(3 * STEP_MS);
    assert_eq!(cloud.hosts.len(), 14);
    assert!(
        cloud
            .orders
            .iter()
            .all(|order| matches!(order, Order::Load { .. } | Order::Unload { .. }))
    );
    assert!(cloud.hosts.iter().any(|host| host.models.len() == 2));
}

#[test]
fn fluctuating_demand_and_prices_cause_no_thrashing() {
    // Demand and prices fluctuate by a few per cent each minute. If each small change makes another
    // mix the cheapest, hosts are constantly bought and released.
    let mut cloud = settled_cloud();
    for minute in 0..60_u32 {
        let swing = f64::from(minute % 3) - 1.0;
        cloud.streams = STREAMS + swing;
        cloud.prices = [(SPOT, 0), (SPOT, 1), (SPOT, 2), (SPOT, 3)]
            .map(|(class, domain)| Price {
                class,
                domain: DomainKey(domain),
                price_per_hour: 1.0 + swing * 0.03 * f64::from(domain),
            })
            .to_vec();
        cloud.step_ms = 10 * STEP_MS;
        cloud.run(MINUTE_MS);
    }
    assert!(cloud.hosts.len() <= 16, "{} bought", cloud.hosts.len());
}

#[test]
fn surplus_hosts_are_drained_and_released() {
    let mut cloud = settled_cloud();
    cloud.streams = 42.0;
    let mut drained_before = true;
    cloud.step_ms = 10 * STEP_MS;
    cloud.run_with_check(60 * MINUTE_MS, |cloud| {
        for host in cloud
            .hosts
            .iter()
            .filter(|host| host.ended_at_ms == Some(cloud.now))
        {
            drained_before &= host.draining_since_ms.is_some();
        }
    });
    assert!(drained_before);
    assert!(
        cloud.active_hosts().len() <= 8,
        "{}",
        cloud.active_hosts().len()
    );
    assert!(cloud.slots_after_loss() * 0.85 >= 42.0);
}

#[test]
fn migration_to_another_provider_keeps_capacity() {
    // The document replaces a class by that of another provider. If hosts are counted whether or
    // not they serve, old hosts are released before new ones serve, and callers have to wait.
    let mut cloud = settled_cloud();
    cloud.document.pools[0].host_classes = vec![ON_DEMAND, SPOT_OF_B];
    cloud.step_ms = 10 * STEP_MS;
    cloud.run_with_check(120 * MINUTE_MS, |cloud| {
        assert!(cloud.slots_after_loss() * 0.85 >= STREAMS);
    });
    assert_eq!(cloud.active_hosts_of_class(SPOT), 0);
    assert_eq!(cloud.active_hosts().len(), 14);
}

#[test]
fn rolling_update_of_a_version_keeps_capacity() {
    // If the unload of the old version does not depend on the load of the new one, all hosts unload
    // the old version first, and requests for the model are refused during its update.
    let mut cloud = settled_cloud();
    cloud.document.models[0].version = "2".to_owned();
    let mut most_at_once = 0;
    cloud.run_with_check(5 * MINUTE_MS, |cloud| {
        assert!(cloud.slots_after_loss() * 0.85 >= STREAMS);
        let loading = cloud.hosts.iter().filter(|host| {
            host.models
                .iter()
                .any(|(_, loaded_at_ms)| *loaded_at_ms > cloud.now)
        });
        most_at_once = most_at_once.max(loading.count());
    });
    let present = ModelVersion::of("m", "2");
    for host in cloud.active_hosts() {
        let versions: Vec<ModelVersion> =
            host.models.iter().map(|(held, _)| held.version).collect();
        assert_eq!(versions, [present]);
    }
    assert!(most_at_once <= 4, "{most_at_once}");
}

#[test]
fn loads_are_limited_by_the_weight_store_bandwidth() {
    let mut cloud = SimulatedCloud::new(STREAMS);
    // A backlog of ten seconds at 2 GB/s holds two models of 10 GB.
    cloud.weights_bytes_per_second = 2e9;
    let mut most_at_once = 0;
    cloud.run_with_check(5 * MINUTE_MS, |cloud| {
        let loading = cloud.hosts.iter().flat_map(|host| &host.models);
        let loading = loading.filter(|(_, loaded_at_ms)| *loaded_at_ms > cloud.now);
        most_at_once = most_at_once.max(loading.count());
    });
    assert_eq!(most_at_once, 2);
    assert!(cloud.slots_after_loss() * 0.85 >= STREAMS);
}

#[test]
fn unresponsive_host_is_replaced_but_a_partitioned_domain_is_kept() {
    // A failure domain is unreachable for a quarter of an hour. If each of its hosts is treated as
    // failed, like a single unresponsive host, a network partition releases the whole domain.
    let mut cloud = settled_cloud();
    let since_ms = cloud.now;
    let failed = cloud.hosts[0].host;
    cloud.hosts[0].failing_since_ms = Some(since_ms);
    cloud.run(15 * MINUTE_MS);
    assert!(cloud.hosts[0].ended_at_ms.is_some(), "{failed:?}");
    assert_eq!(cloud.active_hosts().len(), 14);
    let in_partition = |host: &&mut SimulatedHost| host.purchase.domain == DomainKey(1);
    for host in cloud.hosts.iter_mut().filter(in_partition) {
        host.failing_since_ms = Some(since_ms);
    }
    let bought = cloud.hosts.len();
    cloud.run(15 * MINUTE_MS);
    assert_eq!(
        (cloud.active_hosts().len(), cloud.hosts.len()),
        (14, bought)
    );
}

#[test]
fn host_of_a_removed_class_is_drained_and_released() {
    // An operator removes a class from the document while hosts of the class are held. As the
    // document no longer contains them, the hosts would be billed but shown on no page.
    let mut cloud = settled_cloud();
    let host = HostKey(99);
    let orphan = OrphanedHost {
        host,
        running: 0,
        load_as_of_ms: cloud.now,
        draining_since_ms: None,
    };
    cloud.strangers = vec![orphan];
    cloud.run(STEP_MS);
    assert_eq!(cloud.orders, [Order::Drain { host }]);
    cloud.strangers[0].draining_since_ms = Some(cloud.now);
    cloud.run(STEP_MS);
    assert_eq!(
        cloud.orders,
        [Order::Drain { host }],
        "a load report from before the drain must not release the host"
    );
    cloud.strangers[0].load_as_of_ms = cloud.now.after(10_000);
    let end_ms = cloud.now.after(10_000);
    cloud.now = end_ms;
    cloud.run(STEP_MS);
    assert_eq!(cloud.orders, [Order::GiveBack { host }]);
}

#[test]
fn batch_gets_its_share_of_hosts_but_none_when_capacity_is_short() {
    let mut cloud = settled_cloud();
    cloud.batch_part = 0.3;
    cloud.run(MINUTE_MS);
    let batch = |cloud: &SimulatedCloud| {
        let active_hosts = cloud.active_hosts();
        active_hosts
            .iter()
            .filter(|host| host.role == Role::Batch)
            .count()
    };
    assert_eq!(batch(&cloud), 4);
    cloud.streams = 150.0;
    cloud.run(STEP_MS);
    assert_eq!(batch(&cloud), 0);
}

#[test]
fn pool_without_forecast_holds_the_host_counts_of_the_document() {
    let mut cloud = SimulatedCloud::new(STREAMS);
    cloud.has_forecast = false;
    cloud.run(5 * MINUTE_MS);
    for domain in (0..4).map(DomainKey) {
        let active_hosts = cloud.active_hosts();
        let here = active_hosts
            .iter()
            .filter(|host| host.purchase.domain == domain);
        assert_eq!(here.count(), 3);
    }
    assert_eq!(cloud.active_hosts_of_class(SPOT), 12);
}
