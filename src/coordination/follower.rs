//! Follows a stream of the log and applies its records to a fold.
//!
//! A follower reads by long poll, so that a record reaches the fold about one network delay after
//! the append. It reports the staleness of the fold and notifies the fold of missed records.

use std::sync::Arc;
use std::time::Duration;

use ::log::{info, warn};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use crate::coordination::backoff::Backoff;
use crate::coordination::log::{Log, Page, ReadError, Record};
use crate::time::{Clock, TimeMs};

#[cfg(test)]
mod tests;

const PAGE_LIMIT: u32 = 500;
const WAIT_MS: u64 = 5_000;
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 5_000;

/// Records that a follower missed because the log no longer retains them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The offset that the follower requested.
    pub wanted: u64,
    /// The oldest offset that the log retains; there may be no record at it yet.
    pub first: u64,
    /// The time at which the log appended the record at `first`, if that record exists.
    pub first_at_ms: Option<TimeMs>,
    /// The time at which the gap was detected, by this node's clock.
    pub detected_at_ms: TimeMs,
}

/// State computed from the records of a stream.
///
/// The log's order is the same for all readers, so pure folds are equal on all nodes.
pub trait Fold: Send + 'static {
    /// Applies the record that follows the previous record or gap.
    fn apply(&mut self, record: &Record);

    /// Notes that records are missing before the next one.
    fn skip(&mut self, gap: &Gap);

    /// Returns the first offset that the fold needs; earlier records are covered by other sources.
    fn resume_from(&self) -> u64 {
        1
    }
}

/// The progress of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The offset of the newest record applied to the fold.
    pub applied: u64,
    /// The latest known time at which the fold covered the whole stream, if there was one.
    pub caught_up_as_of_ms: Option<TimeMs>,
}

/// A fold that a follower keeps up to date, shared with its readers.
#[derive(Debug)]
pub struct SharedFold<F> {
    fold: Mutex<F>,
    progress: watch::Sender<Progress>,
}

impl<F: Fold> SharedFold<F> {
    /// Wraps a fold to which no record has been applied.
    #[must_use]
    pub fn new(fold: F) -> Arc<Self> {
        Arc::new(Self {
            fold: Mutex::new(fold),
            progress: watch::Sender::new(Progress::default()),
        })
    }

    /// Calls `act` on the fold under its lock.
    pub fn with<T>(&self, act: impl FnOnce(&mut F) -> T) -> T {
        act(&mut self.fold.lock())
    }

    /// Returns the progress of the follower.
    #[must_use]
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Subscribes to [`Self::progress`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Waits until the progress satisfies `wanted`.
    ///
    /// # Panics
    ///
    /// Never: the sender lives as long as `self`.
    pub async fn wait_for(&self, wanted: impl FnMut(&Progress) -> bool) {
        let mut progress = self.progress.subscribe();
        let reached = progress.wait_for(wanted).await;
        reached.expect("the sender is held by self");
    }

    /// Waits until the record at `offset` has been applied.
    pub async fn wait_applied(&self, offset: u64) {
        self.wait_for(|progress| progress.applied >= offset).await;
    }

    /// Waits until the fold has covered the whole stream for the first time.
    pub async fn wait_caught_up(&self) {
        self.wait_for(|progress| progress.caught_up_as_of_ms.is_some())
            .await;
    }

    /// Returns the time in ms since the fold last covered the whole stream; `None` if it never did.
    #[must_use]
    pub fn staleness_ms(&self, now: TimeMs) -> Option<u64> {
        let as_of = self.progress().caught_up_as_of_ms;
        as_of.map(|as_of| now.since(as_of))
    }

    /// Applies a page and returns the offset to continue from.
    fn apply_page(&self, page: &Page, read: &ReadRequest) -> u64 {
        let mut fold = self.fold.lock();
        if let Some(gap) = read.gap_before(page) {
            fold.skip(&gap);
        }
        let wanted = |record: &&Record| record.offset >= read.from;
        for record in page.records.iter().filter(wanted) {
            fold.apply(record);
        }
        let next = page.next.max(read.from).max(fold.resume_from());
        drop(fold);
        // A full page may not be the last one. The page covers the stream as of the request;
        // records appended between request and response may be missing.
        let caught_up = page.records.len() < read.limit as usize;
        self.progress.send_modify(|progress| {
            progress.applied = next - 1;
            if caught_up {
                progress.caught_up_as_of_ms = Some(read.requested_at_ms);
            }
        });
        next
    }
}

/// The parameters of a read.
#[derive(Clone, Copy, Debug)]
struct ReadRequest {
    from: u64,
    limit: u32,
    requested_at_ms: TimeMs,
}

impl ReadRequest {
    fn gap_before(&self, page: &Page) -> Option<Gap> {
        (page.first > self.from).then(|| Gap {
            wanted: self.from,
            first: page.first,
            first_at_ms: page.records.first().map(|record| record.at_ms),
            detected_at_ms: self.requested_at_ms,
        })
    }
}

/// Reads a stream continuously and applies its records to a fold.
#[derive(Debug)]
pub struct Follower<L, F> {
    log: Arc<L>,
    stream: String,
    fold: Arc<SharedFold<F>>,
    clock: Clock,
    rng: SmallRng,
    wait_ms: u64,
    read_interval_ms: u64,
    page_limit: u32,
}

impl<L: Log, F: Fold> Follower<L, F> {
    /// Creates a follower of `stream` that keeps `fold` up to date.
    #[must_use]
    pub fn new(
        log: Arc<L>,
        stream: &str,
        fold: Arc<SharedFold<F>>,
        clock: Clock,
        rng: SmallRng,
    ) -> Self {
        Self {
            log,
            stream: stream.to_owned(),
            fold,
            clock,
            rng,
            wait_ms: WAIT_MS,
            read_interval_ms: 0,
            page_limit: PAGE_LIMIT,
        }
    }

    /// Sets the time in milliseconds by which the log may delay a response without records.
    #[must_use]
    pub fn wait_ms(mut self, wait_ms: u64) -> Self {
        self.wait_ms = wait_ms;
        self
    }

    /// Sets the maximum number of records per read.
    #[must_use]
    pub fn page_limit(mut self, page_limit: u32) -> Self {
        self.page_limit = page_limit.max(1);
        self
    }

    /// Sets a delay in milliseconds after each read, which bounds the read rate of a busy stream.
    #[must_use]
    pub fn read_interval_ms(mut self, read_interval_ms: u64) -> Self {
        self.read_interval_ms = read_interval_ms;
        self
    }

    /// Reads until the future is dropped.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
        let mut from = 1;
        loop {
            let read = ReadRequest {
                from: self.fold.with(|fold| fold.resume_from()).max(from),
                limit: self.page_limit,
                requested_at_ms: self.clock.now(),
            };
            // No long poll before the fold has caught up once: on a stream without new records,
            // everything that needs the state would wait for the length of a poll.
            let caught_up = self.fold.progress().caught_up_as_of_ms.is_some();
            let wait_ms = if caught_up { self.wait_ms } else { 0 };
            let page = self.log.read(&self.stream, read.from, read.limit, wait_ms);
            let delay_ms = match page.await {
                Ok(page) => {
                    self.record_success(&mut backoff);
                    from = self.apply_page(&page, &read);
                    self.read_interval_ms
                }
                Err(error) => self.record_failure(&error, &mut backoff),
            };
            if delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }

    fn apply_page(&self, page: &Page, read: &ReadRequest) -> u64 {
        if page.first > read.from && read.from > 1 {
            warn!(
                stream = self.stream, wanted = read.from, first = page.first;
                "skipping records that the log no longer retains"
            );
        }
        self.fold.apply_page(page, read)
    }

    fn record_success(&self, backoff: &mut Backoff) {
        if backoff.failures() > 0 {
            info!(stream = self.stream, failures = backoff.failures(); "the log is readable again");
        }
        backoff.reset();
    }

    fn record_failure(&mut self, error: &ReadError, backoff: &mut Backoff) -> u64 {
        if error.is_too_long() {
            self.page_limit = (self.page_limit / 2).max(1);
        }
        metrics::counter!("teaselline_log_read_failures_total").increment(1);
        if backoff.failures() == 0 {
            warn!(stream = self.stream, error:% = error; "reading the log failed; retrying");
        }
        backoff.next_delay_ms(&mut self.rng)
    }
}
