//! The choice under each rule.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{NoRouteReason, choose};
use crate::keys::{DomainKey, HostKey};
use crate::routing::{Candidate, RouteAsk, RoutePolicy, Standing, Weights};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

const NOW: TimeMs = TimeMs(1_000_000);

fn host(number: u64, domain: u16) -> Candidate {
    Candidate {
        host: HostKey(number),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: DomainKey(domain),
        standing: Standing::Open,
        has_model: true,
        in_role: true,
        streams_ahead: 0.0,
        slots: 8,
        prefill_backlog_ms: 0.0,
        excess_ms: 0.0,
        prefill_tokens_per_second: 4_000.0,
        cached_tokens: 0.0,
        price_per_hour: 1.0,
    }
}

fn ask() -> RouteAsk<'static> {
    RouteAsk {
        prompt_tokens: 1_000,
        shared_tokens: 0,
        affinity: 7,
        shared_affinity: None,
        first_token_ms: 750,
        service_ms: 4_000.0,
        delivery: Delivery::Repeatable,
        tried: &[],
        failed_domains: &[],
        weights: Weights {
            cost: 0.5,
            recomputed_tokens: 0.5,
        },
        policy: RoutePolicy::default(),
    }
}

fn chosen(view: &[Candidate], ask: &RouteAsk<'_>) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(1);
    let draws = (0..64).map(|_| choose(view, ask, NOW, &mut rng).unwrap().host.0);
    let mut hosts: Vec<_> = draws.collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

fn refused(view: &[Candidate], ask: &RouteAsk<'_>) -> super::NoRoute {
    choose(view, ask, NOW, &mut SmallRng::seed_from_u64(1)).unwrap_err()
}

#[test]
fn hosts_that_must_not_get_work_get_none() {
    let leaving = Candidate {
        standing: Standing::Leaving,
        ..host(1, 0)
    };
    let failing = Candidate {
        standing: Standing::Failing {
            probe_at_ms: NOW.after(300),
        },
        ..host(2, 0)
    };
    let without_model = Candidate {
        has_model: false,
        ..host(3, 0)
    };
    let view = [leaving, failing, without_model, host(4, 0), host(5, 0)];
    let tried = [HostKey(5)];
    let ask = RouteAsk {
        tried: &tried,
        ..ask()
    };
    assert_eq!(chosen(&view, &ask), [4]);
    let refusal = refused(&view[..3], &ask);
    assert_eq!(refusal.reason, NoRouteReason::AllFailing);
    assert_eq!(refusal.retry_after_ms, 300);
    assert_eq!(refused(&view[..1], &ask).reason, NoRouteReason::AllLeaving);
    assert_eq!(
        refused(&view[2..3], &ask).reason,
        NoRouteReason::ModelNotLoaded
    );
    assert_eq!(refused(&[], &ask).reason, NoRouteReason::NoHost);
}

// Symptom: a deposit claim ends "unknown" though healthy hosts were idle. Sequence: a host that
// failed is due for a probe, a non-idempotent call is sent to it and breaks off. Cause: a call that
// cannot be repeated was used to find out whether the host is back.
#[test]
fn a_non_idempotent_request_is_no_probe() {
    let probe = Candidate {
        standing: Standing::Probe,
        ..host(1, 0)
    };
    let once = RouteAsk {
        delivery: Delivery::AtMostOnce,
        ..ask()
    };
    assert_eq!(refused(&[probe], &once).reason, NoRouteReason::AllFailing);
    let choice = choose(&[probe], &ask(), NOW, &mut SmallRng::seed_from_u64(1));
    assert!(choice.unwrap().probe);
}

// Symptom: a request fails on three hosts in a row while other failure domains are healthy.
// Sequence: a failure domain is lost, each retry picks another of its hosts. Cause: hosts fail
// together, and the retry did not look where the first try had failed.
#[test]
fn a_retry_prefers_another_failure_domain() {
    let view = [host(1, 0), host(2, 0), host(3, 0), host(4, 1)];
    let domains = [DomainKey(0)];
    let ask = RouteAsk {
        failed_domains: &domains,
        ..ask()
    };
    assert_eq!(chosen(&view, &ask), [4]);
    assert_eq!(chosen(&view[..1], &ask), [1], "but takes what is left");
}

#[test]
fn the_cached_prompt_decides_until_the_wait_outweighs_it() {
    let cached = Candidate {
        cached_tokens: 960.0,
        ..host(1, 0)
    };
    let crowded = Candidate {
        streams_ahead: 16.0,
        ..cached
    };
    assert_eq!(chosen(&[cached, host(2, 0), host(3, 0)], &ask()), [1]);
    let elsewhere = chosen(&[crowded, host(2, 0), host(3, 0)], &ask());
    assert!(!elsewhere.contains(&1));
}

#[test]
fn price_decides_within_the_target_and_not_beyond_it() {
    let dear = Candidate {
        price_per_hour: 4.0,
        ..host(1, 0)
    };
    let full = Candidate {
        streams_ahead: 12.0,
        ..host(2, 0)
    };
    assert_eq!(chosen(&[dear, host(2, 0)], &ask()), [2]);
    assert_eq!(chosen(&[dear, full], &ask()), [1]);
}

// Symptom: after each load report one host gets everything and the others idle. Sequence: many
// nodes see the same late report, each sends to the host that looks best. Cause: all compare all
// hosts on the same stale figures.
#[test]
fn equal_hosts_share_the_work_of_nodes_with_the_same_view() {
    let view: Vec<_> = (0..20).map(|number| host(number, 0)).collect();
    let mut hits = [0_u32; 20];
    for node in 0..200 {
        let ask = RouteAsk {
            affinity: node,
            ..ask()
        };
        let choice = choose(&view, &ask, NOW, &mut SmallRng::seed_from_u64(node)).unwrap();
        hits[usize::try_from(choice.host.0).unwrap()] += 1;
    }
    assert!(hits.iter().all(|hits| *hits < 30), "{hits:?}");
}
