//! What engines are believed to have cached, in bounded memory.
//!
//! What this node sends is noted at once, cache events follow late and with gaps, and the engines'
//! own counts of cached tokens repair what is wrong. Every entry is an estimate with an age, where
//! age is counted in what the engine has stored since.

mod shard;

use parking_lot::Mutex;

use self::shard::{Holder, Shard};
use super::chain::{BLOCK_TOKENS, Chain};
use super::{Candidate, score};
use crate::keys::HostKey;
use crate::upstreams::{CacheEvent, CacheEventKind};

/// Shards of the table of blocks; a power of two.
const SHARDS: usize = 64;
/// Blocks kept in each shard, some 100 bytes each: 26 MB in all.
const BLOCKS_PER_SHARD: usize = 4_096;
/// Every block up to this depth is kept, of those beyond only one in [`KEPT_STRIDE`].
const KEPT_DEPTH: usize = 16;
const KEPT_STRIDE: usize = 4;
/// Share of its capacity that an engine can store before older blocks begin to go.
const SAFE_TURNOVER: f64 = 0.6;
/// Share of its capacity after which older blocks are gone.
const FULL_TURNOVER: f64 = 1.1;
/// Weight of the newest report in the trust in a host's entries.
const TRUST_STEP: f64 = 0.1;
/// Different continuations that make a prefix a shared one.
const SHARED_BRANCHES: u8 = 3;

/// A prompt as the cache view sees it.
#[derive(Clone, Debug)]
pub struct PromptView {
    /// Names the part of the prompt that tells it from others; see `RouteAsk::affinity`.
    pub affinity: u64,
    /// Names the part that many different prompts share; see `RouteAsk::shared_affinity`.
    pub shared_affinity: Option<u64>,
    /// Tokens at the front that many different prompts share.
    pub shared_tokens: u64,
    /// Tokens believed cached, by host, sorted by host.
    pub cached: Vec<(HostKey, f64)>,
}

impl PromptView {
    /// Writes the cached tokens into a view of candidates.
    pub fn fill(&self, view: &mut [Candidate]) {
        for candidate in view {
            let found = self
                .cached
                .binary_search_by_key(&candidate.host, |held| held.0);
            candidate.cached_tokens = found.map_or(0.0, |index| self.cached[index].1);
        }
    }
}

/// What engines are believed to have cached.
#[derive(Debug)]
pub struct CacheView {
    shards: Vec<Mutex<Shard>>,
    hosts: Mutex<Vec<HostCache>>,
}

/// What is known of one engine's cache as a whole.
#[derive(Clone, Copy, Debug)]
struct HostCache {
    host: HostKey,
    capacity_blocks: f64,
    // Blocks stored so far, as far as is known; the clock by which entries age.
    stored: f64,
    // Part of the predicted tokens that the engine really had.
    trust: f64,
    next_sequence: Option<u64>,
}

impl Default for CacheView {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hosts: Mutex::default(),
        }
    }
}

impl CacheView {
    /// Sets how much an engine can cache.
    pub fn set_capacity(&self, host: HostKey, kv_tokens: u64) {
        let blocks = score::tokens(kv_tokens / BLOCK_TOKENS);
        self.with_host(host, |held| held.capacity_blocks = blocks);
    }

    /// What is believed of a prompt.
    #[must_use]
    pub fn look_up(&self, chain: &Chain) -> PromptView {
        let hosts = self.hosts.lock().clone();
        let mut cached: Vec<(HostKey, f64)> = Vec::new();
        let mut common = 0;
        for (depth, block) in (1_u64..).zip(chain.blocks()) {
            let shard = self.shard(*block).lock();
            let Some(entry) = shard.get(*block) else {
                continue;
            };
            if entry.branches >= SHARED_BRANCHES {
                common = depth;
            }
            for holder in &entry.holders {
                let tokens = believed_tokens(&hosts, holder, depth);
                match cached.binary_search_by_key(&holder.host, |held| held.0) {
                    Ok(index) => cached[index].1 = cached[index].1.max(tokens),
                    Err(index) => cached.insert(index, (holder.host, tokens)),
                }
            }
        }
        let blocks = chain.blocks();
        let after_common = usize::try_from(common).unwrap_or(usize::MAX);
        let telling = blocks.get(after_common).or(blocks.last());
        PromptView {
            affinity: telling.copied().unwrap_or_default(),
            shared_affinity: after_common.checked_sub(1).map(|last| blocks[last]),
            shared_tokens: common * BLOCK_TOKENS,
            cached,
        }
    }

    /// Notes that a prompt was sent to a host, which will have it cached.
    pub fn note_sent(&self, host: HostKey, chain: &Chain, expected_cached_tokens: f64) {
        let blocks = chain.blocks();
        let new_blocks = score::tokens(blocks.len() as u64)
            - expected_cached_tokens / score::tokens(BLOCK_TOKENS);
        let stored = self.with_host(host, |held| {
            held.stored += new_blocks.max(0.0);
            held.stored
        });
        for (index, block) in blocks.iter().enumerate() {
            let next = blocks.get(index + 1).copied();
            if kept(index + 1) || next.is_none() {
                let holder = Holder { host, stored };
                self.shard(*block)
                    .lock()
                    .put(*block, holder, next, BLOCKS_PER_SHARD);
            }
        }
    }

    /// Corrects the view by what the engine says it had cached of a prompt.
    ///
    /// Entries outlive the blocks when events are lost; one would notice hosts chosen for a cache
    /// that they do not have. The engine's count lowers the trust in all of the host's entries, and
    /// raises it again when they hold.
    pub fn note_done(
        &self,
        host: HostKey,
        chain: &Chain,
        expected_cached_tokens: f64,
        cached_tokens: u64,
    ) {
        let had = score::tokens(cached_tokens);
        let block_tokens = score::tokens(BLOCK_TOKENS);
        if expected_cached_tokens >= block_tokens {
            let right = (had / expected_cached_tokens).min(1.0);
            self.with_host(host, |held| held.trust += (right - held.trust) * TRUST_STEP);
        }
        // Having run, the engine holds all of the prompt now.
        self.note_sent(
            host,
            chain,
            score::tokens(chain.blocks().len() as u64) * block_tokens,
        );
    }

    /// Takes in an engine's cache events.
    pub fn apply(&self, host: HostKey, events: &[CacheEvent]) {
        for event in events {
            let stored = self.with_host(host, |held| held.advance(event));
            let block = event.block;
            match event.kind {
                CacheEventKind::Evicted => self.shard(block).lock().take(block, host),
                CacheEventKind::Stored => {
                    let holder = Holder { host, stored };
                    let mut shard = self.shard(block).lock();
                    let new = shard.put(block, holder, None, BLOCKS_PER_SHARD);
                    drop(shard);
                    // What this node sent itself has moved the clock already.
                    if new {
                        self.with_host(host, |held| held.stored += 1.0);
                    }
                }
            }
        }
    }

    /// Forgets a host that is gone.
    pub fn forget(&self, host: HostKey) {
        self.hosts.lock().retain(|held| held.host != host);
        for shard in &self.shards {
            shard.lock().forget(host);
        }
    }

    /// Blocks kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, block: u64) -> &Mutex<Shard> {
        &self.shards[usize::try_from(block >> 58).unwrap_or_default() % SHARDS]
    }

    fn with_host<T>(&self, host: HostKey, act: impl FnOnce(&mut HostCache) -> T) -> T {
        let mut hosts = self.hosts.lock();
        let index = match hosts.binary_search_by_key(&host, |held| held.host) {
            Ok(index) => index,
            Err(index) => {
                hosts.insert(index, HostCache::new(host));
                index
            }
        };
        act(&mut hosts[index])
    }
}

impl HostCache {
    fn new(host: HostKey) -> Self {
        Self {
            host,
            capacity_blocks: f64::INFINITY,
            stored: 0.0,
            trust: 1.0,
            next_sequence: None,
        }
    }

    /// Moves the clock on by an event and by those that were lost before it.
    fn advance(&mut self, event: &CacheEvent) -> f64 {
        let expected = self.next_sequence.unwrap_or(event.sequence);
        let lost = score::tokens(event.sequence.saturating_sub(expected));
        self.next_sequence = Some(event.sequence.saturating_add(1).max(expected));
        // A full cache evicts one block for each that it stores.
        self.stored += lost / 2.0;
        self.stored
    }
}

fn kept(depth: usize) -> bool {
    depth <= KEPT_DEPTH || depth.is_multiple_of(KEPT_STRIDE)
}

fn believed_tokens(hosts: &[HostCache], holder: &Holder, depth: u64) -> f64 {
    let tokens = score::tokens(depth * BLOCK_TOKENS);
    let Ok(index) = hosts.binary_search_by_key(&holder.host, |held| held.host) else {
        return tokens;
    };
    let host = hosts[index];
    let turnover = (host.stored - holder.stored) / host.capacity_blocks;
    let left = (FULL_TURNOVER - turnover) / (FULL_TURNOVER - SAFE_TURNOVER);
    tokens * host.trust * left.clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests;
