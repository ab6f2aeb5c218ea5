//! Follows a stream of the log and hands its records to a fold.
//!
//! A follower reads by long poll, so that a record reaches the fold about one delay after the log
//! took it. It says how stale the fold may be, and tells the fold of records that it missed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ::log::{info, warn};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use crate::platform::backoff::Backoff;
use crate::platform::log::{Log, Page, ReadError, Record};
use crate::time::{Clock, TimeMs};

#[cfg(test)]
mod tests;

const PAGE_LIMIT: u32 = 500;
const WAIT_MS: u64 = 5_000;
const BACKOFF_FIRST_MS: u64 = 100;
const BACKOFF_MOST_MS: u64 = 5_000;

/// Records that a follower could not read because the log no longer keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The offset that it wanted.
    pub wanted: u64,
    /// The oldest offset that the log keeps; it may hold no record yet.
    pub first: u64,
    /// When the log took the record at `first`, if there is one.
    pub first_at_ms: Option<TimeMs>,
}

/// State that is made of a stream's records.
///
/// The log's order is the same for all readers, so folds that are pure agree on every node.
pub trait Fold: Send + 'static {
    /// Takes in the record that follows the one before, or the gap.
    fn apply(&mut self, record: &Record);

    /// Learns that records are missing before the next one.
    fn skip(&mut self, gap: &Gap);

    /// The offset from which the fold needs records; what lies before it is known otherwise.
    fn resume_from(&self) -> u64 {
        1
    }
}

/// A fold that a follower keeps up to date.
#[derive(Debug)]
pub struct Followed<F> {
    fold: Mutex<F>,
    applied: watch::Sender<u64>,
    caught_up_as_of_ms: AtomicU64,
}

impl<F: Fold> Followed<F> {
    /// A fold that nothing has been read into yet.
    #[must_use]
    pub fn new(fold: F) -> Arc<Self> {
        Arc::new(Self {
            fold: Mutex::new(fold),
            applied: watch::Sender::new(0),
            caught_up_as_of_ms: AtomicU64::new(0),
        })
    }

    /// Reads or changes the fold under its lock.
    pub fn with<T>(&self, act: impl FnOnce(&mut F) -> T) -> T {
        act(&mut self.fold.lock())
    }

    /// The offset of the newest record that the fold has taken in.
    #[must_use]
    pub fn applied(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Watches [`Self::applied`].
    #[must_use]
    pub fn watch_applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Waits until the fold has taken in the record at `offset`.
    ///
    /// # Panics
    ///
    /// Never: the sender lives as long as `self`.
    pub async fn wait_applied(&self, offset: u64) {
        let mut applied = self.applied.subscribe();
        let reached = applied.wait_for(|applied| *applied >= offset).await;
        reached.expect("the sender is held by self");
    }

    /// A time at which the fold held all that the log did, if there was one yet.
    #[must_use]
    pub fn caught_up_as_of_ms(&self) -> Option<TimeMs> {
        match self.caught_up_as_of_ms.load(Ordering::Acquire) {
            0 => None,
            at_ms => Some(TimeMs(at_ms)),
        }
    }

    /// How long ago the fold was last known to hold all that the log did.
    #[must_use]
    pub fn stale_ms(&self, now: TimeMs) -> Option<u64> {
        self.caught_up_as_of_ms().map(|as_of| now.since(as_of))
    }

    /// Takes in a page that was asked for at offset `from`; tells where to go on.
    fn take(&self, from: u64, page: &Page) -> u64 {
        let mut fold = self.fold.lock();
        if let Some(gap) = gap_before(from, page) {
            fold.skip(&gap);
        }
        for record in page.records.iter().filter(|record| record.offset >= from) {
            fold.apply(record);
        }
        let next = page.next.max(from).max(fold.resume_from());
        drop(fold);
        self.applied.send_replace(next - 1);
        next
    }
}

fn gap_before(from: u64, page: &Page) -> Option<Gap> {
    (page.first > from).then(|| Gap {
        wanted: from,
        first: page.first,
        first_at_ms: page.records.first().map(|record| record.at_ms),
    })
}

/// Reads a stream for as long as it runs.
#[derive(Debug)]
pub struct Follower<L, F> {
    log: Arc<L>,
    stream: String,
    followed: Arc<Followed<F>>,
    clock: Clock,
    rng: SmallRng,
    wait_ms: u64,
    between_reads_ms: u64,
    page_limit: u32,
}

impl<L: Log, F: Fold> Follower<L, F> {
    /// A follower of `stream` that keeps `followed` up to date.
    #[must_use]
    pub fn new(
        log: Arc<L>,
        stream: &str,
        followed: Arc<Followed<F>>,
        clock: Clock,
        rng: SmallRng,
    ) -> Self {
        Self {
            log,
            stream: stream.to_owned(),
            followed,
            clock,
            rng,
            wait_ms: WAIT_MS,
            between_reads_ms: 0,
            page_limit: PAGE_LIMIT,
        }
    }

    /// Sets how long the log may hold an answer back when there is nothing new.
    #[must_use]
    pub fn wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Sets a pause after each read, which bounds the reads a second of a busy stream.
    #[must_use]
    pub fn between_reads_ms(mut self, between_reads_ms: u64) -> Self {
        self.between_reads_ms = between_reads_ms;
        self
    }

    /// Reads for ever; stop it by dropping the future.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(BACKOFF_FIRST_MS, BACKOFF_MOST_MS);
        let mut from = 1;
        loop {
            from = self.followed.with(|fold| fold.resume_from()).max(from);
            let asked_ms = self.clock.now();
            let read = self
                .log
                .read(&self.stream, from, self.page_limit, self.wait_ms);
            let pause_ms = match read.await {
                Ok(page) => {
                    self.note_success(&mut backoff);
                    from = self.take(from, &page, asked_ms);
                    self.between_reads_ms
                }
                Err(error) => self.note_failure(&error, &mut backoff),
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    fn take(&self, from: u64, page: &Page, asked_ms: TimeMs) -> u64 {
        if page.first > from && from > 1 {
            warn!(stream = self.stream, wanted = from, first = page.first; "records are gone");
        }
        let next = self.followed.take(from, page);
        // Of a full page one cannot tell whether it was the last. What the log held when it was
        // asked is certain; what it held when it answered is not.
        if page.records.len() < self.page_limit as usize {
            let at_ms = asked_ms.0.max(1);
            let held = &self.followed.caught_up_as_of_ms;
            held.fetch_max(at_ms, Ordering::AcqRel);
        }
        next
    }

    fn note_success(&self, backoff: &mut Backoff) {
        if backoff.failures() > 0 {
            info!(stream = self.stream, failures = backoff.failures(); "the log answers again");
        }
        backoff.reset();
    }

    fn note_failure(&mut self, error: &ReadError, backoff: &mut Backoff) -> u64 {
        if error.is_too_long() {
            self.page_limit = (self.page_limit / 2).max(1);
        }
        metrics::counter!("teaselline_log_read_failures_total").increment(1);
        if backoff.failures() == 0 {
            warn!(stream = self.stream, error:% = error; "the log cannot be read");
        }
        backoff.next_ms(&mut self.rng)
    }
}
