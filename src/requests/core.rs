//! Request core of one node: its state, and which node decides about a request id.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission::{AdmissionOutcome, Gates};
use super::dependencies::{Dependencies, Peers};
use super::handover::{RequestGroup, TakenOverGroups};
use super::id::{IdFields, IdKey};
use super::outcome::{Reason, UnknownReason};
use super::record::Order;
use super::records::Entry;
use super::witness::Witness;
use super::witness_queues::WitnessQueues;
use super::{Call, Outcome, Record, Records, RequestId, TeamTag, Work};
use crate::blackboard::Blackboard;
use crate::keys::Incarnation;
use crate::node::messages::{Reply, Request, WitnessUpdate};
use crate::requests::suspects::Suspicion;
use crate::retries::RetryBudgets;
use crate::time::{Clock, TimeMs};

/// Retry delay suggested to callers after a transient refusal.
pub const REFUSAL_RETRY_MS: u64 = 500;

/// Timeout of the witness's confirmation that a refused request runs nowhere.
///
/// It is short because a refusal has to be fast; without the confirmation the outcome is `unknown`.
const RULE_OUT_TIMEOUT_MS: u64 = 250;

/// The authority by which a node works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The node is the id's home and obtains the witness's consent before a non-idempotent
    /// dispatch.
    Home,
    /// The home has left the fleet with this node as its successor.
    Successor,
    /// The home is unreachable and the request is idempotent, so a second run is allowed.
    Takeover,
    /// The home is unreachable; this node can only read a stream that is already running.
    Reader,
}

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The node accepts requests.
    Serving,
    /// The node finishes its requests and is omitted from `/v1/entries`.
    Leaving,
    /// The node has handed its requests over and dispatches nothing.
    Left,
}

/// The request core of one node.
#[derive(Debug)]
pub struct Core<L: Dependencies> {
    /// Incarnation of this node.
    pub own: Incarnation,
    /// The node's clock.
    pub clock: Clock,
    /// State shared by the node's parts.
    pub blackboard: Arc<Blackboard>,
    /// Requests that this node runs or has run.
    pub records: Records,
    /// Requests of other homes that this node is the witness of.
    pub witness: Witness,
    /// Model engines.
    pub engines: L::Engines,
    /// Plain services.
    pub services: L::Services,
    /// The other nodes.
    pub peers: Arc<L::Peers>,
    /// Requests that are suspected of crashing their upstreams.
    pub suspicion: Suspicion,
    /// Admission gates.
    pub gates: Gates,
    /// Retry budgets of the teams.
    pub budgets: RetryBudgets,
    /// Tasks that run requests.
    pub tasks: TaskTracker,
    id_key: IdKey,
    witness_queues: WitnessQueues<L>,
    /// Cancelled when the node shuts down; callers have to use another node.
    pub shutdown_token: CancellationToken,
    pub(super) taken_over_groups: TakenOverGroups,
    phase: AtomicU8,
    next_sequence: AtomicU32,
}

/// Components of a [`Core`].
#[derive(Debug)]
pub struct Parts<L: Dependencies> {
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
    /// Seed of the content fingerprints.
    pub fleet_seed: u64,
}

impl<L: Dependencies> Core<L> {
    /// Creates a core without requests.
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
            witness_queues: WitnessQueues::new(Arc::clone(&parts.peers)),
            peers: parts.peers,
            suspicion: Suspicion::new(parts.fleet_seed),
            gates: Gates::default(),
            budgets: RetryBudgets::default(),
            tasks: TaskTracker::new(),
            id_key: parts.id_key,
            shutdown_token: CancellationToken::new(),
            taken_over_groups: TakenOverGroups::default(),
            phase: AtomicU8::new(0),
            next_sequence: AtomicU32::new(0),
        }
    }

    /// Mints a request id for a home and its witness.
    pub fn mint(
        &self,
        home: Incarnation,
        witness: Incarnation,
        team: TeamTag,
        now: TimeMs,
    ) -> RequestId {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let draft = IdFields {
            issued_at_ms: now,
            home,
            witness,
            minter: self.own,
            sequence,
        };
        self.id_key.mint(draft, team)
    }

    /// Returns whether this fleet minted the id for this team.
    #[must_use]
    pub fn verifies(&self, id: &RequestId, team: &str) -> bool {
        self.id_key.verifies(id, TeamTag::of(team))
    }

    /// Returns the node's lifecycle phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Left,
        }
    }

    /// Advances to a later phase; a call with an earlier phase changes nothing.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Returns whether this node is the id's home and still dispatches.
    #[must_use]
    pub fn is_home(&self, id: &RequestId) -> bool {
        id.home == self.own && self.phase() != Phase::Left
    }

    /// Looks the id up and starts the call if the id is new.
    pub fn submit(self: &Arc<Self>, id: RequestId, call: &Call, authority: Authority) -> Entry {
        let is_open = || self.phase() != Phase::Left;
        let entry = self
            .records
            .get_or_insert(id, call, self.clock.now(), is_open);
        if let Entry::New(record) = &entry {
            self.start(Arc::clone(record), authority);
        }
        entry
    }

    /// Spawns a task that runs a record to its end.
    ///
    /// The task is independent of the caller's connection: a caller whose connection breaks gets
    /// the answer when it sends the id again.
    pub fn start(self: &Arc<Self>, record: Arc<Record>, authority: Authority) {
        let core = Arc::clone(self);
        if authority == Authority::Reader {
            record.mark_read_only();
        }
        self.tasks.spawn(async move {
            let permit = match core.admit(&record, authority).await {
                AdmissionOutcome::Run(permit) => permit,
                AdmissionOutcome::End(outcome) => {
                    let outcome = core.confirm_not_run(&record, outcome, authority).await;
                    return core.finish(&record, outcome);
                }
                AdmissionOutcome::Moved => return record.mark_stopped(),
            };
            let outcome = match &record.call.work {
                Work::Completion { .. } => {
                    super::completion::run(Arc::clone(&core), Arc::clone(&record), authority).await
                }
                Work::Service { .. } => {
                    super::service_call::run(Arc::clone(&core), Arc::clone(&record), authority)
                        .await
                }
            };
            drop(permit);
            match outcome {
                Some(outcome) => {
                    let outcome = core.confirm_not_run(&record, outcome, authority).await;
                    core.finish(&record, outcome);
                }
                None => record.mark_stopped(),
            }
        });
    }

    /// Records the outcome of a request here and at its witness.
    pub fn finish(&self, record: &Record, outcome: Outcome) {
        let name = outcome.name();
        let loss = match &outcome {
            Outcome::Unknown(_) | Outcome::Failed(_) => Some(format!("{outcome:?}")),
            Outcome::Completed { .. }
            | Outcome::Answered { .. }
            | Outcome::NotRun(_)
            | Outcome::Cancelled => None,
        };
        if record.end(outcome, self.clock.now()) {
            metrics::counter!("teaselline_requests_ended_total", "outcome" => name).increment(1);
            match loss {
                Some(loss) => {
                    log::info!(id:% = record.id, team = record.call.team.as_str(), outcome = loss.as_str(), attempts = record.attempts(), position = record.next_position(); "an accepted request ended without its answer");
                }
                None => {
                    log::debug!(id:% = record.id, team = record.call.team.as_str(), outcome = name; "request ended");
                }
            }
            // The witness holds a record of the first attempt and regards the request as possibly
            // running.
            if record.attempts() > 0 {
                drop(self.send_to_witness(&record.id, WitnessUpdate::Store(record.copy(0))));
            }
        }
    }

    /// Sends an update to a request's witness.
    ///
    /// The receiver closes without a value if the witness does not reply.
    pub(super) fn send_to_witness(
        &self,
        id: &RequestId,
        update: WitnessUpdate,
    ) -> oneshot::Receiver<bool> {
        match id.witness {
            witness if witness == self.own => {
                let (reply, receiver) = oneshot::channel();
                if reply.send(self.apply_to_own_witness(update)).is_err() {
                    log::trace!("request no longer waits for its witness");
                }
                receiver
            }
            witness => self.witness_queues.send(witness, update),
        }
    }

    /// Applies an update to this node's own witness table.
    ///
    /// A home without another live node is its own witness. A request that it has settled for a
    /// caller has to stay settled there too: otherwise a late copy of the call would run after it
    /// was refused as not run.
    fn apply_to_own_witness(&self, update: WitnessUpdate) -> bool {
        match update {
            // This node already holds the record.
            WitnessUpdate::Store(_) => true,
            other => self.apply_update(other),
        }
    }

    /// Ensures that a request refused as not run is run by no other node.
    ///
    /// For a non-idempotent request that is certain, because only this node can run it. An
    /// idempotent one may have been taken over while this node was unreachable.
    async fn confirm_not_run(
        &self,
        record: &Record,
        outcome: Outcome,
        authority: Authority,
    ) -> Outcome {
        let is_refused = matches!(outcome, Outcome::NotRun(_));
        match authority {
            _ if !is_refused || !record.call.idempotent => outcome,
            Authority::Home if self.request_rule_out(record).await => outcome,
            _ => Outcome::Unknown(UnknownReason::MayRunElsewhere),
        }
    }

    async fn request_rule_out(&self, record: &Record) -> bool {
        let reply = self.send_to_witness(&record.id, WitnessUpdate::RuleOut(record.id));
        let timeout = Duration::from_millis(RULE_OUT_TIMEOUT_MS);
        let ruled_out = tokio::time::timeout(timeout, reply).await;
        // The node that takes over may have received this request without its outcome.
        matches!(ruled_out, Ok(Ok(true))) && self.phase() != Phase::Left
    }

    /// Cancels a request on the node that runs it; returns whether a node has accepted the
    /// cancellation.
    pub async fn cancel(&self, id: RequestId) -> bool {
        if let Some(record) = self.records.get(&id).filter(|record| !record.is_moved()) {
            record.order(Order::Cancel);
            return true;
        }
        let nodes = [id.home, id.witness].into_iter();
        let nodes = nodes.filter(|node| *node != self.own);
        for node in nodes.chain(self.successors(RequestGroup::of(&id))) {
            if let Ok(Reply::Done) = self.peers.call(node, Request::Cancel { id }).await {
                return true;
            }
        }
        false
    }

    /// Removes records, witness entries and request groups past their retention.
    pub fn expire(&self, now: TimeMs) {
        let records = self.records.expire(now);
        let witnessed = self.witness.expire(now);
        self.taken_over_groups.expire(now);
        log::trace!(records = records, witnessed = witnessed; "removed expired records and witness entries");
    }

    /// Returns the refusal of a call while no configuration is active.
    #[must_use]
    pub fn not_configured() -> Outcome {
        Outcome::not_run(Reason::NotConfigured, REFUSAL_RETRY_MS)
    }
}
