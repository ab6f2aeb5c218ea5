//! The prefix cache: blocks of 256 bytes, evicted by least recent use, with late events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    hash::Hasher,
};

use serde::Serialize;
use twox_hash::XxHash3_64;

use super::text::TOKEN_BYTES;
use crate::chance::Chance;

/// Bytes of text that a block covers.
pub const BLOCK_BYTES: usize = 256;
/// Tokens that a block covers.
pub const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

const MAX_EVENTS: usize = 1 << 16;

/// The blocks of a text, one for each whole `k × 256` bytes at its start.
#[must_use]
pub fn blocks(text: &[u8]) -> Vec<u64> {
    let mut hasher = XxHash3_64::new();
    let whole = text.chunks_exact(BLOCK_BYTES);
    whole
        .map(|chunk| {
            hasher.write(chunk);
            hasher.finish()
        })
        .collect()
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// It may now be found.
    Stored,
    /// It is gone.
    Evicted,
}

/// One event of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// The event's number; a gap in these tells of a lost event.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block, in hexadecimal.
    pub block: String,
    /// When it happened.
    pub as_of_ms: u64,
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    stamps: HashMap<u64, u64>,
    by_stamp: BTreeMap<u64, u64>,
    next_stamp: u64,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
    gap_probability: f64,
    chance: Chance,
}

impl PrefixCache {
    pub fn new(capacity_tokens: u64, gap_probability: f64, chance: Chance) -> Self {
        Self {
            capacity_blocks: usize::try_from(capacity_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX),
            stamps: HashMap::new(),
            by_stamp: BTreeMap::new(),
            next_stamp: 0,
            events: VecDeque::new(),
            next_sequence: 0,
            gap_probability,
            chance,
        }
    }

    pub fn tokens(&self) -> u64 {
        self.stamps.len() as u64 * BLOCK_TOKENS
    }

    /// How many tokens at the start of a text with these blocks need no prefill.
    pub fn cached_tokens(&mut self, blocks: &[u64]) -> u64 {
        let found = blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block))
            .count();
        self.touch(&blocks[..found]);
        found as u64 * BLOCK_TOKENS
    }

    /// Keeps the blocks, evicting those used least recently.
    pub fn store(&mut self, blocks: &[u64], now_ms: u64) {
        let blocks = &blocks[..blocks.len().min(self.capacity_blocks)];
        for block in blocks {
            if !self.stamps.contains_key(block) {
                self.record(CacheEventKind::Stored, *block, now_ms);
            }
        }
        self.touch(blocks);
        while self.stamps.len() > self.capacity_blocks {
            let Some((_, block)) = self.by_stamp.pop_first() else {
                return;
            };
            self.stamps.remove(&block);
            self.record(CacheEventKind::Evicted, block, now_ms);
        }
    }

    /// Events from `from` on that are at least `lag_ms` old, and where to ask next.
    pub fn events(&self, from: u64, latest_ms: u64) -> (u64, Vec<CacheEvent>) {
        let old_enough = self
            .events
            .iter()
            .take_while(|event| event.as_of_ms <= latest_ms);
        let events: Vec<_> = old_enough
            .filter(|event| event.sequence >= from)
            .cloned()
            .collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        (next, events)
    }

    /// Later blocks get older stamps, so that a chain loses its end before its start.
    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.next_stamp += 1;
            if let Some(old) = self.stamps.insert(*block, self.next_stamp) {
                self.by_stamp.remove(&old);
            }
            self.by_stamp.insert(self.next_stamp, *block);
        }
    }

    fn record(&mut self, kind: CacheEventKind, block: u64, as_of_ms: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.chance.happens(self.gap_probability) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let block = format!("{block:016x}");
        self.events.push_back(CacheEvent {
            sequence,
            kind,
            block,
            as_of_ms,
        });
    }
}
