//! Rate limits that upstreams state for all nodes together, and the share of this node.
//!
//! An overloaded upstream may accept from less than one request a second to dozens, from one node
//! or from a thousand. Each of a thousand nodes would exceed a low limit with its first request, so
//! only a few nodes send at all: one more than the limit in whole requests a second. The senders
//! are chosen by hash, which gives the same nodes on all nodes with the same peers, and they
//! rotate. A node that becomes a sender starts with no credit.

use bincode::{Decode, Encode};

use crate::gateway::num;
use crate::gateway::upstreams::spread_bits;
use crate::time::TimeMs;

/// Cap on a sender's credit, as the time in seconds in which its rate supplies it; at least one
/// request.
const MAX_CREDIT_S: f64 = 0.25;

/// Lower bound of the rate to an upstream.
///
/// An upstream that states a limit of zero still gets requests, since only their answers show its
/// recovery.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time since the upstream last stated its limit after which the first sender probes whether the
/// limit has ended.
const PROBE_AFTER_MS: u64 = 2_000;

/// Shortest turn, in which the same nodes send to an upstream.
///
/// A turn is longer if the upstream accepts fewer than [`MIN_REQUESTS_PER_TURN`] requests in this
/// time. The senders rotate because callers may not reach all nodes: an upstream whose senders
/// receive no requests for it would stay unused, and the end of its limit would go unnoticed.
const MIN_TURN_MS: f64 = 6_000.0;

/// Fewest requests that an upstream accepts in a turn.
const MIN_REQUESTS_PER_TURN: f64 = 3.0;

/// Time for which a node reports to its peers what an upstream stated to it.
///
/// A node that starts in this time learns of the limit only from these reports, since most nodes
/// may not send to the upstream and get no statement of their own.
const REPORT_RETENTION_MS: u64 = 60_000;

/// Limit that an answer states for its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StatedLimit {
    /// The answer states no limit.
    Unstated,
    /// Requests a second from all nodes; finite, zero or more.
    PerS(f64),
    /// The stated value is not a valid limit.
    Unreadable,
}

/// Change of an upstream's known limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Change {
    /// The upstream states a new or different limit, in requests a second.
    Named(f64),
    /// The upstream no longer states a limit.
    Ended,
}

/// Limit that an upstream stated to one node, reported to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LimitReport {
    /// The upstream's tag.
    pub upstream: u64,
    /// Requests a second from all nodes; `None` if the limit has ended.
    pub limit_per_s: Option<f64>,
    /// Time since the upstream stated the limit or its end.
    pub age_ms: u64,
}

/// Nodes that share a limit, as seen by one of them.
#[derive(Clone, Debug)]
pub(crate) struct Sharers {
    /// Tag of this node.
    pub own: u64,
    /// Tags of the peers that are in contact with this node and not shutting down.
    pub peers: Vec<u64>,
    /// Fraction of the limit that the nodes in contact with each other may use.
    pub share: f64,
    /// Time of day that most nodes agree on, in Unix milliseconds.
    pub day_ms: u64,
    /// Whether this node may send to limited upstreams.
    ///
    /// It may after it has had time to learn of its peers and until it starts to shut down.
    pub is_sending: bool,
}

impl Sharers {
    /// Returns the number of nodes that rank before this one for an upstream with this limit.
    fn rank(&self, upstream: u64, limit_per_s: f64) -> usize {
        let turn_ms = MIN_TURN_MS.max(MIN_REQUESTS_PER_TURN * 1_000.0 / limit_per_s);
        let turn = self.day_ms / num::round_to_u64(turn_ms);
        let turn_hash = spread_bits(upstream ^ spread_bits(turn));
        let rank_key = |node: u64| (spread_bits(node ^ turn_hash), node);
        let own = rank_key(self.own);
        (self.peers.iter())
            .filter(|peer| rank_key(**peer) < own)
            .count()
    }
}

/// Known limit of one incarnation of an upstream, and this node's share of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Throttle {
    /// Requests a second from all nodes; `None` without a limit.
    limit_per_s: Option<f64>,
    /// Latest known time of a statement by the upstream; zero if it never stated a limit.
    stated_at: TimeMs,
    /// Time of the last statement in an answer to this node; zero if there was none.
    answered_at: TimeMs,
    /// Time at which the known limit last changed on this node.
    changed_at: TimeMs,
    /// This node's share of the limit, in requests a second.
    rate_per_s: f64,
    /// Requests that this node may send at once, as of `refilled_at`.
    credit_requests: f64,
    refilled_at: TimeMs,
    /// Whether this node ranks first among the senders.
    is_first_sender: bool,
}

impl Throttle {
    /// Returns the upstream's limit in requests a second from all nodes, if it states one.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Records the limit in an answer to this node; returns the change it makes, if any.
    ///
    /// An answer without a limit ends a limit only if its request was sent after the limit was last
    /// stated, since answers may arrive out of order.
    pub fn record_answer(
        &mut self,
        stated: StatedLimit,
        sent_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let (limit_per_s, stated_at) = match stated {
            StatedLimit::PerS(limit_per_s) => (Some(limit_per_s), now),
            StatedLimit::Unstated if sent_at > self.stated_at => (None, sent_at),
            // An unreadable value is no evidence that the limit has ended.
            StatedLimit::Unstated | StatedLimit::Unreadable => return None,
        };
        if limit_per_s.is_none() && self.stated_at == TimeMs(0) {
            return None;
        }
        self.answered_at = now;
        self.apply_limit(limit_per_s, stated_at, now)
    }

    /// Applies a limit that a peer reports; returns the change it makes, if any.
    ///
    /// A report that is no newer than the last known statement is ignored.
    pub fn apply_report(&mut self, report: &LimitReport, now: TimeMs) -> Option<Change> {
        let stated_at = TimeMs(now.0.saturating_sub(report.age_ms));
        if stated_at <= self.stated_at {
            return None;
        }
        self.apply_limit(report.limit_per_s, stated_at, now)
    }

    fn apply_limit(
        &mut self,
        limit_per_s: Option<f64>,
        stated_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let before = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        self.stated_at = stated_at;
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

    /// Returns what the upstream recently stated to this node itself, as a report for its peers.
    pub fn report(&self, upstream: u64, now: TimeMs) -> Option<LimitReport> {
        // The end of a limit is reported only for a time after the change, since each answer
        // without a limit confirms it.
        let since = match self.limit_per_s {
            Some(_limit_per_s) => self.answered_at,
            None => self.changed_at,
        };
        let is_reported = self.answered_at > TimeMs(0) && now.since(since) < REPORT_RETENTION_MS;
        is_reported.then(|| LimitReport {
            upstream,
            limit_per_s: self.limit_per_s,
            age_ms: now.since(self.stated_at),
        })
    }

    /// Recomputes this node's share of the limit.
    pub fn update_share(&mut self, upstream: u64, sharers: &Sharers, now: TimeMs) {
        let Some(limit_per_s) = self.limit_per_s else {
            return;
        };
        let limit_per_s = limit_per_s.max(MIN_RATE_PER_S);
        let nodes = sharers.peers.len() + 1;
        let senders = usize::try_from(num::round_to_u64(limit_per_s.floor())).unwrap_or(usize::MAX);
        let senders = senders.saturating_add(1).min(nodes);
        let rank = sharers.rank(upstream, limit_per_s);
        let is_sender = sharers.is_sending && rank < senders;
        let rate_per_s = if is_sender {
            limit_per_s * sharers.share / num::to_f64(senders as u64)
        } else {
            0.0
        };
        self.is_first_sender = rank == 0;
        self.set_rate(rate_per_s, now);
    }

    fn set_rate(&mut self, rate_per_s: f64, now: TimeMs) {
        self.credit_requests = if rate_per_s > 0.0 {
            self.credit_requests(now)
        } else {
            0.0
        };
        self.refilled_at = now;
        self.rate_per_s = rate_per_s;
    }

    /// Returns the number of requests that this node may send at once.
    fn credit_requests(&self, now: TimeMs) -> f64 {
        let max_requests = (self.rate_per_s * MAX_CREDIT_S).max(1.0);
        let refill_requests = self.rate_per_s * num::to_f64(now.since(self.refilled_at)) / 1_000.0;
        (self.credit_requests + refill_requests).min(max_requests)
    }

    /// Whether this node may send a request to the upstream.
    pub fn can_send(&self, now: TimeMs) -> bool {
        self.limit_per_s.is_none() || self.credit_requests(now) >= 1.0
    }

    /// Deducts one request from the credit; returns whether the request may be sent.
    pub fn try_take(&mut self, now: TimeMs) -> bool {
        if self.limit_per_s.is_none() {
            return true;
        }
        let credit_requests = self.credit_requests(now);
        let may_send = credit_requests >= 1.0;
        if may_send {
            self.credit_requests = credit_requests - 1.0;
            self.refilled_at = now;
        }
        may_send
    }

    /// Refunds a request that was deducted and not sent.
    pub fn refund(&mut self, now: TimeMs) {
        if self.rate_per_s > 0.0 {
            self.credit_requests = self.credit_requests(now) + 1.0;
            self.refilled_at = now;
        }
    }

    /// Whether this node should probe whether the upstream still states a limit.
    pub fn needs_probe(&self, now: TimeMs) -> bool {
        self.is_first_sender
            && self.limit_per_s.is_some()
            && now.since(self.stated_at) >= PROBE_AFTER_MS
            && self.can_send(now)
    }
}

#[cfg(test)]
mod tests;
