//! Reads the audit trail from the log.

use std::collections::VecDeque;

use super::{Entry, STREAM};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::{Log, ReadError, Record};

/// Maximum number of records per read.
const PAGE_RECORDS: u32 = 200;
/// Number of writers whose newest sequence number is kept, to detect duplicates.
const MAX_WRITERS: usize = 1_024;

/// The newest sequence number read from a writer.
#[derive(Debug)]
struct Writer {
    name: String,
    newest_sequence: u64,
}

/// The newest entries of the audit trail, oldest first.
#[derive(Debug)]
pub struct Trail {
    entries: VecDeque<Entry>,
    max_entries: usize,
    /// Ordered by their newest record, oldest first.
    writers: VecDeque<Writer>,
    /// Whether entries are missing.
    is_partial: bool,
}

impl Trail {
    /// An empty trail that keeps the newest `max_entries` entries.
    #[must_use]
    pub fn new(max_entries: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            max_entries,
            writers: VecDeque::new(),
            is_partial: false,
        }
    }

    /// The entries in log order, oldest first.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Whether entries are missing: expired from the log, evicted from this trail or unreadable.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Records the sequence number and returns whether the record is a duplicate.
    fn is_repeated(&mut self, record: &Record) -> bool {
        let known = self
            .writers
            .iter()
            .position(|writer| writer.name == record.writer);
        let newest = known.and_then(|index| self.writers.remove(index));
        let newest = newest.map_or(0, |writer| writer.newest_sequence);
        if self.writers.len() == MAX_WRITERS {
            self.writers.pop_front();
        }
        self.writers.push_back(Writer {
            name: record.writer.clone(),
            newest_sequence: newest.max(record.sequence),
        });
        record.sequence <= newest
    }
}

impl Fold for Trail {
    fn apply(&mut self, record: &Record) {
        // The log may hold a repeated append twice.
        if self.is_repeated(record) {
            return;
        }
        let entries: Vec<Entry> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
            log::warn!(offset = record.offset, error:% = error; "an audit record is malformed; its entries are skipped");
            self.is_partial = true;
            Vec::new()
        });
        self.entries.extend(entries);
        while self.entries.len() > self.max_entries {
            self.entries.pop_front();
            self.is_partial = true;
        }
    }

    fn skip(&mut self, _gap: &Gap) {
        self.is_partial = true;
    }
}

/// Reads the newest `max_entries` entries of the trail from the log.
///
/// # Errors
///
/// A [`ReadError`] if the log cannot be read.
pub async fn read_trail<L: Log>(log: &L, max_entries: usize) -> Result<Trail, ReadError> {
    let mut trail = Trail::new(max_entries);
    let mut from = 1;
    loop {
        let page = log.read(STREAM, from, PAGE_RECORDS, 0).await?;
        if page.first > from {
            trail.is_partial = true;
        }
        for record in &page.records {
            trail.apply(record);
        }
        if page.next <= from || page.records.len() < PAGE_RECORDS as usize {
            return Ok(trail);
        }
        from = page.next;
    }
}
