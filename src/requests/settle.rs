//! What a witness does with a request whose home cannot be reached.

use std::sync::Arc;

use super::core::{Core, Phase, RETRY_SOON_MS, Right};
use super::links::Links;
use super::outcome::{Doubt, Reason};
use super::record::Copy;
use super::records::Entry;
use super::witness::{Settlement, is_whole};
use super::{Call, Outcome, Record, RequestId, Work};

/// What came of settling a request.
#[derive(Debug)]
pub enum Settled {
    /// It goes on here, or has its answer here.
    Here(Arc<Record>),
    /// The id is in use for another call.
    OtherCall,
    /// This node has left, and another one decides.
    Elsewhere,
    /// This is all that can be said.
    End(Outcome),
}

/// What to do, decided from what the witness knows.
#[derive(Debug, PartialEq)]
enum Decision {
    /// The home has left for good: start or go on as its heir.
    Inherit,
    /// The answer is known.
    Keep(Box<Copy>),
    /// A second run is allowed: go on from the copy, or from the call alone.
    Adopt(Option<Box<Copy>>),
    /// Only a stream that runs already may be read.
    Read(Box<Copy>),
    /// Say this.
    Say(Outcome),
}

impl<L: Links> Core<L> {
    /// Whether this node may settle a request: as its witness, as heir of the two, or because it
    /// works on it.
    #[must_use]
    pub fn may_settle(&self, id: &RequestId) -> bool {
        let holds = || self.records.get(id).is_some_and(|held| !held.is_moved());
        self.phase() != Phase::Left && (id.witness == self.own || self.has_inherited(id) || holds())
    }

    /// Settles a request whose home the asker cannot reach; see [`Core::may_settle`].
    pub fn settle(self: &Arc<Self>, id: RequestId, call: Option<&Call>) -> Settled {
        match self.records.get(&id) {
            Some(record) if call.is_some_and(|call| call.fingerprint() != record.fingerprint) => {
                return Settled::OtherCall;
            }
            Some(record) => return Settled::Here(record),
            None => {}
        }
        let decision = if id.witness == self.own {
            self.decide(&id, call, self.has_inherited(&id))
        } else {
            self.decide_as_successor(&id, call)
        };
        match (decision, call) {
            (Decision::Inherit, Some(call)) => match self.enter(id, call, Right::Heir) {
                Entry::New(record) | Entry::Known(record) => Settled::Here(record),
                Entry::OtherCall => Settled::OtherCall,
                Entry::Expired => Settled::End(Outcome::Unknown(Doubt::RecordExpired)),
                Entry::Closed => Settled::Elsewhere,
            },
            (Decision::Keep(copy), _) => self.hold(&copy, None),
            (Decision::Adopt(Some(copy)), _) => self.hold(&copy, Some(Right::Adopter)),
            (Decision::Adopt(None), Some(call)) => self.adopt_call(id, call),
            (Decision::Inherit | Decision::Adopt(None), None) => {
                Settled::End(Outcome::Unknown(Doubt::HomeGone))
            }
            (Decision::Read(copy), _) => self.hold(&copy, Some(Right::Reader)),
            (Decision::Say(outcome), _) => Settled::End(outcome),
        }
    }

    /// Runs an idempotent call in place of its home.
    fn adopt_call(self: &Arc<Self>, id: RequestId, call: &Call) -> Settled {
        let (record, new) = self.records.adopt(Record::new(id, call.clone()));
        if new {
            self.start(Arc::clone(&record), Right::Adopter);
        }
        Settled::Here(record)
    }

    fn decide(&self, id: &RequestId, call: Option<&Call>, inherited: bool) -> Decision {
        let now = self.clock.now();
        let idempotent = call.map(|call| call.idempotent);
        let settlement = match idempotent {
            // Only the caller's word that the call is non-idempotent lets the id be ruled out: an
            // idempotent one is dispatched without consent, so that no entry proves nothing.
            Some(false) if !inherited => self.witness.settle(*id, now),
            Some(_) => self.witness.take_over(*id, now),
            None => match self.witness.look(id) {
                Some(Settlement::MayRun(Some(copy))) if copy.call.idempotent => {
                    self.witness.take_over(*id, now)
                }
                known => known.unwrap_or(Settlement::MayRun(None)),
            },
        };
        match settlement {
            Settlement::Forgotten => Decision::Say(Outcome::Unknown(Doubt::RecordExpired)),
            Settlement::NotRun => Decision::Say(Outcome::not_run(Reason::Settled, RETRY_SOON_MS)),
            Settlement::Ended(copy) if is_whole(&copy) => Decision::Keep(copy),
            Settlement::Ended(copy) | Settlement::MayRun(Some(copy)) => go_on(copy),
            Settlement::MayRun(None) if inherited => Decision::Inherit,
            Settlement::MayRun(None) if idempotent == Some(true) => Decision::Adopt(None),
            Settlement::MayRun(None) => Decision::Say(Outcome::Unknown(Doubt::HomeGone)),
        }
    }

    /// Decides about a request that its home, which has left, never worked on.
    ///
    /// The witness may have told a caller that a non-idempotent one never runs, and is gone. So it
    /// never does.
    fn decide_as_successor(&self, id: &RequestId, call: Option<&Call>) -> Decision {
        match call {
            _ if !id.may_start(self.clock.now()) => {
                Decision::Say(Outcome::Unknown(Doubt::RecordExpired))
            }
            Some(call) if call.idempotent => Decision::Adopt(None),
            Some(_) => Decision::Say(Outcome::not_run(Reason::Settled, RETRY_SOON_MS)),
            None => Decision::Say(Outcome::Unknown(Doubt::HomeGone)),
        }
    }

    fn hold(self: &Arc<Self>, copy: &Copy, right: Option<Right>) -> Settled {
        let (record, new) = self
            .records
            .adopt(Record::from_copy(copy, self.clock.now()));
        if let (true, Some(right)) = (new, right) {
            self.start(Arc::clone(&record), right);
        }
        Settled::Here(record)
    }
}

/// How to go on with a request that its home may have dispatched.
fn go_on(mut copy: Box<Copy>) -> Decision {
    let on_an_engine = matches!(copy.call.work, Work::Completion { .. });
    copy.outcome = None;
    match copy.place {
        _ if copy.call.idempotent => Decision::Adopt(Some(copy)),
        Some(_) if on_an_engine => Decision::Read(copy),
        _ => Decision::Say(Outcome::Unknown(Doubt::HomeGone)),
    }
}
