//! Witness table: requests of other homes that this node consents to, settles and keeps copies of.
//!
//! A home dispatches a non-idempotent request only with its witness's consent. The witness can
//! therefore settle an id that it has not consented to as never running, without contacting the
//! home: a home that was paused or partitioned and resumes is refused consent. After its consent,
//! the witness never reports `not_run` for the id.

use parking_lot::Mutex;

use super::id::ID_VALIDITY_MS;
use super::record::{ANSWER_RETENTION_MS, Copy};
use super::{Outcome, RequestId};
use crate::time::TimeMs;

const SHARDS: usize = 64;

/// Lifetime of an entry, from the time at which its id was minted.
///
/// Longer than [`ID_VALIDITY_MS`] by more than the clock skew: if a settled id were removed while
/// it could still obtain consent, it would run after the caller was told `not_run`.
const ENTRY_TTL_MS: u64 = 2 * ID_VALIDITY_MS;

/// What the witness knows of a request whose home is unreachable.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The request did not run and never will: consent is refused from now on.
    NotRun,
    /// The request ended; the copy holds its outcome.
    Ended(Box<Copy>),
    /// The home may have dispatched the request; the copy holds the home's updates, if there are
    /// any.
    MayRun(Option<Box<Copy>>),
    /// There is no entry, and the id is so old that its entry may have been removed.
    Expired,
}

/// Sharded table of witnessed requests.
#[derive(Debug)]
pub struct Witness {
    shards: Vec<Mutex<Vec<WitnessEntry>>>,
}

#[derive(Debug)]
struct WitnessEntry {
    id: RequestId,
    /// The request never runs.
    is_settled: bool,
    /// This node may run the request in place of its home.
    is_taken_over: bool,
    has_consent: bool,
    copy: Option<Box<Copy>>,
    ended_at_ms: Option<TimeMs>,
}

impl Default for Witness {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_shard| Mutex::default()).collect(),
        }
    }
}

impl Witness {
    /// Returns whether the home may dispatch the request; if so, keeps the copy.
    #[must_use]
    pub fn consent(&self, copy: Copy, now: TimeMs) -> bool {
        let mut shard = self.shard(&copy.id).lock();
        match shard.binary_search_by_key(&copy.id, |entry| entry.id) {
            Ok(index) if shard[index].is_settled => false,
            Ok(index) => {
                shard[index].consent(copy, now);
                true
            }
            // An expired id without an entry may have been settled before its entry was removed.
            Err(_) if !copy.id.may_start(now) => false,
            Err(index) => {
                let mut entry = WitnessEntry::new(copy.id);
                entry.consent(copy, now);
                shard.insert(index, entry);
                true
            }
        }
    }

    /// Keeps a home's update of a request.
    pub fn keep(&self, copy: Copy, now: TimeMs) {
        let mut shard = self.shard(&copy.id).lock();
        match shard.binary_search_by_key(&copy.id, |entry| entry.id) {
            Ok(index) => shard[index].merge(copy, now),
            Err(index) => {
                let mut entry = WitnessEntry::new(copy.id);
                entry.merge(copy, now);
                shard.insert(index, entry);
            }
        }
    }

    /// Returns the state of a non-idempotent request, and rules it out if it has no consent.
    #[must_use]
    pub fn settle(&self, id: RequestId, now: TimeMs) -> Settlement {
        let settle = |entry: &mut WitnessEntry| {
            entry.is_settled |= entry.is_undispatched();
            entry.settlement()
        };
        self.with_entry(id, now, settle)
            .unwrap_or(Settlement::Expired)
    }

    /// Returns the state of a request that this node takes over from its home; afterwards
    /// [`Witness::rule_out`] refuses the id.
    ///
    /// For an idempotent request, or one whose home has left the fleet.
    #[must_use]
    pub fn take_over(&self, id: RequestId, now: TimeMs) -> Settlement {
        let take_over = |entry: &mut WitnessEntry| {
            entry.is_taken_over |= !entry.is_settled;
            entry.settlement()
        };
        self.with_entry(id, now, take_over)
            .unwrap_or(Settlement::Expired)
    }

    /// Rules out an idempotent request that its home is about to refuse; returns whether it is
    /// ruled out.
    ///
    /// The home starts such a request without consent, and other nodes take it over without
    /// consent. If they acted independently, one could report `not_run` to a caller while another
    /// returns an answer.
    #[must_use]
    pub fn rule_out(&self, id: RequestId, now: TimeMs) -> bool {
        let rule_out = |entry: &mut WitnessEntry| {
            entry.is_settled |= !entry.is_taken_over;
            entry.is_settled
        };
        self.with_entry(id, now, rule_out).unwrap_or(false)
    }

    /// Runs `act` on the entry of an id, which is created if it is missing and the id may still
    /// start.
    ///
    /// An expired id without an entry may have had one that was removed: a request that ran earlier
    /// would be taken for one that never arrived.
    fn with_entry<T>(
        &self,
        id: RequestId,
        now: TimeMs,
        act: impl FnOnce(&mut WitnessEntry) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(&id).lock();
        let index = match shard.binary_search_by_key(&id, |entry| entry.id) {
            Ok(index) => index,
            Err(_) if !id.may_start(now) => return None,
            Err(index) => {
                shard.insert(index, WitnessEntry::new(id));
                index
            }
        };
        Some(act(&mut shard[index]))
    }

    /// Returns the state of a request without ruling it out.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<Settlement> {
        let shard = self.shard(id).lock();
        let index = shard.binary_search_by_key(id, |entry| entry.id).ok()?;
        Some(shard[index].settlement())
    }

    /// Removes expired entries and drops answers past their retention; returns the number of
    /// entries removed.
    #[must_use]
    pub fn expire(&self, now: TimeMs) -> usize {
        let mut removed = 0;
        for shard in &self.shards {
            let mut shard = shard.lock();
            let before = shard.len();
            shard.retain(|entry| !entry.has_expired(now));
            shard
                .iter_mut()
                .for_each(|entry| entry.drop_expired_answer(now));
            removed += before - shard.len();
        }
        removed
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: &RequestId) -> &Mutex<Vec<WitnessEntry>> {
        &self.shards[id.sequence as usize % SHARDS]
    }
}

impl WitnessEntry {
    fn new(id: RequestId) -> Self {
        Self {
            id,
            is_settled: false,
            is_taken_over: false,
            has_consent: false,
            copy: None,
            ended_at_ms: None,
        }
    }

    fn consent(&mut self, copy: Copy, now: TimeMs) {
        self.has_consent = true;
        self.merge(copy, now);
    }

    /// Returns whether the request can neither start nor still be running.
    ///
    /// A request that runs for hours outlives its id's validity; without its entry it would be lost
    /// together with its home.
    fn has_expired(&self, now: TimeMs) -> bool {
        let is_running = |copy: &Copy| copy.outcome.is_none() && now < copy.call.deadline_ms;
        let may_run = self.copy.as_deref().is_some_and(is_running);
        !may_run && now.since(self.id.issued_at_ms) >= ENTRY_TTL_MS
    }

    /// Drops an answer past its retention; its outcome stays.
    fn drop_expired_answer(&mut self, now: TimeMs) {
        let old = self
            .ended_at_ms
            .is_some_and(|at| now.since(at) >= ANSWER_RETENTION_MS);
        if let (true, Some(copy)) = (old, &mut self.copy) {
            copy.drop_content();
        }
    }

    /// Returns whether nothing indicates that the home may have dispatched the request.
    fn is_undispatched(&self) -> bool {
        let may_be_dispatched = self
            .copy
            .as_ref()
            .is_some_and(|copy| copy.dispatched || copy.call.idempotent);
        let has_ended = self
            .copy
            .as_ref()
            .is_some_and(|copy| copy.outcome.is_some());
        !self.has_consent && !self.is_taken_over && !may_be_dispatched && !has_ended
    }

    fn settlement(&self) -> Settlement {
        match &self.copy {
            Some(copy) if copy.outcome.is_some() => Settlement::Ended(copy.clone()),
            _ if self.is_settled => Settlement::NotRun,
            copy => Settlement::MayRun(copy.clone()),
        }
    }

    /// Merges a copy that may be older than the one held, or that holds only the newest tokens.
    fn merge(&mut self, new: Copy, now: TimeMs) {
        if self.ended_at_ms.is_none() && new.outcome.is_some() {
            self.ended_at_ms = Some(now);
        }
        let Some(held) = &mut self.copy else {
            self.copy = Some(Box::new(new));
            return;
        };
        if held.outcome.is_some() {
            return;
        }
        held.chunk.extend_from(&new.chunk);
        held.dispatched |= new.dispatched;
        held.outcome = new.outcome;
        if new.attempts >= held.attempts {
            held.attempts = new.attempts;
            held.place = new.place;
        }
    }
}

/// Returns whether a copy holds a final outcome with all of its answer.
///
/// An answer is complete only with all of its tokens: a copy of the outcome can arrive although a
/// copy of some tokens was lost, and the caller would get a truncated answer.
#[must_use]
pub fn is_complete(copy: &Copy) -> bool {
    match &copy.outcome {
        Some(Outcome::Completed { tokens, .. }) => {
            copy.chunk.from == 0 && copy.chunk.len() == *tokens
        }
        Some(_) => true,
        None => false,
    }
}

#[cfg(test)]
mod tests;
