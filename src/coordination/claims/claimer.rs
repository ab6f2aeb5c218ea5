//! Claims keys on behalf of this node and of the nodes that chose it as claimer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::task::AbortOnDropHandle;

use super::table::{ClaimTable, Holder};
use super::{
    CLAIM_TTL_MS, CLOCK_SKEW_MS, Claim, ClaimOutcome, MAX_HELD_KEYS, PARTITIONS, START_WITHIN_MS,
    interval_ms, stream,
};
use crate::coordination::budget::AppendBudget;
use crate::coordination::follower::{Follower, SharedFold};
use crate::coordination::log::Log;
use crate::coordination::writer::{Appender, GroupWriter, WriteError};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// The time after the last claim in a partition at which this node stops reading the partition.
const IDLE_TIMEOUT_MS: u64 = 5 * 60 * 1_000;
const FULL_RETRY_AFTER_MS: u64 = 60 * 1_000;

/// The reason why a claim has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// The partition was not read in time; nothing was written.
    #[error("the log was not read before the deadline")]
    Unread,
    /// The append failed; nothing was written.
    #[error("the claim was not written to the log")]
    NotWritten(#[source] WriteError),
    /// Nothing was written, because older claims of the key are missing in this node's table.
    #[error("the holder of the key is unknown to this node; retry in {retry_after_ms} ms")]
    Unsettled {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nothing was written, because the partition holds [`MAX_HELD_KEYS`] keys.
    #[error("the partition holds the maximum number of keys")]
    Full {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request won too long ago to start the call now.
    #[error("the claim is too old to start the call")]
    TooOld,
    /// The claim may be in the log already, or may still be appended.
    #[error("the holder of the key was not determined before the deadline")]
    Unresolved(#[source] Option<WriteError>),
}

impl ClaimError {
    /// Whether the claim is certainly absent from the log and will remain so.
    #[must_use]
    pub fn is_not_written(&self) -> bool {
        match self {
            Self::Unread | Self::NotWritten(_) | Self::Unsettled { .. } | Self::Full { .. } => true,
            Self::TooOld | Self::Unresolved(_) => false,
        }
    }

    /// Returns the delay before a retry in milliseconds, if it is known.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Unsettled { retry_after_ms } | Self::Full { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            _ => None,
        }
    }
}

/// The result of checking a claim against the table before anything is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Preview {
    /// Another request holds the key.
    Lost { winner: String },
    /// The claim must be written; `repeated` is set if the request holds the key already.
    Write { repeated: bool },
    /// The table cannot decide on the claim yet.
    Unsettled { retry_after_ms: u64 },
    /// The partition holds the maximum number of keys.
    Full,
}

/// Checks a claim against the current table.
///
/// A winner in the log is final unless it expires or is superseded. A table that lags can only name
/// a winner that has been superseded since, and the winner's home reports that.
pub(super) fn preview(table: &ClaimTable, claim: &Claim, now: TimeMs) -> Preview {
    let settled_ms = table.settled_from_ms().after(CLOCK_SKEW_MS);
    match table.holder(claim.key) {
        _ if now < settled_ms => Preview::Unsettled {
            retry_after_ms: now.until(settled_ms),
        },
        // Writing the claim would extend the time during which the key is uncertain.
        Holder::Uncertain => Preview::Unsettled {
            retry_after_ms: CLAIM_TTL_MS,
        },
        Holder::Request { winner, .. } if winner == claim.id => Preview::Write { repeated: true },
        Holder::Request {
            winner, claimed_ms, ..
        } if claim.supersedes.as_deref() != Some(winner)
            && now < claimed_ms.after(CLAIM_TTL_MS) =>
        {
            let winner = winner.to_owned();
            Preview::Lost { winner }
        }
        Holder::Free if table.len() >= MAX_HELD_KEYS => Preview::Full,
        Holder::Request { .. } | Holder::Free => Preview::Write { repeated: false },
    }
}

/// Returns the outcome of a claim whose record has been applied to the table.
pub(super) fn outcome(table: &ClaimTable, claim: &Claim) -> Result<ClaimOutcome, ClaimError> {
    match table.holder(claim.key) {
        Holder::Request {
            winner,
            claimed_ms,
            latest_claim_ms,
        } if winner == claim.id => {
            // The home counts from the time of its request, which is before `latest_claim_ms`.
            let start_by_ms = latest_claim_ms.after(START_WITHIN_MS + CLOCK_SKEW_MS);
            if start_by_ms <= claimed_ms.after(CLAIM_TTL_MS) {
                return Ok(ClaimOutcome::Won);
            }
            Err(ClaimError::TooOld)
        }
        Holder::Request { winner, .. } => Ok(ClaimOutcome::Lost {
            winner: winner.to_owned(),
        }),
        Holder::Free | Holder::Uncertain => Err(ClaimError::Unresolved(None)),
    }
}

/// Returns the outcome of a claim that may be in the log or may still be appended; `None` if open.
///
/// Another winner prevails over a claim that is appended later, unless that claim supersedes it. An
/// earlier claim by the same request does not show when this claim was made.
pub(super) fn unconfirmed_outcome(
    table: &ClaimTable,
    claim: &Claim,
    repeated: bool,
) -> Option<ClaimOutcome> {
    match outcome(table, claim).ok()? {
        ClaimOutcome::Won if repeated => None,
        ClaimOutcome::Lost { winner } if claim.supersedes.as_ref() == Some(&winner) => None,
        outcome => Some(outcome),
    }
}

/// A partition in which this node claims keys.
#[derive(Debug)]
struct Partition {
    table: Arc<SharedFold<ClaimTable>>,
    writer: GroupWriter<Claim>,
    last_used_ms: AtomicU64,
    _tasks: [AbortOnDropHandle<()>; 2],
}

/// The seed generator of all partitions and the number of partitions started so far.
#[derive(Debug)]
struct AppenderSeeds {
    rng: SmallRng,
    started: u64,
}

/// Claims keys on behalf of this node and of the nodes that chose it as claimer.
#[derive(Debug)]
pub struct Claimer<L> {
    log: Arc<L>,
    me: Incarnation,
    clock: Clock,
    budget: Arc<AppendBudget>,
    retention_ms: u64,
    seeds: Mutex<AppenderSeeds>,
    partitions: [Mutex<Option<Arc<Partition>>>; PARTITIONS as usize],
}

impl<L: Log> Claimer<L> {
    /// Creates a claimer that reads and writes partitions of `log` on demand.
    #[must_use]
    pub fn new(
        log: Arc<L>,
        me: Incarnation,
        clock: Clock,
        budget: Arc<AppendBudget>,
        rng: SmallRng,
    ) -> Self {
        Self {
            log,
            me,
            clock,
            budget,
            retention_ms: 0,
            seeds: Mutex::new(AppenderSeeds { rng, started: 0 }),
            partitions: Default::default(),
        }
    }

    /// Sets the time in milliseconds for which the log retains records at least.
    #[must_use]
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Claims a key for a request; must be called within a Tokio runtime.
    ///
    /// A repeated claim by the winner wins again. Only the home of the winner may act on the
    /// result: start the call once, within [`START_WITHIN_MS`] of requesting the claim. The home of
    /// a request that lost must not run it, unless the request claims again and wins.
    ///
    /// # Errors
    ///
    /// A [`ClaimError`]; [`ClaimError::is_not_written`] indicates whether the claim is certainly
    /// absent from the log. If it may be in the log, the home must make sure that the request never
    /// runs before it reports so to the caller.
    pub async fn claim(
        &self,
        claim: Claim,
        deadline_ms: TimeMs,
    ) -> Result<ClaimOutcome, ClaimError> {
        let partition = self.partition(claim.key.partition());
        self.before_deadline(deadline_ms, partition.table.wait_caught_up())
            .await
            .ok_or(ClaimError::Unread)?;
        let now = self.clock.now();
        let preview = partition.table.with(|table| preview(table, &claim, now));
        let repeated = match preview {
            Preview::Lost { winner } => return Ok(ClaimOutcome::Lost { winner }),
            Preview::Unsettled { retry_after_ms } => {
                return Err(ClaimError::Unsettled { retry_after_ms });
            }
            Preview::Full => {
                let retry_after_ms = FULL_RETRY_AFTER_MS;
                return Err(ClaimError::Full { retry_after_ms });
            }
            Preview::Write { repeated } => repeated,
        };
        self.write(&partition, claim, repeated, deadline_ms).await
    }

    /// Stops reading partitions in which no key was claimed for 5 minutes.
    pub fn stop_idle_partitions(&self, now: TimeMs) {
        for slot in &self.partitions {
            let mut slot = slot.lock();
            let last_used_ms = slot
                .as_ref()
                .map(|partition| TimeMs(partition.last_used_ms.load(Ordering::Acquire)));
            if last_used_ms.is_some_and(|last_used_ms| now.since(last_used_ms) >= IDLE_TIMEOUT_MS) {
                *slot = None;
            }
        }
    }

    async fn write(
        &self,
        partition: &Partition,
        claim: Claim,
        repeated: bool,
        deadline_ms: TimeMs,
    ) -> Result<ClaimOutcome, ClaimError> {
        let writers = partition.table.with(|table| table.writers());
        partition.writer.set_interval_ms(interval_ms(writers));
        let written = partition.writer.write(claim.clone(), deadline_ms).await;
        let error = match written {
            Ok(offset) => {
                self.before_deadline(deadline_ms, partition.table.wait_applied(offset))
                    .await
                    .ok_or(ClaimError::Unresolved(None))?;
                return partition.table.with(|table| outcome(table, &claim));
            }
            Err(error) if error.is_not_written() => return Err(ClaimError::NotWritten(error)),
            Err(error) => error,
        };
        let judged = partition
            .table
            .with(|table| unconfirmed_outcome(table, &claim, repeated));
        judged.ok_or(ClaimError::Unresolved(Some(error)))
    }

    async fn before_deadline(
        &self,
        deadline_ms: TimeMs,
        wait: impl Future<Output = ()>,
    ) -> Option<()> {
        let left_ms = self.clock.now().until(deadline_ms);
        let waited = tokio::time::timeout(Duration::from_millis(left_ms), wait);
        waited.await.ok()
    }

    fn partition(&self, number: u8) -> Arc<Partition> {
        let mut slot = self.partitions[usize::from(number)].lock();
        let partition = slot.get_or_insert_with(|| Arc::new(self.start_partition(number)));
        let now = self.clock.now();
        partition.last_used_ms.store(now.0, Ordering::Release);
        Arc::clone(partition)
    }

    fn start_partition(&self, number: u8) -> Partition {
        let (started, rngs) = {
            let mut seeds = self.seeds.lock();
            seeds.started += 1;
            let rngs = [(); 2].map(|()| SmallRng::from_rng(&mut seeds.rng));
            (seeds.started, rngs)
        };
        let [read_rng, write_rng] = rngs;
        let stream = stream(number);
        let table = SharedFold::new(ClaimTable::new(self.retention_ms));
        let log = Arc::clone(&self.log);
        let reader = Follower::new(log, &stream, Arc::clone(&table), self.clock, read_rng);
        // Sequence numbers start at 1 in each appender, so each appender has a unique name.
        let name = format!("{}/claims/{started}", self.me);
        let log = Arc::clone(&self.log);
        let appender = Appender::new(log, &stream, name, self.clock, write_rng);
        let (writer, task) = GroupWriter::new(appender, Arc::clone(&self.budget));
        Partition {
            table,
            writer,
            last_used_ms: AtomicU64::new(0),
            _tasks: [
                AbortOnDropHandle::new(tokio::spawn(reader.run())),
                AbortOnDropHandle::new(tokio::spawn(task.run())),
            ],
        }
    }
}
