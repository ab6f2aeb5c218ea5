//! Settles requests whose home is unreachable, on their witness or on a successor of the witness.

use std::sync::Arc;

use super::core::{Authority, Core, Phase, REFUSAL_RETRY_MS};
use super::dependencies::Dependencies;
use super::outcome::{Reason, UnknownReason};
use super::record::Copy;
use super::records::Entry;
use super::witness::{Settlement, is_complete};
use super::{Call, Outcome, Record, RequestId, Work};

/// Result of settling a request.
#[derive(Debug)]
pub enum SettleResult {
    /// The request continues on this node, or its answer is here.
    Local(Arc<Record>),
    /// The id is in use for another call.
    OtherCall,
    /// This node has left the fleet, and another one decides.
    Elsewhere,
    /// The request has this outcome.
    End(Outcome),
}

/// How to settle a request, based on the witness's state.
#[derive(Debug, PartialEq)]
enum Decision {
    /// The home has left the fleet: start or continue the request with the home's authority.
    Succeed,
    /// The answer is complete.
    Complete(Box<Copy>),
    /// A second run is allowed: continue from the copy, or start from the call if there is none.
    TakeOver(Option<Box<Copy>>),
    /// Read the stream that is already running, and start nothing.
    ReadOnly(Box<Copy>),
    /// Report this outcome.
    End(Outcome),
}

impl<L: Dependencies> Core<L> {
    /// Returns whether this node may settle a request: as its witness, as the successor of its home
    /// and witness, or because it runs the request.
    #[must_use]
    pub fn may_settle(&self, id: &RequestId) -> bool {
        let has_record = || self.records.get(id).is_some_and(|held| !held.is_moved());
        self.phase() != Phase::Left
            && (id.witness == self.own || self.has_taken_over(id) || has_record())
    }

    /// Settles a request whose home the requester cannot reach; see [`Core::may_settle`].
    pub fn settle(self: &Arc<Self>, id: RequestId, call: Option<&Call>) -> SettleResult {
        match self.records.get(&id) {
            Some(record) if call.is_some_and(|call| call.fingerprint() != record.fingerprint) => {
                return SettleResult::OtherCall;
            }
            Some(record) => return SettleResult::Local(record),
            None => {}
        }
        let decision = if id.witness == self.own {
            self.decide(&id, call, self.has_taken_over(&id))
        } else {
            self.decide_as_successor(&id, call)
        };
        match (decision, call) {
            (Decision::Succeed, Some(call)) => match self.submit(id, call, Authority::Successor) {
                Entry::New(record) | Entry::Known(record) => SettleResult::Local(record),
                Entry::OtherCall => SettleResult::OtherCall,
                Entry::Expired => SettleResult::End(Outcome::Unknown(UnknownReason::RecordExpired)),
                Entry::Closed => SettleResult::Elsewhere,
            },
            (Decision::Complete(copy), _) => self.insert_copy(&copy, None),
            (Decision::TakeOver(Some(copy)), _) => {
                self.insert_copy(&copy, Some(Authority::Takeover))
            }
            (Decision::TakeOver(None), Some(call)) => self.take_over_call(id, call),
            (Decision::Succeed | Decision::TakeOver(None), None) => {
                SettleResult::End(Outcome::Unknown(UnknownReason::HomeGone))
            }
            (Decision::ReadOnly(copy), _) => self.insert_copy(&copy, Some(Authority::Reader)),
            (Decision::End(outcome), _) => SettleResult::End(outcome),
        }
    }

    /// Runs an idempotent call in place of its unreachable home.
    fn take_over_call(self: &Arc<Self>, id: RequestId, call: &Call) -> SettleResult {
        let (record, new) = self.records.insert_if_absent(Record::new(id, call.clone()));
        if new {
            self.start(Arc::clone(&record), Authority::Takeover);
        }
        SettleResult::Local(record)
    }

    fn decide(&self, id: &RequestId, call: Option<&Call>, has_taken_over: bool) -> Decision {
        let now = self.clock.now();
        let idempotent = call.map(|call| call.idempotent);
        let settlement = match idempotent {
            // An id is ruled out only if the caller marks the call as non-idempotent: an idempotent
            // one is dispatched without consent, so a missing entry does not prove that it never
            // ran.
            Some(false) if !has_taken_over => self.witness.settle(*id, now),
            Some(_) => self.witness.take_over(*id, now),
            None => match self.witness.get(id) {
                Some(Settlement::MayRun(Some(copy))) if copy.call.idempotent => {
                    self.witness.take_over(*id, now)
                }
                known => known.unwrap_or(Settlement::MayRun(None)),
            },
        };
        match settlement {
            Settlement::Expired => Decision::End(Outcome::Unknown(UnknownReason::RecordExpired)),
            Settlement::NotRun => {
                Decision::End(Outcome::not_run(Reason::Settled, REFUSAL_RETRY_MS))
            }
            Settlement::Ended(copy) if is_complete(&copy) => Decision::Complete(copy),
            Settlement::Ended(copy) | Settlement::MayRun(Some(copy)) => continue_from_copy(copy),
            Settlement::MayRun(None) if has_taken_over => Decision::Succeed,
            Settlement::MayRun(None) if idempotent == Some(true) => Decision::TakeOver(None),
            Settlement::MayRun(None) => Decision::End(Outcome::Unknown(UnknownReason::HomeGone)),
        }
    }

    /// Settles a request that its home never worked on before it left the fleet.
    ///
    /// The witness is gone and may have told a caller that a non-idempotent request never runs, so
    /// such a request is refused.
    fn decide_as_successor(&self, id: &RequestId, call: Option<&Call>) -> Decision {
        match call {
            _ if !id.may_start(self.clock.now()) => {
                Decision::End(Outcome::Unknown(UnknownReason::RecordExpired))
            }
            Some(call) if call.idempotent => Decision::TakeOver(None),
            Some(_) => Decision::End(Outcome::not_run(Reason::Settled, REFUSAL_RETRY_MS)),
            None => Decision::End(Outcome::Unknown(UnknownReason::HomeGone)),
        }
    }

    fn insert_copy(self: &Arc<Self>, copy: &Copy, authority: Option<Authority>) -> SettleResult {
        let (record, new) = self
            .records
            .insert_if_absent(Record::from_copy(copy, self.clock.now()));
        if let (true, Some(authority)) = (new, authority) {
            log::debug!(id:% = copy.id, authority:? = authority, position = record.next_position(); "continuing a request from its home's reports");
            self.start(Arc::clone(&record), authority);
        }
        SettleResult::Local(record)
    }
}

/// Returns how to continue a request that its home may have dispatched.
fn continue_from_copy(mut copy: Box<Copy>) -> Decision {
    let is_completion = matches!(copy.call.work, Work::Completion { .. });
    copy.outcome = None;
    match copy.place {
        _ if copy.call.idempotent => Decision::TakeOver(Some(copy)),
        Some(_) if is_completion => Decision::ReadOnly(copy),
        _ => Decision::End(Outcome::Unknown(UnknownReason::HomeGone)),
    }
}
