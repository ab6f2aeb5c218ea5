//! The request core of one node: what it holds and who may decide about an id.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission::{Admitted, Gates};
use super::handover::{Estate, Estates};
use super::id::{Draft, IdKey};
use super::lanes::Lanes;
use super::links::{Links, Peers};
use super::outcome::{Doubt, Reason};
use super::record::Order;
use super::records::Entry;
use super::witness::Witness;
use super::{Call, Outcome, Record, Records, RequestId, TeamTag, Work};
use crate::blackboard::Blackboard;
use crate::keys::Incarnation;
use crate::node::messages::{Reply, Request, Told};
use crate::requests::suspicion::Suspicion;
use crate::retries::RetryBudgets;
use crate::time::{Clock, TimeMs};

/// When a caller may come back after a refusal that passes by itself.
pub const RETRY_SOON_MS: u64 = 500;

/// How long a home waits for its witness to rule a refused request out.
///
/// A refusal is to come at once; without the witness's word it says less.
const RULE_OUT_MS: u64 = 250;

/// By which right a node works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Right {
    /// It is the id's home, and asks the witness before a non-idempotent dispatch.
    Home,
    /// The home has left for good and named this node, its witness, as heir.
    Heir,
    /// The home cannot be reached and the request is idempotent, so that a second run is allowed.
    Adopter,
    /// The home cannot be reached; only a stream that runs already may be read.
    Reader,
}

/// Whether a node takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Serving,
    /// It finishes what it has and is left out of `/v1/entries`.
    Leaving,
    /// It has handed everything over and dispatches nothing.
    Left,
}

/// The request core of one node.
#[derive(Debug)]
pub struct Core<L: Links> {
    /// This run of this node.
    pub own: Incarnation,
    /// The node's clock.
    pub clock: Clock,
    /// The shared state.
    pub blackboard: Arc<Blackboard>,
    /// Requests that this node works on.
    pub records: Records,
    /// Requests of other homes.
    pub witness: Witness,
    /// Model engines.
    pub engines: L::Engines,
    /// Plain services.
    pub services: L::Services,
    /// The other nodes.
    pub peers: Arc<L::Peers>,
    /// What is known of requests that kill their upstreams.
    pub suspicion: Suspicion,
    /// Lets requests start as their team's share allows.
    pub gates: Gates,
    /// Retries that teams may still make.
    pub budgets: RetryBudgets,
    /// Tasks that run requests.
    pub tasks: TaskTracker,
    id_key: IdKey,
    lanes: Lanes<L>,
    /// Cancelled when the node ends; callers are to ask another one.
    pub ended: CancellationToken,
    pub(super) estates: Estates,
    phase: AtomicU8,
    minted: AtomicU32,
}

/// What a core is made of.
#[derive(Debug)]
pub struct Parts<L: Links> {
    /// See [`Core::own`].
    pub own: Incarnation,
    /// See [`Core::clock`].
    pub clock: Clock,
    /// See [`Core::blackboard`].
    pub blackboard: Arc<Blackboard>,
    /// See [`Core::engines`].
    pub engines: L::Engines,
    /// See [`Core::services`].
    pub services: L::Services,
    /// See [`Core::peers`].
    pub peers: Arc<L::Peers>,
    /// Signs request ids.
    pub id_key: IdKey,
    /// The seed of content fingerprints.
    pub fleet_seed: u64,
}

impl<L: Links> Core<L> {
    /// A core that holds nothing yet.
    #[must_use]
    pub fn new(parts: Parts<L>) -> Self {
        Self {
            own: parts.own,
            clock: parts.clock,
            blackboard: parts.blackboard,
            records: Records::default(),
            witness: Witness::default(),
            engines: parts.engines,
            services: parts.services,
            lanes: Lanes::new(Arc::clone(&parts.peers)),
            peers: parts.peers,
            suspicion: Suspicion::new(parts.fleet_seed),
            gates: Gates::default(),
            budgets: RetryBudgets::default(),
            tasks: TaskTracker::new(),
            id_key: parts.id_key,
            ended: CancellationToken::new(),
            estates: Estates::default(),
            phase: AtomicU8::new(0),
            minted: AtomicU32::new(0),
        }
    }

    /// Mints an id for a home and its witness.
    pub fn mint(
        &self,
        home: Incarnation,
        witness: Incarnation,
        team: TeamTag,
        now: TimeMs,
    ) -> RequestId {
        let sequence = self.minted.fetch_add(1, Ordering::Relaxed);
        let draft = Draft {
            issued_at_ms: now,
            home,
            witness,
            minter: self.own,
            sequence,
        };
        self.id_key.mint(draft, team)
    }

    /// Whether this fleet minted the id for this team.
    #[must_use]
    pub fn verifies(&self, id: &RequestId, team: &str) -> bool {
        self.id_key.verifies(id, TeamTag::of(team))
    }

    /// Whether the node takes requests.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Left,
        }
    }

    /// Moves on to a later phase; there is no way back.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether this node is the id's home and still dispatches.
    #[must_use]
    pub fn is_home(&self, id: &RequestId) -> bool {
        id.home == self.own && self.phase() != Phase::Left
    }

    /// Takes a call in under its id, and starts it if it is new.
    pub fn enter(self: &Arc<Self>, id: RequestId, call: &Call, right: Right) -> Entry {
        let is_open = || self.phase() != Phase::Left;
        let entry = self.records.enter(id, call, self.clock.now(), is_open);
        if let Entry::New(record) = &entry {
            self.start(Arc::clone(record), right);
        }
        entry
    }

    /// Runs a record to its end in a task of its own.
    ///
    /// The task belongs to the node, not to the connection that brought the call: a caller whose
    /// connection breaks finds the answer when it asks again.
    pub fn start(self: &Arc<Self>, record: Arc<Record>, right: Right) {
        let core = Arc::clone(self);
        if right == Right::Reader {
            record.mark_reads_only();
        }
        self.tasks.spawn(async move {
            let pass = match core.admit(&record, right).await {
                Admitted::Run(pass) => pass,
                Admitted::End(outcome) => {
                    let outcome = core.confirm(&record, outcome, right).await;
                    return core.finish(&record, outcome);
                }
                Admitted::Moved => return record.mark_stopped(),
            };
            let outcome = match &record.call.work {
                Work::Completion { .. } => {
                    super::completion::run(Arc::clone(&core), Arc::clone(&record), right).await
                }
                Work::Service { .. } => {
                    super::service_call::run(Arc::clone(&core), Arc::clone(&record), right).await
                }
            };
            drop(pass);
            match outcome {
                Some(outcome) => {
                    let outcome = core.confirm(&record, outcome, right).await;
                    core.finish(&record, outcome);
                }
                None => record.mark_stopped(),
            }
        });
    }

    /// Records how a request ended, here and at its witness.
    pub fn finish(&self, record: &Record, outcome: Outcome) {
        let name = outcome.name();
        if record.end(outcome, self.clock.now()) {
            metrics::counter!("teaselline_requests_ended_total", "outcome" => name).increment(1);
            log::debug!(id:% = record.id, team = record.call.team.as_str(), outcome = name; "request ended");
            // The witness has heard of the first attempt, and takes the request for one that may run.
            if record.attempts() > 0 {
                drop(self.tell(&record.id, Told::Keep(record.copy(0))));
            }
        }
    }

    /// Tells a request's witness something.
    ///
    /// The receiver closes without an answer if the witness does not give one.
    pub(super) fn tell(&self, id: &RequestId, told: Told) -> oneshot::Receiver<bool> {
        match id.witness {
            witness if witness == self.own => {
                let (answer, answered) = oneshot::channel();
                if answer.send(self.tell_own_witness(told)).is_err() {
                    log::trace!("nobody waits for the witness");
                }
                answered
            }
            witness => self.lanes.tell(witness, told),
        }
    }

    /// Asks the table of this node, which is the witness itself.
    ///
    /// A home without another live node is its own witness. What it settled for a caller counts
    /// there too: a copy of the call that comes late would run although it was refused as not run.
    fn tell_own_witness(&self, told: Told) -> bool {
        match told {
            // This node holds the record itself.
            Told::Keep(_) => true,
            asked => self.witnessed(asked),
        }
    }

    /// Makes sure that a request refused as not run is run by nobody else either.
    ///
    /// Of a non-idempotent request that is certain: only this node may run it. An idempotent one may
    /// have been taken over while this node could not be reached.
    async fn confirm(&self, record: &Record, outcome: Outcome, right: Right) -> Outcome {
        let refused = matches!(outcome, Outcome::NotRun(_));
        match right {
            _ if !refused || !record.call.idempotent => outcome,
            Right::Home if self.rule_out(record).await => outcome,
            _ => Outcome::Unknown(Doubt::MayRunElsewhere),
        }
    }

    async fn rule_out(&self, record: &Record) -> bool {
        let told = self.tell(&record.id, Told::RuleOut(record.id));
        let patience = Duration::from_millis(RULE_OUT_MS);
        let ruled_out = tokio::time::timeout(patience, told).await;
        // Whoever takes this node's requests over may have been given this one without its outcome.
        matches!(ruled_out, Ok(Ok(true))) && self.phase() != Phase::Left
    }

    /// Stops a request wherever it is; tells whether there is one.
    pub async fn cancel(&self, id: RequestId) -> bool {
        if let Some(record) = self.records.get(&id).filter(|record| !record.is_moved()) {
            record.order(Order::Cancel);
            return true;
        }
        let named = [id.home, id.witness].into_iter();
        let named = named.filter(|node| *node != self.own);
        for node in named.chain(self.successors(Estate::of(&id))) {
            if let Ok(Reply::Done) = self.peers.call(node, Request::Cancel { id }).await {
                return true;
            }
        }
        false
    }

    /// Drops what has outlived its id.
    pub fn expire(&self, now: TimeMs) {
        let records = self.records.expire(now);
        let witnessed = self.witness.expire(now);
        self.estates.expire(now);
        log::trace!(records = records, witnessed = witnessed; "expired");
    }

    /// The refusal of a call when no configuration is in force.
    #[must_use]
    pub fn not_configured() -> Outcome {
        Outcome::not_run(Reason::NotConfigured, RETRY_SOON_MS)
    }
}
