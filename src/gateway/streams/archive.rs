//! The starts of streams that the platform's store holds, for the case that all nodes are lost at once.

use std::collections::VecDeque;

use bincode::config;

use super::origins::{Origin, StreamKey};
use crate::gateway::log_position::LogPosition;
use crate::time::TimeMs;

/// Most starts in one record; each takes some 30 bytes.
const MAX_STARTS_PER_RECORD: usize = 4_000;

/// Most starts that wait to be written; the oldest are dropped first.
const MAX_WAITING: usize = 16_384;

/// Most starts that a node takes from the store, some 40 bytes each; the oldest are dropped first.
const MAX_READ: usize = 400_000;

/// Largest record that is decoded.
const MAX_RECORD_BYTES: usize = 262_144;

/// How long a record is of use after it was written: longer than a stream and its caller's pauses.
const RECORD_USE_MS: u64 = 40_000;

/// How long the starts that a node has read are of use after its own start.
const READ_USE_MS: u64 = 60_000;

/// Interval between two deletions of old records.
const TRIM_INTERVAL_MS: u64 = 10_000;

/// A stream and where it began.
pub(crate) type Start = (StreamKey, Origin);

/// Starts that wait to be sent or written, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingStarts {
    starts: VecDeque<Start>,
}

impl WaitingStarts {
    /// Adds starts; returns how many older ones were dropped for want of room.
    pub fn add(&mut self, starts: &[Start]) -> usize {
        self.starts.extend(starts);
        self.drop_surplus()
    }

    /// Removes and returns the oldest starts, `most` of them at most; empty if none wait.
    pub fn take(&mut self, most: usize) -> Vec<Start> {
        let count = self.starts.len().min(most);
        self.starts.drain(..count).collect()
    }

    /// Puts starts back that were taken last; returns how many were dropped for want of room.
    fn put_back(&mut self, starts: Vec<Start>) -> usize {
        for start in starts.into_iter().rev() {
            self.starts.push_front(start);
        }
        self.drop_surplus()
    }

    fn drop_surplus(&mut self) -> usize {
        let surplus = self.starts.len().saturating_sub(MAX_WAITING);
        self.starts.drain(..surplus);
        surplus
    }
}

/// The starts that wait to be written to the store, and where those of this node were written.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenStarts {
    waiting: WaitingStarts,
    /// The records of this node by the time of their writing, the oldest first.
    written: VecDeque<(TimeMs, LogPosition)>,
    trimmed_at: TimeMs,
}

impl UnwrittenStarts {
    /// Adds starts; returns how many older ones were dropped for want of room.
    pub fn add(&mut self, starts: &[Start]) -> usize {
        self.waiting.add(starts)
    }

    /// Removes and returns the starts of the next record; empty if none wait.
    pub fn take(&mut self) -> Vec<Start> {
        self.waiting.take(MAX_STARTS_PER_RECORD)
    }

    /// Puts back the starts of a record that may not have been written; returns how many were dropped for want of room.
    pub fn put_back(&mut self, starts: Vec<Start>) -> usize {
        self.waiting.put_back(starts)
    }

    /// Whether the starts that wait fill a record.
    pub fn fills_record(&self) -> bool {
        self.waiting.starts.len() >= MAX_STARTS_PER_RECORD
    }

    /// Records where a record was written.
    pub fn record_written(&mut self, position: LogPosition, now: TimeMs) {
        self.written.push_back((now, position));
    }

    /// Returns the position before which all records are too old to be of use, if they are to be deleted now.
    pub fn due_trim(&mut self, now: TimeMs) -> Option<LogPosition> {
        if now.since(self.trimmed_at) < TRIM_INTERVAL_MS {
            return None;
        }
        self.trimmed_at = now;
        let is_old = |at: TimeMs| now.since(at) >= RECORD_USE_MS;
        let old = self.written.iter().take_while(|(at, _place)| is_old(*at));
        let count = old.count();
        self.written
            .drain(..count)
            .next_back()
            .map(|(_at, place)| place)
            .filter(|place| !place.is_start())
    }
}

/// The starts read from the store's records so far, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ReadStarts {
    starts: VecDeque<Start>,
    has_records: bool,
}

impl ReadStarts {
    /// Adds the starts of the next record, and drops the oldest ones if there are too many.
    pub fn add(&mut self, record: Vec<Start>) {
        self.has_records = true;
        self.starts.extend(record);
        let surplus = self.starts.len().saturating_sub(MAX_READ);
        self.starts.drain(..surplus);
    }

    /// Whether the store held any record.
    pub fn has_records(&self) -> bool {
        self.has_records
    }
}

/// The starts that the store held when this node started.
#[derive(Debug, Default)]
pub(crate) enum StreamArchive {
    /// They are still to be read.
    #[default]
    Unread,
    /// Other nodes read them.
    ReadElsewhere,
    Read {
        /// Sorted by key.
        starts: Vec<Start>,
        /// Whether the store held any record: the installation has run before.
        has_records: bool,
    },
}

impl StreamArchive {
    /// Creates the archive from the store's records.
    pub(super) fn of_records(records: ReadStarts) -> Self {
        let has_records = records.has_records;
        let mut starts: Vec<Start> = records.starts.into_iter().rev().collect();
        // The sort is stable, so that of several starts with one key the newest remains.
        starts.sort_by_key(|(key, _origin)| *key);
        starts.dedup_by_key(|(key, _origin)| *key);
        Self::Read {
            starts,
            has_records,
        }
    }

    /// Returns where a stream began, if the store held that.
    pub fn get(&self, key: StreamKey) -> Option<Origin> {
        let Self::Read { starts, .. } = self else {
            return None;
        };
        let index = starts.binary_search_by_key(&key, |(known, _origin)| *known);
        index.ok().map(|index| starts[index].1)
    }

    /// Whether this node has still to read the starts.
    pub fn is_unread(&self) -> bool {
        matches!(self, Self::Unread)
    }

    /// Whether the store showed that no stream has begun before this node started.
    pub fn shows_first_start(&self) -> bool {
        matches!(
            self,
            Self::Read {
                has_records: false,
                ..
            }
        )
    }

    /// Drops the starts once no caller can take their streams up.
    pub fn remove_expired(&mut self, uptime_ms: u64) {
        if let Self::Read { starts, .. } = self
            && uptime_ms >= READ_USE_MS
        {
            *starts = Vec::new();
        }
    }
}

/// Encodes the starts of one record.
///
/// # Errors
///
/// If the starts cannot be encoded.
pub(super) fn encode(starts: &[Start]) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::encode_to_vec(starts, config::standard())
}

/// Decodes the starts of one record.
///
/// # Errors
///
/// If the record is none of starts, or is too long.
pub(super) fn decode(record: &[u8]) -> Result<Vec<Start>, bincode::error::DecodeError> {
    let limited = config::standard().with_limit::<MAX_RECORD_BYTES>();
    let (starts, _length) = bincode::decode_from_slice(record, limited)?;
    Ok(starts)
}

#[cfg(test)]
mod tests;
