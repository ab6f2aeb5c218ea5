//! Answers the requests of other nodes to this node's request core.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::core::{Authority, Core, Phase};
use super::dependencies::Dependencies;
use super::handover::RequestGroup;
use super::record::{Order, Reading};
use super::records::Entry;
use super::settlement::SettleResult;
use super::{Call, Outcome, Record, RequestId};
use crate::keys::Incarnation;
use crate::node::messages::{Item, Reply, Request, WitnessUpdate};
use crate::requests::outcome::UnknownReason;

/// Maximum number of items that wait for a slow reader before its stream pauses.
const MAX_WAITING_ITEMS: usize = 64;

/// An answer to a peer.
#[derive(Debug)]
pub enum Answer {
    /// A reply without items.
    Reply(Reply),
    /// A reply followed by items.
    Stream(mpsc::Receiver<Item>),
}

impl<L: Dependencies> Core<L> {
    /// Answers a request of another node.
    ///
    /// # Errors
    ///
    /// Returns the request itself if it is not addressed to the request core.
    pub fn answer(self: &Arc<Self>, request: Request) -> Result<Answer, Request> {
        let answer = match request {
            Request::Submit { id, call, from } => self.answer_submit(id, &call, from),
            Request::Attach { id, from } => self.answer_attach(&id, from),
            Request::Settle { id, call, from } => self.answer_settle(id, call.as_deref(), from),
            Request::Cancel { id } => self.answer_cancel(&id),
            Request::Witness { witness, updates } => {
                Answer::Reply(self.answer_witness(witness, updates))
            }
            Request::Inherit {
                successor,
                home,
                witness,
                requests,
                is_complete,
            } if successor == self.own && self.phase() == Phase::Serving => {
                let group = RequestGroup { home, witness };
                self.accept_requests(group, requests, is_complete);
                Answer::Reply(Reply::Done)
            }
            Request::Inherit { .. } => Answer::Reply(Reply::WrongNode),
            Request::Strikes(report) => {
                self.suspicion.merge(&report, self.clock.now());
                Answer::Reply(Reply::Done)
            }
            Request::Shares { from, report } => {
                self.gates.merge(from, &report);
                Answer::Reply(Reply::Done)
            }
            Request::Quarantine(request) => {
                let answer = self.suspicion.ask(request, self.clock.now());
                Answer::Reply(Reply::Quarantine(answer))
            }
            Request::Release { request, end } => {
                self.suspicion.release(&request, end, self.clock.now());
                Answer::Reply(Reply::Done)
            }
            other => return Err(other),
        };
        Ok(answer)
    }

    fn answer_submit(self: &Arc<Self>, id: RequestId, call: &Call, from: u64) -> Answer {
        if !self.is_home(&id) {
            return Answer::Reply(Reply::WrongNode);
        }
        match self.submit(id, call, Authority::Home) {
            Entry::New(record) | Entry::Known(record) => stream(record, from),
            Entry::OtherCall => Answer::Reply(Reply::OtherCall),
            Entry::Expired => ended_stream(Outcome::Unknown(UnknownReason::RecordExpired)),
            Entry::Closed => Answer::Reply(Reply::WrongNode),
        }
    }

    fn answer_attach(&self, id: &RequestId, from: u64) -> Answer {
        match self.records.get(id) {
            // A stream of a moved record would break at once, and the requester would retry here
            // forever.
            Some(record) if record.is_moved() => Answer::Reply(Reply::WrongNode),
            Some(record) => stream(record, from),
            None if self.is_home(id) => Answer::Reply(Reply::NoSuchRequest),
            None => Answer::Reply(Reply::WrongNode),
        }
    }

    fn answer_settle(self: &Arc<Self>, id: RequestId, call: Option<&Call>, from: u64) -> Answer {
        if !self.may_settle(&id) {
            return Answer::Reply(Reply::WrongNode);
        }
        match self.settle(id, call) {
            SettleResult::Local(record) => stream(record, from),
            SettleResult::OtherCall => Answer::Reply(Reply::OtherCall),
            SettleResult::Elsewhere => Answer::Reply(Reply::WrongNode),
            SettleResult::End(outcome) => ended_stream(outcome),
        }
    }

    fn answer_cancel(&self, id: &RequestId) -> Answer {
        let reply = match self.records.get(id) {
            Some(record) if !record.is_moved() => {
                record.order(Order::Cancel);
                Reply::Done
            }
            _ => Reply::NoSuchRequest,
        };
        Answer::Reply(reply)
    }

    fn answer_witness(&self, witness: Incarnation, updates: Vec<WitnessUpdate>) -> Reply {
        if witness != self.own || self.phase() == Phase::Left {
            return Reply::WrongNode;
        }
        let consents = updates.into_iter().map(|update| self.apply_update(update));
        Reply::Consents(consents.collect())
    }

    /// Applies a home's update to this node's witness table; returns whether the witness agrees.
    pub(super) fn apply_update(&self, update: WitnessUpdate) -> bool {
        let now = self.clock.now();
        match update {
            WitnessUpdate::Consent(copy) => self.witness.consent(copy, now),
            WitnessUpdate::RuleOut(id) => self.witness.rule_out(id, now),
            WitnessUpdate::Store(copy) => {
                self.witness.keep(copy, now);
                true
            }
        }
    }
}

fn ended_stream(outcome: Outcome) -> Answer {
    let (sender, items) = mpsc::channel(1);
    // The channel has capacity for the one item.
    drop(sender.try_send(Item::End(outcome)));
    Answer::Stream(items)
}

/// Streams a record from a position on.
fn stream(record: Arc<Record>, from: u64) -> Answer {
    let (sender, items) = mpsc::channel(MAX_WAITING_ITEMS);
    tokio::spawn(async move {
        let mut position = from;
        loop {
            let reading = tokio::select! {
                reading = record.next(position) => reading,
                () = sender.closed() => break,
            };
            let (item, is_last) = match reading {
                Reading::Tokens(chunk) => {
                    position += chunk.len();
                    (Item::Tokens(chunk), false)
                }
                Reading::End(outcome) => (Item::End(outcome), true),
                // A stream that ends without an outcome redirects the reader to the node that took
                // over.
                Reading::Moved | Reading::Pending => break,
            };
            if sender.send(item).await.is_err() || is_last {
                break;
            }
        }
    });
    Answer::Stream(items)
}
