//! Chooses the peer that a node queries for missing state, and paces the queries.

use std::net::SocketAddr;

use super::messages::Member;
use super::peers::Peers;
use super::rank;
use super::upstreams::{spread_bits, tag};
use crate::time::TimeMs;

/// Interval between queries; an answer takes some 10 ms, on a slow host 200 ms.
pub(crate) const QUERY_INTERVAL_MS: u64 = 400;

/// Pacing and peer rotation of one kind of query.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerQueries {
    last_query_at: TimeMs,
    /// Queries since the last helpful answer.
    unanswered: usize,
}

impl PeerQueries {
    /// Returns the address of the peer to query now, if a query is due.
    ///
    /// Starts with the first peer of this node's failure domain; as long as no answer helps,
    /// continues with the first peers of the other failure domains in turn.
    pub fn next_peer(&mut self, peers: &Peers, now: TimeMs) -> Option<SocketAddr> {
        if now.since(self.last_query_at) < QUERY_INTERVAL_MS {
            return None;
        }
        let candidates = candidates(peers, now);
        let count = candidates.len().max(1);
        let address = candidates.get(self.unanswered % count)?.gossip_address;
        self.last_query_at = now;
        self.unanswered += 1;
        Some(address)
    }

    /// Records that an answer helped and that the same peer is queried again at once.
    pub fn record_progress(&mut self, now: TimeMs) {
        self.last_query_at = now;
        self.unanswered = 0;
    }

    /// Records that nothing is missing.
    pub fn reset(&mut self) {
        self.unanswered = 0;
    }
}

/// Returns the first peer of each failure domain, starting with this node's own domain.
fn candidates(peers: &Peers, now: TimeMs) -> Vec<&Member> {
    // Each node of a domain visits the other domains in a different order, so that nodes whose
    // domain has lost its first peer do not all query the same node.
    let own = peers.own();
    let own_tag = tag(&own.name);
    let key = |member: &Member| {
        let is_elsewhere = member.failure_domain != own.failure_domain;
        (is_elsewhere, spread_bits(tag(&member.name) ^ own_tag))
    };
    let mut members = rank::first_of_each_domain(peers, now);
    members.sort_by_key(|member| key(member));
    members
}
