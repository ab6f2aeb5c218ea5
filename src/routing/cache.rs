//! Estimates which prompt blocks each engine has cached, in bounded memory.
//!
//! Requests that this node sends are recorded immediately. Cache events arrive late and with gaps,
//! and the cached-token counts that engines report correct the remaining errors. Every entry is an
//! estimate with an age, which is counted in blocks that the engine has stored since.

mod shard;

use parking_lot::Mutex;

use self::shard::{Holder, Shard};
use super::chain::{BLOCK_TOKENS, PromptBlocks};
use super::{Candidate, score};
use crate::keys::HostKey;
use crate::upstreams::{CacheEvent, CacheEventKind};

/// Number of shards of the block table; a power of two.
const SHARDS: usize = 64;
/// Maximum blocks per shard; at about 100 bytes each, 26 MB in all.
const BLOCKS_PER_SHARD: usize = 4_096;
/// Depth up to which every block is tracked.
const DENSE_DEPTH_BLOCKS: usize = 16;
/// Beyond [`DENSE_DEPTH_BLOCKS`], one block in this many is tracked.
const SPARSE_STRIDE_BLOCKS: usize = 4;
/// Share of its capacity that an engine stores before it starts to evict older blocks.
const SAFE_TURNOVER: f64 = 0.6;
/// Share of its capacity that an engine stores until all older blocks are evicted.
const FULL_TURNOVER: f64 = 1.1;
/// Smoothing factor of `HostCache::trust`: the weight of the newest report.
const TRUST_SMOOTHING: f64 = 0.1;
/// Value of `Entry::branches` from which a prefix counts as shared.
const SHARED_PREFIX_BRANCHES: u8 = 3;

/// The cache estimate for one prompt.
#[derive(Clone, Debug)]
pub struct PromptEstimate {
    /// Hash of the part of the prompt that distinguishes it from others; ranks the hosts for it.
    pub affinity: u64,
    /// Hash of the prefix that many different prompts share; ranks the hosts that may hold it.
    pub shared_affinity: Option<u64>,
    /// Tokens of the prefix that many different prompts share.
    pub shared_tokens: u64,
    /// Estimated number of cached tokens for each host, sorted by host.
    pub cached: Vec<(HostKey, f64)>,
}

impl PromptEstimate {
    /// Sets `cached_tokens` of each candidate.
    pub fn set_cached_tokens(&self, view: &mut [Candidate]) {
        for candidate in view {
            let found = self
                .cached
                .binary_search_by_key(&candidate.host, |entry| entry.0);
            candidate.cached_tokens = found.map_or(0.0, |index| self.cached[index].1);
        }
    }
}

/// Estimated contents of the engines' prefix caches.
#[derive(Debug)]
pub struct PrefixCacheEstimate {
    shards: Vec<Mutex<Shard>>,
    hosts: Mutex<Vec<HostCache>>,
}

/// State of one engine's cache as a whole.
#[derive(Clone, Copy, Debug)]
struct HostCache {
    host: HostKey,
    capacity_blocks: f64,
    // Estimated number of blocks stored so far; the age of an entry is measured by it.
    stored_blocks: f64,
    // Smoothed share of the predicted cached tokens that the engine actually had.
    trust: f64,
    next_sequence: Option<u64>,
}

impl Default for PrefixCacheEstimate {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hosts: Mutex::default(),
        }
    }
}

impl PrefixCacheEstimate {
    /// Sets the capacity of a host's cache in tokens.
    pub fn set_capacity(&self, host: HostKey, kv_tokens: u64) {
        let blocks = score::tokens(kv_tokens / BLOCK_TOKENS);
        self.with_host(host, |entry| entry.capacity_blocks = blocks);
    }

    /// Returns the cache estimate for a prompt.
    #[must_use]
    pub fn look_up(&self, chain: &PromptBlocks) -> PromptEstimate {
        let hosts = self.hosts.lock().clone();
        let mut cached: Vec<(HostKey, f64)> = Vec::new();
        let mut shared_depth = 0;
        for (depth, block) in (1_u64..).zip(chain.blocks()) {
            let shard = self.shard(*block).lock();
            let Some(entry) = shard.get(*block) else {
                continue;
            };
            if entry.branches >= SHARED_PREFIX_BRANCHES {
                shared_depth = depth;
            }
            for holder in &entry.holders {
                let tokens = estimated_tokens(&hosts, holder, depth);
                match cached.binary_search_by_key(&holder.host, |entry| entry.0) {
                    Ok(index) => cached[index].1 = cached[index].1.max(tokens),
                    Err(index) => cached.insert(index, (holder.host, tokens)),
                }
            }
        }
        let blocks = chain.blocks();
        let after_shared = usize::try_from(shared_depth).unwrap_or(usize::MAX);
        let distinguishing = blocks.get(after_shared).or(blocks.last());
        PromptEstimate {
            affinity: distinguishing.copied().unwrap_or_default(),
            shared_affinity: after_shared.checked_sub(1).map(|last| blocks[last]),
            shared_tokens: shared_depth * BLOCK_TOKENS,
            cached,
        }
    }

    /// Records that a prompt was sent to a host, which caches it as it runs.
    pub fn record_sent(&self, host: HostKey, chain: &PromptBlocks, expected_cached_tokens: f64) {
        let blocks = chain.blocks();
        let new_blocks = score::tokens(blocks.len() as u64)
            - expected_cached_tokens / score::tokens(BLOCK_TOKENS);
        let stored_blocks = self.with_host(host, |entry| {
            entry.stored_blocks += new_blocks.max(0.0);
            entry.stored_blocks
        });
        for (index, block) in blocks.iter().enumerate() {
            let next = blocks.get(index + 1).copied();
            if is_depth_tracked(index + 1) || next.is_none() {
                let holder = Holder {
                    host,
                    stored_blocks,
                };
                self.shard(*block)
                    .lock()
                    .insert_holder(*block, holder, next, BLOCKS_PER_SHARD);
            }
        }
    }

    /// Corrects the estimate with the number of cached tokens that the engine reported for a
    /// prompt.
    ///
    /// Entries outlive their blocks when eviction events are lost; requests are then routed to
    /// hosts for a cache that they no longer have. A count below the estimate lowers the trust in
    /// all entries of the host; accurate estimates raise it again.
    pub fn record_done(
        &self,
        host: HostKey,
        chain: &PromptBlocks,
        expected_cached_tokens: f64,
        cached_tokens: u64,
    ) {
        let reported_tokens = score::tokens(cached_tokens);
        let block_tokens = score::tokens(BLOCK_TOKENS);
        if expected_cached_tokens >= block_tokens {
            let accuracy = (reported_tokens / expected_cached_tokens).min(1.0);
            self.with_host(host, |entry| {
                entry.trust += (accuracy - entry.trust) * TRUST_SMOOTHING;
            });
        }
        // The engine has run the request, so it has cached the whole prompt.
        self.record_sent(
            host,
            chain,
            score::tokens(chain.blocks().len() as u64) * block_tokens,
        );
    }

    /// Applies an engine's cache events.
    pub fn apply_events(&self, host: HostKey, events: &[CacheEvent]) {
        for event in events {
            let stored_blocks = self.with_host(host, |entry| entry.advance(event));
            let block = event.block;
            match event.kind {
                CacheEventKind::Evicted => self.shard(block).lock().remove_holder(block, host),
                CacheEventKind::Stored => {
                    let holder = Holder {
                        host,
                        stored_blocks,
                    };
                    let mut shard = self.shard(block).lock();
                    let is_new = shard.insert_holder(block, holder, None, BLOCKS_PER_SHARD);
                    drop(shard);
                    // For a known holder, `record_sent` has already counted the block.
                    if is_new {
                        self.with_host(host, |entry| entry.stored_blocks += 1.0);
                    }
                }
            }
        }
    }

    /// Removes a host and its entries.
    pub fn remove_host(&self, host: HostKey) {
        self.hosts.lock().retain(|entry| entry.host != host);
        for shard in &self.shards {
            shard.lock().remove_host(host);
        }
    }

    /// Returns the number of tracked blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether no block is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, block: u64) -> &Mutex<Shard> {
        &self.shards[usize::try_from(block >> 58).unwrap_or_default() % SHARDS]
    }

    fn with_host<T>(&self, host: HostKey, update: impl FnOnce(&mut HostCache) -> T) -> T {
        let mut hosts = self.hosts.lock();
        let index = match hosts.binary_search_by_key(&host, |entry| entry.host) {
            Ok(index) => index,
            Err(index) => {
                hosts.insert(index, HostCache::new(host));
                index
            }
        };
        update(&mut hosts[index])
    }
}

impl HostCache {
    fn new(host: HostKey) -> Self {
        Self {
            host,
            capacity_blocks: f64::INFINITY,
            stored_blocks: 0.0,
            trust: 1.0,
            next_sequence: None,
        }
    }

    /// Counts the stored blocks among the events lost before this one and returns the total.
    fn advance(&mut self, event: &CacheEvent) -> f64 {
        let expected = self.next_sequence.unwrap_or(event.sequence);
        let lost_events = score::tokens(event.sequence.saturating_sub(expected));
        self.next_sequence = Some(event.sequence.saturating_add(1).max(expected));
        // A full cache evicts one block for each block it stores, so half of the lost events are
        // stores.
        self.stored_blocks += lost_events / 2.0;
        self.stored_blocks
    }
}

fn is_depth_tracked(depth: usize) -> bool {
    depth <= DENSE_DEPTH_BLOCKS || depth.is_multiple_of(SPARSE_STRIDE_BLOCKS)
}

fn estimated_tokens(hosts: &[HostCache], holder: &Holder, depth: u64) -> f64 {
    let tokens = score::tokens(depth * BLOCK_TOKENS);
    let Ok(index) = hosts.binary_search_by_key(&holder.host, |entry| entry.host) else {
        return tokens;
    };
    let host = hosts[index];
    let turnover = (host.stored_blocks - holder.stored_blocks) / host.capacity_blocks;
    let left = (FULL_TURNOVER - turnover) / (FULL_TURNOVER - SAFE_TURNOVER);
    tokens * host.trust * left.clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests;
