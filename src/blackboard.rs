//! The shared state that collectors write and controllers read.
//!
//! Host rows are sharded, each shard under its own lock, so that a load report of one host does not
//! block the selection among others. Document keys are positions, which can differ between
//! revisions; rows therefore contain the platform's names and are resolved again for each revision.

pub mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, HostKey, PoolKey};
use crate::routing::cache::PrefixCacheEstimate;
use crate::time::TimeMs;

pub use upstreams::{UpstreamRow, UpstreamTable};

/// Number of shards of the host table; a power of two.
const HOST_SHARDS: usize = 16;

/// The active document and its revision.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The revision, which is the log offset of the accepted entry.
    pub revision: u64,
    /// The validated document.
    pub document: Document,
    /// The document's source text as submitted by the operator.
    pub text: String,
}

/// Whether a host may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host may receive new work.
    Live,
    /// The host must not receive new work and is removed at `leave_at_ms`.
    Leaving {
        /// When the platform reclaims the host.
        leave_at_ms: TimeMs,
    },
}

/// The latest load report of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the host measured the load.
    pub as_of_ms: TimeMs,
    /// Number of running streams.
    pub running: u32,
    /// Number of queued streams.
    pub queued: u32,
    /// Maximum number of concurrently running streams.
    pub slots: u32,
    /// Current generation throughput.
    pub tokens_per_second: f64,
    /// Tokens held in the KV cache.
    pub kv_tokens_used: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens_capacity: u64,
}

/// The state of one upstream host as known to this node.
#[derive(Clone, Debug)]
pub struct HostRow {
    /// The hash of its name.
    pub key: HostKey,
    /// Its name on the platform.
    pub name: String,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its host class.
    pub class: ClassKey,
    /// Its pool.
    pub pool: PoolKey,
    /// Whether it may receive new work.
    pub state: HostState,
    /// Its latest load report.
    pub load: LoadReport,
    /// Number of streams that this node has open on it.
    pub own_open_streams: u32,
}

/// The shared state that collectors write and controllers read.
#[derive(Debug, Default)]
pub struct Blackboard {
    active_configuration: RwLock<Option<Arc<ActiveConfiguration>>>,
    hosts: [Mutex<Vec<HostRow>>; HOST_SHARDS],
    /// The state of upstreams that this node observed by calling them.
    pub upstreams: UpstreamTable,
    /// The estimated contents of the engines' prefix caches.
    pub prefix_caches: PrefixCacheEstimate,
}

impl Blackboard {
    /// Returns the active document, or `None` until the first one is accepted.
    #[must_use]
    pub fn active_configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active_configuration.read().clone()
    }

    /// Activates a newer revision; returns `false` if the active one is as new or newer.
    ///
    /// Peers and the log deliver revisions in any order. Activating an older one would undo an
    /// operator's change; the comparison under the lock prevents this.
    pub fn activate_if_newer(&self, new: ActiveConfiguration) -> bool {
        let mut active = self.active_configuration.write();
        let is_newer = active
            .as_ref()
            .is_none_or(|active| active.revision < new.revision);
        if is_newer {
            *active = Some(Arc::new(new));
        }
        is_newer
    }

    /// Calls `act` with the row of a host; returns `None` if the host is unknown.
    pub fn with_host<T>(&self, key: HostKey, act: impl FnOnce(&mut HostRow) -> T) -> Option<T> {
        let mut shard = self.shard(key).lock();
        match shard.binary_search_by_key(&key, |row| row.key) {
            Ok(index) => Some(act(&mut shard[index])),
            Err(_) => None,
        }
    }

    /// Inserts the row of a host, replacing an existing one.
    pub fn upsert_host(&self, row: HostRow) {
        let mut shard = self.shard(row.key).lock();
        match shard.binary_search_by_key(&row.key, |existing| existing.key) {
            Ok(index) => shard[index] = row,
            Err(index) => shard.insert(index, row),
        }
    }

    /// Removes a host and returns its row.
    pub fn remove_host(&self, key: HostKey) -> Option<HostRow> {
        let mut shard = self.shard(key).lock();
        let index = shard.binary_search_by_key(&key, |row| row.key).ok()?;
        Some(shard.remove(index))
    }

    /// Calls `visit` with the row of every host, locking one shard at a time.
    pub fn for_each_host(&self, mut visit: impl FnMut(&mut HostRow)) {
        for shard in &self.hosts {
            shard.lock().iter_mut().for_each(&mut visit);
        }
    }

    fn shard(&self, key: HostKey) -> &Mutex<Vec<HostRow>> {
        // The top bits select the shard; rows within a shard are sorted by the whole key.
        &self.hosts[usize::try_from(key.0 >> 60).unwrap_or_default() % HOST_SHARDS]
    }
}
