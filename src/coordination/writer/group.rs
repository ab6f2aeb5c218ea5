//! Group commit: entries that wait at the same time share one record.
//!
//! A writer appends to a stream at most once per interval, regardless of the number of entries. The
//! first entry after an idle interval is appended at once; later ones share the next record.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::{Appender, WriteError};
use crate::coordination::budget::{AppendBudget, Urgency};
use crate::coordination::log::Log;
use crate::time::{Clock, TimeMs};

const DEFAULT_INTERVAL_MS: u64 = 200;
const QUEUE_CAPACITY: usize = 8_192;
/// The time after the deadline for which a caller still waits: an outcome can arrive slightly late.
const DEADLINE_GRACE_MS: u64 = 50;
const MAX_RECORD_ENTRIES: usize = 1_024;

const QUEUED: u8 = 0;
const CLAIMED: u8 = 1;
const ABANDONED: u8 = 2;

/// An entry in the queue.
#[derive(Debug)]
struct QueuedEntry<T> {
    entry: T,
    deadline_ms: TimeMs,
    state: Arc<AtomicU8>,
    answer: oneshot::Sender<Result<u64, WriteError>>,
}

impl<T> QueuedEntry<T> {
    /// Claims the entry for a record, unless its caller has abandoned it.
    ///
    /// Both sides change the state from `QUEUED` atomically, so an entry that was reported as not
    /// written is never written later.
    fn try_claim(&self) -> bool {
        leave_queue(&self.state, CLAIMED)
    }
}

fn leave_queue(state: &AtomicU8, to: u8) -> bool {
    state
        .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// Queues entries for a [`WriterTask`].
#[derive(Debug)]
pub struct GroupWriter<T> {
    queue: mpsc::Sender<QueuedEntry<T>>,
    interval_ms: Arc<AtomicU64>,
    clock: Clock,
}

impl<T> Clone for GroupWriter<T> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            interval_ms: Arc::clone(&self.interval_ms),
            clock: self.clock,
        }
    }
}

impl<T: Serialize + Send> GroupWriter<T> {
    /// Creates a writer and the task that appends its entries.
    #[must_use]
    pub fn new<L: Log>(
        appender: Appender<L>,
        budget: Arc<AppendBudget>,
    ) -> (Self, WriterTask<L, T>) {
        let (queue, entries) = mpsc::channel(QUEUE_CAPACITY);
        let interval_ms = Arc::new(AtomicU64::new(DEFAULT_INTERVAL_MS));
        let writer = Self {
            queue,
            interval_ms: Arc::clone(&interval_ms),
            clock: appender.clock(),
        };
        let task = WriterTask {
            appender,
            budget,
            entries,
            interval_ms,
        };
        (writer, task)
    }

    /// Sets the minimum interval between two appends, in milliseconds.
    pub fn set_interval_ms(&self, interval_ms: u64) {
        self.interval_ms.store(interval_ms, Ordering::Release);
    }

    /// Writes an entry and returns the offset of a record that contains it.
    ///
    /// # Errors
    ///
    /// A [`WriteError`]; [`WriteError::is_not_written`] indicates whether a record may contain the
    /// entry.
    pub async fn write(&self, entry: T, deadline_ms: TimeMs) -> Result<u64, WriteError> {
        let (answer, answered) = oneshot::channel();
        let state = Arc::new(AtomicU8::new(QUEUED));
        let queued = QueuedEntry {
            entry,
            deadline_ms,
            state: Arc::clone(&state),
            answer,
        };
        if self.queue.try_send(queued).is_err() {
            return Err(WriteError::QueueFull);
        }
        let left_ms = self.clock.now().until(deadline_ms) + DEADLINE_GRACE_MS;
        match tokio::time::timeout(Duration::from_millis(left_ms), answered).await {
            Ok(Ok(answer)) => answer,
            // The deadline has passed, or the task has ended.
            _ if leave_queue(&state, ABANDONED) => Err(WriteError::NotWritten { source: None }),
            _ => Err(WriteError::Unresolved { source: None }),
        }
    }
}

/// Appends the entries of a [`GroupWriter`].
#[derive(Debug)]
pub struct WriterTask<L, T> {
    appender: Appender<L>,
    budget: Arc<AppendBudget>,
    entries: mpsc::Receiver<QueuedEntry<T>>,
    interval_ms: Arc<AtomicU64>,
}

impl<L: Log, T: Serialize + Send> WriterTask<L, T> {
    /// Appends until all writers are dropped.
    pub async fn run(mut self) {
        let clock = self.appender.clock();
        while let Some(first) = self.entries.recv().await {
            self.wait_for_budget().await;
            let started_ms = clock.now();
            let batch = self.collect_batch(first);
            if !batch.is_empty() {
                self.append(batch).await;
            }
            let interval_ms = self.interval_ms.load(Ordering::Acquire);
            let left_ms = clock.now().until(started_ms.after(interval_ms));
            tokio::time::sleep(Duration::from_millis(left_ms)).await;
        }
    }

    async fn wait_for_budget(&self) {
        let clock = self.appender.clock();
        while let Err(wait_ms) = self.budget.try_take(Urgency::Urgent, clock.now()) {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Returns `first` and the queued entries whose deadlines have not passed.
    fn collect_batch(&mut self, first: QueuedEntry<T>) -> Vec<QueuedEntry<T>> {
        let now = self.appender.clock().now();
        let mut batch = vec![first];
        while batch.len() < MAX_RECORD_ENTRIES
            && let Ok(queued) = self.entries.try_recv()
        {
            batch.push(queued);
        }
        batch.retain(|queued| now < queued.deadline_ms && queued.try_claim());
        batch
    }

    /// Appends a batch, until the deadlines of all its entries have passed.
    async fn append(&mut self, mut batch: Vec<QueuedEntry<T>>) {
        let mut payload = String::new();
        let mut may_have_landed = false;
        while let Some(deadline_ms) = batch.iter().map(|queued| queued.deadline_ms).min() {
            let result = if may_have_landed {
                self.appender.resume(payload.clone(), deadline_ms).await
            } else {
                payload = encode(&batch);
                self.appender.append(payload.clone(), deadline_ms).await
            };
            // An expired entry leaves the batch. Its bytes stay in a payload that may have been
            // appended, because the retry must carry the same payload.
            let now = self.appender.clock().now();
            let is_done = |queued: &mut QueuedEntry<T>| result.is_ok() || queued.deadline_ms <= now;
            for queued in batch.extract_if(.., is_done) {
                // The caller may have stopped waiting.
                drop(queued.answer.send(result.clone()));
            }
            may_have_landed = result.is_err_and(|error| !error.is_not_written());
        }
    }
}

fn encode<T: Serialize>(batch: &[QueuedEntry<T>]) -> String {
    let entries: Vec<&T> = batch.iter().map(|queued| &queued.entry).collect();
    serde_json::to_string(&entries).expect("entries have a JSON form")
}
