use super::*;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change as UpstreamChange, UpstreamTable};

/// The number of upstreams of the pool in these tests.
const KNOWN: usize = 18;

fn keys() -> Vec<UpstreamKey> {
    let mut table = UpstreamTable::default();
    let ids = ["a", "b", "c"];
    let applied = ids.map(|id| {
        let present = UpstreamChange::Present(announced(id, "pool", "d"));
        table.apply(present, false, TimeMs(1)).expect("known")
    });
    applied.to_vec()
}

fn lost(at: TimeMs) -> PoolReach {
    let mut reach = PoolReach::default();
    let keys = keys();
    let first = TimeMs(at.0 - MIN_LOSS_MS);
    let change = reach.record_unreachable(keys[0], KNOWN, first);
    assert_eq!(change, Some(Change::Suspected));
    let change = reach.record_unreachable(keys[1], KNOWN, at);
    assert_eq!(change, Some(Change::Lost));
    reach
}

/// Guards against a node that goes on trying one upstream after another although it reaches none.
#[test]
fn pool_is_lost_when_two_upstreams_are_unreachable_without_contact_in_between() {
    let reach = lost(TimeMs(10_000));
    assert!(reach.is_lost());
    assert!((0..RETURN_MS).all(|draw| !reach.serves_itself(draw, TimeMs(20_000))));
}

/// Guards against a node that sends its requests away because one upstream has crashed.
#[test]
fn one_unreachable_upstream_or_failures_with_contact_in_between_lose_no_pool() {
    let keys = keys();
    let mut reach = PoolReach::default();
    for at in 0..5 {
        reach.record_unreachable(keys[0], KNOWN, TimeMs(10_000 + at * 100));
    }
    reach.record_response();
    let now = TimeMs(11_000);
    reach.record_unreachable(keys[1], KNOWN, now);
    assert_eq!(reach.record_connected(now), None);
    reach.record_unreachable(keys[2], KNOWN, now);
    let later = TimeMs(11_000 + FAILURE_TTL_MS);
    reach.record_unreachable(keys[0], KNOWN, later);
    assert!(!reach.is_lost());
    assert!(reach.serves_itself(0, later));
}

#[test]
fn pool_with_one_upstream_is_lost_with_it() {
    let mut reach = PoolReach::default();
    let only = keys()[0];
    reach.record_unreachable(only, 1, TimeMs(10_000));
    let change = reach.record_unreachable(only, 1, TimeMs(10_000 + MIN_LOSS_MS));
    assert_eq!(change, Some(Change::Lost));
}

/// Guards against requests on connections that live on while new ones are refused, which would end
/// the loss at each response.
#[test]
fn response_does_not_end_the_loss_of_a_pool() {
    let mut reach = lost(TimeMs(10_000));
    reach.record_response();
    assert!(reach.is_lost());
    let change = reach.record_connected(TimeMs(12_500));
    assert_eq!(change, Some(Change::Regained { after_ms: 2_500 }));
}

/// Guards against a herd onto the upstreams when a link heals, and against a link that heals for a
/// moment.
#[test]
fn regained_pool_is_used_gradually_and_lost_again_with_the_first_failure() {
    let mut reach = lost(TimeMs(10_000));
    reach.record_connected(TimeMs(20_000));
    let serving = |reach: &PoolReach, now: u64| {
        let draws = 0..RETURN_MS;
        draws
            .filter(|draw| reach.serves_itself(*draw, TimeMs(now)))
            .count()
    };
    assert_eq!(serving(&reach, 20_000), 0);
    assert_eq!(serving(&reach, 20_500), 500);
    assert_eq!(serving(&reach, 21_000), 1_000);
    reach.record_unreachable(keys()[2], KNOWN, TimeMs(20_600));
    let later = TimeMs(20_600 + MIN_LOSS_MS);
    let change = reach.record_unreachable(keys()[2], KNOWN, later);
    assert_eq!(change, Some(Change::Lost));
}

/// Guards against a node with few requests that notices the loss of a pool only with its next ones.
#[test]
fn first_failure_asks_for_a_connection_to_another_upstream() {
    let keys = keys();
    let mut reach = PoolReach::default();
    let now = TimeMs(10_000);
    let change = reach.record_unreachable(keys[0], KNOWN, now);
    assert_eq!(change, Some(Change::Suspected));
    assert!(reach.is_suspected());
    assert!(reach.has_failed(keys[0]) && !reach.has_failed(keys[1]));
    assert_eq!(reach.record_unreachable(keys[0], KNOWN, now), None);
    let change = reach.record_unreachable(keys[1], KNOWN, now.after(MIN_LOSS_MS));
    assert_eq!(change, Some(Change::Lost));
    assert!(!reach.is_suspected());
}

/// Guards against nodes that take their pool for lost, and send their requests to each other, when a
/// quarter of its upstreams crash and refuse connections at once.
#[test]
fn upstreams_that_crash_together_do_not_lose_a_pool_that_others_serve() {
    let keys = keys();
    let mut reach = PoolReach::default();
    for at in 0..50 {
        let now = TimeMs(10_000 + at * 100);
        for key in &keys {
            assert_ne!(
                reach.record_unreachable(*key, KNOWN, now),
                Some(Change::Lost)
            );
        }
        reach.record_response();
        reach.record_unreachable(keys[0], KNOWN, now.after(50));
        assert_eq!(reach.record_connected(now.after(60)), None);
    }
}
