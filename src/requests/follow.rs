//! Follows a request's answer for one caller, wherever the request is.
//!
//! The node that a caller is connected to need not be the one that runs the request. If the source
//! breaks, the next one is asked from the position reached, so that the caller sees one whole
//! stream: first the home, then the witness.

use std::sync::Arc;

use super::core::{Core, RETRY_SOON_MS, Right};
use super::handover::Estate;
use super::links::{ItemStream, Links, Peers, Unreachable};
use super::outcome::{Doubt, Reason};
use super::record::{Chunk, Reading};
use super::records::Entry;
use super::settle::Settled;
use super::{Call, Outcome, Record, RequestId};
use crate::node::messages::{Item, Reply, Request};

/// How often home and witness are asked before the caller is told that nobody answers.
const ROUNDS: u32 = 3;

/// Pause between two rounds.
const PAUSE_MS: u64 = 150;

/// What the caller is to see next.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Tokens.
    Tokens(Chunk),
    /// The end.
    End(Outcome),
    /// There is no such request.
    NoSuchRequest,
    /// The id is in use for another call.
    OtherCall,
    /// This node ends; another one has the rest.
    Elsewhere,
}

/// Follows one request.
#[derive(Debug)]
pub struct Follow<L: Links> {
    core: Arc<Core<L>>,
    id: RequestId,
    call: Option<Call>,
    position: u64,
    source: Source<L>,
    breaks: u32,
    /// The next step, if it is known already.
    ahead: Option<Step>,
}

enum Source<L: Links> {
    None,
    Here(Arc<Record>),
    There(<L::Peers as Peers>::Items),
}

impl<L: Links> std::fmt::Debug for Source<L> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::None => "None",
            Self::Here(_) => "Here",
            Self::There(_) => "There",
        })
    }
}

enum Found<L: Links> {
    Source(Source<L>),
    Last(Step),
    Nobody,
}

impl<L: Links> Follow<L> {
    /// Follows a request from a position; with the call, the request is started if it is new.
    #[must_use]
    pub fn new(core: Arc<Core<L>>, id: RequestId, call: Option<Call>, position: u64) -> Self {
        Self {
            core,
            id,
            call,
            position,
            source: Source::None,
            breaks: 0,
            ahead: None,
        }
    }

    /// Says that the request has ended so, without asking anybody.
    #[must_use]
    pub fn ahead_of(mut self, outcome: Outcome) -> Self {
        self.ahead = Some(Step::End(outcome));
        self
    }

    /// Waits for the next step and leaves it to be taken.
    pub async fn peek(&mut self) -> &Step {
        let step = self.next().await;
        self.ahead.insert(step)
    }

    /// Waits for the next step; after anything but tokens there is none.
    pub async fn next(&mut self) -> Step {
        if let Some(step) = self.ahead.take() {
            return step;
        }
        let ended = self.core.ended.clone();
        tokio::select! {
            biased;
            step = self.step() => step,
            () = ended.cancelled() => Step::Elsewhere,
        }
    }

    async fn step(&mut self) -> Step {
        loop {
            let step = match &mut self.source {
                Source::Here(record) => match record.next(self.position).await {
                    Reading::Tokens(chunk) => Some(Step::Tokens(chunk)),
                    Reading::End(outcome) => Some(Step::End(outcome)),
                    Reading::Moved | Reading::Pending => None,
                },
                Source::There(items) => match items.next().await {
                    Some(Ok(Item::Tokens(chunk))) => self.in_order(chunk).map(Step::Tokens),
                    Some(Ok(Item::End(outcome))) => Some(Step::End(outcome)),
                    Some(Err(_)) | None => None,
                },
                Source::None => match self.find().await {
                    Found::Source(source) => {
                        self.source = source;
                        continue;
                    }
                    Found::Last(step) => Some(step),
                    Found::Nobody => Some(Step::End(Outcome::Unknown(Doubt::NobodyAnswers))),
                },
            };
            match step {
                Some(Step::Tokens(chunk)) => {
                    self.position += chunk.tokens.len() as u64;
                    self.breaks = 0;
                    return Step::Tokens(chunk);
                }
                Some(last) => return last,
                None => self.source_broke().await,
            }
        }
    }

    /// Follows to the end and gives the tokens from the first position on.
    pub async fn whole(&mut self) -> (Vec<String>, Step) {
        let mut tokens = Vec::new();
        loop {
            match self.next().await {
                Step::Tokens(chunk) => tokens.extend(chunk.tokens),
                last => return (tokens, last),
            }
        }
    }

    /// A chunk, if it goes on exactly where the caller is.
    fn in_order(&self, chunk: Chunk) -> Option<Chunk> {
        (chunk.from == self.position).then_some(chunk)
    }

    /// Pauses more the more often sources break without a token in between.
    async fn source_broke(&mut self) {
        self.source = Source::None;
        self.breaks += 1;
        let pause_ms = u64::from(self.breaks.saturating_sub(1).min(10)) * PAUSE_MS;
        tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
    }

    async fn find(&mut self) -> Found<L> {
        let rounds = if self.may_run_again() { 1 } else { ROUNDS };
        for round in 0..rounds {
            if round > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(PAUSE_MS)).await;
            }
            match self.ask_home().await {
                Found::Nobody => {}
                found => return found,
            }
            match self.ask_witness().await {
                Found::Nobody => {}
                found => return found,
            }
            match self.ask_successors().await {
                Found::Nobody => {}
                found => return found,
            }
        }
        // An idempotent call could run here. But its home may have refused it as not run, and the
        // caller, who may send it again under a new id, would have two words on one id.
        Found::Nobody
    }

    async fn ask_home(&self) -> Found<L> {
        if self.core.is_home(&self.id) {
            return self.enter_here();
        }
        if self.id.home == self.core.own {
            // It has left and handed its requests over.
            return Found::Nobody;
        }
        let (id, from) = (self.id, self.position);
        let request = match self.call.clone().map(Box::new) {
            Some(call) => Request::Submit { id, call, from },
            None => Request::Attach { id, from },
        };
        self.open(self.id.home, request).await
    }

    /// Asks the witness, or settles the request here if this node may.
    async fn ask_witness(&self) -> Found<L> {
        if self.core.may_settle(&self.id) {
            return match self.core.settle(self.id, self.call.as_ref()) {
                Settled::Here(record) => Found::Source(Source::Here(record)),
                Settled::OtherCall => Found::Last(Step::OtherCall),
                Settled::Elsewhere => Found::Nobody,
                Settled::End(outcome) => Found::Last(Step::End(outcome)),
            };
        }
        match self.id.witness {
            witness if witness == self.core.own => Found::Nobody,
            witness => self.ask_to_settle(witness).await,
        }
    }

    /// Asks those who may have taken the request over from a witness that is gone.
    async fn ask_successors(&self) -> Found<L> {
        for successor in self.core.successors(Estate::of(&self.id)) {
            match self.ask_to_settle(successor).await {
                Found::Nobody => {}
                found => return found,
            }
        }
        Found::Nobody
    }

    async fn ask_to_settle(&self, node: crate::keys::Incarnation) -> Found<L> {
        let request = Request::Settle {
            id: self.id,
            call: self.call.clone().map(Box::new),
            from: self.position,
        };
        self.open(node, request).await
    }

    /// The id's home is this node.
    fn enter_here(&self) -> Found<L> {
        let Some(call) = &self.call else {
            return match self.core.records.get(&self.id) {
                Some(record) => Found::Source(Source::Here(record)),
                None => Found::Last(Step::NoSuchRequest),
            };
        };
        match self.core.enter(self.id, call, Right::Home) {
            Entry::New(record) | Entry::Known(record) => Found::Source(Source::Here(record)),
            Entry::OtherCall => Found::Last(Step::OtherCall),
            Entry::Expired => Found::Last(Step::End(Outcome::Unknown(Doubt::RecordExpired))),
            Entry::Closed => Found::Nobody,
        }
    }

    /// Whether one more run does no harm, and the call is here to run it.
    fn may_run_again(&self) -> bool {
        self.call.as_ref().is_some_and(|call| call.idempotent)
    }

    async fn open(&self, to: crate::keys::Incarnation, request: Request) -> Found<L> {
        // A call that may run here as well does not wait for a node that has gone silent. Nodes that
        // are cut off from all others would answer no call in time otherwise.
        if self.may_run_again() && self.core.peers.is_silent(to) {
            return Found::Nobody;
        }
        match self.core.peers.open(to, request).await {
            Ok((Reply::Stream, items)) => Found::Source(Source::There(items)),
            Ok((Reply::NoSuchRequest, _)) => Found::Last(Step::NoSuchRequest),
            Ok((Reply::OtherCall, _)) => Found::Last(Step::OtherCall),
            Ok(_) | Err(Unreachable::Gone | Unreachable::Silent) => Found::Nobody,
        }
    }
}

/// The refusal of a call for which no node could be found to witness it.
#[must_use]
pub fn no_witness() -> Outcome {
    Outcome::not_run(Reason::WitnessUnreachable, RETRY_SOON_MS)
}
