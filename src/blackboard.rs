//! State that collectors write and controllers read.
//!
//! Hosts are kept in shards, each under its own lock, so that a load report on one host does not
//! hold up the choice among others. Keys of the document may change meaning from one revision to
//! the next; rows therefore keep the platform's names and are resolved again on a new revision.

pub mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, HostKey, PoolKey};
use crate::routing::cache::PrefixCacheEstimate;
use crate::time::TimeMs;

pub use upstreams::{UpstreamRow, UpstreamTable};

/// Shards of the host table; a power of two.
const HOST_SHARDS: usize = 16;

/// A document with the revision that it is.
#[derive(Debug)]
pub struct InForce {
    /// The revision: the log offset of the accepted entry.
    pub revision: u64,
    /// The checked document.
    pub document: Document,
    /// The document as its operator wrote it.
    pub text: String,
}

/// Whether a host may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It may.
    Live,
    /// It must get nothing new; it is gone at `leave_at_ms`.
    Leaving {
        /// When the platform takes it away.
        leave_at_ms: TimeMs,
    },
}

/// The newest load report of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the host measured it.
    pub as_of_ms: TimeMs,
    /// Streams running.
    pub running: u32,
    /// Streams queued.
    pub queued: u32,
    /// Streams that it runs at once.
    pub slots: u32,
    /// Tokens that it generates now.
    pub tokens_per_second: f64,
    /// KV cache in use.
    pub kv_tokens_used: u64,
    /// KV cache in all.
    pub kv_tokens_capacity: u64,
}

/// What this node knows of one upstream host.
#[derive(Clone, Debug)]
pub struct HostRow {
    /// The key of its name.
    pub key: HostKey,
    /// The platform's name for it.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its class.
    pub class: ClassKey,
    /// Its pool.
    pub pool: PoolKey,
    /// Whether it may be given work.
    pub state: HostState,
    /// Its newest load report.
    pub load: LoadReport,
    /// Streams that this node has open on it.
    pub open_here: u32,
}

/// State that collectors write and controllers read.
#[derive(Debug, Default)]
pub struct Blackboard {
    in_force: RwLock<Option<Arc<InForce>>>,
    hosts: [Mutex<Vec<HostRow>>; HOST_SHARDS],
    /// What this node has learnt of upstreams by calling them.
    pub upstreams: UpstreamTable,
    /// What engines are believed to have cached.
    pub caches: PrefixCacheEstimate,
}

impl Blackboard {
    /// The document in force, if any has been accepted yet.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().clone()
    }

    /// Puts a revision in force unless one as new is already; tells whether it did.
    ///
    /// Peers and the log deliver revisions in any order. Applying an older one would bring back
    /// what an operator has replaced; the comparison under the lock rules that out.
    pub fn put_in_force(&self, new: InForce) -> bool {
        let mut held = self.in_force.write();
        let newer = held
            .as_ref()
            .is_none_or(|held| held.revision < new.revision);
        if newer {
            *held = Some(Arc::new(new));
        }
        newer
    }

    /// Reads or changes one host.
    pub fn with_host<T>(&self, key: HostKey, act: impl FnOnce(&mut HostRow) -> T) -> Option<T> {
        let mut shard = self.shard(key).lock();
        match shard.binary_search_by_key(&key, |row| row.key) {
            Ok(index) => Some(act(&mut shard[index])),
            Err(_) => None,
        }
    }

    /// Adds a host or replaces its row.
    pub fn put_host(&self, row: HostRow) {
        let mut shard = self.shard(row.key).lock();
        match shard.binary_search_by_key(&row.key, |held| held.key) {
            Ok(index) => shard[index] = row,
            Err(index) => shard.insert(index, row),
        }
    }

    /// Forgets a host.
    pub fn remove_host(&self, key: HostKey) -> Option<HostRow> {
        let mut shard = self.shard(key).lock();
        let index = shard.binary_search_by_key(&key, |row| row.key).ok()?;
        Some(shard.remove(index))
    }

    /// Hands every host to `visit`, shard by shard.
    pub fn visit_hosts(&self, mut visit: impl FnMut(&mut HostRow)) {
        for shard in &self.hosts {
            shard.lock().iter_mut().for_each(&mut visit);
        }
    }

    fn shard(&self, key: HostKey) -> &Mutex<Vec<HostRow>> {
        // The top bits choose the shard; rows within one are ordered by the whole key.
        &self.hosts[usize::try_from(key.0 >> 60).unwrap_or_default() % HOST_SHARDS]
    }
}
