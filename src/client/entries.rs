//! The nodes known to a caller, the selection among them, and unused request ids.

use std::sync::Arc;

use super::wire::Entries;
use crate::time::TimeMs;

/// Time after a failure during which other nodes are preferred.
const FAILURE_BACKOFF_MS: u64 = 2_000;
/// Maximum age of an unused id; well below its validity, so that slow calls end before it expires.
const MAX_ID_AGE_MS: u64 = 60_000;

/// A node's address as in a URL: host and port.
pub type Authority = Arc<str>;

/// Known nodes with their latest failures, and unused request ids.
#[derive(Clone, Debug, Default)]
pub struct KnownNodes {
    seeds: Vec<KnownNode>,
    listed: Vec<KnownNode>,
    list_expires_at_ms: TimeMs,
    ids: Vec<UnusedId>,
}

/// A known node and the time of its latest failure, if it has not responded since.
#[derive(Clone, Debug)]
struct KnownNode {
    authority: Authority,
    failed_at_ms: Option<TimeMs>,
}

/// An unused request id.
#[derive(Clone, Debug)]
struct UnusedId {
    id: String,
    received_at_ms: TimeMs,
}

impl KnownNode {
    fn new(authority: Authority) -> Self {
        Self {
            authority,
            failed_at_ms: None,
        }
    }

    fn has_failed_recently(&self, now: TimeMs) -> bool {
        (self.failed_at_ms).is_some_and(|failed_ms| now.since(failed_ms) < FAILURE_BACKOFF_MS)
    }
}

impl KnownNodes {
    /// An instance with only the nodes from the settings.
    #[must_use]
    pub fn new(seeds: impl IntoIterator<Item = Authority>) -> Self {
        Self {
            seeds: seeds.into_iter().map(KnownNode::new).collect(),
            ..Self::default()
        }
    }

    /// Whether the list must be refreshed before a node is picked.
    #[must_use]
    pub fn is_stale(&self, now: TimeMs) -> bool {
        now >= self.list_expires_at_ms
            || self
                .listed
                .iter()
                .all(|known| known.has_failed_recently(now))
    }

    /// Returns a node without a recorded failure, or else the one whose failure is oldest.
    ///
    /// The first of equal nodes is chosen; `avoid` only if no other node is known.
    #[must_use]
    pub fn pick(&self, avoid: Option<&Authority>, now: TimeMs) -> Option<Authority> {
        let known = self.listed.iter().chain(&self.seeds);
        let rank = |known: &KnownNode| {
            let is_avoided = avoid == Some(&known.authority);
            (
                is_avoided,
                known.has_failed_recently(now),
                known.failed_at_ms,
            )
        };
        known
            .min_by_key(|known| rank(known))
            .map(|known| Arc::clone(&known.authority))
    }

    /// All known nodes, in the order in which to request a new list from them.
    ///
    /// Nodes that failed recently come last but are included; otherwise a caller could not recover
    /// after an outage of all nodes.
    #[must_use]
    pub fn refresh_order(&self, now: TimeMs) -> Vec<Authority> {
        let mut nodes: Vec<&KnownNode> = self.listed.iter().chain(&self.seeds).collect();
        nodes.sort_by_key(|known| (known.has_failed_recently(now), known.failed_at_ms));
        let mut ordered: Vec<Authority> = Vec::with_capacity(nodes.len());
        for known in nodes {
            if !ordered.contains(&known.authority) {
                ordered.push(Arc::clone(&known.authority));
            }
        }
        ordered
    }

    /// Replaces the list and adds its ids; recorded failures of nodes are kept.
    pub fn apply_list(&mut self, list: &Entries, now: TimeMs) {
        let listed = list.entries.iter().map(|entry| {
            let authority = Authority::from(entry.address.as_str());
            let failed_at_ms = self.failed_at_ms(&authority);
            KnownNode {
                authority,
                failed_at_ms,
            }
        });
        self.listed = listed.collect();
        self.list_expires_at_ms = now.after(list.ttl_ms);
        self.ids.extend(list.ids.iter().map(|id| UnusedId {
            id: id.clone(),
            received_at_ms: now,
        }));
    }

    /// Removes and returns an unexpired id, if there is one.
    pub fn take_id(&mut self, now: TimeMs) -> Option<String> {
        self.ids
            .retain(|held| now.since(held.received_at_ms) < MAX_ID_AGE_MS);
        self.ids.pop().map(|held| held.id)
    }

    /// Records that an attempt at a node failed.
    pub fn record_failure(&mut self, authority: &Authority, now: TimeMs) {
        self.set_failed_at(authority, Some(now));
    }

    /// Records that a node responded, which clears its failure.
    pub fn record_response(&mut self, authority: &Authority) {
        self.set_failed_at(authority, None);
    }

    fn set_failed_at(&mut self, authority: &Authority, failed_at_ms: Option<TimeMs>) {
        for known in self.listed.iter_mut().chain(&mut self.seeds) {
            if known.authority == *authority {
                known.failed_at_ms = failed_at_ms;
            }
        }
    }

    fn failed_at_ms(&self, authority: &Authority) -> Option<TimeMs> {
        let mut known = self.listed.iter().chain(&self.seeds);
        known
            .find(|known| known.authority == *authority)?
            .failed_at_ms
    }
}

#[cfg(test)]
mod tests;
