use super::*;

/// Guards against a deployment paying for on-demand upstreams in addition to its initial ones at
/// its first start. Nodes and upstreams start together, and the first lease holder must not order
/// before all upstreams had time to announce themselves.
#[test]
fn no_order_before_the_minimum_discovery_time() {
    let mut discovery = Discovery::default();
    assert!(!discovery.is_settled, "no round has run yet");
    discovery.record(12, TimeMs(10_000));
    discovery.record(12, TimeMs(11_200));
    assert!(!discovery.is_settled && !discovery.is_complete);
    discovery.record(12, TimeMs(10_000 + MIN_DISCOVERY_MS));
    assert!(discovery.is_settled && discovery.is_complete);
    discovery.record(13, TimeMs(13_000));
    assert!(
        discovery.is_complete,
        "a later announcement does not reopen discovery"
    );
}

/// Guards against buying fifty on-demand upstreams before the first request, in addition to 78
/// running ones. The 78 upstreams start with the nodes and announce themselves over four seconds; a
/// fixed delay ends while only half of them are known.
///
/// Reclaimable upstreams are ordered meanwhile: if they were ordered three seconds later, they
/// would not have booted when the first callers arrive, and a busy day of nine nodes would earn
/// 0.46 of the full payoff instead of 0.55.
#[test]
fn discovery_is_incomplete_while_upstreams_keep_announcing_themselves() {
    let mut discovery = Discovery::default();
    for step in 0..40 {
        discovery.record(step * 2, TimeMs(10_000 + step as u64 * 100));
        assert!(!discovery.is_complete, "at step {step}");
    }
    assert!(discovery.is_settled, "reclaimable orders do not wait");
    discovery.record(78, TimeMs(13_900 + DISCOVERY_QUIET_MS));
    assert!(discovery.is_complete);
}

#[test]
fn discovery_ends_after_the_maximum_time() {
    let mut discovery = Discovery::default();
    for step in 0..=60 {
        discovery.record(step, TimeMs(10_000 + step as u64 * 100));
    }
    assert!(
        discovery.is_complete,
        "a new upstream every 100 ms does not prolong discovery"
    );
}
