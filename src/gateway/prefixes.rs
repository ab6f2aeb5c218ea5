//! Remembers which upstreams cache which shared prefixes, from the requests that this node sent.

use rustc_hash::FxHashMap;

use super::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Prefixes that are remembered; a site has some hundred to a few thousand in use.
const MAX_PREFIXES: usize = 8_192;

/// Upstreams remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// A prefix that was last used longer ago than this may have been evicted by its engine.
///
/// An engine caches some 700,000 tokens and prefills at most some 50 per ms, so that its whole
/// cache can turn over in about 15 s at full load; at the usual load entries stay for minutes.
const RETENTION_MS: u64 = 60_000;

/// For each shared prefix, the upstreams that it was sent to, most recent first.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    // A map, because prefixes are many and come and go with sessions.
    holders: FxHashMap<u64, Vec<(UpstreamKey, TimeMs)>>,
}

impl Prefixes {
    /// Records that a prefix was sent to an upstream.
    pub fn record(&mut self, prefix: u64, upstream: UpstreamKey, now: TimeMs) {
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&prefix) {
            self.evict_older_half(now);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|(other, _used_at)| *other != upstream);
        holders.insert(0, (upstream, now));
        holders.truncate(MAX_HOLDERS);
    }

    /// Whether an upstream is expected to have a prefix in its cache.
    pub fn holds(&self, prefix: u64, upstream: UpstreamKey, now: TimeMs) -> bool {
        self.holders(prefix, now).any(|holder| holder == upstream)
    }

    /// Returns the upstreams expected to have a prefix in their cache, most recently used first.
    pub fn holders(&self, prefix: u64, now: TimeMs) -> impl Iterator<Item = UpstreamKey> {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        holders
            .filter(move |(_holder, used_at)| now.since(*used_at) < RETENTION_MS)
            .map(|(holder, _used_at)| *holder)
    }

    fn evict_older_half(&mut self, now: TimeMs) {
        let mut ages: Vec<u64> = (self.holders.values())
            .filter_map(|holders| holders.first().map(|(_key, used_at)| now.since(*used_at)))
            .collect();
        ages.sort_unstable();
        let median_ms = ages.get(ages.len() / 2).copied().unwrap_or(0);
        self.holders.retain(|_prefix, holders| {
            (holders.first()).is_some_and(|(_key, used_at)| now.since(*used_at) < median_ms)
        });
    }
}

#[cfg(test)]
mod tests;
