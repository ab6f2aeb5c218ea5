//! Which peer a node asks for what it does not know, and when it asks again.

use std::net::SocketAddr;

use super::peers::{Member, Peers};
use super::rank;
use super::upstreams::{spread, tag};
use crate::time::TimeMs;

/// Between two questions; an answer takes some 10 ms, on a slow host 200 ms.
pub(crate) const ASK_INTERVAL_MS: u64 = 400;

/// What this node has asked its peers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Questions {
    asked_at: TimeMs,
    /// Questions since an answer last helped.
    unanswered: usize,
}

impl Questions {
    /// The peer to ask now, if any: first the one that comes first in this failure domain, then, for
    /// as long as no answer helps, those of the others in turn.
    pub fn next(&mut self, peers: &Peers, now: TimeMs) -> Option<SocketAddr> {
        if now.since(self.asked_at) < ASK_INTERVAL_MS {
            return None;
        }
        let asked = asked(peers, now);
        let count = asked.len().max(1);
        let address = asked.get(self.unanswered % count)?.gossip;
        self.asked_at = now;
        self.unanswered += 1;
        Some(address)
    }

    /// Takes in that an answer helped, and that the same peer is asked on at once.
    pub fn note_progress(&mut self, now: TimeMs) {
        self.asked_at = now;
        self.unanswered = 0;
    }

    /// Takes in that there is nothing to ask.
    pub fn note_settled(&mut self) {
        self.unanswered = 0;
    }
}

/// The peers to ask, in this order: of each failure domain the first, this node's own domain in front.
fn asked(peers: &Peers, now: TimeMs) -> Vec<&Member> {
    // Nodes of one domain begin at different places, so that the peers of a domain that lost its
    // own do not all ask the same node.
    let own = peers.own();
    let own_tag = tag(&own.name);
    let key = |member: &Member| {
        let is_elsewhere = member.failure_domain != own.failure_domain;
        (is_elsewhere, spread(tag(&member.name) ^ own_tag))
    };
    let mut members = rank::first_of_each_domain(peers, now);
    members.sort_by_key(|member| key(member));
    members
}
