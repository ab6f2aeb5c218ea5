//! Answers what other nodes ask of this node's request core.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::core::{Core, Phase, Right};
use super::handover::Estate;
use super::links::Links;
use super::record::{Order, Reading};
use super::records::Entry;
use super::settle::Settled;
use super::{Call, Outcome, Record, RequestId};
use crate::keys::Incarnation;
use crate::node::messages::{Item, Reply, Request, Told};
use crate::requests::outcome::Doubt;

/// Items that may wait for a slow reader before its stream pauses.
const WAITING_ITEMS: usize = 64;

/// An answer to a peer.
#[derive(Debug)]
pub enum Answer {
    /// A reply alone.
    Reply(Reply),
    /// A reply, and items after it.
    Stream(mpsc::Receiver<Item>),
}

impl<L: Links> Core<L> {
    /// Answers a request of another node, or gives it back if it is not about requests.
    ///
    /// # Errors
    ///
    /// The request itself, if another part of the node has to answer it.
    pub fn answer(self: &Arc<Self>, request: Request) -> Result<Answer, Request> {
        let answer = match request {
            Request::Submit { id, call, from } => self.answer_submit(id, &call, from),
            Request::Attach { id, from } => self.answer_attach(&id, from),
            Request::Settle { id, call, from } => self.answer_settle(id, call.as_deref(), from),
            Request::Cancel { id } => self.answer_cancel(&id),
            Request::Witness { witness, told } => Answer::Reply(self.answer_witness(witness, told)),
            Request::Inherit {
                heir,
                home,
                witness,
                requests,
                farewell,
            } if heir == self.own && self.phase() == Phase::Serving => {
                let estate = Estate { home, witness };
                self.inherit(estate, requests, farewell);
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
            Request::Quarantine(ask) => {
                let answer = self.suspicion.ask(ask, self.clock.now());
                Answer::Reply(Reply::Quarantine(answer))
            }
            Request::Release { ask, end } => {
                self.suspicion.release(&ask, end, self.clock.now());
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
        match self.enter(id, call, Right::Home) {
            Entry::New(record) | Entry::Known(record) => stream(record, from),
            Entry::OtherCall => Answer::Reply(Reply::OtherCall),
            Entry::Expired => ended(Outcome::Unknown(Doubt::RecordExpired)),
            Entry::Closed => Answer::Reply(Reply::WrongNode),
        }
    }

    fn answer_attach(&self, id: &RequestId, from: u64) -> Answer {
        match self.records.get(id) {
            // Its stream would break at once, and the asker would come back here for ever.
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
            Settled::Here(record) => stream(record, from),
            Settled::OtherCall => Answer::Reply(Reply::OtherCall),
            Settled::Elsewhere => Answer::Reply(Reply::WrongNode),
            Settled::End(outcome) => ended(outcome),
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

    fn answer_witness(&self, witness: Incarnation, told: Vec<Told>) -> Reply {
        if witness != self.own || self.phase() == Phase::Left {
            return Reply::WrongNode;
        }
        let told = told.into_iter().map(|told| self.witnessed(told));
        Reply::Consents(told.collect())
    }

    /// Takes in what a home tells its witness, which is this node; tells whether it agrees.
    pub(super) fn witnessed(&self, told: Told) -> bool {
        let now = self.clock.now();
        match told {
            Told::Consent(copy) => self.witness.consent(copy, now),
            Told::RuleOut(id) => self.witness.rule_out(id, now),
            Told::Keep(copy) => {
                self.witness.keep(copy, now);
                true
            }
        }
    }
}

fn ended(outcome: Outcome) -> Answer {
    let (sender, items) = mpsc::channel(1);
    // The channel has room for the one item.
    drop(sender.try_send(Item::End(outcome)));
    Answer::Stream(items)
}

/// Streams a record from a position on.
fn stream(record: Arc<Record>, from: u64) -> Answer {
    let (sender, items) = mpsc::channel(WAITING_ITEMS);
    tokio::spawn(async move {
        let mut position = from;
        loop {
            let reading = tokio::select! {
                reading = record.next(position) => reading,
                () = sender.closed() => break,
            };
            let (item, last) = match reading {
                Reading::Tokens(chunk) => {
                    position += chunk.tokens.len() as u64;
                    (Item::Tokens(chunk), false)
                }
                Reading::End(outcome) => (Item::End(outcome), true),
                // Ending without an outcome sends the reader on to the node that took over.
                Reading::Moved | Reading::Pending => break,
            };
            if sender.send(item).await.is_err() || last {
                break;
            }
        }
    });
    Answer::Stream(items)
}
