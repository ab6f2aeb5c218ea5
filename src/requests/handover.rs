//! Hands the requests of a leaving node over to other nodes, and accepts those of another.
//!
//! The successor for a request is its witness. If the witness is gone too, as in a rolling restart,
//! it is a live node that both the leaving node and the nodes that look for the request compute
//! from the id: no message has to announce the request's new location.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::RwLock;
use twox_hash::XxHash3_64;

use super::core::{Authority, Core, Phase, REFUSAL_RETRY_MS};
use super::dependencies::{Dependencies, Peers, Unreachable};
use super::id::ID_VALIDITY_MS;
use super::outcome::Reason;
use super::record::{Copy, Order};
use super::witness::Settlement;
use super::{Outcome, Record, RequestId, Work};
use crate::keys::Incarnation;
use crate::node::messages::{HandedOverRequest, Reply, Request};
use crate::time::TimeMs;

/// Maximum number of records in one message.
const MAX_BATCH_RECORDS: usize = 64;

/// Attempts to reach a successor before the next one is contacted.
const MAX_ATTEMPTS: u32 = 5;

/// Delay between attempts, and between checks for running requests.
const RETRY_DELAY_MS: u64 = 100;

/// Number of live nodes that are queried for a request whose home and witness are gone.
///
/// Nodes that have started since the handover may rank before the successor; five queries tolerate
/// four such nodes.
const MAX_SUCCESSORS: usize = 5;

/// Lifetime of a request group that was handed over.
///
/// Its ids can start for [`ID_VALIDITY_MS`] after they were minted, measured by clocks that differ
/// slightly.
const GROUP_TTL_MS: u64 = 2 * ID_VALIDITY_MS;

/// The requests whose ids name the same home and witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestGroup {
    /// The home.
    pub home: Incarnation,
    /// The witness.
    pub witness: Incarnation,
}

impl RequestGroup {
    /// Returns the group that an id belongs to.
    #[must_use]
    pub fn of(id: &RequestId) -> Self {
        Self {
            home: id.home,
            witness: id.witness,
        }
    }

    /// Sorts live nodes by their rank as successors of the group, best first.
    ///
    /// Rendezvous hashing: nodes with about the same view of the live nodes compute about the same
    /// order, and a node that joins or leaves does not change the relative order of the others.
    fn order(self, mut live: Vec<Incarnation>) -> Vec<Incarnation> {
        live.retain(|node| *node != self.home && *node != self.witness);
        live.sort_by_cached_key(|node| {
            let names = [self.home.0, self.witness.0, node.0];
            XxHash3_64::oneshot(&names.map(u64::to_be_bytes).concat())
        });
        live
    }
}

/// Request groups that were handed over to this node completely, with the time of the handover.
#[derive(Debug, Default)]
pub struct TakenOverGroups(RwLock<Vec<(RequestGroup, TimeMs)>>);

impl TakenOverGroups {
    fn insert(&self, group: RequestGroup, now: TimeMs) {
        let mut groups = self.0.write();
        if let Err(index) = groups.binary_search_by_key(&group, |(held, _)| *held) {
            groups.insert(index, (group, now));
        }
    }

    fn contains(&self, group: RequestGroup) -> bool {
        let groups = self.0.read();
        groups
            .binary_search_by_key(&group, |(held, _)| *held)
            .is_ok()
    }

    fn all(&self) -> Vec<RequestGroup> {
        self.0.read().iter().map(|(group, _)| *group).collect()
    }

    /// Removes groups of which no id can start any more.
    pub fn expire(&self, now: TimeMs) {
        self.0
            .write()
            .retain(|(_, at)| now.since(*at) < GROUP_TTL_MS);
    }
}

/// How a successor answered a handover.
enum HandoverReply {
    /// The successor has accepted all records.
    Accepted,
    /// The successor has certainly not accepted the remaining records.
    Rejected,
    /// The successor may have accepted the batch that was in transit.
    Uncertain,
}

/// The handover of one request group.
struct Handover {
    group: RequestGroup,
    /// Running requests come first, to shorten their interruption.
    records: Vec<Arc<Record>>,
    /// Whether the group has no other requests that any node has worked on.
    is_complete: bool,
    /// Whether it is certain that no successor contacted before has accepted any of the remaining
    /// records.
    is_exclusive: bool,
}

impl Handover {
    fn handed_over(&self, record: &Record) -> HandedOverRequest {
        HandedOverRequest {
            copy: record.copy(0),
            is_exclusive: self.is_exclusive && record.is_transferable(),
        }
    }
}

impl<L: Dependencies> Core<L> {
    /// Returns whether this node was handed over all requests of the id's home and witness.
    #[must_use]
    pub fn has_taken_over(&self, id: &RequestId) -> bool {
        self.taken_over_groups.contains(RequestGroup::of(id))
    }

    /// Returns the other live nodes to query for a request whose home and witness are gone.
    #[must_use]
    pub fn successors(&self, group: RequestGroup) -> Vec<Incarnation> {
        let mut order = group.order(self.peers.live());
        order.retain(|node| *node != self.own);
        order.truncate(MAX_SUCCESSORS);
        order
    }

    /// Accepts requests from a leaving node.
    pub(super) fn accept_requests(
        self: &Arc<Self>,
        group: RequestGroup,
        requests: Vec<HandedOverRequest>,
        farewell: bool,
    ) {
        for request in requests {
            self.accept_request(&request);
        }
        if farewell {
            self.taken_over_groups.insert(group, self.clock.now());
        }
    }

    fn accept_request(self: &Arc<Self>, request: &HandedOverRequest) {
        let copy = &request.copy;
        let authority = match request.is_exclusive {
            true => Authority::Successor,
            false if copy.call.idempotent => Authority::Takeover,
            false => Authority::Reader,
        };
        let (record, new) = self
            .records
            .insert_if_absent(Record::from_copy(copy, self.clock.now()));
        // A copy that is sent again because the reply to the first was lost starts nothing.
        match copy.outcome {
            None if new && self.is_ruled_out(copy) => {
                self.finish(&record, Outcome::not_run(Reason::Settled, REFUSAL_RETRY_MS));
            }
            None if new => self.start(record, authority),
            _ => {}
        }
    }

    /// Returns whether a request that its home never dispatched was, or may have been, ruled out.
    ///
    /// While the home was unreachable, its witness may have told a caller that the request never
    /// runs. If the successor started it nonetheless, it would run after `not_run`.
    fn is_ruled_out(&self, copy: &Copy) -> bool {
        let now = self.clock.now();
        match copy.id.witness {
            _ if copy.dispatched => false,
            witness if witness == self.own => {
                self.witness.take_over(copy.id, now) == Settlement::NotRun
            }
            _ => !copy.call.idempotent,
        }
    }

    /// Finishes or hands over all requests; afterwards this node dispatches nothing.
    ///
    /// Calls to plain services cannot be taken over while they run, so the node waits for them.
    /// Streams are handed over, and the successor continues to read them from the engine.
    pub async fn leave(self: &Arc<Self>, until_ms: TimeMs) {
        self.advance(Phase::Leaving);
        self.finish_service_calls(until_ms).await;
        self.advance(Phase::Left);
        self.stop_tasks(until_ms).await;
        let handovers = self.handovers().into_iter();
        join_all(handovers.map(|handover| self.hand_over(handover))).await;
    }

    async fn finish_service_calls(&self, until_ms: TimeMs) {
        let is_call = |record: &Record| matches!(record.call.work, Work::Service { .. });
        let running = || {
            self.records
                .select(|record| is_call(record) && record.outcome().is_none())
        };
        while self.clock.now() < until_ms && !running().is_empty() {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    /// Stops the tasks of running requests without stopping their streams at the engines.
    async fn stop_tasks(&self, until_ms: TimeMs) {
        loop {
            let running = self.records.select(|record| !record.has_stopped());
            if running.is_empty() || self.clock.now() >= until_ms {
                return;
            }
            // Repeated, because an order to move a stream off its host may replace this one.
            for record in &running {
                record.order(Order::HandOver);
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS / 10)).await;
        }
    }

    /// Returns all requests by group, including those taken over from homes that are gone.
    fn handovers(&self) -> Vec<Handover> {
        let mut records = self.records.select(|_record| true);
        records.sort_by_cached_key(|record| {
            (RequestGroup::of(&record.id), record.outcome().is_some())
        });
        let mut handovers: Vec<_> = records
            .chunk_by(|a, b| RequestGroup::of(&a.id) == RequestGroup::of(&b.id))
            .map(|records| self.handover(RequestGroup::of(&records[0].id), records.to_vec()))
            .collect();
        for group in self.taken_over_groups.all() {
            if let Err(index) = handovers.binary_search_by_key(&group, |held| held.group) {
                handovers.insert(index, self.handover(group, Vec::new()));
            }
        }
        handovers
    }

    fn handover(&self, group: RequestGroup, records: Vec<Arc<Record>>) -> Handover {
        Handover {
            group,
            records,
            is_complete: group.home == self.own || self.taken_over_groups.contains(group),
            is_exclusive: true,
        }
    }

    async fn hand_over(&self, mut handover: Handover) {
        let witness = handover.group.witness;
        let witness_node = (witness != self.own).then_some(witness);
        let successors = witness_node
            .into_iter()
            .chain(self.successors(handover.group));
        for successor in successors {
            let before = handover.records.len();
            match self.send_records(successor, &mut handover).await {
                HandoverReply::Accepted => return,
                HandoverReply::Rejected => {}
                HandoverReply::Uncertain => handover.is_exclusive = false,
            }
            handover.is_complete &= handover.is_exclusive && handover.records.len() == before;
        }
        log::warn!(records = handover.records.len(); "requests could not be handed over");
        for record in handover.records {
            record.mark_moved();
        }
    }

    async fn send_records(&self, successor: Incarnation, handover: &mut Handover) -> HandoverReply {
        loop {
            let batch = handover.records.len().min(MAX_BATCH_RECORDS);
            let records = handover.records[..batch].iter();
            let request = Request::Inherit {
                successor,
                home: handover.group.home,
                witness: handover.group.witness,
                requests: records.map(|record| handover.handed_over(record)).collect(),
                is_complete: handover.is_complete && batch == handover.records.len(),
            };
            match self.send_with_retries(successor, request).await {
                HandoverReply::Accepted => {}
                other => return other,
            }
            // Readers are redirected only now; earlier, they would find a successor without the
            // record.
            for record in handover.records.drain(..batch) {
                record.mark_moved();
            }
            if handover.records.is_empty() {
                return HandoverReply::Accepted;
            }
        }
    }

    async fn send_with_retries(&self, successor: Incarnation, request: Request) -> HandoverReply {
        let mut reply = HandoverReply::Rejected;
        for _try in 0..MAX_ATTEMPTS {
            match self.peers.call(successor, request.clone()).await {
                Ok(Reply::Done) => return HandoverReply::Accepted,
                Ok(_) | Err(Unreachable::Gone) => return reply,
                Err(Unreachable::Refusing | Unreachable::Silent) => {
                    reply = HandoverReply::Uncertain;
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        reply
    }
}

#[cfg(test)]
mod tests;
