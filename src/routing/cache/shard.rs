//! A part of the table of cached blocks.

use rustc_hash::FxHashMap;

use crate::keys::HostKey;

/// Hosts kept for one block; a block that more hold is found on enough of them.
const HOLDERS_KEPT: usize = 24;

/// A host that is believed to hold a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holder {
    pub(super) host: HostKey,
    // The host's clock when it was last known to hold the block.
    pub(super) stored: f64,
}

/// What is known of one block.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    // Latest last.
    pub(super) holders: Vec<Holder>,
    // Different continuations seen, up to a few.
    pub(super) branches: u8,
    last_next: u64,
    // When it was last used, by the shard's own count.
    used: u64,
}

/// Blocks by their hash.
#[derive(Debug, Default)]
pub(super) struct Shard {
    blocks: FxHashMap<u64, Entry>,
    uses: u64,
}

impl Shard {
    pub(super) fn get(&self, block: u64) -> Option<&Entry> {
        self.blocks.get(&block)
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Notes a holder, and the block that followed; tells whether the holder is new.
    pub(super) fn put(
        &mut self,
        block: u64,
        holder: Holder,
        next: Option<u64>,
        most: usize,
    ) -> bool {
        self.uses += 1;
        let entry = self.blocks.entry(block).or_default();
        entry.used = self.uses;
        let before = entry.holders.len();
        entry.holders.retain(|held| held.host != holder.host);
        let new = entry.holders.len() == before;
        if entry.holders.len() >= HOLDERS_KEPT {
            entry.holders.remove(0);
        }
        entry.holders.push(holder);
        if let Some(next) = next.filter(|next| *next != entry.last_next) {
            entry.branches = entry.branches.saturating_add(1);
            entry.last_next = next;
        }
        if self.blocks.len() > most {
            self.shed(most);
        }
        new
    }

    pub(super) fn take(&mut self, block: u64, host: HostKey) {
        if let Some(entry) = self.blocks.get_mut(&block) {
            entry.holders.retain(|held| held.host != host);
        }
    }

    pub(super) fn forget(&mut self, host: HostKey) {
        for entry in self.blocks.values_mut() {
            entry.holders.retain(|held| held.host != host);
        }
    }

    /// Drops the quarter that has not been used for longest, so that shedding is rare.
    fn shed(&mut self, most: usize) {
        let mut uses: Vec<_> = self.blocks.values().map(|entry| entry.used).collect();
        let cut = uses.len() - most * 3 / 4;
        let (_, oldest_kept, _) = uses.select_nth_unstable(cut);
        let oldest_kept = *oldest_kept;
        self.blocks.retain(|_, entry| entry.used >= oldest_kept);
    }
}
