//! The state of upstreams that this node observed by calling them, in addition to the host list.

use parking_lot::Mutex;

use crate::keys::HostKey;
use crate::routing::{Health, UnreportedLoad};
use crate::time::TimeMs;
use crate::upstreams::Role;

/// Number of shards of the table; a power of two.
const SHARDS: usize = 16;

/// The observed state of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// The key of the host.
    pub key: HostKey,
    /// The sorted names of its loaded models; `None` until it has been queried.
    pub models: Option<Vec<String>>,
    /// The kind of work that it serves preferentially.
    pub role: Role,
    /// The load that this node sent to it recently.
    pub unreported_load: UnreportedLoad,
    /// The load that other nodes reported to have sent to it recently.
    pub unreported_peer_load: UnreportedLoad,
    /// Its health, derived from the results of this node's calls.
    pub health: Health,
    /// End of the period in which placement excludes it from new work.
    pub draining_until_ms: Option<TimeMs>,
    /// The sequence number of the next cache event to request.
    pub next_cache_event: u64,
}

impl UpstreamRow {
    fn new(key: HostKey) -> Self {
        Self {
            key,
            models: None,
            role: Role::default(),
            unreported_load: UnreportedLoad::default(),
            unreported_peer_load: UnreportedLoad::default(),
            health: Health::default(),
            draining_until_ms: None,
            next_cache_event: 0,
        }
    }

    /// Returns whether placement is draining the upstream.
    #[must_use]
    pub fn is_draining(&self, now: TimeMs) -> bool {
        self.draining_until_ms
            .is_some_and(|until_ms| now < until_ms)
    }

    /// Returns whether the upstream is known or assumed to have loaded a model.
    ///
    /// An engine that has not been queried yet is assumed to have the models of its pool. If it has
    /// not, it refuses the request with "not run"; without the assumption a node that has just
    /// started would refuse every request.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        let models = self.models.as_ref();
        models.is_none_or(|models| {
            models
                .binary_search_by(|loaded| loaded.as_str().cmp(model))
                .is_ok()
        })
    }
}

/// A sharded table of upstream rows by host, with one lock per shard.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    shards: [Mutex<Vec<UpstreamRow>>; SHARDS],
}

impl UpstreamTable {
    /// Calls `act` with the row of a host, inserting a default row if there is none.
    pub fn with<T>(&self, key: HostKey, act: impl FnOnce(&mut UpstreamRow) -> T) -> T {
        let mut shard = self.shard(key).lock();
        let index = match shard.binary_search_by_key(&key, |row| row.key) {
            Ok(index) => index,
            Err(index) => {
                shard.insert(index, UpstreamRow::new(key));
                index
            }
        };
        act(&mut shard[index])
    }

    /// Removes the row of a host.
    pub fn remove(&self, key: HostKey) {
        let mut shard = self.shard(key).lock();
        if let Ok(index) = shard.binary_search_by_key(&key, |row| row.key) {
            shard.remove(index);
        }
    }

    fn shard(&self, key: HostKey) -> &Mutex<Vec<UpstreamRow>> {
        // The top bits select the shard; rows within a shard are sorted by the whole key.
        &self.shards[usize::try_from(key.0 >> 60).unwrap_or_default() % SHARDS]
    }
}
