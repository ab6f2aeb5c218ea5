//! Follows a stream of the log and hands its records to a fold.
//!
//! A follower reads by long poll, so that a record reaches the fold about one delay after the log
//! took it. It says how stale the fold may be, and tells the fold of records that it missed.

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
    /// When the gap was met, by this node's clock.
    pub met_ms: TimeMs,
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

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The offset of the newest record that the fold has taken in.
    pub applied: u64,
    /// A time at which the fold held all that the log did, if there was one yet.
    pub caught_up_as_of_ms: Option<TimeMs>,
}

/// A fold that a follower keeps up to date.
#[derive(Debug)]
pub struct Followed<F> {
    fold: Mutex<F>,
    progress: watch::Sender<Progress>,
}

impl<F: Fold> Followed<F> {
    /// A fold that nothing has been read into yet.
    #[must_use]
    pub fn new(fold: F) -> Arc<Self> {
        Arc::new(Self {
            fold: Mutex::new(fold),
            progress: watch::Sender::new(Progress::default()),
        })
    }

    /// Reads or changes the fold under its lock.
    pub fn with<T>(&self, act: impl FnOnce(&mut F) -> T) -> T {
        act(&mut self.fold.lock())
    }

    /// How far the follower has come.
    #[must_use]
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Watches [`Self::progress`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Waits until the progress is as wanted.
    ///
    /// # Panics
    ///
    /// Never: the sender lives as long as `self`.
    pub async fn wait_for(&self, wanted: impl FnMut(&Progress) -> bool) {
        let mut progress = self.progress.subscribe();
        let reached = progress.wait_for(wanted).await;
        reached.expect("the sender is held by self");
    }

    /// Waits until the fold has taken in the record at `offset`.
    pub async fn wait_applied(&self, offset: u64) {
        self.wait_for(|progress| progress.applied >= offset).await;
    }

    /// Waits until the fold has once held all that the log did.
    pub async fn wait_caught_up(&self) {
        self.wait_for(|progress| progress.caught_up_as_of_ms.is_some())
            .await;
    }

    /// How long ago the fold was last known to hold all that the log did.
    #[must_use]
    pub fn stale_ms(&self, now: TimeMs) -> Option<u64> {
        let as_of = self.progress().caught_up_as_of_ms;
        as_of.map(|as_of| now.since(as_of))
    }

    /// Takes in a page; tells where to go on.
    fn take(&self, page: &Page, read: &Read) -> u64 {
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
        // Of a full page one cannot tell whether it was the last. What the log held when it was
        // asked is certain; what it held when it answered is not.
        let caught_up = page.records.len() < read.limit as usize;
        self.progress.send_modify(|progress| {
            progress.applied = next - 1;
            if caught_up {
                progress.caught_up_as_of_ms = Some(read.asked_ms);
            }
        });
        next
    }
}

/// What was asked for.
#[derive(Clone, Copy, Debug)]
struct Read {
    from: u64,
    limit: u32,
    asked_ms: TimeMs,
}

impl Read {
    fn gap_before(&self, page: &Page) -> Option<Gap> {
        (page.first > self.from).then(|| Gap {
            wanted: self.from,
            first: page.first,
            first_at_ms: page.records.first().map(|record| record.at_ms),
            met_ms: self.asked_ms,
        })
    }
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

    /// Sets how many records one read asks for.
    #[must_use]
    pub fn page_limit(mut self, page_limit: u32) -> Self {
        self.page_limit = page_limit.max(1);
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
            let read = Read {
                from: self.followed.with(|fold| fold.resume_from()).max(from),
                limit: self.page_limit,
                asked_ms: self.clock.now(),
            };
            // Until it has caught up once it does not wait, or a quiet stream would keep all who
            // need its state waiting for the length of a poll.
            let caught_up = self.followed.progress().caught_up_as_of_ms.is_some();
            let wait_ms = if caught_up { self.wait_ms } else { 0 };
            let page = self.log.read(&self.stream, read.from, read.limit, wait_ms);
            let pause_ms = match page.await {
                Ok(page) => {
                    self.note_success(&mut backoff);
                    from = self.take(&page, &read);
                    self.between_reads_ms
                }
                Err(error) => self.note_failure(&error, &mut backoff),
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    fn take(&self, page: &Page, read: &Read) -> u64 {
        if page.first > read.from && read.from > 1 {
            warn!(stream = self.stream, wanted = read.from, first = page.first; "records are gone");
        }
        self.followed.take(page, read)
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
