//! The requests that a node holds, in shards.

use std::sync::Arc;

use parking_lot::Mutex;

use super::id::ID_VALIDITY_MS;
use super::record::KEEP_ANSWER_MS;
use super::{Call, Record, RequestId};
use crate::time::TimeMs;

/// Shards of the table.
const SHARDS: usize = 64;

/// How long the outcome of a request is kept after its end, beyond its id's validity.
///
/// A record forgotten while its id may still start would let a resend run again. Kept for the
/// validity and then some, the id is refused by its age alone once the record is gone.
const KEEP_AFTER_VALIDITY_MS: u64 = 2 * 60 * 1000;

/// What came of looking for a record or making it.
#[derive(Debug)]
pub enum Entry {
    /// There was none; this one is to be run.
    New(Arc<Record>),
    /// A resend of a request that is known.
    Known(Arc<Record>),
    /// The id is in use for another call.
    OtherCall,
    /// There is none, and the id is too old to start.
    Expired,
    /// There is none, and no more are let in.
    Closed,
}

/// The requests that a node holds.
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
    /// The record of an id.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<Arc<Record>> {
        let shard = self.shard(id).lock();
        let index = shard.binary_search_by_key(id, |record| record.id).ok()?;
        Some(Arc::clone(&shard[index]))
    }

    /// The record of an id, made from `call` if there is none and `is_open` holds.
    ///
    /// `is_open` is asked under the shard's lock: a node that leaves first says that it does and then
    /// looks at every shard, so that it either sees a call or has not let it in. One let in unseen
    /// would run here and at the heir. Looking and making are one step under the shard's lock: two copies of one request that
    /// arrive together would run twice otherwise.
    #[must_use]
    pub fn enter(
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

    /// Puts a record in unless there is one; returns the one that is there.
    pub fn adopt(&self, record: Record) -> (Arc<Record>, bool) {
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

    /// Every record for which `wanted` holds.
    pub fn select(&self, wanted: impl Fn(&Record) -> bool) -> Vec<Arc<Record>> {
        let mut found = Vec::new();
        for shard in &self.shards {
            found.extend(shard.lock().iter().filter(|record| wanted(record)).cloned());
        }
        found
    }

    /// Forgets what has ended and whose id can no longer start, and drops answers that have been
    /// kept long enough; returns how many it forgot.
    #[must_use]
    pub fn expire(&self, now: TimeMs) -> usize {
        let mut gone = 0;
        for shard in &self.shards {
            let mut shard = shard.lock();
            let before = shard.len();
            shard.retain(|record| !has_expired(record, now));
            for record in shard.iter_mut().filter(|record| is_to_shed(record, now)) {
                *record = Arc::new(record.shed());
            }
            gone += before - shard.len();
        }
        gone
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: &RequestId) -> &Mutex<Vec<Arc<Record>>> {
        &self.shards[id.sequence as usize % SHARDS]
    }
}

fn is_to_shed(record: &Record, now: TimeMs) -> bool {
    let ended = record.ended_at_ms();
    ended.is_some_and(|at| now.since(at) >= KEEP_ANSWER_MS) && record.holds_answer()
}

fn has_expired(record: &Record, now: TimeMs) -> bool {
    let keep_ms = ID_VALIDITY_MS + KEEP_AFTER_VALIDITY_MS;
    let ended = record
        .ended_at_ms()
        .is_some_and(|at| now.since(at) >= KEEP_AFTER_VALIDITY_MS);
    ended && now.since(record.id.issued_at_ms) >= keep_ms
}

#[cfg(test)]
mod tests;
