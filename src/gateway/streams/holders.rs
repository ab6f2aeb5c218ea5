//! Selects the peers that keep a stream's start, and those that are asked for it.
//!
//! All nodes order their live peers in the same way for a stream: by failure domain in turn and by rendezvous hash
//! within each turn. The node that records a start and the one that asks for it may see different peers alive, so more
//! peers are asked than hold it.

use std::net::SocketAddr;

use super::origins::StreamKey;
use crate::gateway::peers::{Peer, Peers};
use crate::gateway::rank;
use crate::time::TimeMs;

/// Peers that keep the start of a stream, beside the node that forwards it.
///
/// After the loss of half of all nodes, seven eighths of the streams of the lost ones are still known.
const HOLDERS: usize = 3;

/// Peers that are asked where a stream began.
const ASKED: usize = 8;

/// Of the nodes that have read the store's records, those that are asked beside them.
const READERS_ASKED: usize = 2;

/// Peers that are asked, one after the other, to read the announcements of upstreams.
const CONFIRMERS: usize = 2;

/// Returns the addresses of the peers that are to keep the start of a stream; in other failure domains if there are any.
#[must_use]
pub(super) fn holders(peers: &Peers, key: StreamKey, now: TimeMs) -> Vec<SocketAddr> {
    let ordered = ordered(peers.active(now), key);
    let elsewhere = ordered.iter().filter(|peer| !peers.is_neighbour(peer));
    let neighbours = ordered.iter().filter(|peer| peers.is_neighbour(peer));
    addresses(elsewhere.chain(neighbours).copied(), HOLDERS)
}

/// Returns the addresses of the peers that are asked where a stream began.
///
/// A node that has not heard any peer yet asks those that it knows.
#[must_use]
pub(super) fn asked(peers: &Peers, key: StreamKey, now: TimeMs) -> Vec<SocketAddr> {
    let mut ordered_peers = ordered(peers.active(now), key);
    if ordered_peers.is_empty() {
        ordered_peers = ordered(peers.iter(), key);
    }
    addresses(ordered_peers.into_iter(), ASKED)
}

/// Returns the addresses of nodes that have read the store's records at their start, that of this failure domain first.
#[must_use]
pub(super) fn archive_readers(peers: &Peers, now: TimeMs) -> Vec<SocketAddr> {
    first_of_domains(peers, READERS_ASKED, now)
}

/// Returns the addresses of the peers that read the announcements for nodes that must not go by an older table.
///
/// If each node read them itself, a fault under many streams would bring as many calls to the store as there are nodes.
#[must_use]
pub(super) fn confirmers(peers: &Peers, now: TimeMs) -> Vec<SocketAddr> {
    first_of_domains(peers, CONFIRMERS, now)
}

fn first_of_domains(peers: &Peers, most: usize, now: TimeMs) -> Vec<SocketAddr> {
    let own_domain = &peers.own().failure_domain;
    let mut readers = rank::first_of_each_domain(peers, now);
    readers.sort_by_key(|member| member.failure_domain != *own_domain);
    let addresses = readers.iter().map(|member| member.gossip_address);
    addresses.take(most).collect()
}

fn addresses<'a>(peers: impl Iterator<Item = &'a Peer>, most: usize) -> Vec<SocketAddr> {
    let addresses = peers.map(|peer| peer.member.gossip_address);
    addresses.take(most).collect()
}

/// Orders peers for a stream: the first of each failure domain, then the second of each, and so on.
fn ordered<'a>(peers: impl Iterator<Item = &'a Peer>, key: StreamKey) -> Vec<&'a Peer> {
    let mut ranked: Vec<(u64, u64, &Peer)> = peers
        .map(|peer| {
            let position = peer.position();
            (position.domain(), position.rank_for(key.hash()), peer)
        })
        .collect();
    ranked.sort_unstable_by_key(|(domain, rank, _peer)| (*domain, *rank));
    let domains = ranked.chunk_by(|a, b| a.0 == b.0);
    let mut turns: Vec<(usize, u64, &Peer)> = domains
        .flat_map(|domain| domain.iter().enumerate())
        .map(|(turn, (_domain, rank, peer))| (turn, *rank, *peer))
        .collect();
    turns.sort_unstable_by_key(|(turn, rank, _peer)| (*turn, *rank));
    turns.into_iter().map(|(_turn, _rank, peer)| peer).collect()
}

#[cfg(test)]
mod tests;
