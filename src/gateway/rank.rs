//! Orders nodes by precedence for tasks that one node does on behalf of all.
//!
//! The order needs no consensus: nodes that hear the same peers compute the same order. While their
//! views differ, two nodes may do the same task.

use std::cmp::Ordering;

use super::messages::Member;
use super::peers::{Peer, Peers};
use super::store_contact::StoreAvailability;
use crate::time::TimeMs;

/// Orders nodes whose store calls are not failing first, then by descending capacity, then by name.
pub(crate) fn cmp_rank(
    a: (StoreAvailability, &Member),
    b: (StoreAvailability, &Member),
) -> Ordering {
    let is_failing = |reach: StoreAvailability| reach == StoreAvailability::Failing;
    is_failing(a.0)
        .cmp(&is_failing(b.0))
        .then_with(|| cmp_election(a.1, b.1))
}

/// Orders nodes for the election of one node that performs a task for all: by descending capacity,
/// then by name.
pub(crate) fn cmp_election(a: &Member, b: &Member) -> Ordering {
    (b.capacity_per_s.total_cmp(&a.capacity_per_s)).then_with(|| a.name.cmp(&b.name))
}

/// Returns how many live nodes of this node's failure domain precede it.
#[must_use]
pub(crate) fn rank_in_domain(peers: &Peers, own_reach: StoreAvailability, now: TimeMs) -> usize {
    let neighbours = (peers.active(now)).filter(|peer| peers.is_neighbour(peer));
    count_preceding(neighbours, (own_reach, peers.own()))
}

/// Returns how many live nodes of the whole cluster precede this one.
#[must_use]
pub(crate) fn rank(peers: &Peers, own_reach: StoreAvailability, now: TimeMs) -> usize {
    count_preceding(peers.active(now), (own_reach, peers.own()))
}

/// Returns how many known nodes of this node's failure domain precede it, live or not.
#[must_use]
pub(crate) fn rank_among_known(peers: &Peers) -> usize {
    let known = (peers.iter()).filter(|peer| peers.is_neighbour(peer));
    known
        .filter(|peer| {
            let reach = StoreAvailability::NotCalled;
            cmp_rank((reach, &peer.member), (reach, peers.own())).is_lt()
        })
        .count()
}

fn count_preceding<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    own: (StoreAvailability, &Member),
) -> usize {
    peers
        .filter(|peer| cmp_rank((peer.store, &peer.member), own).is_lt())
        .count()
}

/// Returns the first peer of each failure domain, sorted by domain.
#[must_use]
pub(crate) fn first_of_each_domain(peers: &Peers, now: TimeMs) -> Vec<&Member> {
    let mut ordered: Vec<&Peer> = peers.active(now).collect();
    ordered.sort_by(|a, b| {
        (a.member.failure_domain.cmp(&b.member.failure_domain))
            .then_with(|| cmp_rank((a.store, &a.member), (b.store, &b.member)))
    });
    ordered.dedup_by(|a, b| a.member.failure_domain == b.member.failure_domain);
    ordered.iter().map(|peer| &peer.member).collect()
}
