//! Whether this node reaches the upstreams of a pool over the network.
//!
//! A node may be cut off from all upstreams while callers, the store and its peers still reach it.
//! What it knows of the upstreams then says nothing about whether it can serve a request.

use super::num;
use super::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Upstreams to which connecting must fail, without contact to any other of the pool in between,
/// until the pool counts as unreached. One may have crashed.
const MIN_FAILED_UPSTREAMS: usize = 2;

/// Time without contact, from the first such failure, until the pool counts as unreached. If many
/// upstreams crash together, several refuse connections within milliseconds while others work.
const MIN_LOSS_MS: u64 = 300;

/// Time after which a failure to connect no longer counts.
const FAILURE_TTL_MS: u64 = 3_000;

/// Time over which a node that reaches a pool again takes back its requests. A link may work for a
/// moment only.
const RETURN_MS: u64 = 1_000;

/// A change of whether this node reaches a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The first failure since the last contact. A connection to another upstream tells whether the
    /// pool is lost.
    Suspected,
    Lost,
    Regained {
        /// For how long the pool was unreached.
        after_ms: u64,
    },
}

/// The contact of this node with the upstreams of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolReach {
    /// Upstreams to which connecting failed since the last contact, and when; sorted by upstream.
    failed: Vec<(UpstreamKey, TimeMs)>,
    /// When the first of them failed.
    suspected_at: TimeMs,
    /// When the pool was lost; `None` while it is reached.
    lost_at: Option<TimeMs>,
    /// When the pool was last regained; zero if it never was lost.
    regained_at: TimeMs,
}

impl PoolReach {
    /// Whether this node does not reach the pool.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether this node sends a request with this uniform draw to the pool itself, rather than
    /// through a peer that reaches the pool.
    pub fn serves_itself(&self, draw: u64, now: TimeMs) -> bool {
        !self.is_lost() && now.since(self.regained_at) > draw % RETURN_MS
    }

    /// Records that no connection to an upstream could be opened; `known` is the number of the
    /// pool's upstreams that accept requests.
    pub fn record_unreachable(
        &mut self,
        upstream: UpstreamKey,
        known: usize,
        now: TimeMs,
    ) -> Option<Change> {
        (self.failed).retain(|(_upstream, at)| now.since(*at) < FAILURE_TTL_MS);
        let is_first = self.failed.is_empty();
        match (self.failed).binary_search_by_key(&upstream, |(failed, _at)| *failed) {
            Ok(index) => self.failed[index].1 = now,
            Err(index) => self.failed.insert(index, (upstream, now)),
        }
        let is_returning = now.since(self.regained_at) < RETURN_MS;
        let needed = if is_returning {
            1
        } else {
            MIN_FAILED_UPSTREAMS
        };
        if is_first {
            self.suspected_at = now;
        }
        let is_lost = self.failed.len() >= needed.min(known.max(1))
            && now.since(self.suspected_at) >= MIN_LOSS_MS;
        match is_lost {
            _ if self.is_lost() => None,
            true => {
                self.lost_at = Some(now);
                Some(Change::Lost)
            }
            false => is_first.then_some(Change::Suspected),
        }
    }

    /// Whether connecting failed since the last contact to the pool, and the pool is not lost yet.
    pub fn is_suspected(&self) -> bool {
        !self.failed.is_empty() && !self.is_lost()
    }

    /// Whether connecting to an upstream failed since the last contact to the pool.
    pub fn has_failed(&self, upstream: UpstreamKey) -> bool {
        let found = (self.failed).binary_search_by_key(&upstream, |(failed, _at)| *failed);
        found.is_ok()
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now: TimeMs) -> Option<Change> {
        self.failed.clear();
        let lost_at = self.lost_at.take()?;
        self.regained_at = now;
        Some(Change::Regained {
            after_ms: now.since(lost_at),
        })
    }

    /// Records a response of an upstream.
    ///
    /// It does not end the loss of a pool: connections may live on while new ones are refused.
    pub fn record_response(&mut self) {
        if !self.is_lost() {
            self.failed.clear();
        }
    }
}

/// Returns the level of a pool's reach for a gauge: 1 if this node reaches the pool, else 0.
#[must_use]
pub(crate) fn level(reach: Option<&PoolReach>) -> f64 {
    let is_reached = reach.is_none_or(|reach| !reach.is_lost());
    num::to_f64(u64::from(is_reached))
}

#[cfg(test)]
mod tests;
