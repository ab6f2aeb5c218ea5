//! What this node has learnt of upstreams by calling them, beside what the host list says.

use parking_lot::Mutex;

use crate::keys::HostKey;
use crate::routing::{Health, UnreportedLoad};
use crate::time::TimeMs;
use crate::upstreams::Role;

/// Shards of the table; a power of two.
const SHARDS: usize = 16;

/// What this node has learnt of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// The host.
    pub key: HostKey,
    /// Names of the models that it has loaded, sorted; `None` until it has been asked.
    pub models: Option<Vec<String>>,
    /// The kind of work that it serves first.
    pub role: Role,
    /// What this node sent to it lately.
    pub sent: UnreportedLoad,
    /// What other nodes sent to it lately, as they tell.
    pub sent_by_peers: UnreportedLoad,
    /// How this node's calls to it went.
    pub health: Health,
    /// Until when it is to get no new work, as placement has said.
    pub drained_until_ms: Option<TimeMs>,
    /// The number of the next cache event to ask for.
    pub next_cache_event: u64,
}

impl UpstreamRow {
    fn new(key: HostKey) -> Self {
        Self {
            key,
            models: None,
            role: Role::default(),
            sent: UnreportedLoad::default(),
            sent_by_peers: UnreportedLoad::default(),
            health: Health::default(),
            drained_until_ms: None,
            next_cache_event: 0,
        }
    }

    /// Whether placement lets it run empty.
    #[must_use]
    pub fn is_drained(&self, now: TimeMs) -> bool {
        self.drained_until_ms.is_some_and(|until_ms| now < until_ms)
    }

    /// Whether it has a model, as far as is known.
    ///
    /// An engine that has not been asked yet is taken to have what its pool serves: it refuses with
    /// "not run" if not, whereas a node that has just started would otherwise refuse everything.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        let models = self.models.as_ref();
        models.is_none_or(|models| {
            models
                .binary_search_by(|held| held.as_str().cmp(model))
                .is_ok()
        })
    }
}

/// Rows by host, in shards each under its own lock.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    shards: [Mutex<Vec<UpstreamRow>>; SHARDS],
}

impl UpstreamTable {
    /// Reads or changes the row of a host, which is made if there is none.
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

    /// Forgets a host.
    pub fn remove(&self, key: HostKey) {
        let mut shard = self.shard(key).lock();
        if let Ok(index) = shard.binary_search_by_key(&key, |row| row.key) {
            shard.remove(index);
        }
    }

    fn shard(&self, key: HostKey) -> &Mutex<Vec<UpstreamRow>> {
        // The top bits choose the shard; rows within one are ordered by the whole key.
        &self.shards[usize::try_from(key.0 >> 60).unwrap_or_default() % SHARDS]
    }
}
