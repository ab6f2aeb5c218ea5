//! The streams that began recently, with what binds them.

use std::collections::VecDeque;

use bincode::{Decode, Encode};

use super::version::VersionTag;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

/// How long a stream's start is kept: longer than a stream, its caller's pauses and its resumptions take together.
const STREAM_MEMORY_MS: u64 = 60_000;

/// Most starts that a node keeps, some 60 bytes each; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;

/// Hash of the id of the request that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a request began.
    #[must_use]
    pub fn of(request_id: &str) -> Self {
        Self(tag(request_id))
    }

    /// Returns the hash, for rendezvous hashing.
    pub(super) fn hash(self) -> u64 {
        self.0
    }
}

/// What the first event of a stream binds its further events to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Origin {
    /// Tag of the pool.
    pub pool: u64,
    /// Version of the upstream that sent the first event.
    pub version: VersionTag,
    /// Tag of the team; `None` on a public route.
    pub team: Option<u64>,
}

/// The starts of streams by key.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    /// Sorted by key, with the time of the record.
    by_key: Vec<(StreamKey, Origin, TimeMs)>,
    /// The records in the order of their times; those of overwritten records remain until they expire.
    in_order: VecDeque<(TimeMs, StreamKey)>,
}

impl Origins {
    /// Records where a stream began.
    ///
    /// A record of another team stays: otherwise a team that names a foreign stream would cut off its caller from it.
    pub fn record(&mut self, key: StreamKey, origin: Origin, now: TimeMs) {
        self.remove_expired(now);
        match self.find(key) {
            Ok(index) if self.by_key[index].1.team != origin.team => return,
            Ok(index) => self.by_key[index] = (key, origin, now),
            Err(index) => self.by_key.insert(index, (key, origin, now)),
        }
        self.in_order.push_back((now, key));
    }

    /// Returns where a stream began, if that is known.
    pub fn get(&self, key: StreamKey, now: TimeMs) -> Option<Origin> {
        let index = self.find(key).ok()?;
        let (_key, origin, at) = self.by_key[index];
        (now.since(at) < STREAM_MEMORY_MS).then_some(origin)
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, Origin)> {
        (self.by_key.iter()).map(|(key, origin, _at)| (*key, *origin))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Removes expired records, and the oldest one if there are too many.
    fn remove_expired(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.in_order.front().copied() {
            let is_expired = now.since(at) >= STREAM_MEMORY_MS;
            if !is_expired && self.in_order.len() < MAX_ORIGINS {
                return;
            }
            self.in_order.pop_front();
            if let Ok(index) = self.find(key)
                && self.by_key[index].2 == at
            {
                self.by_key.remove(index);
            }
        }
    }

    fn find(&self, key: StreamKey) -> Result<usize, usize> {
        (self.by_key).binary_search_by_key(&key, |(known, _origin, _at)| *known)
    }
}

#[cfg(test)]
mod tests;
