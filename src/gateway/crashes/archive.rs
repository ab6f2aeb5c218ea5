//! What is blocked, as the platform's store holds it for the case that all nodes are lost at once.

use bincode::{Decode, Encode, config};

use super::subjects::Subject;
use super::{AgedBlock, Crashes, RETENTION_MS};
use crate::time::TimeMs;

/// Largest record that is decoded; one with the most blocks takes some 8 kilobytes.
const MAX_RECORD_BYTES: usize = 65_536;

/// Interval at which an unchanged record is written again, so that blocks in use do not count as idle.
const REFRESH_INTERVAL_MS: u64 = 60_000;

/// Blocks at a time of day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(super) struct StoredBlocks {
    /// Unix milliseconds of the time of day that most nodes agree on.
    written_day_ms: u64,
    blocks: Vec<StoredBlock>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct StoredBlock {
    block: AgedBlock,
    /// Time since an answer last went on under the subject; requests are let through to such ones.
    sound_age_ms: Option<u64>,
}

impl StoredBlocks {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// If it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        bincode::encode_to_vec(self, config::standard())
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// If the record is none of blocks, or is too long.
    pub fn decode(record: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        let limited = config::standard().with_limit::<MAX_RECORD_BYTES>();
        let (blocks, _length) = bincode::decode_from_slice(record, limited)?;
        Ok(blocks)
    }

    /// Returns the blocked subjects, sorted.
    pub fn subjects(&self) -> Vec<Subject> {
        let subjects = self.blocks.iter().map(|stored| stored.block.subject);
        let mut subjects: Vec<Subject> = subjects.collect();
        subjects.sort_unstable();
        subjects
    }
}

impl Crashes {
    /// Returns all blocks, to be stored.
    pub(super) fn to_store(&self, day_ms: u64, now: TimeMs) -> StoredBlocks {
        let live = (self.blocks.iter())
            .filter(|block| now.since(block.last_seen) < RETENTION_MS)
            .map(|block| StoredBlock {
                block: AgedBlock {
                    subject: block.subject,
                    age_ms: now.since(block.at),
                    idle_ms: now.since(block.last_seen),
                },
                sound_age_ms: (self.sound.at(block.subject)).map(|sound| now.since(sound)),
            });
        StoredBlocks {
            written_day_ms: day_ms,
            blocks: live.collect(),
        }
    }

    /// Restores stored blocks that have not expired; returns how many.
    pub(super) fn restore(&mut self, stored: &StoredBlocks, day_ms: u64, now: TimeMs) -> usize {
        let passed_ms = day_ms.saturating_sub(stored.written_day_ms);
        let ago = |age_ms: u64| TimeMs(now.0.saturating_sub(age_ms.saturating_add(passed_ms)));
        let mut restored = 0;
        for StoredBlock {
            block,
            sound_age_ms,
        } in &stored.blocks
        {
            // Asked of the ages: this node's clock may have begun after the block expired.
            if block.idle_ms.saturating_add(passed_ms) >= RETENTION_MS {
                continue;
            }
            let last_seen = ago(block.idle_ms);
            if let Some(sound_age_ms) = sound_age_ms {
                self.sound.record_told(block.subject, ago(*sound_age_ms));
            }
            let is_new = self.block(block.subject, ago(block.age_ms), last_seen);
            if is_new {
                self.record_learned(block.subject, now);
            }
            restored += usize::from(is_new);
        }
        restored
    }
}

/// What this node knows of the stored record, to decide whether to write it.
#[derive(Debug, Default)]
pub(super) struct StoredState {
    /// Subjects of the record that this node read or wrote last; `None` if another node may have
    /// written since.
    subjects: Option<Vec<Subject>>,
    /// Era of the store in which that was.
    era: u64,
    written_at: TimeMs,
    /// Whether anything was ever blocked, as far as this node knows.
    has_blocked: bool,
}

impl StoredState {
    /// Records the subjects that the store holds.
    pub fn record(&mut self, subjects: Vec<Subject>, era: u64, now: TimeMs) {
        self.has_blocked |= !subjects.is_empty();
        self.subjects = Some(subjects);
        self.era = era;
        self.written_at = now;
    }

    /// Records that another node writes.
    pub fn record_other_writer(&mut self) {
        self.subjects = None;
    }

    /// Whether to write the record, if these subjects are blocked.
    pub fn is_due(&mut self, subjects: &[Subject], era: u64, now: TimeMs) -> bool {
        self.has_blocked |= !subjects.is_empty();
        let is_stored = self.era == era && self.subjects.as_deref() == Some(subjects);
        let is_old = !subjects.is_empty() && now.since(self.written_at) >= REFRESH_INTERVAL_MS;
        self.has_blocked && (!is_stored || is_old)
    }
}

#[cfg(test)]
mod tests;
