//! Rounds of reports, and what a node may borrow by them.

use super::*;
use crate::gateway::limits::quota::rounds::next_round;

/// Nodes that serve the team, of which the tested one is the first.
const NODES: u32 = 9;

const FLEET: FleetVisibility = FleetVisibility {
    known: NODES,
    heard: NODES,
};

const COST: f64 = 1_000.0;

/// Time in which the node's own part of the limit gains less than a request.
const SHORT_MS: u64 = 250;

fn small_team() -> Team {
    team(10_000.0, 20_000.0)
}

/// The buckets of a node that has been in contact with all peers for long.
fn node_in_contact() -> Quotas {
    let mut quotas = long_running();
    quotas.set_visibility(FLEET);
    for peer in 1..NODES {
        quotas.record_contact(u64::from(peer), at(0));
    }
    quotas
}

/// Records that each peer has admitted `total` and is in this round.
fn report(quotas: &mut Quotas, total: f64, round: u32, now: TimeMs) {
    let totals = [AdmittedTotal {
        round,
        ..recent(total)
    }];
    for peer in 1..NODES {
        quotas.record_peer(u64::from(peer), &totals, &[small_team()], now);
    }
}

/// Spends all that the node may borrow; then its peers, which have admitted `total`, report these rounds.
///
/// Returns what the node admits afterwards.
fn admitted_after_reports(total: f64, rounds: [u32; 4]) -> f64 {
    let mut quotas = node_in_contact();
    drain(&mut quotas, &small_team(), COST, FLEET, at(0));
    let mut now = at(0);
    for round in rounds {
        now = now.after(SHORT_MS);
        report(&mut quotas, total, round, now);
    }
    drain(&mut quotas, &small_team(), COST, FLEET, now)
}

#[test]
fn node_without_reports_stays_in_its_round() {
    assert_eq!(next_round(0, Vec::new()), None);
}

#[test]
fn round_ends_when_half_of_the_peers_have_reported_it() {
    assert_eq!(next_round(4, vec![4, 3, 3, 3]), None);
    assert_eq!(next_round(4, vec![4, 3, 4, 3]), None);
    assert_eq!(next_round(4, vec![4, 3, 4, 4]), Some(5));
}

#[test]
fn node_that_has_just_started_enters_the_round_of_its_peers() {
    assert_eq!(next_round(0, vec![70, 71, 0]), Some(71));
}

/// Guards against rejecting a team within its limit whose callers prefer one node.
#[test]
fn node_borrows_again_once_its_peers_have_heard_what_it_borrowed() {
    let admitted = admitted_after_reports(0.0, [0, 1, 2, 3]);
    assert!(admitted >= 5.0 * COST, "{admitted}");
}

/// Guards against borrowing by time: reports of peers that have not heard of the round prove nothing.
#[test]
fn node_does_not_borrow_again_while_its_peers_report_an_old_round() {
    let admitted = admitted_after_reports(0.0, [0, 0, 0, 0]);
    assert!(admitted <= 2.0 * COST, "{admitted}");
}

/// Guards against a node that borrows again what its peers have spent meanwhile.
#[test]
fn node_does_not_borrow_again_when_reports_show_an_exhausted_limit() {
    let admitted = admitted_after_reports(3_000.0, [0, 1, 2, 3]);
    assert!(admitted <= 2.0 * COST, "{admitted}");
}

/// Guards against reports to all nodes each time that a round ends.
#[test]
fn new_round_alone_is_not_relayed() {
    let team = small_team();
    let mut quotas = node_in_contact();
    report(&mut quotas, 2_400.0, 0, at(0));
    assert_eq!(quotas.take_changed_totals(&team, 0, at(0)).len(), 9);
    report(&mut quotas, 2_400.0, 1, at(SHORT_MS));
    assert_eq!(quotas.take_changed_totals(&team, 0, at(SHORT_MS)), []);
}
