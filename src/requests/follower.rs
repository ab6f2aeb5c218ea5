//! Follows a request's answer for one caller, on whichever node the request runs.
//!
//! The node that a caller is connected to may not be the one that runs the request. If the source
//! breaks, the next one is read from the position reached, so that the caller gets one complete
//! stream: first the home, then the witness. Where none of them has an answer and the home is merely
//! silent, they are asked again.

mod patience;

use std::sync::Arc;

use self::patience::{HomePath, Unanswered};

use super::Chunk;
use super::core::{Authority, Core, REFUSAL_RETRY_MS};
use super::dependencies::{Dependencies, ItemStream, Peers, Unreachable};
use super::handover::RequestGroup;
use super::outcome::{Reason, UnknownReason};
use super::record::Reading;
use super::records::Entry;
use super::settlement::SettleResult;
use super::substitute;
use super::{Call, Outcome, Record, RequestId};
use crate::node::messages::{Item, Reply, Request};
use crate::time::TimeMs;

/// Number of attempts to reach home and witness before the caller gets `unknown`.
const MAX_ROUNDS: u32 = 3;

/// Delay between two rounds, and increment of the delay after repeated source failures.
const RETRY_DELAY_STEP_MS: u64 = 150;

/// The next item for the caller.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Tokens of the answer.
    Tokens(Chunk),
    /// The outcome of the request.
    End(Outcome),
    /// The request does not exist.
    NoSuchRequest,
    /// The id is in use for another call.
    OtherCall,
    /// This node shuts down; another one has the rest of the answer.
    Elsewhere,
}

/// Follows one request.
#[derive(Debug)]
pub struct RequestFollower<L: Dependencies> {
    core: Arc<Core<L>>,
    id: RequestId,
    /// The id that the caller sent, if the call runs under another one.
    caller_id: Option<RequestId>,
    call: Option<Call>,
    position: u64,
    source: Source<L>,
    failures: u32,
    home: HomePath,
    /// When nobody had an answer first, since the last token.
    unanswered_since_ms: Option<TimeMs>,
    /// The next step, if it has already been read.
    peeked: Option<Step>,
}

enum Source<L: Dependencies> {
    None,
    Here(Arc<Record>),
    There(<L::Peers as Peers>::Items),
}

impl<L: Dependencies> std::fmt::Debug for Source<L> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::None => "None",
            Self::Here(_) => "Here",
            Self::There(_) => "There",
        })
    }
}

enum Found<L: Dependencies> {
    Source(Source<L>),
    Last(Step),
    NoAnswer,
}

impl<L: Dependencies> RequestFollower<L> {
    /// Follows a request from a position; given the call, the request is started if its id is new.
    #[must_use]
    pub fn new(core: Arc<Core<L>>, id: RequestId, call: Option<Call>, position: u64) -> Self {
        Self {
            core,
            id,
            caller_id: None,
            call,
            position,
            source: Source::None,
            failures: 0,
            home: HomePath::Reached,
            unanswered_since_ms: None,
            peeked: None,
        }
    }

    /// Sets the outcome of the request, so that no node is contacted.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.peeked = Some(Step::End(outcome));
        self
    }

    /// Sets the id that the caller sent, in whose place the call runs under this follower's id.
    #[must_use]
    pub fn in_place_of(mut self, caller_id: RequestId) -> Self {
        self.caller_id = Some(caller_id);
        self
    }

    /// Returns the id that a step is about: the id of the run for tokens and answers, and the id
    /// that the caller sent for anything else.
    #[must_use]
    pub fn id_of(&self, step: &Step) -> RequestId {
        let is_of_run = match step {
            Step::Tokens(_) | Step::Elsewhere => true,
            Step::End(outcome) => outcome.is_answer(),
            Step::NoSuchRequest | Step::OtherCall => false,
        };
        match self.caller_id {
            Some(caller_id) if !is_of_run => caller_id,
            _ => self.id,
        }
    }

    /// Waits for the next step without consuming it.
    pub async fn peek(&mut self) -> &Step {
        let step = self.next().await;
        self.peeked.insert(step)
    }

    /// Waits for the next step; any step but `Tokens` is the last.
    pub async fn next(&mut self) -> Step {
        if let Some(step) = self.peeked.take() {
            return step;
        }
        let ended = self.core.shutdown_token.clone();
        tokio::select! {
            biased;
            step = self.step() => self.under_caller_id(step),
            () = ended.cancelled() => Step::Elsewhere,
        }
    }

    /// Converts the end of a substitute to what it says of the caller's id.
    fn under_caller_id(&self, step: Step) -> Step {
        let (Some(caller_id), Step::End(outcome)) = (self.caller_id, &step) else {
            return step;
        };
        let told = substitute::outcome_under_caller_id(outcome.clone());
        if told != *outcome {
            log::info!(id:% = caller_id, substitute:% = self.id, outcome:? = outcome; "a substitute ended without an answer; the outcome under the caller's id is unknown");
        }
        Step::End(told)
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
                    Some(Ok(Item::Tokens(chunk))) => self.if_in_order(chunk).map(Step::Tokens),
                    Some(Ok(Item::End(outcome))) => Some(Step::End(outcome)),
                    Some(Err(_)) | None => None,
                },
                Source::None => match self.find().await {
                    Found::Source(source) => {
                        self.source = source;
                        continue;
                    }
                    Found::Last(step) => Some(step),
                    Found::NoAnswer => Some(Step::End(Outcome::Unknown(UnknownReason::NoAnswer))),
                },
            };
            match step {
                Some(Step::Tokens(chunk)) => {
                    self.position += chunk.len();
                    self.failures = 0;
                    self.unanswered_since_ms = None;
                    return Step::Tokens(chunk);
                }
                Some(Step::End(outcome)) if self.asks_again(&outcome) => {
                    self.source = Source::None;
                    sleep_ms(RETRY_DELAY_STEP_MS).await;
                }
                Some(last) => return last,
                None => self.on_source_failed().await,
            }
        }
    }

    /// Follows the request to its end; returns the text from the first position on, and the last
    /// step.
    pub async fn read_to_end(&mut self) -> (String, Step) {
        let mut text = String::new();
        loop {
            match self.next().await {
                Step::Tokens(chunk) => text.push_str(chunk.text()),
                last => return (text, last),
            }
        }
    }

    /// Returns whether nobody but a silent home can have the answer, and there is time to ask it again.
    fn asks_again(&mut self, outcome: &Outcome) -> bool {
        if !matches!(
            outcome,
            Outcome::Unknown(UnknownReason::HomeGone | UnknownReason::NoAnswer)
        ) {
            return false;
        }
        let now = self.core.clock.now();
        let unanswered = Unanswered {
            home: self.home,
            is_repeatable: self.is_repeatable(),
            position: self.position,
            since_ms: *self.unanswered_since_ms.get_or_insert(now),
            deadline_ms: self.call.as_ref().map(|call| call.deadline_ms),
        };
        let asks_again = unanswered.asks_again(now);
        log::info!(id:% = self.id, home:? = self.home, position = self.position, asks_again; "nobody has an answer to a followed request");
        asks_again
    }

    /// Returns the chunk if it starts at the caller's position.
    fn if_in_order(&self, chunk: Chunk) -> Option<Chunk> {
        (chunk.from == self.position).then_some(chunk)
    }

    /// Waits after a source failure, longer with each failure without a token in between.
    async fn on_source_failed(&mut self) {
        self.source = Source::None;
        self.failures += 1;
        let delay_ms = u64::from(self.failures.saturating_sub(1).min(10)) * RETRY_DELAY_STEP_MS;
        sleep_ms(delay_ms).await;
    }

    async fn find(&mut self) -> Found<L> {
        let rounds = if self.is_repeatable() { 1 } else { MAX_ROUNDS };
        for round in 0..rounds {
            if round > 0 {
                sleep_ms(RETRY_DELAY_STEP_MS).await;
            }
            match self.open_at_home().await {
                Found::NoAnswer => {}
                found => return found,
            }
            match self.open_at_witness().await {
                Found::NoAnswer => {}
                found => return found,
            }
            match self.open_at_successors().await {
                Found::NoAnswer => {}
                found => return found,
            }
        }
        // An idempotent call could run here, but its home may have refused it as not run. The
        // caller, which may then send it again under a new id, would get two outcomes for one id.
        Found::NoAnswer
    }

    async fn open_at_home(&mut self) -> Found<L> {
        self.home = HomePath::Reached;
        if self.core.is_home(&self.id) {
            return self.submit_here();
        }
        if self.id.home == self.core.own {
            // This node has left and has handed its requests over.
            return Found::NoAnswer;
        }
        let (id, from) = (self.id, self.position);
        let request = match self.call.clone().map(Box::new) {
            Some(call) => Request::Submit { id, call, from },
            None => Request::Attach { id, from },
        };
        if self.may_run_instead_of(self.id.home) {
            self.home = HomePath::Silent;
            return Found::NoAnswer;
        }
        let opened = self.core.peers.open(self.id.home, request).await;
        self.home = home_path(&opened);
        found(opened)
    }

    /// Requests settlement from the witness, or settles the request here if this node may.
    async fn open_at_witness(&self) -> Found<L> {
        if self.core.may_settle(&self.id) {
            return match self.core.settle(self.id, self.call.as_ref()) {
                SettleResult::Local(record) => Found::Source(Source::Here(record)),
                SettleResult::OtherCall => Found::Last(Step::OtherCall),
                SettleResult::Elsewhere => Found::NoAnswer,
                SettleResult::End(outcome) => Found::Last(Step::End(outcome)),
            };
        }
        match self.id.witness {
            witness if witness == self.core.own => Found::NoAnswer,
            witness => self.request_settlement(witness).await,
        }
    }

    /// Requests settlement from the nodes that may have taken the request over from a witness that
    /// is gone.
    async fn open_at_successors(&self) -> Found<L> {
        for successor in self.core.successors(RequestGroup::of(&self.id)) {
            match self.request_settlement(successor).await {
                Found::NoAnswer => {}
                found => return found,
            }
        }
        Found::NoAnswer
    }

    async fn request_settlement(&self, node: crate::keys::Incarnation) -> Found<L> {
        let request = Request::Settle {
            id: self.id,
            call: self.call.clone().map(Box::new),
            from: self.position,
        };
        self.open(node, request).await
    }

    /// Submits the call to this node, which is the id's home.
    fn submit_here(&self) -> Found<L> {
        let Some(call) = &self.call else {
            return match self.core.records.get(&self.id) {
                Some(record) => Found::Source(Source::Here(record)),
                None => Found::Last(Step::NoSuchRequest),
            };
        };
        match self.core.submit(self.id, call, Authority::Home) {
            Entry::New(record) | Entry::Known(record) => Found::Source(Source::Here(record)),
            Entry::OtherCall => Found::Last(Step::OtherCall),
            Entry::Expired => {
                Found::Last(Step::End(Outcome::Unknown(UnknownReason::RecordExpired)))
            }
            Entry::Closed => Found::NoAnswer,
        }
    }

    /// Returns whether the call is at hand and another run is harmless.
    fn is_repeatable(&self) -> bool {
        self.call.as_ref().is_some_and(|call| call.idempotent)
    }

    async fn open(&self, to: crate::keys::Incarnation, request: Request) -> Found<L> {
        if self.may_run_instead_of(to) {
            return Found::NoAnswer;
        }
        found(self.core.peers.open(to, request).await)
    }

    /// Returns whether a node is not asked, because the call may also run elsewhere.
    ///
    /// Otherwise nodes that are partitioned from all others would answer no call in time. Once nobody
    /// had an answer, suspected nodes are asked as well.
    fn may_run_instead_of(&self, node: crate::keys::Incarnation) -> bool {
        self.is_repeatable()
            && self.unanswered_since_ms.is_none()
            && self.core.peers.is_unresponsive(node)
    }
}

/// The reply of a peer and the items after it.
type Opened<L> = Result<(Reply, <<L as Dependencies>::Peers as Peers>::Items), Unreachable>;

fn found<L: Dependencies>(opened: Opened<L>) -> Found<L> {
    match opened {
        Ok((Reply::Stream, items)) => Found::Source(Source::There(items)),
        Ok((Reply::NoSuchRequest, _)) => Found::Last(Step::NoSuchRequest),
        Ok((Reply::OtherCall, _)) => Found::Last(Step::OtherCall),
        Ok(_) | Err(Unreachable::Gone | Unreachable::Refusing | Unreachable::Silent) => {
            Found::NoAnswer
        }
    }
}

fn home_path<T>(opened: &Result<(Reply, T), Unreachable>) -> HomePath {
    match opened {
        Ok((Reply::WrongNode, _)) | Err(Unreachable::Gone | Unreachable::Refusing) => {
            HomePath::Lost
        }
        Ok(_) => HomePath::Reached,
        Err(Unreachable::Silent) => HomePath::Silent,
    }
}

async fn sleep_ms(delay_ms: u64) {
    tokio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
}

/// Returns the refusal of a call for which no node is available as witness.
#[must_use]
pub fn no_witness() -> Outcome {
    Outcome::not_run(Reason::WitnessUnreachable, REFUSAL_RETRY_MS)
}
