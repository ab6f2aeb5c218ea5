//! What an upstream takes of requests from all nodes together, where it names a limit, and the part of it that
//! this node may use.
//!
//! The load is an upstream in need that takes from less than one request a second to dozens, before one node
//! or a thousand. Each of a thousand nodes would exceed a low limit with its first request, so that only a
//! few nodes send at all: one more than the limit has whole requests a second, the same ones by hash on all
//! nodes that hear the same peers, by turns. A node that comes to be one of them begins with nothing in hand.

use bincode::{Decode, Encode};

use super::num;
use super::upstreams::spread;
use crate::time::TimeMs;

/// Time of a node's part of a limit that it may have in hand, in seconds; one request in any case.
const IN_HAND_S: f64 = 0.25;

/// What an upstream gets at least, in requests a second: one that takes none must be found well again.
const LEAST_RATE_PER_S: f64 = 0.1;

/// An upstream from which no answer has come for this long is asked by the first of its nodes, so that the end of
/// its limit is found out.
const UNANSWERED_MS: u64 = 2_000;

/// How long the same nodes send to an upstream; longer if that is less than the time in which it takes so many
/// requests.
///
/// Callers may not come to all nodes. An upstream whose nodes get no requests for it would go unused, and nobody
/// would find out that it no longer names a limit.
const TURN_MS: f64 = 6_000.0;
const TURN_REQUESTS: f64 = 3.0;

/// How long a node goes on telling its peers what it has been told. Nodes that start meanwhile know of a limit
/// from them alone, since most nodes may not send and are not told again.
const TOLD_MS: u64 = 60_000;

/// What an answer says of a limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StatedLimit {
    /// It names none.
    Unnamed,
    /// Requests a second from all nodes; finite, zero or more.
    PerS(f64),
    /// It names something that is no such number.
    Unreadable,
}

/// How what is known of an upstream's limit has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Change {
    /// It names a limit, or another one than before, in requests a second.
    Named(f64),
    /// It no longer names one.
    Ended,
}

/// What an upstream said of its limit to one node, for the others.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Told {
    /// The upstream's tag.
    pub upstream: u64,
    /// Requests a second from all nodes; none if it no longer names a limit.
    pub limit_per_s: Option<f64>,
    /// Since it said so.
    pub age_ms: u64,
}

/// The nodes among which a limit is divided, as one of them sees it.
#[derive(Clone, Debug)]
pub(crate) struct Sharers {
    /// Names this node.
    pub own: u64,
    /// The peers that it hears and that are not about to end.
    pub peers: Vec<u64>,
    /// The part of the limit that those who hear each other may use.
    pub share: f64,
    /// The time of day that most nodes agree on, in Unix milliseconds.
    pub day_ms: u64,
    /// Whether this node may send at all: it has had the time to hear the others, and is not about to end.
    pub is_sending: bool,
}

impl Sharers {
    /// How many of these nodes come before this one for an upstream that takes so many requests a second.
    fn place(&self, upstream: u64, limit_per_s: f64) -> usize {
        let turn_ms = TURN_MS.max(TURN_REQUESTS * 1_000.0 / limit_per_s);
        let turn = self.day_ms / num::whole(turn_ms);
        let drawn = spread(upstream ^ spread(turn));
        let rank = |node: u64| (spread(node ^ drawn), node);
        let own = rank(self.own);
        (self.peers.iter())
            .filter(|peer| rank(**peer) < own)
            .count()
    }
}

/// What one start of an upstream takes, as far as this node knows, and this node's part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Throttle {
    /// Requests a second from all nodes; none while it names no limit.
    limit_per_s: Option<f64>,
    /// The latest time at which it is known to have said so; zero if it never named a limit.
    said_at: TimeMs,
    /// When an answer last told this node itself; zero if none did.
    answered_at: TimeMs,
    /// When this node came to know what it knows.
    changed_at: TimeMs,
    /// This node's part of the limit, in requests a second.
    rate_per_s: f64,
    /// Requests that this node may send at once, as of `filled_at`.
    in_hand: f64,
    filled_at: TimeMs,
    /// Whether this node is the first of those that may send.
    is_first: bool,
}

impl Throttle {
    /// Requests a second that the upstream takes from all nodes, if it names a limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Takes in what an answer to this node says; tells what it changes.
    ///
    /// An answer that names no limit ends one only if it was asked for after the limit was last named:
    /// answers overtake each other.
    pub fn note_answer(
        &mut self,
        stated: StatedLimit,
        sent_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let (limit_per_s, said_at) = match stated {
            StatedLimit::PerS(limit_per_s) => (Some(limit_per_s), now),
            StatedLimit::Unnamed if sent_at > self.said_at => (None, sent_at),
            // What cannot be read does not say that there is no limit any more.
            StatedLimit::Unnamed | StatedLimit::Unreadable => return None,
        };
        if limit_per_s.is_none() && self.said_at == TimeMs(0) {
            return None;
        }
        self.answered_at = now;
        self.take_in(limit_per_s, said_at, now)
    }

    /// Takes in what the upstream said to a peer; tells what it changes.
    pub fn note_told(&mut self, told: &Told, now: TimeMs) -> Option<Change> {
        let said_at = TimeMs(now.0.saturating_sub(told.age_ms));
        if said_at <= self.said_at {
            return None;
        }
        self.take_in(told.limit_per_s, said_at, now)
    }

    fn take_in(
        &mut self,
        limit_per_s: Option<f64>,
        said_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let before = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        self.said_at = said_at;
        if before == limit_per_s {
            return None;
        }
        self.changed_at = now;
        match limit_per_s {
            Some(limit_per_s) => {
                if before.is_none() {
                    self.set_rate(0.0, now);
                }
                Some(Change::Named(limit_per_s))
            }
            None => Some(Change::Ended),
        }
    }

    /// What this node has been told a moment ago, for its peers.
    pub fn told(&self, upstream: u64, now: TimeMs) -> Option<Told> {
        // That there is no limit any more is news for a while only; each answer says so.
        let since = match self.limit_per_s {
            Some(_limit_per_s) => self.answered_at,
            None => self.changed_at,
        };
        let is_told = self.answered_at > TimeMs(0) && now.since(since) < TOLD_MS;
        is_told.then(|| Told {
            upstream,
            limit_per_s: self.limit_per_s,
            age_ms: now.since(self.said_at),
        })
    }

    /// Works out this node's part of the limit.
    pub fn divide(&mut self, upstream: u64, sharers: &Sharers, now: TimeMs) {
        let Some(limit_per_s) = self.limit_per_s else {
            return;
        };
        let limit_per_s = limit_per_s.max(LEAST_RATE_PER_S);
        let nodes = sharers.peers.len() + 1;
        let senders = usize::try_from(num::whole(limit_per_s.floor())).unwrap_or(usize::MAX);
        let senders = senders.saturating_add(1).min(nodes);
        let place = sharers.place(upstream, limit_per_s);
        let is_sender = sharers.is_sending && place < senders;
        let rate_per_s = if is_sender {
            limit_per_s * sharers.share / num::real(senders as u64)
        } else {
            0.0
        };
        self.is_first = place == 0;
        self.set_rate(rate_per_s, now);
    }

    fn set_rate(&mut self, rate_per_s: f64, now: TimeMs) {
        self.in_hand = if rate_per_s > 0.0 {
            self.in_hand(now)
        } else {
            0.0
        };
        self.filled_at = now;
        self.rate_per_s = rate_per_s;
    }

    /// Requests that this node may send at once.
    fn in_hand(&self, now: TimeMs) -> f64 {
        let most = (self.rate_per_s * IN_HAND_S).max(1.0);
        let come_in = self.rate_per_s * num::real(now.since(self.filled_at)) / 1_000.0;
        (self.in_hand + come_in).min(most)
    }

    /// Whether this node may send the upstream a request.
    pub fn takes(&self, now: TimeMs) -> bool {
        self.limit_per_s.is_none() || self.in_hand(now) >= 1.0
    }

    /// Spends one request, if this node may send one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if self.limit_per_s.is_none() {
            return true;
        }
        let in_hand = self.in_hand(now);
        let is_taken = in_hand >= 1.0;
        if is_taken {
            self.in_hand = in_hand - 1.0;
            self.filled_at = now;
        }
        is_taken
    }

    /// Takes back that a request was spent.
    pub fn give_back(&mut self, now: TimeMs) {
        if self.rate_per_s > 0.0 {
            self.in_hand = self.in_hand(now) + 1.0;
            self.filled_at = now;
        }
    }

    /// Whether this node should find out if the upstream still names a limit.
    pub fn is_to_be_asked(&self, now: TimeMs) -> bool {
        self.is_first
            && self.limit_per_s.is_some()
            && now.since(self.said_at) >= UNANSWERED_MS
            && self.takes(now)
    }
}

#[cfg(test)]
mod tests;
