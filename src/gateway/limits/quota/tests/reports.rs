//! What a node reports of its admissions and counts of its peers'.

use super::*;

#[test]
fn first_total_of_a_new_peer_is_not_deducted() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    quotas.admit(&team, 1.0, ALL, at(1));
    quotas.record_peer(4, &[recent(1e9)], std::slice::from_ref(&team), at(2));
    assert_eq!(quotas.admit(&team, 1.0, ALL, at(3)), Admission::Admitted);
}

/// Guards against overspending in the first seconds of a team's traffic.
///
/// The nodes have been in contact for long when the team starts to send. A peer's first report on
/// that team must not count as usage from before the contact.
#[test]
fn first_total_of_a_team_from_a_known_peer_is_deducted() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    quotas.record_peer(4, &[], &[], at(1));
    quotas.record_peer(4, &[recent(5_000.0)], std::slice::from_ref(&team), at(3));
    let refused = quotas.admit(&team, 1.0, ALL, at(4));
    assert!(matches!(refused, Admission::Over(_)));
}

/// Guards against a restarted node that rejects a team within its limit since it deducts what its peers admitted
/// before its start.
#[test]
fn node_that_has_just_started_deducts_little_of_what_was_admitted_before() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = Quotas::new(None, 1, at(0));
    for peer in 0..100 {
        quotas.record_contact(peer, at(200));
        quotas.record_peer(peer, &[recent(20.0)], std::slice::from_ref(&team), at(200));
    }
    assert_eq!(quotas.admit(&team, 10.0, ALL, at(500)), Admission::Admitted);
}

/// Guards against a refunded cost that all nodes deduct again each time it is spent.
#[test]
fn refunded_cost_that_is_spent_again_soon_is_reported_once() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    for step in 0..50 {
        quotas.admit(&team, 100.0, ALL, at(step * 10));
        quotas.refund(&team, 100.0, at(step * 10 + 5));
    }
    quotas.admit(&team, 100.0, ALL, at(500));
    let reported = quotas.recent_totals(at(500));
    assert!((reported[0].total - 100.0).abs() < 1.0, "{reported:?}");
    quotas.refund(&team, 100.0, at(510));
    quotas.admit(&team, 100.0, ALL, at(5_000));
    let reported = quotas.recent_totals(at(5_000));
    assert!((reported[0].total - 200.0).abs() < 1.0, "{reported:?}");
}

/// Guards against a bucket that is refilled twice for one span of time, by callers who read the clock before they wait for it.
#[test]
fn earlier_time_does_not_refill_the_bucket_again() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    drain(&mut quotas, &team, 10.0, ALL, at(0));
    let mut admitted = 0.0;
    for step in 1..=100_u64 {
        admitted += drain(&mut quotas, &team, 10.0, ALL, at(step * 10));
        admitted += drain(&mut quotas, &team, 10.0, ALL, at(step * 10 - 9));
    }
    assert!(admitted <= 1_010.0, "{admitted}");
}

#[test]
fn late_report_is_not_deducted_twice() {
    let team = team(1_000.0, 10_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = long_running();
    quotas.record_peer(4, &[], &[], at(1));
    for total in [3_000.0, 6_000.0, 3_000.0, 6_000.0] {
        quotas.record_peer(4, &[recent(total)], teams, at(2));
    }
    let left = drain(&mut quotas, &team, 100.0, ALL, at(2));
    assert!((left - 4_000.0).abs() <= 100.0, "{left}");
}

#[test]
fn collector_relays_changed_totals_of_teams_near_their_limits() {
    let team = team(1_000.0, 10_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = long_running();
    quotas.record_peer(4, &[], &[], at(1));
    quotas.record_peer(4, &[recent(1_000.0)], teams, at(2));
    assert_eq!(
        quotas.take_changed_totals(&team, 9, at(2)),
        [],
        "the team is far from its limit"
    );
    quotas.record_peer(4, &[recent(8_000.0)], teams, at(3));
    assert_eq!(
        quotas.take_changed_totals(&team, 9, at(3)),
        [(4, recent(8_000.0)), (9, recent(0.0))]
    );
    assert_eq!(quotas.take_changed_totals(&team, 9, at(4)), []);
}

/// Guards against datagrams to all nodes for each request: of a team with short bursts the reports of
/// the groups are early enough.
#[test]
fn collector_relays_nothing_of_a_team_that_spends_slowly() {
    let team = team(47_000.0, 47_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = Quotas::new(Some(LARGE_WINDOW), 1, TimeMs(0));
    quotas.record_contact(4, at(1));
    for second in 1..20 {
        let total = recent(num::to_f64(second) * 20_000.0);
        quotas.record_peer(4, &[total], teams, at(second * 1_000));
        let changed = quotas.take_changed_totals(&team, 9, at(second * 1_000 + 10));
        assert_eq!(changed, [], "after {second} s");
    }
}

#[test]
fn total_is_reported_until_its_retention_ends() {
    let team = team(1_000.0, 10_000.0);
    let mut quotas = long_running();
    quotas.admit(&team, 1_000.0, ALL, at(0));
    assert_eq!(quotas.recent_totals(at(1_900)), [recent(1_000.0)]);
    assert_eq!(quotas.recent_totals(at(2_000)), []);
}

/// Guards against a team that is refused for long at a node that has just started: the total of a
/// known peer that reports the team for the first time is mostly older than the contact.
#[test]
fn only_the_recent_part_of_a_known_peers_first_total_is_deducted() {
    let team = team(1_000.0, 10_000.0);
    let mut peer = long_running();
    for second in 0..60 {
        peer.admit(&team, 1_000.0, ALL, at(second * 1_000));
    }
    let mut quotas = long_running();
    quotas.record_contact(4, at(59_000));
    let totals = peer.recent_totals(at(59_500));
    quotas.record_peer(4, &totals, std::slice::from_ref(&team), at(59_500));
    let left = drain(&mut quotas, &team, 100.0, ALL, at(59_500));
    assert!((5_000.0..=8_000.0).contains(&left), "{left}");
}
