//! One shard of the table of cached blocks.

use rustc_hash::FxHashMap;

use crate::keys::HostKey;

/// Maximum hosts tracked per block; enough for routing when more hosts hold the block.
const HOLDERS_KEPT: usize = 24;

/// A host that is estimated to hold a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holder {
    pub(super) host: HostKey,
    // Value of the host's `HostCache::stored_blocks` when it last stored or used the block.
    pub(super) stored_blocks: f64,
}

/// State of one block.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    // In order of last use, the latest at the end.
    pub(super) holders: Vec<Holder>,
    // How often the following block differed from the one seen before; saturates at `u8::MAX`.
    pub(super) branches: u8,
    last_continuation: u64,
    // Value of the shard's `use_count` at the last use.
    last_used: u64,
}

/// Blocks by hash.
#[derive(Debug, Default)]
pub(super) struct Shard {
    blocks: FxHashMap<u64, Entry>,
    use_count: u64,
}

impl Shard {
    pub(super) fn get(&self, block: u64) -> Option<&Entry> {
        self.blocks.get(&block)
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Records a holder and the block that follows; returns whether the holder is new.
    pub(super) fn insert_holder(
        &mut self,
        block: u64,
        holder: Holder,
        next: Option<u64>,
        max_blocks: usize,
    ) -> bool {
        self.use_count += 1;
        let entry = self.blocks.entry(block).or_default();
        entry.last_used = self.use_count;
        let before = entry.holders.len();
        entry.holders.retain(|known| known.host != holder.host);
        let is_new = entry.holders.len() == before;
        if entry.holders.len() >= HOLDERS_KEPT {
            entry.holders.remove(0);
        }
        entry.holders.push(holder);
        if let Some(next) = next.filter(|next| *next != entry.last_continuation) {
            entry.branches = entry.branches.saturating_add(1);
            entry.last_continuation = next;
        }
        if self.blocks.len() > max_blocks {
            self.evict(max_blocks);
        }
        is_new
    }

    pub(super) fn remove_holder(&mut self, block: u64, host: HostKey) {
        if let Some(entry) = self.blocks.get_mut(&block) {
            entry.holders.retain(|known| known.host != host);
        }
    }

    pub(super) fn remove_host(&mut self, host: HostKey) {
        for entry in self.blocks.values_mut() {
            entry.holders.retain(|known| known.host != host);
        }
    }

    /// Evicts the least recently used quarter of the blocks, so that eviction runs rarely.
    fn evict(&mut self, max_blocks: usize) {
        let mut last_uses: Vec<_> = self.blocks.values().map(|entry| entry.last_used).collect();
        let cut = last_uses.len() - max_blocks * 3 / 4;
        let (_, oldest_kept, _) = last_uses.select_nth_unstable(cut);
        let oldest_kept = *oldest_kept;
        self.blocks
            .retain(|_, entry| entry.last_used >= oldest_kept);
    }
}
