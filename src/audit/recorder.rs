//! Takes entries from this node and appends them in batches.

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

/// Entries that wait for the log; about 2 MB at most.
const UNSENT_KEPT: usize = 2_048;
/// Entries that share a record.
const RECORD_ENTRIES: usize = 128;
const APPEND_WITHIN_MS: u64 = 30_000;
/// How long a planned stop waits for the last entries.
const LAST_ENTRIES_WITHIN_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct Unsent {
    entries: VecDeque<Entry>,
    dropped: u64,
}

/// Takes entries; clones share their queue.
#[derive(Clone, Debug)]
pub struct Recorder {
    unsent: Arc<Mutex<Unsent>>,
    me: Incarnation,
}

impl Recorder {
    /// A recorder and the task that appends for it.
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

    /// Takes an entry; never waits.
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
        if unsent.entries.len() == UNSENT_KEPT {
            unsent.entries.pop_front();
            unsent.dropped += 1;
            metrics::counter!("teaselline_audit_entries_dropped_total").increment(1);
        }
        unsent.entries.push_back(entry);
    }

    /// Entries that the log has not taken yet.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.unsent.lock().entries.len()
    }

    /// The oldest entries, after one that says how many are missing before them.
    fn batch(&self, now: TimeMs) -> Vec<Entry> {
        let mut unsent = self.unsent.lock();
        let dropped = std::mem::take(&mut unsent.dropped);
        let count = unsent.entries.len().min(RECORD_ENTRIES);
        let missing = (dropped > 0).then(|| self.missing(dropped, now));
        missing
            .into_iter()
            .chain(unsent.entries.drain(..count))
            .collect()
    }

    fn missing(&self, dropped: u64, now: TimeMs) -> Entry {
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

/// Appends what a [`Recorder`] takes.
#[derive(Debug)]
pub struct RecorderTask<L> {
    recorder: Recorder,
    appender: Appender<L>,
    budget: Arc<AppendBudget>,
    interval_ms: u64,
}

impl<L: Log> RecorderTask<L> {
    /// Sets the least time between two appends.
    #[must_use]
    pub fn interval_ms(mut self, interval_ms: u64) -> Self {
        self.interval_ms = interval_ms;
        self
    }

    /// Appends until `stop` is cancelled, and then what is left for as long as a short while.
    pub async fn run(mut self, stop: CancellationToken) {
        let time_is_up = async {
            stop.cancelled().await;
            tokio::time::sleep(Duration::from_millis(LAST_ENTRIES_WITHIN_MS)).await;
        };
        // What does not get out in time is lost with the process.
        tokio::select! {
            () = self.work(&stop) => {}
            () = time_is_up => {}
        }
    }

    async fn work(&mut self, stop: &CancellationToken) {
        while !stop.is_cancelled() || self.recorder.unsent() > 0 {
            let interval = Duration::from_millis(self.interval_ms);
            // Either way there may be something to append.
            drop(tokio::time::timeout(interval, stop.cancelled()).await);
            self.flush().await;
        }
    }

    async fn flush(&mut self) {
        let clock = self.appender.clock();
        if self.recorder.unsent() == 0 || !self.may_append(clock).await {
            return;
        }
        let batch = self.recorder.batch(clock.now());
        let payload = serde_json::to_string(&batch).expect("entries have a JSON form");
        let mut appended = self.append(&payload, false).await;
        // What may have been taken is repeated under its number, so that it stands there once.
        while let Err(unresolved) = appended {
            log::warn!(entries = batch.len(); "audit entries are not written");
            appended = self.append(&payload, unresolved).await;
        }
    }

    /// Appends once; on failure tells whether the record may exist.
    async fn append(&mut self, payload: &str, unresolved: bool) -> Result<(), bool> {
        let deadline_ms = self.appender.clock().now().after(APPEND_WITHIN_MS);
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
