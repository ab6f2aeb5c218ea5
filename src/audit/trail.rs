//! The audit trail as it stands in the log.

use std::collections::VecDeque;

use super::{Entry, STREAM};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::{Log, ReadError, Record};

const PAGE_RECORDS: u32 = 200;
/// Writers whose newest sequence number is remembered.
const WRITERS_KEPT: usize = 1_024;

#[derive(Debug)]
struct Writer {
    name: String,
    newest: u64,
}

/// The newest entries of the audit trail, oldest first.
#[derive(Debug)]
pub struct Trail {
    entries: VecDeque<Entry>,
    most_entries: usize,
    /// By the time of their newest record.
    writers: VecDeque<Writer>,
    forgotten: bool,
}

impl Trail {
    /// A trail that keeps the newest `most_entries`.
    #[must_use]
    pub fn new(most_entries: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            most_entries,
            writers: VecDeque::new(),
            forgotten: false,
        }
    }

    /// The entries, in the order of the log.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Whether there were older entries, which the log or this trail no longer keeps.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.forgotten
    }

    /// Whether the record is a repetition of one that was read.
    fn is_repeated(&mut self, record: &Record) -> bool {
        let known = self
            .writers
            .iter()
            .position(|writer| writer.name == record.writer);
        let newest = known.and_then(|index| self.writers.remove(index));
        let newest = newest.map_or(0, |writer| writer.newest);
        if self.writers.len() == WRITERS_KEPT {
            self.writers.pop_front();
        }
        self.writers.push_back(Writer {
            name: record.writer.clone(),
            newest: newest.max(record.sequence),
        });
        record.sequence <= newest
    }
}

impl Fold for Trail {
    fn apply(&mut self, record: &Record) {
        // A late copy of an append would show its entries twice.
        if self.is_repeated(record) {
            return;
        }
        let entries: Vec<Entry> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
            log::warn!(offset = record.offset, error:% = error; "an audit record is unreadable");
            self.forgotten = true;
            Vec::new()
        });
        self.entries.extend(entries);
        while self.entries.len() > self.most_entries {
            self.entries.pop_front();
            self.forgotten = true;
        }
    }

    fn skip(&mut self, _gap: &Gap) {
        self.forgotten = true;
    }
}

/// Reads the trail that the log holds now.
///
/// # Errors
///
/// A [`ReadError`] if the log cannot be read.
pub async fn read_trail<L: Log>(log: &L, most_entries: usize) -> Result<Trail, ReadError> {
    let mut trail = Trail::new(most_entries);
    let mut from = 1;
    loop {
        let page = log.read(STREAM, from, PAGE_RECORDS, 0).await?;
        if page.first > from {
            trail.forgotten = true;
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
