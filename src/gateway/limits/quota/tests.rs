mod fleet;
mod pause;
mod reports;
mod rounds;
mod surge;
mod windows;

use super::*;
use crate::gateway::upstreams::tag;

/// A fleet of one node, which has the whole limit.
const ALL: FleetVisibility = FleetVisibility { known: 1, heard: 1 };

/// A time long after the node's start.
fn at(ms: u64) -> TimeMs {
    TimeMs(100_000 + ms)
}

/// The buckets of a node that started long ago: they are full.
fn long_running() -> Quotas {
    Quotas::new(None, 1, TimeMs(0))
}

fn team(rate_per_s: f64, burst: f64) -> Team {
    Team {
        name: "archive".to_owned(),
        tag: tag("archive"),
        priority: None,
        unit: Unit::Tokens {
            default_tokens: 200,
        },
        rate_per_s: Some(rate_per_s),
        burst,
    }
}

/// What a peer reports that has admitted `total`, all of it recently.
fn recent(total: f64) -> AdmittedTotal {
    AdmittedTotal {
        team: tag("archive"),
        base: 0.0,
        total,
        round: 0,
    }
}

/// Sends requests of one cost until the team is over its limit; returns the admitted cost.
fn drain(
    quotas: &mut Quotas,
    team: &Team,
    cost: f64,
    visibility: FleetVisibility,
    now: TimeMs,
) -> f64 {
    let mut admitted = 0.0;
    while quotas.admit(team, cost, visibility, now) == Admission::Admitted {
        admitted += cost;
    }
    admitted
}

/// A window of eight seconds with a tolerance of 10% and another 190,000 units.
const LARGE_WINDOW: LimitWindow = LimitWindow {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 190_000.0,
};

#[test]
fn burst_is_admitted_first_and_then_the_rate() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = long_running();
    assert!((drain(&mut quotas, &team, 100.0, ALL, at(1_000)) - 5_000.0).abs() < 1.0);
    let later = drain(&mut quotas, &team, 100.0, ALL, at(2_000));
    assert!((later - 1_000.0).abs() <= 100.0, "{later}");
}

#[test]
fn rejection_reports_when_the_bucket_has_room() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = long_running();
    drain(&mut quotas, &team, 500.0, ALL, at(1_000));
    let refused = quotas.admit(&team, 500.0, ALL, at(1_000));
    let Admission::Over(shortfall) = refused else {
        panic!("a request was admitted from an empty bucket");
    };
    assert_eq!(shortfall.retry_after_ms, 500);
    assert_eq!(
        quotas.admit(&team, 500.0, ALL, at(1_500)),
        Admission::Admitted
    );
}

#[test]
fn team_without_limit_is_always_admitted() {
    let mut unlimited = team(1.0, 1.0);
    unlimited.rate_per_s = None;
    let mut quotas = long_running();
    for _ in 0..1_000 {
        assert_eq!(
            quotas.admit(&unlimited, 1e9, ALL, at(1)),
            Admission::Admitted
        );
    }
}

#[test]
fn refunded_cost_can_be_used_again() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    drain(&mut quotas, &team, 1_000.0, ALL, at(1));
    quotas.refund(&team, 1_000.0, at(1));
    assert_eq!(
        quotas.admit(&team, 1_000.0, ALL, at(1)),
        Admission::Admitted
    );
}

/// Guards against a partitioned fleet that admits twice the limit.
///
/// A link between two halves of the fleet is cut while callers reach both. If silent peers counted
/// as idle, each half would use the whole limit.
#[test]
fn partitioned_node_uses_only_its_share() {
    let team = team(90_000.0, 1_000.0);
    let mut quotas = long_running();
    let alone = FleetVisibility { known: 9, heard: 1 };
    drain(&mut quotas, &team, 100.0, alone, at(1_000));
    let mut admitted = 0.0;
    for now_ms in (1_010..=2_000).step_by(10) {
        admitted += drain(&mut quotas, &team, 100.0, alone, at(now_ms));
    }
    assert!(admitted <= 90_000.0 / 9.0 + 200.0, "{admitted}");
    assert!(admitted >= 90_000.0 / 9.0 * 0.9, "{admitted}");
}

/// Guards against a node that keeps the whole limit for itself once it hears its peers again.
///
/// A node is frozen and forgets its peers. When it goes on, it counts as alone until their datagrams arrive.
#[test]
fn node_that_hears_its_peers_again_spends_its_part_at_once() {
    let team = team(1_000.0, 4_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = long_running();
    quotas.admit(&team, 100.0, ALL, at(0));
    let fleet = FleetVisibility { known: 4, heard: 4 };
    for peer in 1..4 {
        quotas.record_contact(peer, at(10));
        quotas.record_peer(peer, &[recent(1_600.0)], teams, at(10));
    }
    let admitted = drain(&mut quotas, &team, 100.0, fleet, at(20));
    assert!((500.0..=1_100.0).contains(&admitted), "{admitted}");
}

#[test]
fn cost_depends_on_the_unit() {
    let tokens = Unit::Tokens {
        default_tokens: 200,
    };
    assert!((cost(tokens, Some(1_540)) - 1_540.0).abs() < f64::EPSILON);
    assert!((cost(tokens, None) - 200.0).abs() < f64::EPSILON);
    assert!((cost(Unit::Requests, Some(1_540)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a second burst after a restart of all nodes.
///
/// All processes are killed at once and restart while a team is at its limit. Buckets that start
/// full would admit a burst beyond the limit.
#[test]
fn restart_grants_no_burst() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = Quotas::new(None, 1, TimeMs(50_000));
    let first = drain(&mut quotas, &team, 100.0, ALL, TimeMs(50_100));
    assert!(first <= 200.0, "{first}");
    let second = drain(&mut quotas, &team, 100.0, ALL, TimeMs(51_100));
    assert!((second - 1_000.0).abs() <= 100.0, "{second}");
}

/// Guards against rejecting a team's small lookups while its large reports are admitted.
///
/// The team sends six times as many reports as its limit allows, so that its bucket stays around
/// zero. Its lookups cost a hundredth of the tokens of a report and arrive in between. Without an
/// overdraft for small requests, what a report leaves in the bucket would decide for a lookup too.
#[test]
fn small_requests_are_admitted_beside_reports_that_exhaust_the_limit() {
    let team = team(186_000.0, 186_000.0);
    let mut quotas = long_running();
    let mut admitted_tokens = 0.0;
    let mut refused_lookups = 0;
    for step in 0..800 {
        let now = at(step * 10);
        // Reports of 17,000 tokens at six times the limit, and 25 lookups a second.
        for _report in 0..(if step % 3 == 0 { 2 } else { 0 }) {
            if quotas.admit(&team, 17_000.0, ALL, now) == Admission::Admitted {
                admitted_tokens += 17_000.0;
            }
        }
        if step % 4 == 0 {
            match quotas.admit(&team, 200.0, ALL, now) {
                Admission::Admitted => admitted_tokens += 200.0,
                Admission::Over(_) => refused_lookups += 1,
            }
        }
    }
    assert_eq!(refused_lookups, 0, "of 200");
    let limit = 186_000.0 * 8.0 + 186_000.0;
    assert!(
        admitted_tokens < limit * 1.03,
        "{admitted_tokens} of {limit}"
    );
    assert!(
        admitted_tokens > limit * 0.97,
        "{admitted_tokens} of {limit}"
    );
}

/// Guards against an unbounded overdraft.
///
/// A team sends nothing but lookups, hundreds of times as many as its limit allows.
#[test]
fn small_requests_alone_stay_within_the_limit_and_the_overdraft_bound() {
    let team = team(10_000.0, 100_000.0);
    let mut quotas = long_running();
    let at_once = drain(&mut quotas, &team, 200.0, ALL, at(0));
    assert!(at_once <= 125_200.0, "{at_once}");
    let later = drain(&mut quotas, &team, 200.0, ALL, at(8_000));
    assert!(later <= 80_200.0, "{later}");
}
