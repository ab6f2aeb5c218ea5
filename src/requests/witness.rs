//! What a witness knows about requests of other homes, and what it may say about them.
//!
//! A home dispatches a non-idempotent request only with its witness's consent. The witness may
//! therefore settle an id to which it has not consented as never running, without hearing from the
//! home: a home that is paused or cut off and comes back is refused consent. Where it has
//! consented, it never says `not_run` again.

use parking_lot::Mutex;

use super::id::ID_VALIDITY_MS;
use super::record::{Copy, KEEP_ANSWER_MS};
use super::{Outcome, RequestId};
use crate::time::TimeMs;

/// Shards of the table.
const SHARDS: usize = 64;

/// How long an entry is kept, counted from the id's minting.
///
/// Longer than [`ID_VALIDITY_MS`] by more than clocks differ: a settled id that is forgotten while
/// it could still be consented to would run after the caller was told `not_run`.
const KEEP_MS: u64 = 2 * ID_VALIDITY_MS;

/// What is known of a request whose home cannot be reached.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// It did not run and never will: consent is refused from now on.
    NotRun,
    /// It ended, and this is how.
    Ended(Box<Copy>),
    /// The home may have dispatched it; this is what it told.
    MayRun(Option<Box<Copy>>),
    /// Nothing is known of it, and it is so old that this may have been forgotten.
    Forgotten,
}

/// What a witness holds.
#[derive(Debug)]
pub struct Witness {
    shards: Vec<Mutex<Vec<Witnessed>>>,
}

#[derive(Debug)]
struct Witnessed {
    id: RequestId,
    /// It never runs.
    settled: bool,
    /// This node, which is the witness, may run it.
    taken_over: bool,
    consented: bool,
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
    /// Decides whether the home may dispatch what it tells about, and keeps it if so.
    #[must_use]
    pub fn consent(&self, told: Copy, now: TimeMs) -> bool {
        let mut shard = self.shard(&told.id).lock();
        match shard.binary_search_by_key(&told.id, |entry| entry.id) {
            Ok(index) if shard[index].settled => false,
            Ok(index) => {
                shard[index].consent(told, now);
                true
            }
            // An id without an entry that is past its validity may have been settled and forgotten.
            Err(_) if !told.id.may_start(now) => false,
            Err(index) => {
                let mut entry = Witnessed::new(told.id);
                entry.consent(told, now);
                shard.insert(index, entry);
                true
            }
        }
    }

    /// Keeps what a home tells about a request.
    pub fn keep(&self, copy: Copy, now: TimeMs) {
        let mut shard = self.shard(&copy.id).lock();
        match shard.binary_search_by_key(&copy.id, |entry| entry.id) {
            Ok(index) => shard[index].take(copy, now),
            Err(index) => {
                let mut entry = Witnessed::new(copy.id);
                entry.take(copy, now);
                shard.insert(index, entry);
            }
        }
    }

    /// Says what is known of a non-idempotent request, and rules out what has not been consented to.
    #[must_use]
    pub fn settle(&self, id: RequestId, now: TimeMs) -> Settlement {
        let settle = |entry: &mut Witnessed| {
            entry.settled |= entry.is_untouched();
            entry.settlement()
        };
        self.with_entry(id, now, settle)
            .unwrap_or(Settlement::Forgotten)
    }

    /// Says what is known of a request that this node is to run in its home's place, and no longer
    /// agrees that it never runs.
    ///
    /// For an idempotent request, or one whose home has left for good.
    #[must_use]
    pub fn take_over(&self, id: RequestId, now: TimeMs) -> Settlement {
        let take_over = |entry: &mut Witnessed| {
            entry.taken_over |= !entry.settled;
            entry.settlement()
        };
        self.with_entry(id, now, take_over)
            .unwrap_or(Settlement::Forgotten)
    }

    /// Agrees that an idempotent request never runs, which its home is about to say.
    ///
    /// The home needs no consent to start such a request, and others need none to take it over: if
    /// each acted by itself, a caller could be told `not_run` by one and get an answer from another.
    #[must_use]
    pub fn rule_out(&self, id: RequestId, now: TimeMs) -> bool {
        let rule_out = |entry: &mut Witnessed| {
            entry.settled |= !entry.taken_over;
            entry.settled
        };
        self.with_entry(id, now, rule_out).unwrap_or(false)
    }

    /// Acts on the entry of an id, which is made if there is none and the id may still start.
    ///
    /// An id without an entry that is past its validity may have had one, now forgotten: a claim
    /// that ran a while ago would be taken for one that never came.
    fn with_entry<T>(
        &self,
        id: RequestId,
        now: TimeMs,
        act: impl FnOnce(&mut Witnessed) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(&id).lock();
        let index = match shard.binary_search_by_key(&id, |entry| entry.id) {
            Ok(index) => index,
            Err(_) if !id.may_start(now) => return None,
            Err(index) => {
                shard.insert(index, Witnessed::new(id));
                index
            }
        };
        Some(act(&mut shard[index]))
    }

    /// Says what is known of a request without ruling anything out.
    #[must_use]
    pub fn look(&self, id: &RequestId) -> Option<Settlement> {
        let shard = self.shard(id).lock();
        let index = shard.binary_search_by_key(id, |entry| entry.id).ok()?;
        Some(shard[index].settlement())
    }

    /// Forgets ids that are too old to matter and answers that have been kept long enough; returns
    /// how many ids it forgot.
    #[must_use]
    pub fn expire(&self, now: TimeMs) -> usize {
        let mut gone = 0;
        for shard in &self.shards {
            let mut shard = shard.lock();
            let before = shard.len();
            shard.retain(|entry| !entry.has_expired(now));
            shard.iter_mut().for_each(|entry| entry.shed(now));
            gone += before - shard.len();
        }
        gone
    }

    /// How many ids it holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether it holds none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: &RequestId) -> &Mutex<Vec<Witnessed>> {
        &self.shards[id.sequence as usize % SHARDS]
    }
}

impl Witnessed {
    fn new(id: RequestId) -> Self {
        Self {
            id,
            settled: false,
            taken_over: false,
            consented: false,
            copy: None,
            ended_at_ms: None,
        }
    }

    fn consent(&mut self, told: Copy, now: TimeMs) {
        self.consented = true;
        self.take(told, now);
    }

    /// Whether the id can neither start nor still run.
    ///
    /// A report that takes hours outlives its id's validity; forgotten while it runs, it would be
    /// lost with its home.
    fn has_expired(&self, now: TimeMs) -> bool {
        let runs = |copy: &Copy| copy.outcome.is_none() && now < copy.call.deadline_ms;
        let may_run = self.copy.as_deref().is_some_and(runs);
        !may_run && now.since(self.id.issued_at_ms) >= KEEP_MS
    }

    /// Drops an answer that has been kept long enough; its outcome stays.
    fn shed(&mut self, now: TimeMs) {
        let old = self
            .ended_at_ms
            .is_some_and(|at| now.since(at) >= KEEP_ANSWER_MS);
        if let (true, Some(copy)) = (old, &mut self.copy) {
            copy.shed();
        }
    }

    /// Whether nothing says that the home got as far as dispatching.
    fn is_untouched(&self) -> bool {
        let copy_says_so = self
            .copy
            .as_ref()
            .is_some_and(|copy| copy.dispatched || copy.call.idempotent);
        let ended = self
            .copy
            .as_ref()
            .is_some_and(|copy| copy.outcome.is_some());
        !self.consented && !self.taken_over && !copy_says_so && !ended
    }

    fn settlement(&self) -> Settlement {
        match &self.copy {
            Some(copy) if copy.outcome.is_some() => Settlement::Ended(copy.clone()),
            _ if self.settled => Settlement::NotRun,
            copy => Settlement::MayRun(copy.clone()),
        }
    }

    /// Joins a copy that may be older than the one held, or carry only the newest tokens.
    fn take(&mut self, new: Copy, now: TimeMs) {
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
        let known = held.chunk.from + held.chunk.tokens.len() as u64;
        if new.chunk.from <= known {
            let skip = usize::try_from(known - new.chunk.from).unwrap_or(usize::MAX);
            held.chunk
                .tokens
                .extend(new.chunk.tokens.into_iter().skip(skip));
        }
        held.dispatched |= new.dispatched;
        held.outcome = new.outcome;
        if new.attempts >= held.attempts {
            held.attempts = new.attempts;
            held.place = new.place;
        }
    }
}

/// Whether an outcome may be told to callers as the whole truth by a witness.
///
/// An answer counts only with all of its tokens: a copy of the outcome can arrive although a copy
/// of some tokens was lost, and the caller would get a shorter answer than the model gave.
#[must_use]
pub fn is_whole(copy: &Copy) -> bool {
    match &copy.outcome {
        Some(Outcome::Completed { tokens, .. }) => {
            copy.chunk.from == 0 && copy.chunk.tokens.len() as u64 == *tokens
        }
        Some(_) => true,
        None => false,
    }
}

#[cfg(test)]
mod tests;
