//! Group commit: what many wait for goes into one record.
//!
//! A stream gets at most one append per interval from a writer, however many entries come. The
//! first entry after a quiet spell goes at once; those that come meanwhile share the next record.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::{Appender, WriteError};
use crate::coordination::budget::{AppendBudget, Urgency};
use crate::coordination::log::Log;
use crate::time::{Clock, TimeMs};

const INTERVAL_MS: u64 = 200;
const QUEUE_ENTRIES: usize = 8_192;
/// An entry's outcome is known a moment after its deadline; whoever waits must not leave before.
const GRACE_MS: u64 = 50;
const RECORD_ENTRIES: usize = 1_024;

const QUEUED: u8 = 0;
const TAKEN: u8 = 1;
const GIVEN_UP: u8 = 2;

/// One entry on its way into a record.
#[derive(Debug)]
struct Waiting<T> {
    entry: T,
    deadline_ms: TimeMs,
    state: Arc<AtomicU8>,
    answer: oneshot::Sender<Result<u64, WriteError>>,
}

impl<T> Waiting<T> {
    /// Takes the entry into a record, unless the one who waited has given it up.
    ///
    /// Both sides change the state from `QUEUED`, so an entry reported as not taken is never
    /// written later.
    fn take(&self) -> bool {
        swap(&self.state, TAKEN)
    }
}

fn swap(state: &AtomicU8, to: u8) -> bool {
    state
        .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// Hands entries to a [`WriterTask`].
#[derive(Debug)]
pub struct GroupWriter<T> {
    queue: mpsc::Sender<Waiting<T>>,
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
    /// A writer and the task that appends for it.
    #[must_use]
    pub fn new<L: Log>(
        appender: Appender<L>,
        budget: Arc<AppendBudget>,
    ) -> (Self, WriterTask<L, T>) {
        let (queue, entries) = mpsc::channel(QUEUE_ENTRIES);
        let interval_ms = Arc::new(AtomicU64::new(INTERVAL_MS));
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

    /// Sets the least time between two appends.
    pub fn set_interval_ms(&self, interval_ms: u64) {
        self.interval_ms.store(interval_ms, Ordering::Release);
    }

    /// Writes an entry and tells an offset of a record that holds it.
    ///
    /// # Errors
    ///
    /// A [`WriteError`] that says whether a record may hold it.
    pub async fn write(&self, entry: T, deadline_ms: TimeMs) -> Result<u64, WriteError> {
        let (answer, answered) = oneshot::channel();
        let state = Arc::new(AtomicU8::new(QUEUED));
        let waiting = Waiting {
            entry,
            deadline_ms,
            state: Arc::clone(&state),
            answer,
        };
        if self.queue.try_send(waiting).is_err() {
            return Err(WriteError::QueueFull);
        }
        let left_ms = self.clock.now().until(deadline_ms) + GRACE_MS;
        match tokio::time::timeout(Duration::from_millis(left_ms), answered).await {
            Ok(Ok(answer)) => answer,
            // The time is up, or the task has ended.
            _ if swap(&state, GIVEN_UP) => Err(WriteError::NotTaken { source: None }),
            _ => Err(WriteError::Unresolved { source: None }),
        }
    }
}

/// Appends what a [`GroupWriter`] is given.
#[derive(Debug)]
pub struct WriterTask<L, T> {
    appender: Appender<L>,
    budget: Arc<AppendBudget>,
    entries: mpsc::Receiver<Waiting<T>>,
    interval_ms: Arc<AtomicU64>,
}

impl<L: Log, T: Serialize + Send> WriterTask<L, T> {
    /// Appends until all writers are dropped.
    pub async fn run(mut self) {
        let clock = self.appender.clock();
        while let Some(first) = self.entries.recv().await {
            self.wait_for_budget().await;
            let started_ms = clock.now();
            let batch = self.gather(first);
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
        while let Err(wait_ms) = self.budget.take(Urgency::Urgent, clock.now()) {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Everything that waits now and still has time.
    fn gather(&mut self, first: Waiting<T>) -> Vec<Waiting<T>> {
        let now = self.appender.clock().now();
        let mut batch = vec![first];
        while batch.len() < RECORD_ENTRIES
            && let Ok(waiting) = self.entries.try_recv()
        {
            batch.push(waiting);
        }
        batch.retain(|waiting| now < waiting.deadline_ms && waiting.take());
        batch
    }

    /// Appends a batch, for as long as one of its entries has time left.
    async fn append(&mut self, mut batch: Vec<Waiting<T>>) {
        let mut payload = String::new();
        let mut maybe_taken = false;
        while let Some(deadline_ms) = batch.iter().map(|waiting| waiting.deadline_ms).min() {
            let result = if maybe_taken {
                self.appender.resume(payload.clone(), deadline_ms).await
            } else {
                payload = encode(&batch);
                self.appender.append(payload.clone(), deadline_ms).await
            };
            // An entry whose time is up leaves the batch. Its bytes stay in the payload once that
            // may have been taken, for the repetition must say the same.
            let now = self.appender.clock().now();
            let over = |waiting: &mut Waiting<T>| result.is_ok() || waiting.deadline_ms <= now;
            for waiting in batch.extract_if(.., over) {
                // Whoever waited may have stopped waiting.
                drop(waiting.answer.send(result.clone()));
            }
            maybe_taken = result.is_err_and(|error| !error.is_not_taken());
        }
    }
}

fn encode<T: Serialize>(batch: &[Waiting<T>]) -> String {
    let entries: Vec<&T> = batch.iter().map(|waiting| &waiting.entry).collect();
    serde_json::to_string(&entries).expect("entries have a JSON form")
}
