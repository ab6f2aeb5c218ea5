//! Keeps recent changes of upstreams for peers that missed them.
//!
//! The reader sends changes to its peers. A peer that lost a datagram would keep routing to
//! upstreams that have drained. So each message repeats recent changes, as far as they fit, and a
//! peer that detects a gap requests the missing changes.

use super::log_position::LogPosition;
use super::upstreams::Change;
use crate::time::TimeMs;

/// Time for which a change is repeated: several messages, and less than the bound on draining
/// upstreams.
const REPEAT_MS: u64 = 1_600;

/// Retention of changes for peers that request them: within a second, and while they assemble a
/// whole table.
const RETENTION_MS: u64 = 6_000;

/// Largest number of changes in a message: at 130 bytes each the message stays well below the
/// largest datagram, and a lost message is soon repeated.
pub(crate) const MAX_CHANGES_PER_MESSAGE: usize = 96;

/// Changes found by one read of the store, or a part of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChangeBatch {
    /// Offset of the first record that was read.
    pub from: LogPosition,
    /// Offset after the last record.
    pub to: LogPosition,
    pub changes: Vec<Change>,
}

/// Contiguous batches, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    batches: Vec<(TimeMs, ChangeBatch)>,
}

impl RecentChanges {
    /// Appends the changes of a read; drops older batches if there is a gap before it.
    pub fn record(&mut self, batch: ChangeBatch, now: TimeMs) {
        let follows = (self.batches.last()).is_none_or(|(_at, last)| last.to == batch.from);
        if !follows {
            self.batches.clear();
        }
        if batch.to > batch.from {
            self.batches.push((now, batch));
        }
        self.batches
            .retain(|(at, _batch)| now.since(*at) < RETENTION_MS);
    }

    /// Returns the batches to send after a read that began at `since`: the new ones, and earlier
    /// ones as far as they fit into the same message.
    pub fn batches_to_send(&self, since: LogPosition, now: TimeMs) -> Vec<ChangeBatch> {
        let mut first = self
            .batches
            .partition_point(|(_at, batch)| batch.to <= since);
        let changes = |(_at, batch): &(TimeMs, ChangeBatch)| batch.changes.len();
        let mut count: usize = self.batches[first..].iter().map(changes).sum();
        while first > 0 {
            let before = &self.batches[first - 1];
            count += changes(before);
            if count > MAX_CHANGES_PER_MESSAGE || now.since(before.0) >= REPEAT_MS {
                break;
            }
            first -= 1;
        }
        merge_batches(self.batches[first..].iter().map(|(_at, batch)| batch))
    }

    /// Returns all changes from an offset on; `None` if they are no longer retained.
    pub fn since(&self, read_to: LogPosition) -> Option<Vec<ChangeBatch>> {
        let first = self
            .batches
            .partition_point(|(_at, batch)| batch.to <= read_to);
        let (_at, oldest) = self.batches.get(first)?;
        (oldest.from <= read_to)
            .then(|| merge_batches(self.batches[first..].iter().map(|(_at, batch)| batch)))
    }
}

/// Merges contiguous batches into as few as possible, each of which fits a message.
fn merge_batches<'a>(batches: impl Iterator<Item = &'a ChangeBatch>) -> Vec<ChangeBatch> {
    let mut merged: Vec<ChangeBatch> = Vec::new();
    for batch in batches {
        match merged.last_mut() {
            Some(last) if last.changes.len() + batch.changes.len() <= MAX_CHANGES_PER_MESSAGE => {
                last.to = batch.to;
                last.changes.extend_from_slice(&batch.changes);
            }
            _ => merged.push(batch.clone()),
        }
    }
    merged
}

#[cfg(test)]
mod tests;
