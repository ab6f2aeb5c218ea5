//! The order in which nodes come to do something for the others.
//!
//! It needs no agreement: nodes that hear the same peers order them alike, and where they differ for a
//! moment, two do it.

use std::cmp::Ordering;

use super::contact::StoreReach;
use super::peers::{Member, Peer, Peers};
use crate::time::TimeMs;

/// Those that the store does not turn away come first, then the strongest, then by name.
///
/// What one node does for all costs it more than callers do: a host whose link carries a twentieth
/// of another's falls behind at once, and all others with it.
pub(crate) fn by_rank(a: (StoreReach, &Member), b: (StoreReach, &Member)) -> Ordering {
    let failing = |reach: StoreReach| reach == StoreReach::Failing;
    failing(a.0)
        .cmp(&failing(b.0))
        .then(b.1.capacity_per_s.total_cmp(&a.1.capacity_per_s))
        .then_with(|| a.1.name.cmp(&b.1.name))
}

/// How many nodes of this node's failure domain come before it.
#[must_use]
pub(crate) fn place_in_domain(peers: &Peers, own_reach: StoreReach, now: TimeMs) -> usize {
    let domain = &peers.own().failure_domain;
    let neighbours = (peers.staying(now)).filter(|peer| peer.member.failure_domain == *domain);
    before(neighbours, (own_reach, peers.own()))
}

/// How many nodes of all come before this one.
#[must_use]
pub(crate) fn place(peers: &Peers, own_reach: StoreReach, now: TimeMs) -> usize {
    before(peers.staying(now), (own_reach, peers.own()))
}

/// How many nodes of this node's failure domain come before it among all that it has been told of,
/// whether it has heard them or not.
#[must_use]
pub(crate) fn place_among_known(peers: &Peers) -> usize {
    let domain = &peers.own().failure_domain;
    let known = (peers.iter()).filter(|peer| peer.member.failure_domain == *domain);
    known
        .filter(|peer| {
            let reach = StoreReach::Unasked;
            by_rank((reach, &peer.member), (reach, peers.own())).is_lt()
        })
        .count()
}

fn before<'a>(peers: impl Iterator<Item = &'a Peer>, own: (StoreReach, &Member)) -> usize {
    peers
        .filter(|peer| by_rank((peer.store, &peer.member), own).is_lt())
        .count()
}

/// Of each failure domain the peer that comes first, sorted by domain.
#[must_use]
pub(crate) fn first_of_each_domain(peers: &Peers, now: TimeMs) -> Vec<&Member> {
    let mut ordered: Vec<&Peer> = peers.staying(now).collect();
    ordered.sort_by(|a, b| {
        (a.member.failure_domain.cmp(&b.member.failure_domain))
            .then_with(|| by_rank((a.store, &a.member), (b.store, &b.member)))
    });
    ordered.dedup_by(|a, b| a.member.failure_domain == b.member.failure_domain);
    ordered.iter().map(|peer| &peer.member).collect()
}
