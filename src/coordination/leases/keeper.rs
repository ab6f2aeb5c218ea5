//! Takes, renews and gives up the leases that this node wants.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Action, DURATION_MS, Fencing, Lease, LeaseEntry, LeaseTable, STREAM, Tenure, View};
use crate::coordination::budget::AppendBudget;
use crate::coordination::follower::{Followed, Follower};
use crate::coordination::log::Log;
use crate::coordination::writer::{Appender, GroupWriter, WriterTask};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// Each lease's record is read within this time, and the stream at most so often.
const BETWEEN_READS_MS: u64 = 1_000;
const POLL_MS: u64 = 2_000;
const MOST_WAIT_MS: u64 = 500;
/// After this a record that was not appended is of no use any more.
const SEND_WITHIN_MS: u64 = DURATION_MS / 3;

#[derive(Debug)]
struct Wish {
    tenure: Tenure,
    rank: usize,
    wanted: bool,
}

/// The leases that this node knows of and takes part in.
#[derive(Debug)]
pub struct Leases {
    me: Incarnation,
    table: Arc<Followed<LeaseTable>>,
    /// Sorted by name.
    wishes: Mutex<Vec<Wish>>,
}

impl Leases {
    /// The leases as `me` sees them, and the task that keeps them.
    #[must_use]
    pub fn new<L: Log>(
        log: Arc<L>,
        me: Incarnation,
        clock: Clock,
        budget: Arc<AppendBudget>,
        mut rng: SmallRng,
    ) -> (Arc<Self>, LeasesTask<L>) {
        let table = Followed::new(LeaseTable::new());
        let write_rng = SmallRng::from_rng(&mut rng);
        let reader = Follower::new(Arc::clone(&log), STREAM, Arc::clone(&table), clock, rng);
        let name = format!("{me}/leases");
        let appender = Appender::new(log, STREAM, name, clock, write_rng);
        let (writer, writer_task) = GroupWriter::new(appender, budget);
        let leases = Arc::new(Self {
            me,
            table,
            wishes: Mutex::new(Vec::new()),
        });
        let task = LeasesTask {
            leases: Arc::clone(&leases),
            reader: reader.wait_ms(POLL_MS).between_reads_ms(BETWEEN_READS_MS),
            writer,
            writer_task,
            clock,
        };
        (leases, task)
    }

    /// Wants the lease on `name`; of several nodes the one with the lowest rank takes it first.
    pub fn want(&self, name: &str, rank: usize) {
        let mut wishes = self.wishes.lock();
        match wishes.binary_search_by(|wish| wish.tenure.name().cmp(name)) {
            Ok(index) => {
                wishes[index].rank = rank;
                wishes[index].wanted = true;
            }
            Err(index) => wishes.insert(
                index,
                Wish {
                    tenure: Tenure::new(name, self.me),
                    rank,
                    wanted: true,
                },
            ),
        }
    }

    /// Gives the lease on `name` up, and does not take it again.
    pub fn give_up(&self, name: &str) {
        let mut wishes = self.wishes.lock();
        let found = wishes.binary_search_by(|wish| wish.tenure.name().cmp(name));
        if let Ok(index) = found {
            wishes[index].wanted = false;
        }
    }

    /// The fencing number under which this node may act on `name` now, if it may.
    #[must_use]
    pub fn may_act(&self, name: &str, now: TimeMs) -> Option<Fencing> {
        let wishes = self.wishes.lock();
        let found = wishes.binary_search_by(|wish| wish.tenure.name().cmp(name));
        let wish = &wishes[found.ok()?];
        self.table.with(|table| wish.tenure.may_act(table, now))
    }

    /// All leases, by name; some may have ended.
    #[must_use]
    pub fn list(&self) -> Vec<Lease> {
        self.table.with(|table| table.leases().to_vec())
    }

    /// How old the list may be; `None` if the log was not read yet.
    #[must_use]
    pub fn stale_ms(&self, now: TimeMs) -> Option<u64> {
        self.table.stale_ms(now)
    }

    /// What to append now, and when to decide again.
    fn decide(&self, now: TimeMs) -> (Vec<LeaseEntry>, TimeMs) {
        let stale_ms = self.table.stale_ms(now);
        let mut wake_ms = now.after(MOST_WAIT_MS);
        let mut entries = Vec::new();
        for wish in &mut *self.wishes.lock() {
            let view = View {
                now,
                stale_ms,
                rank: wish.rank,
                wanted: wish.wanted,
            };
            match self
                .table
                .with(|table| wish.tenure.next_action(table, view))
            {
                Action::Send(entry) => entries.push(entry),
                Action::Wait { until_ms } => wake_ms = wake_ms.min(until_ms),
            }
        }
        (entries, wake_ms)
    }
}

/// Keeps the leases of a [`Leases`].
#[derive(Debug)]
pub struct LeasesTask<L> {
    leases: Arc<Leases>,
    reader: Follower<L, LeaseTable>,
    writer: GroupWriter<LeaseEntry>,
    writer_task: WriterTask<L, LeaseEntry>,
    clock: Clock,
}

impl<L: Log> LeasesTask<L> {
    /// Runs for ever; stop it by dropping the future.
    pub async fn run(self) {
        let keep = keep(self.leases, self.writer, self.clock);
        tokio::join!(self.reader.run(), self.writer_task.run(), keep);
    }
}

async fn keep(leases: Arc<Leases>, writer: GroupWriter<LeaseEntry>, clock: Clock) {
    let mut changes = leases.table.watch();
    let mut unanswered = FuturesUnordered::new();
    loop {
        let now = clock.now();
        let (entries, wake_ms) = leases.decide(now);
        for entry in entries {
            unanswered.push(writer.write(entry, now.after(SEND_WITHIN_MS)));
        }
        let wait_ms = now.until(wake_ms).max(1);
        tokio::select! {
            // The table tells what took effect; a failed write is said again if it still matters.
            Some(written) = unanswered.next() => note(&written),
            _ = changes.changed() => {}
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
        }
    }
}

fn note(written: &Result<u64, crate::coordination::writer::WriteError>) {
    if let Err(error) = written {
        metrics::counter!("teaselline_lease_write_failures_total").increment(1);
        log::debug!(error:% = error; "a lease record was not written");
    }
}
