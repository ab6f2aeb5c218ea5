//! Which nodes a caller knows, which one it uses next, and the ids that it holds.

use std::sync::Arc;

use super::wire::Entries;
use crate::time::TimeMs;

/// How long a node that failed is passed over while others are known.
const FAILED_REST_MS: u64 = 2_000;
/// How long an id is kept for use; well within its validity, so that a slow call is in time.
const ID_KEEP_MS: u64 = 60_000;

/// A node's address as it stands in a URL: host and port.
pub type Authority = Arc<str>;

/// What a caller knows of nodes.
#[derive(Clone, Debug, Default)]
pub struct EntryBook {
    seeds: Vec<Known>,
    listed: Vec<Known>,
    listed_until_ms: TimeMs,
    ids: Vec<HeldId>,
}

#[derive(Clone, Debug)]
struct Known {
    authority: Authority,
    failed_at_ms: Option<TimeMs>,
}

#[derive(Clone, Debug)]
struct HeldId {
    id: String,
    got_at_ms: TimeMs,
}

impl Known {
    fn new(authority: Authority) -> Self {
        Self {
            authority,
            failed_at_ms: None,
        }
    }

    fn rests(&self, now: TimeMs) -> bool {
        (self.failed_at_ms).is_some_and(|failed_ms| now.since(failed_ms) < FAILED_REST_MS)
    }
}

impl EntryBook {
    /// A book that knows the nodes of the settings alone.
    #[must_use]
    pub fn new(seeds: impl IntoIterator<Item = Authority>) -> Self {
        Self {
            seeds: seeds.into_iter().map(Known::new).collect(),
            ..Self::default()
        }
    }

    /// Whether the list must be asked for again before it is used.
    #[must_use]
    pub fn is_stale(&self, now: TimeMs) -> bool {
        now >= self.listed_until_ms || self.listed.iter().all(|known| known.rests(now))
    }

    /// The node to use, best first of those that did not just fail; `avoid` only if there is no
    /// other.
    #[must_use]
    pub fn pick(&self, avoid: Option<&Authority>, now: TimeMs) -> Option<Authority> {
        let known = self.listed.iter().chain(&self.seeds);
        let rank = |known: &Known| {
            let avoided = avoid == Some(&known.authority);
            (avoided, known.rests(now), known.failed_at_ms)
        };
        known
            .min_by_key(|known| rank(known))
            .map(|known| Arc::clone(&known.authority))
    }

    /// The nodes to ask for a new list, in order.
    ///
    /// Those that failed come last and are not left out: after an outage of all of them, one would
    /// otherwise see a caller that never finds back.
    #[must_use]
    pub fn to_ask(&self, now: TimeMs) -> Vec<Authority> {
        let mut known: Vec<&Known> = self.listed.iter().chain(&self.seeds).collect();
        known.sort_by_key(|known| (known.rests(now), known.failed_at_ms));
        let mut ordered: Vec<Authority> = Vec::with_capacity(known.len());
        for known in known {
            if !ordered.contains(&known.authority) {
                ordered.push(Arc::clone(&known.authority));
            }
        }
        ordered
    }

    /// Takes a new list; what is known of failures stays.
    pub fn take_list(&mut self, list: &Entries, now: TimeMs) {
        let listed = list.entries.iter().map(|entry| {
            let authority = Authority::from(entry.address.as_str());
            let failed_at_ms = self.failed_at_ms(&authority);
            Known {
                authority,
                failed_at_ms,
            }
        });
        self.listed = listed.collect();
        self.listed_until_ms = now.after(list.ttl_ms);
        self.ids.extend(list.ids.iter().map(|id| HeldId {
            id: id.clone(),
            got_at_ms: now,
        }));
    }

    /// Takes an id out of the book.
    pub fn take_id(&mut self, now: TimeMs) -> Option<String> {
        self.ids
            .retain(|held| now.since(held.got_at_ms) < ID_KEEP_MS);
        self.ids.pop().map(|held| held.id)
    }

    /// Notes that a node could not be used.
    pub fn note_failure(&mut self, authority: &Authority, now: TimeMs) {
        self.note(authority, Some(now));
    }

    /// Notes that a node answered.
    pub fn note_answer(&mut self, authority: &Authority) {
        self.note(authority, None);
    }

    fn note(&mut self, authority: &Authority, failed_at_ms: Option<TimeMs>) {
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
