//! Hands the requests of a node that leaves to others, and takes over those of another.
//!
//! The heir of a request is its witness. Where that is gone too, as in a rolling restart, it is a
//! live node that both the leaving node and those who look for the request work out from the id:
//! no message has to say where the request went.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::RwLock;
use twox_hash::XxHash3_64;

use super::core::{Core, Phase, RETRY_SOON_MS, Right};
use super::id::ID_VALIDITY_MS;
use super::links::{Links, Peers, Unreachable};
use super::outcome::Reason;
use super::record::{Copy, Order};
use super::witness::Settlement;
use super::{Outcome, Record, RequestId, Work};
use crate::keys::Incarnation;
use crate::node::messages::{Bequest, Reply, Request};
use crate::time::TimeMs;

/// Records in one message.
const BATCH_RECORDS: usize = 64;

/// Tries to reach an heir before the next one is asked.
const TRIES: u32 = 5;

/// Pause between two tries, and between two looks at what still runs.
const PAUSE_MS: u64 = 100;

/// Live nodes that are asked for a request whose home and witness are gone.
///
/// Nodes that have started since the hand-over may have come before the heir in the order; with
/// five looks, four may have done so.
const SUCCESSORS: usize = 5;

/// How long an estate is remembered.
///
/// Ids of it may start for [`ID_VALIDITY_MS`] after they were minted, by clocks that differ a bit.
const KEEP_MS: u64 = 2 * ID_VALIDITY_MS;

/// The requests whose ids name this home and this witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Estate {
    /// The home.
    pub home: Incarnation,
    /// The witness.
    pub witness: Incarnation,
}

impl Estate {
    /// The estate that an id belongs to.
    #[must_use]
    pub fn of(id: &RequestId) -> Self {
        Self {
            home: id.home,
            witness: id.witness,
        }
    }

    /// Live nodes, the one that takes the estate over first.
    ///
    /// Rendezvous hashing: nodes with about the same view of who lives find about the same order,
    /// and a node that comes or goes changes the order of the others not at all.
    fn order(self, mut live: Vec<Incarnation>) -> Vec<Incarnation> {
        live.retain(|node| *node != self.home && *node != self.witness);
        live.sort_by_cached_key(|node| {
            let names = [self.home.0, self.witness.0, node.0];
            XxHash3_64::oneshot(&names.map(u64::to_be_bytes).concat())
        });
        live
    }
}

/// Estates that were handed to this node as a whole, and when.
#[derive(Debug, Default)]
pub struct Estates(RwLock<Vec<(Estate, TimeMs)>>);

impl Estates {
    fn note(&self, estate: Estate, now: TimeMs) {
        let mut held = self.0.write();
        if let Err(index) = held.binary_search_by_key(&estate, |(held, _)| *held) {
            held.insert(index, (estate, now));
        }
    }

    fn has(&self, estate: Estate) -> bool {
        let held = self.0.read();
        held.binary_search_by_key(&estate, |(held, _)| *held)
            .is_ok()
    }

    fn all(&self) -> Vec<Estate> {
        self.0.read().iter().map(|(estate, _)| *estate).collect()
    }

    /// Forgets those of which no id can start any more.
    pub fn expire(&self, now: TimeMs) {
        self.0.write().retain(|(_, at)| now.since(*at) < KEEP_MS);
    }
}

/// How an heir answered.
enum Given {
    /// It has taken everything.
    All,
    /// It certainly has not taken what is left.
    Refused,
    /// It may have taken the batch that was under way.
    InDoubt,
}

/// What is to be handed over of one estate.
struct Handover {
    estate: Estate,
    /// What runs comes first, so that it stands still for as short as may be.
    records: Vec<Arc<Record>>,
    /// Whether these are all requests of the estate that were ever worked on.
    whole: bool,
    /// Whether it is certain that no heir asked before has taken any of what is left.
    alone: bool,
}

impl Handover {
    fn bequest(&self, record: &Record) -> Bequest {
        Bequest {
            copy: record.copy(0),
            alone: self.alone && record.is_free(),
        }
    }
}

impl<L: Links> Core<L> {
    /// Whether this node was handed all requests of the id's home and witness.
    #[must_use]
    pub fn has_inherited(&self, id: &RequestId) -> bool {
        self.estates.has(Estate::of(id))
    }

    /// The live nodes other than this one to ask for a request whose home and witness are gone.
    #[must_use]
    pub fn successors(&self, estate: Estate) -> Vec<Incarnation> {
        let mut order = estate.order(self.peers.live());
        order.retain(|node| *node != self.own);
        order.truncate(SUCCESSORS);
        order
    }

    /// Takes over requests from a node that leaves.
    pub(super) fn inherit(
        self: &Arc<Self>,
        estate: Estate,
        requests: Vec<Bequest>,
        farewell: bool,
    ) {
        for bequest in requests {
            self.inherit_one(&bequest);
        }
        if farewell {
            self.estates.note(estate, self.clock.now());
        }
    }

    fn inherit_one(self: &Arc<Self>, bequest: &Bequest) {
        let copy = &bequest.copy;
        let right = match bequest.alone {
            true => Right::Heir,
            false if copy.call.idempotent => Right::Adopter,
            false => Right::Reader,
        };
        let (record, new) = self
            .records
            .adopt(Record::from_copy(copy, self.clock.now()));
        // A copy that is sent again, because the reply to the first was lost, starts nothing.
        match copy.outcome {
            None if new && self.is_ruled_out(copy) => {
                self.finish(&record, Outcome::not_run(Reason::Settled, RETRY_SOON_MS));
            }
            None if new => self.start(record, right),
            _ => {}
        }
    }

    /// Whether a request that its home never dispatched was, or may have been, told to never run.
    ///
    /// While the home could not be reached, its witness may have said so to a caller. Started by the
    /// heir all the same, the request would run after `not_run`.
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

    /// Finishes or hands over everything; afterwards nothing more is dispatched here.
    ///
    /// Calls to plain services cannot be taken over while they run and are waited for. Streams are
    /// handed on, and the heir reads them on from the engine.
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
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Stops what runs here, without stopping it at the engines.
    async fn stop_tasks(&self, until_ms: TimeMs) {
        loop {
            let running = self.records.select(|record| !record.has_stopped());
            if running.is_empty() || self.clock.now() >= until_ms {
                return;
            }
            // Again and again, as an order to move off a host may come in between and replace it.
            for record in &running {
                record.order(Order::HandOver);
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS / 10)).await;
        }
    }

    /// Everything that is held, by estate: also what was inherited, whose home is gone already.
    fn handovers(&self) -> Vec<Handover> {
        let mut records = self.records.select(|_record| true);
        records.sort_by_cached_key(|record| (Estate::of(&record.id), record.outcome().is_some()));
        let mut handovers: Vec<_> = records
            .chunk_by(|a, b| Estate::of(&a.id) == Estate::of(&b.id))
            .map(|records| self.handover(Estate::of(&records[0].id), records.to_vec()))
            .collect();
        for estate in self.estates.all() {
            if let Err(index) = handovers.binary_search_by_key(&estate, |held| held.estate) {
                handovers.insert(index, self.handover(estate, Vec::new()));
            }
        }
        handovers
    }

    fn handover(&self, estate: Estate, records: Vec<Arc<Record>>) -> Handover {
        Handover {
            estate,
            records,
            whole: estate.home == self.own || self.estates.has(estate),
            alone: true,
        }
    }

    async fn hand_over(&self, mut handover: Handover) {
        let witness = handover.estate.witness;
        let named = (witness != self.own).then_some(witness);
        let heirs = named.into_iter().chain(self.successors(handover.estate));
        for heir in heirs {
            let before = handover.records.len();
            match self.give(heir, &mut handover).await {
                Given::All => return,
                Given::Refused => {}
                Given::InDoubt => handover.alone = false,
            }
            handover.whole &= handover.alone && handover.records.len() == before;
        }
        log::warn!(records = handover.records.len(); "requests could not be handed over");
        for record in handover.records {
            record.mark_moved();
        }
    }

    async fn give(&self, heir: Incarnation, handover: &mut Handover) -> Given {
        loop {
            let batch = handover.records.len().min(BATCH_RECORDS);
            let records = handover.records[..batch].iter();
            let request = Request::Inherit {
                heir,
                home: handover.estate.home,
                witness: handover.estate.witness,
                requests: records.map(|record| handover.bequest(record)).collect(),
                farewell: handover.whole && batch == handover.records.len(),
            };
            match self.insist(heir, request).await {
                Given::All => {}
                other => return other,
            }
            // Only now do readers look for the heir; before, they would find that it knows nothing.
            for record in handover.records.drain(..batch) {
                record.mark_moved();
            }
            if handover.records.is_empty() {
                return Given::All;
            }
        }
    }

    async fn insist(&self, heir: Incarnation, request: Request) -> Given {
        let mut given = Given::Refused;
        for _try in 0..TRIES {
            match self.peers.call(heir, request.clone()).await {
                Ok(Reply::Done) => return Given::All,
                Ok(_) | Err(Unreachable::Gone) => return given,
                Err(Unreachable::Silent) => given = Given::InDoubt,
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        given
    }
}

#[cfg(test)]
mod tests;
