//! Buffers this node's audit entries and appends them to the log in batches.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::{Act, Actor, Entry, INTERVAL_MS, Outcome};
use crate::coordination::budget::{AppendBudget, Urgency};
use crate::coordination::log::Log;
use crate::coordination::writer::Appender;
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// Capacity of the buffer of unsent entries; about 2 MB at most.
const UNSENT_CAPACITY: usize = 2_048;
/// Maximum number of entries in one log record.
const MAX_RECORD_ENTRIES: usize = 128;
/// Time limit for one append.
const APPEND_TIMEOUT_MS: u64 = 30_000;
/// Time limit for appending the remaining entries at a graceful shutdown.
const SHUTDOWN_TIMEOUT_MS: u64 = 5_000;

/// Entries that the log has not accepted yet.
#[derive(Debug, Default)]
struct Unsent {
    entries: VecDeque<Entry>,
    /// Entries dropped since the last batch was taken.
    dropped: u64,
}

/// Records entries into a buffer; clones share the buffer.
#[derive(Clone, Debug)]
pub struct Recorder {
    unsent: Arc<Mutex<Unsent>>,
    me: Incarnation,
}

impl Recorder {
    /// Returns a recorder and the task that appends its entries.
    #[must_use]
    pub fn new<L: Log>(
        me: Incarnation,
        appender: Appender<L>,
        budget: Arc<AppendBudget>,
    ) -> (Self, RecorderTask<L>) {
        let recorder = Self {
            unsent: Arc::default(),
            me,
        };
        let task = RecorderTask {
            recorder: recorder.clone(),
            appender,
            budget,
            interval_ms: INTERVAL_MS,
        };
        (recorder, task)
    }

    /// Logs an entry and buffers it without blocking; a full buffer drops its oldest entry.
    pub fn record(&self, entry: Entry) {
        log::info!(
            act:serde = entry.act,
            actor:serde = entry.actor,
            target = entry.target.as_str(),
            outcome:serde = entry.outcome,
            revision:serde = entry.revision,
            fencing:serde = entry.fencing;
            "audit"
        );
        let mut unsent = self.unsent.lock();
        if unsent.entries.len() == UNSENT_CAPACITY {
            unsent.entries.pop_front();
            unsent.dropped += 1;
            metrics::counter!("teaselline_audit_entries_dropped_total").increment(1);
        }
        unsent.entries.push_back(entry);
    }

    /// Number of buffered entries, without those of the batch that is being appended.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.unsent.lock().entries.len()
    }

    /// Takes the oldest entries, preceded by an entry with the count of dropped ones, if any.
    fn batch(&self, now: TimeMs) -> Vec<Entry> {
        let mut unsent = self.unsent.lock();
        let dropped = std::mem::take(&mut unsent.dropped);
        let count = unsent.entries.len().min(MAX_RECORD_ENTRIES);
        let dropped_entry = (dropped > 0).then(|| self.dropped_entry(dropped, now));
        dropped_entry
            .into_iter()
            .chain(unsent.entries.drain(..count))
            .collect()
    }

    /// An entry with the count of dropped entries.
    fn dropped_entry(&self, dropped: u64, now: TimeMs) -> Entry {
        let actor = Actor::Controller("audit".to_owned());
        let target = dropped.to_string();
        Entry::new(
            now,
            self.me,
            actor,
            Act::DropEntries,
            &target,
            Outcome::Done,
        )
        .detail("entries were lost while the log was out")
    }
}

/// Appends the entries of a [`Recorder`] to the log.
#[derive(Debug)]
pub struct RecorderTask<L> {
    recorder: Recorder,
    appender: Appender<L>,
    budget: Arc<AppendBudget>,
    interval_ms: u64,
}

impl<L: Log> RecorderTask<L> {
    /// Sets the minimum time between two appends.
    #[must_use]
    pub fn interval_ms(mut self, interval_ms: u64) -> Self {
        self.interval_ms = interval_ms;
        self
    }

    /// Appends entries until `stop` is cancelled, then the remaining ones within a time limit.
    pub async fn run(mut self, stop: CancellationToken) {
        let stop_deadline = async {
            stop.cancelled().await;
            tokio::time::sleep(Duration::from_millis(SHUTDOWN_TIMEOUT_MS)).await;
        };
        // Entries that are not appended in time are lost when the process exits.
        tokio::select! {
            () = self.append_until_stopped(&stop) => {}
            () = stop_deadline => {}
        }
    }

    /// Appends a batch per interval, until `stop` is cancelled and the buffer is empty.
    async fn append_until_stopped(&mut self, stop: &CancellationToken) {
        while !stop.is_cancelled() || self.recorder.unsent() > 0 {
            let interval = Duration::from_millis(self.interval_ms);
            // Entries may be buffered whether the timeout or the cancellation ended the wait.
            drop(tokio::time::timeout(interval, stop.cancelled()).await);
            self.flush().await;
        }
    }

    /// Appends one batch if the append budget permits, repeating it until the log accepts it.
    async fn flush(&mut self) {
        let clock = self.appender.clock();
        if self.recorder.unsent() == 0 || !self.may_append(clock).await {
            return;
        }
        let batch = self.recorder.batch(clock.now());
        let payload = serde_json::to_string(&batch).expect("entries have a JSON form");
        let mut appended = self.append(&payload, false).await;
        // A record that the log may have accepted is repeated under its sequence number, so that
        // readers can discard the duplicate.
        while let Err(unresolved) = appended {
            log::warn!(entries = batch.len(); "audit entries were not appended; retrying");
            appended = self.append(&payload, unresolved).await;
        }
    }

    /// Appends once; the error is whether the log may have accepted the record nevertheless.
    ///
    /// `unresolved` repeats a previous append under the same sequence number.
    async fn append(&mut self, payload: &str, unresolved: bool) -> Result<(), bool> {
        let deadline_ms = self.appender.clock().now().after(APPEND_TIMEOUT_MS);
        let payload = payload.to_owned();
        let appended = if unresolved {
            self.appender.resume(payload, deadline_ms).await
        } else {
            self.appender.append(payload, deadline_ms).await
        };
        match appended {
            Ok(_offset) => Ok(()),
            Err(error) => Err(!error.is_not_written()),
        }
    }

    /// Takes an append from the budget; if it is exhausted, waits and returns false.
    async fn may_append(&self, clock: Clock) -> bool {
        match self.budget.try_take(Urgency::Deferrable, clock.now()) {
            Ok(()) => true,
            Err(wait_ms) => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                false
            }
        }
    }
}
