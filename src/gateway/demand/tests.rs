use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

fn request(prefix: u64) -> EngineRequest {
    EngineRequest {
        unread_tokens: 1_000,
        own_tokens: 500,
        shared: Some((prefix, 2_000)),
    }
}

#[test]
fn rates_include_all_nodes() {
    let mut demands = DemandTracker::default();
    for ms in (0..6_000).step_by(100) {
        demands.record_request("p", &request(ms), TimeMs(ms));
        demands.record_events("p", 3, TimeMs(ms));
    }
    let now = TimeMs(6_000);
    let own = demands.own_rates(now);
    assert!((own[0].requests_per_s - 10.0).abs() < 2.0, "{own:?}");
    demands.record_peer(7, own.clone(), now);
    let fleet = demands.fleet("p", 2, now);
    assert!(
        (fleet.read_tokens_per_s - 20_000.0).abs() < 4_000.0,
        "{fleet:?}"
    );
    assert!((fleet.events_per_s - 60.0).abs() < 12.0, "{fleet:?}");
    assert!(demands.fleet("other", 2, now).requests_per_s < 1e-9);
}

/// Guards against ordering too few upstreams during a partition: the lease holder does not hear
/// half of the nodes, which go on serving, and their load must not count as zero.
#[test]
fn load_is_extrapolated_to_unheard_nodes() {
    let mut demands = DemandTracker::default();
    demands.record_request("p", &request(1), TimeMs(1_000));
    for peer in 0..3 {
        demands.record_peer(peer, Vec::new(), TimeMs(1_000));
    }
    let (all, scaled) = (
        demands.fleet("p", 4, TimeMs(1_100)),
        demands.fleet("p", 8, TimeMs(1_100)),
    );
    assert!((scaled.requests_per_s - 2.0 * all.requests_per_s).abs() < 1e-9);
}

/// Guards against releasing needed engines in a site with many nodes. Heartbeats are 1.2 s apart
/// and those of a third of the nodes are lost once; the load of these nodes must be extrapolated
/// although they still count as alive.
#[test]
fn lost_heartbeat_does_not_hide_load() {
    let mut demands = DemandTracker::default();
    let rates = Rates {
        pool: tag("p"),
        requests_per_s: 2.0,
        ..Rates::default()
    };
    for peer in 0..194 {
        let at = if peer % 3 == 0 { 1_000 } else { 3_000 };
        demands.record_peer(peer, vec![rates], TimeMs(at));
    }
    let request = demands.fleet("p", 195, TimeMs(3_300)).requests_per_s;
    assert!((request - 388.0).abs() < 5.0, "{request}");
}

#[test]
fn rates_of_a_silent_peer_expire() {
    let mut demands = DemandTracker::default();
    let rates = Rates {
        pool: tag("p"),
        requests_per_s: 10.0,
        ..Rates::default()
    };
    demands.record_peer(7, vec![rates], TimeMs(1_000));
    assert!(demands.fleet("p", 1, TimeMs(1_500)).requests_per_s > 9.0);
    assert!(demands.fleet("p", 1, TimeMs(4_000)).requests_per_s < 1.0);
}

#[test]
fn unseen_prefixes_are_estimated() {
    let mut demands = DemandTracker::default();
    // Of 200 active prefixes this node sees 150 requests, drawn uniformly.
    let mut rng = SmallRng::seed_from_u64(4);
    for offset_ms in 0..150 {
        let prefix = rng.random_range(0..200);
        demands.record_request("p", &request(prefix), TimeMs(1_000 + offset_ms));
    }
    let tokens = demands.shared_tokens("p");
    assert!((250_000.0..700_000.0).contains(&tokens), "{tokens}");
}
