//! Hands requests to their witnesses when a node leaves, and takes over those of another.

use std::sync::Arc;
use std::time::Duration;

use super::core::{Core, Phase, Right};
use super::links::{Links, Peers};
use super::record::{Copy, Order};
use super::{Record, Work};
use crate::keys::Incarnation;
use crate::node::messages::{Reply, Request};
use crate::time::TimeMs;

/// Records in one message.
const BATCH_RECORDS: usize = 64;

/// Tries to reach a witness before its records stay where they are.
const TRIES: u32 = 5;

/// Pause between two tries, and between two looks at what still runs.
const PAUSE_MS: u64 = 100;

impl<L: Links> Core<L> {
    /// Takes over the requests of a home that leaves; this node is their witness.
    pub(super) fn inherit(self: &Arc<Self>, home: Incarnation, copies: Vec<Copy>, farewell: bool) {
        for copy in copies {
            self.inherit_one(&copy);
        }
        if farewell {
            self.inherit_from(home);
        }
    }

    fn inherit_one(self: &Arc<Self>, copy: &Copy) {
        let running = copy.outcome.is_none();
        let (record, new) = self
            .records
            .adopt(Record::from_copy(copy, self.clock.now()));
        // A copy that is sent again, because the reply to the first was lost, starts nothing.
        if new && running {
            self.start(record, Right::Heir);
        }
    }

    /// Finishes or hands over everything; afterwards nothing more is dispatched here.
    ///
    /// Calls to plain services cannot be taken over while they run and are waited for. Streams are
    /// handed to the witness that their id names, which reads them on from the engine.
    pub async fn leave(self: &Arc<Self>, until_ms: TimeMs) {
        self.advance(Phase::Leaving);
        self.finish_service_calls(until_ms).await;
        self.advance(Phase::Left);
        let running = self.records.select(|record| record.outcome().is_none());
        for record in &running {
            record.order(Order::HandOver);
        }
        self.wait_until_moved(&running, until_ms).await;
        let mut records = self.records.select(|record| record.id.home == self.own);
        records.sort_unstable_by_key(|record| record.id.witness);
        let witnesses = records.chunk_by(|a, b| a.id.witness == b.id.witness);
        for records in witnesses {
            self.hand_over(records).await;
        }
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

    async fn wait_until_moved(&self, records: &[Arc<Record>], until_ms: TimeMs) {
        for record in records {
            while self.clock.now() < until_ms && !record.has_stopped() {
                tokio::time::sleep(Duration::from_millis(PAUSE_MS / 10)).await;
            }
        }
    }

    async fn hand_over(&self, records: &[Arc<Record>]) {
        let Some(witness) = records.first().map(|record| record.id.witness) else {
            return;
        };
        let batches = records.chunks(BATCH_RECORDS);
        let last = batches.len() - 1;
        for (index, batch) in batches.enumerate() {
            let copies = batch.iter().map(|record| record.copy(0)).collect();
            let request = Request::Inherit {
                heir: witness,
                home: self.own,
                copies,
                farewell: index == last,
            };
            if !self.insist(witness, request).await {
                log::warn!(witness:% = witness, records = batch.len(); "records could not be handed over");
                return;
            }
        }
    }

    async fn insist(&self, witness: Incarnation, request: Request) -> bool {
        for _try in 0..TRIES {
            match self.peers.call(witness, request.clone()).await {
                Ok(Reply::Done) => return true,
                Ok(_) => return false,
                Err(_) => tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await,
            }
        }
        false
    }
}
