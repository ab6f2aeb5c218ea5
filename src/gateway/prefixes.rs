//! Where shared parts of prompts have been read, as far as this node sent them.

use rustc_hash::FxHashMap;

use super::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Parts that are remembered; a site has some hundred to a few thousand in use.
const MOST_PARTS: usize = 8_192;

/// Upstreams remembered for one part.
const MOST_HOLDERS: usize = 4;

/// A part that was last used longer ago than this may have been evicted.
///
/// An engine keeps some 700,000 tokens and reads at most some 50 a millisecond, so that all it
/// keeps can be replaced in about 15 s at full load, and stays for minutes at the usual load.
const KEPT_MS: u64 = 60_000;

/// For each shared part, the upstreams that were sent it, newest first.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    // A map: parts are many and come and go with sessions.
    holders: FxHashMap<u64, Vec<(UpstreamKey, TimeMs)>>,
}

impl Prefixes {
    /// Notes that an upstream was sent a part.
    pub fn note(&mut self, part: u64, upstream: UpstreamKey, now: TimeMs) {
        if self.holders.len() >= MOST_PARTS && !self.holders.contains_key(&part) {
            self.forget_old(now);
        }
        let holders = self.holders.entry(part).or_default();
        holders.retain(|(other, _at)| *other != upstream);
        holders.insert(0, (upstream, now));
        holders.truncate(MOST_HOLDERS);
    }

    /// Whether an upstream is believed to have a part in memory.
    pub fn holds(&self, part: u64, upstream: UpstreamKey, now: TimeMs) -> bool {
        self.holders(part, now).any(|holder| holder == upstream)
    }

    /// The upstreams that are believed to have a part in memory, the one used last first.
    pub fn holders(&self, part: u64, now: TimeMs) -> impl Iterator<Item = UpstreamKey> {
        let holders = self.holders.get(&part).into_iter().flatten();
        holders
            .filter(move |(_holder, at)| now.since(*at) < KEPT_MS)
            .map(|(holder, _at)| *holder)
    }

    fn forget_old(&mut self, now: TimeMs) {
        let mut ages: Vec<u64> = (self.holders.values())
            .filter_map(|holders| holders.first().map(|(_key, at)| now.since(*at)))
            .collect();
        ages.sort_unstable();
        let median_ms = ages.get(ages.len() / 2).copied().unwrap_or(0);
        self.holders.retain(|_part, holders| {
            (holders.first()).is_some_and(|(_key, at)| now.since(*at) < median_ms)
        });
    }
}

#[cfg(test)]
mod tests;
