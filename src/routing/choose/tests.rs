//! Tests each rule of the choice.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{NoRouteReason, choose};
use crate::keys::{DomainKey, HostKey};
use crate::routing::{Availability, Candidate, RoutePolicy, RouteRequest, Weights};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

const NOW: TimeMs = TimeMs(1_000_000);

fn host(number: u64, domain: u16) -> Candidate {
    Candidate {
        host: HostKey(number),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: DomainKey(domain),
        availability: Availability::Open,
        has_model: true,
        is_role_match: true,
        streams_ahead: 0.0,
        slots: 8,
        prefill_backlog_ms: 0.0,
        first_token_excess_ms: 0.0,
        prefill_tokens_per_second: 4_000.0,
        cached_tokens: 0.0,
        price_per_hour: 1.0,
    }
}

fn request() -> RouteRequest<'static> {
    RouteRequest {
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

fn chosen(view: &[Candidate], request: &RouteRequest<'_>) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(1);
    let draws = (0..64).map(|_| choose(view, request, NOW, &mut rng).unwrap().host.0);
    let mut hosts: Vec<_> = draws.collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

fn refused(view: &[Candidate], request: &RouteRequest<'_>) -> super::NoRoute {
    choose(view, request, NOW, &mut SmallRng::seed_from_u64(1)).unwrap_err()
}

#[test]
fn ineligible_hosts_are_not_chosen() {
    let leaving = Candidate {
        availability: Availability::Leaving,
        ..host(1, 0)
    };
    let failing = Candidate {
        availability: Availability::Failing {
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
    let request = RouteRequest {
        tried: &tried,
        ..request()
    };
    assert_eq!(chosen(&view, &request), [4]);
    let refusal = refused(&view[..3], &request);
    assert_eq!(refusal.reason, NoRouteReason::AllFailing);
    assert_eq!(refusal.retry_after_ms, 300);
    assert_eq!(
        refused(&view[..1], &request).reason,
        NoRouteReason::AllLeaving
    );
    assert_eq!(
        refused(&view[2..3], &request).reason,
        NoRouteReason::ModelNotLoaded
    );
    assert_eq!(refused(&[], &request).reason, NoRouteReason::NoHost);
}

// A non-idempotent call that is sent as a probe to a failing host and breaks off ends with an
// unknown outcome, although healthy hosts are idle.
#[test]
fn non_idempotent_request_is_not_sent_as_a_probe() {
    let probe = Candidate {
        availability: Availability::Probe,
        ..host(1, 0)
    };
    let once = RouteRequest {
        delivery: Delivery::AtMostOnce,
        ..request()
    };
    assert_eq!(refused(&[probe], &once).reason, NoRouteReason::AllFailing);
    let choice = choose(&[probe], &request(), NOW, &mut SmallRng::seed_from_u64(1));
    assert!(choice.unwrap().is_probe);
}

// When a failure domain is lost, its hosts fail together. Retries that ignored the domain of the
// failed attempt could fail on three hosts in a row while other domains are healthy.
#[test]
fn retry_prefers_another_failure_domain() {
    let view = [host(1, 0), host(2, 0), host(3, 0), host(4, 1)];
    let domains = [DomainKey(0)];
    let request = RouteRequest {
        failed_domains: &domains,
        ..request()
    };
    assert_eq!(chosen(&view, &request), [4]);
    assert_eq!(
        chosen(&view[..1], &request),
        [1],
        "the only host is used even in a failed domain"
    );
}

#[test]
fn cached_prompt_is_preferred_until_the_wait_outweighs_it() {
    let cached = Candidate {
        cached_tokens: 960.0,
        ..host(1, 0)
    };
    let busy = Candidate {
        streams_ahead: 16.0,
        ..cached
    };
    assert_eq!(chosen(&[cached, host(2, 0), host(3, 0)], &request()), [1]);
    let elsewhere = chosen(&[busy, host(2, 0), host(3, 0)], &request());
    assert!(!elsewhere.contains(&1));
}

#[test]
fn price_decides_only_within_the_first_token_target() {
    let expensive = Candidate {
        price_per_hour: 4.0,
        ..host(1, 0)
    };
    let full = Candidate {
        streams_ahead: 12.0,
        ..host(2, 0)
    };
    assert_eq!(chosen(&[expensive, host(2, 0)], &request()), [2]);
    assert_eq!(chosen(&[expensive, full], &request()), [1]);
}

// Many nodes see the same late load report. If each compared all hosts, all would send to the host
// that looks best, and the others would be idle until the next report.
#[test]
fn equal_hosts_share_the_requests_of_nodes_with_the_same_view() {
    let view: Vec<_> = (0..20).map(|number| host(number, 0)).collect();
    let mut hits = [0_u32; 20];
    for node in 0..200 {
        let request = RouteRequest {
            affinity: node,
            ..request()
        };
        let choice = choose(&view, &request, NOW, &mut SmallRng::seed_from_u64(node)).unwrap();
        hits[usize::try_from(choice.host.0).unwrap()] += 1;
    }
    assert!(hits.iter().all(|hits| *hits < 30), "{hits:?}");
}
