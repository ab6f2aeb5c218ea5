//! Acquires, renews and releases the leases that this node competes for.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    Action, DURATION_MS, DecisionContext, FencingToken, Lease, LeaseEntry, LeaseTable, LocalLease,
    STREAM,
};
use crate::coordination::budget::AppendBudget;
use crate::coordination::follower::{Follower, SharedFold};
use crate::coordination::log::Log;
use crate::coordination::writer::{Appender, GroupWriter, WriterTask};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// The minimum time between two reads of the stream.
const READ_INTERVAL_MS: u64 = 1_000;
const POLL_MS: u64 = 2_000;
const MAX_WAIT_MS: u64 = 500;
/// A record that was not appended within this time is useless: the next renewal is due.
const SEND_TIMEOUT_MS: u64 = DURATION_MS / 3;

#[derive(Debug)]
struct Candidate {
    local_lease: LocalLease,
    rank: usize,
    is_wanted: bool,
}

/// The leases known to this node, and its candidacies for them.
#[derive(Debug)]
pub struct Leases {
    me: Incarnation,
    table: Arc<SharedFold<LeaseTable>>,
    /// Sorted by name.
    candidates: Mutex<Vec<Candidate>>,
}

impl Leases {
    /// Creates the leases of the node `me` and the task that maintains them.
    #[must_use]
    pub fn new<L: Log>(
        log: Arc<L>,
        me: Incarnation,
        clock: Clock,
        budget: Arc<AppendBudget>,
        mut rng: SmallRng,
    ) -> (Arc<Self>, LeasesTask<L>) {
        let table = SharedFold::new(LeaseTable::new());
        let write_rng = SmallRng::from_rng(&mut rng);
        let reader = Follower::new(Arc::clone(&log), STREAM, Arc::clone(&table), clock, rng);
        let name = format!("{me}/leases");
        let appender = Appender::new(log, STREAM, name, clock, write_rng);
        let (writer, writer_task) = GroupWriter::new(appender, budget);
        let leases = Arc::new(Self {
            me,
            table,
            candidates: Mutex::new(Vec::new()),
        });
        let task = LeasesTask {
            leases: Arc::clone(&leases),
            reader: reader.wait_ms(POLL_MS).read_interval_ms(READ_INTERVAL_MS),
            writer,
            writer_task,
            clock,
        };
        (leases, task)
    }

    /// Competes for the lease on `name`; the candidate with the lowest rank acquires it first.
    pub fn compete_for(&self, name: &str, rank: usize) {
        let mut candidates = self.candidates.lock();
        match candidates.binary_search_by(|candidate| candidate.local_lease.name().cmp(name)) {
            Ok(index) => {
                candidates[index].rank = rank;
                candidates[index].is_wanted = true;
            }
            Err(index) => candidates.insert(
                index,
                Candidate {
                    local_lease: LocalLease::new(name, self.me),
                    rank,
                    is_wanted: true,
                },
            ),
        }
    }

    /// Releases the lease on `name` and stops competing for it.
    pub fn release(&self, name: &str) {
        let mut candidates = self.candidates.lock();
        let found = candidates.binary_search_by(|candidate| candidate.local_lease.name().cmp(name));
        if let Ok(index) = found {
            candidates[index].is_wanted = false;
        }
    }

    /// Returns the fencing token for actions under `name` at `now`; `None` unless the lease is
    /// held.
    #[must_use]
    pub fn held_token(&self, name: &str, now: TimeMs) -> Option<FencingToken> {
        let candidates = self.candidates.lock();
        let found = candidates.binary_search_by(|candidate| candidate.local_lease.name().cmp(name));
        let candidate = &candidates[found.ok()?];
        self.table
            .with(|table| candidate.local_lease.held_token(table, now))
    }

    /// Returns all leases sorted by name, including expired ones.
    #[must_use]
    pub fn list(&self) -> Vec<Lease> {
        self.table.with(|table| table.leases().to_vec())
    }

    /// Returns the maximum age of the list in milliseconds; `None` before the first read of the
    /// log.
    #[must_use]
    pub fn staleness_ms(&self, now: TimeMs) -> Option<u64> {
        self.table.staleness_ms(now)
    }

    /// Returns the entries to append now and the time of the next decision.
    fn next_entries(&self, now: TimeMs) -> (Vec<LeaseEntry>, TimeMs) {
        let staleness_ms = self.table.staleness_ms(now);
        let mut wake_ms = now.after(MAX_WAIT_MS);
        let mut entries = Vec::new();
        for candidate in &mut *self.candidates.lock() {
            let context = DecisionContext {
                now,
                staleness_ms,
                rank: candidate.rank,
                is_wanted: candidate.is_wanted,
            };
            match self
                .table
                .with(|table| candidate.local_lease.next_action(table, context))
            {
                Action::Send(entry) => entries.push(entry),
                Action::Wait { until_ms } => wake_ms = wake_ms.min(until_ms),
            }
        }
        (entries, wake_ms)
    }
}

/// Maintains the leases of a [`Leases`]: reads the stream and appends requests.
#[derive(Debug)]
pub struct LeasesTask<L> {
    leases: Arc<Leases>,
    reader: Follower<L, LeaseTable>,
    writer: GroupWriter<LeaseEntry>,
    writer_task: WriterTask<L, LeaseEntry>,
    clock: Clock,
}

impl<L: Log> LeasesTask<L> {
    /// Runs until the future is dropped.
    pub async fn run(self) {
        let keep = keep(self.leases, self.writer, self.clock);
        tokio::join!(self.reader.run(), self.writer_task.run(), keep);
    }
}

async fn keep(leases: Arc<Leases>, writer: GroupWriter<LeaseEntry>, clock: Clock) {
    let mut changes = leases.table.watch();
    let mut pending_writes = FuturesUnordered::new();
    loop {
        let now = clock.now();
        let (entries, wake_ms) = leases.next_entries(now);
        for entry in entries {
            pending_writes.push(writer.write(entry, now.after(SEND_TIMEOUT_MS)));
        }
        let wait_ms = now.until(wake_ms).max(1);
        tokio::select! {
            // The table shows which records took effect; a failed write is repeated if it is still
            // due.
            Some(written) = pending_writes.next() => record_write(&written),
            _ = changes.changed() => {}
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
        }
    }
}

fn record_write(written: &Result<u64, crate::coordination::writer::WriteError>) {
    if let Err(error) = written {
        metrics::counter!("teaselline_lease_write_failures_total").increment(1);
        log::debug!(error:% = error; "could not append a lease record");
    }
}
