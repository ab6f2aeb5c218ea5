//! Sharded table of the requests that a node holds.

use std::sync::Arc;

use parking_lot::Mutex;

use super::id::ID_VALIDITY_MS;
use super::record::ANSWER_RETENTION_MS;
use super::{Call, Record, RequestId};
use crate::time::TimeMs;

const SHARDS: usize = 64;

/// Retention of an outcome after its request has ended, and beyond its id's validity.
///
/// If a record were removed while its id could still start, a resend would run again. With this
/// margin, the id's age alone is enough to refuse it once the record is removed.
const OUTCOME_RETENTION_MS: u64 = 2 * 60 * 1000;

/// Result of [`Records::get_or_insert`].
#[derive(Debug)]
pub enum Entry {
    /// A new record, which the caller has to run.
    New(Arc<Record>),
    /// The record of a known request: the call is a resend.
    Known(Arc<Record>),
    /// The id is in use for another call.
    OtherCall,
    /// There is no record, and the id is too old to start.
    Expired,
    /// There is no record, and the node accepts no new ones.
    Closed,
}

/// Requests that a node holds.
#[derive(Debug)]
pub struct Records {
    shards: Vec<Mutex<Vec<Arc<Record>>>>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_shard| Mutex::default()).collect(),
        }
    }
}

impl Records {
    /// Returns the record of an id.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<Arc<Record>> {
        let shard = self.shard(id).lock();
        let index = shard.binary_search_by_key(id, |record| record.id).ok()?;
        Some(Arc::clone(&shard[index]))
    }

    /// Returns the record of an id, created from `call` if it is missing and `is_open` returns
    /// `true`.
    ///
    /// `is_open` is called under the shard's lock. A leaving node first changes its phase and then
    /// visits every shard, so it either finds the record or the record was never created. A record
    /// that the leaving node missed would run here and at the successor. The lookup and the
    /// insertion are one step under the same lock: otherwise two copies of a request that arrive
    /// together would both run.
    #[must_use]
    pub fn get_or_insert(
        &self,
        id: RequestId,
        call: &Call,
        now: TimeMs,
        is_open: impl FnOnce() -> bool,
    ) -> Entry {
        let mut shard = self.shard(&id).lock();
        match shard.binary_search_by_key(&id, |record| record.id) {
            Ok(index) if shard[index].fingerprint != call.fingerprint() => Entry::OtherCall,
            Ok(index) => Entry::Known(Arc::clone(&shard[index])),
            Err(_) if !id.may_start(now) => Entry::Expired,
            Err(_) if !is_open() => Entry::Closed,
            Err(index) => {
                let record = Arc::new(Record::new(id, call.clone()));
                shard.insert(index, Arc::clone(&record));
                Entry::New(record)
            }
        }
    }

    /// Inserts a record unless its id is present; returns the record in the table and whether it
    /// was inserted.
    pub fn insert_if_absent(&self, record: Record) -> (Arc<Record>, bool) {
        let mut shard = self.shard(&record.id).lock();
        match shard.binary_search_by_key(&record.id, |held| held.id) {
            Ok(index) => (Arc::clone(&shard[index]), false),
            Err(index) => {
                let record = Arc::new(record);
                shard.insert(index, Arc::clone(&record));
                (record, true)
            }
        }
    }

    /// Returns every record for which `wanted` returns `true`.
    pub fn select(&self, wanted: impl Fn(&Record) -> bool) -> Vec<Arc<Record>> {
        let mut found = Vec::new();
        for shard in &self.shards {
            found.extend(shard.lock().iter().filter(|record| wanted(record)).cloned());
        }
        found
    }

    /// Removes ended records whose ids can no longer start, and drops answers past their retention;
    /// returns the number of records removed.
    #[must_use]
    pub fn expire(&self, now: TimeMs) -> usize {
        let mut removed = 0;
        for shard in &self.shards {
            let mut shard = shard.lock();
            let before = shard.len();
            shard.retain(|record| !has_expired(record, now));
            for record in shard
                .iter_mut()
                .filter(|record| is_answer_expired(record, now))
            {
                *record = Arc::new(record.without_content());
            }
            removed += before - shard.len();
        }
        removed
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: &RequestId) -> &Mutex<Vec<Arc<Record>>> {
        &self.shards[id.sequence as usize % SHARDS]
    }
}

fn is_answer_expired(record: &Record, now: TimeMs) -> bool {
    let ended = record.ended_at_ms();
    ended.is_some_and(|at| now.since(at) >= ANSWER_RETENTION_MS) && record.has_answer()
}

fn has_expired(record: &Record, now: TimeMs) -> bool {
    let retention_ms = ID_VALIDITY_MS + OUTCOME_RETENTION_MS;
    let has_ended = record
        .ended_at_ms()
        .is_some_and(|at| now.since(at) >= OUTCOME_RETENTION_MS);
    has_ended && now.since(record.id.issued_at_ms) >= retention_ms
}

#[cfg(test)]
mod tests;
