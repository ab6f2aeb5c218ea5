//! Claims keys for this node and for those that chose it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::task::AbortOnDropHandle;

use super::table::{ClaimTable, Holder};
use super::{
    CLAIM_TTL_MS, CLOCK_SKEW_MS, Claim, ClaimOutcome, MOST_HELD, PARTITIONS, START_WITHIN_MS,
    interval_ms, stream,
};
use crate::coordination::budget::AppendBudget;
use crate::coordination::follower::{Followed, Follower};
use crate::coordination::log::Log;
use crate::coordination::writer::{Appender, GroupWriter, WriteError};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// A partition that nobody claimed in for this long is no longer read.
const IDLE_MS: u64 = 5 * 60 * 1_000;
const FULL_RETRY_MS: u64 = 60 * 1_000;

/// Why a claim has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// The partition could not be read in time, so nothing was written.
    #[error("the log could not be read in time")]
    Unread,
    /// Nothing was written.
    #[error("the claim was not written")]
    NotWritten(#[source] WriteError),
    /// Nothing was written, for older claims of the key are not known here.
    #[error("who holds the key is not known here before {retry_after_ms} ms from now")]
    Unsettled {
        /// When to ask again.
        retry_after_ms: u64,
    },
    /// Nothing was written, for too many keys are held.
    #[error("too many keys are held")]
    Full {
        /// When to ask again.
        retry_after_ms: u64,
    },
    /// The request won so long ago that it must not start any more.
    #[error("the claim is too old to start the call")]
    TooOld,
    /// The claim may have been written, or may still be.
    #[error("it could not be found out in time who holds the key")]
    Unresolved(#[source] Option<WriteError>),
}

impl ClaimError {
    /// Whether the claim is certainly not in the log and will not be.
    #[must_use]
    pub fn is_not_taken(&self) -> bool {
        match self {
            Self::Unread | Self::NotWritten(_) | Self::Unsettled { .. } | Self::Full { .. } => true,
            Self::TooOld | Self::Unresolved(_) => false,
        }
    }

    /// When to ask again, if that is known.
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

/// What can be said before anything is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Preview {
    /// Another request holds the key.
    Lost { winner: String },
    /// The claim must be written; the request may hold the key already.
    Write { repeated: bool },
    /// It cannot be judged here yet.
    Unsettled { retry_after_ms: u64 },
    /// No more keys can be held.
    Full,
}

/// Judges a claim by what the table holds now.
///
/// A winner in the log is final, unless it expires or is superseded; a table that lags can only
/// name a winner that has been superseded since, whose home says so.
pub(super) fn preview(table: &ClaimTable, claim: &Claim, now: TimeMs) -> Preview {
    let settled_ms = table.settled_from_ms().after(CLOCK_SKEW_MS);
    match table.holder(claim.key) {
        _ if now < settled_ms => Preview::Unsettled {
            retry_after_ms: now.until(settled_ms),
        },
        // Writing would make the key uncertain for longer.
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
        Holder::Nobody if table.len() >= MOST_HELD => Preview::Full,
        Holder::Request { .. } | Holder::Nobody => Preview::Write { repeated: false },
    }
}

/// Judges a claim whose record the table has taken in.
pub(super) fn outcome(table: &ClaimTable, claim: &Claim) -> Result<ClaimOutcome, ClaimError> {
    match table.holder(claim.key) {
        Holder::Request {
            winner,
            claimed_ms,
            repeated_ms,
        } if winner == claim.id => {
            // The home measures from when it asked, which is before `repeated_ms`.
            let start_by_ms = repeated_ms.after(START_WITHIN_MS + CLOCK_SKEW_MS);
            if start_by_ms <= claimed_ms.after(CLAIM_TTL_MS) {
                return Ok(ClaimOutcome::Won);
            }
            Err(ClaimError::TooOld)
        }
        Holder::Request { winner, .. } => Ok(ClaimOutcome::Lost {
            winner: winner.to_owned(),
        }),
        Holder::Nobody | Holder::Uncertain => Err(ClaimError::Unresolved(None)),
    }
}

/// Judges a claim that the log may have taken or may still take.
///
/// Another winner beats a claim that lands later, unless that one supersedes it. The request's own
/// earlier claim says nothing about when this one was made.
pub(super) fn outcome_unwritten(
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

/// A partition that this node claims in.
#[derive(Debug)]
struct Partition {
    table: Arc<Followed<ClaimTable>>,
    writer: GroupWriter<Claim>,
    used_ms: AtomicU64,
    _tasks: [AbortOnDropHandle<()>; 2],
}

/// What the partitions share.
#[derive(Debug)]
struct Random {
    rng: SmallRng,
    started: u64,
}

/// Claims keys for this node and for those that chose it.
#[derive(Debug)]
pub struct Claimer<L> {
    log: Arc<L>,
    me: Incarnation,
    clock: Clock,
    budget: Arc<AppendBudget>,
    retention_ms: u64,
    random: Mutex<Random>,
    partitions: [Mutex<Option<Arc<Partition>>>; PARTITIONS as usize],
}

impl<L: Log> Claimer<L> {
    /// A claimer that reads and writes partitions of `log` when they are needed.
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
            random: Mutex::new(Random { rng, started: 0 }),
            partitions: Default::default(),
        }
    }

    /// Tells for how long at least the log keeps records.
    #[must_use]
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Claims a key for a request; must be called within a Tokio runtime.
    ///
    /// A request that won may ask again and is told so again. Only its home may do something with
    /// that: start the call once, within [`START_WITHIN_MS`] of having asked. The home of a request
    /// that lost must not run it, unless it claims again and wins.
    ///
    /// # Errors
    ///
    /// A [`ClaimError`] that says whether the claim can be in the log. If it can, the home must make
    /// sure that the request never runs before it tells the caller so.
    pub async fn claim(
        &self,
        claim: Claim,
        deadline_ms: TimeMs,
    ) -> Result<ClaimOutcome, ClaimError> {
        let partition = self.partition(claim.key.partition());
        self.within(deadline_ms, partition.table.wait_caught_up())
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
                let retry_after_ms = FULL_RETRY_MS;
                return Err(ClaimError::Full { retry_after_ms });
            }
            Preview::Write { repeated } => repeated,
        };
        self.write(&partition, claim, repeated, deadline_ms).await
    }

    /// Stops reading partitions that nobody has claimed in for a while.
    pub fn stop_idle(&self, now: TimeMs) {
        for held in &self.partitions {
            let mut held = held.lock();
            let used_ms = held
                .as_ref()
                .map(|partition| TimeMs(partition.used_ms.load(Ordering::Acquire)));
            if used_ms.is_some_and(|used_ms| now.since(used_ms) >= IDLE_MS) {
                *held = None;
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
                self.within(deadline_ms, partition.table.wait_applied(offset))
                    .await
                    .ok_or(ClaimError::Unresolved(None))?;
                return partition.table.with(|table| outcome(table, &claim));
            }
            Err(error) if error.is_not_taken() => return Err(ClaimError::NotWritten(error)),
            Err(error) => error,
        };
        let judged = partition
            .table
            .with(|table| outcome_unwritten(table, &claim, repeated));
        judged.ok_or(ClaimError::Unresolved(Some(error)))
    }

    async fn within(&self, deadline_ms: TimeMs, wait: impl Future<Output = ()>) -> Option<()> {
        let left_ms = self.clock.now().until(deadline_ms);
        let waited = tokio::time::timeout(Duration::from_millis(left_ms), wait);
        waited.await.ok()
    }

    fn partition(&self, number: u8) -> Arc<Partition> {
        let mut held = self.partitions[usize::from(number)].lock();
        let partition = held.get_or_insert_with(|| Arc::new(self.start(number)));
        let now = self.clock.now();
        partition.used_ms.store(now.0, Ordering::Release);
        Arc::clone(partition)
    }

    fn start(&self, number: u8) -> Partition {
        let (started, rngs) = {
            let mut random = self.random.lock();
            random.started += 1;
            let rngs = [(); 2].map(|()| SmallRng::from_rng(&mut random.rng));
            (random.started, rngs)
        };
        let [read_rng, write_rng] = rngs;
        let stream = stream(number);
        let table = Followed::new(ClaimTable::new(self.retention_ms));
        let log = Arc::clone(&self.log);
        let reader = Follower::new(log, &stream, Arc::clone(&table), self.clock, read_rng);
        // Sequence numbers start over with each appender, so each has a name of its own.
        let name = format!("{}/claims/{started}", self.me);
        let log = Arc::clone(&self.log);
        let appender = Appender::new(log, &stream, name, self.clock, write_rng);
        let (writer, task) = GroupWriter::new(appender, Arc::clone(&self.budget));
        Partition {
            table,
            writer,
            used_ms: AtomicU64::new(0),
            _tasks: [
                AbortOnDropHandle::new(tokio::spawn(reader.run())),
                AbortOnDropHandle::new(tokio::spawn(task.run())),
            ],
        }
    }
}
