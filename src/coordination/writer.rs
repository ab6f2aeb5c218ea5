//! Appends to a stream so that one intent creates one record.
//!
//! The log does not deduplicate, and its response can be lost after the record was appended. An
//! [`Appender`] therefore gives each record a sequence number and, after a lost response, looks for
//! that number in the stream before it appends again ([`CallRetry`] decides).
//!
//! A lost append can still land after the stream was found to lack it. The second append carries
//! the same number, so that a fold can detect the duplicate; all folds of this crate tolerate
//! duplicates and document why.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::coordination::call_retry::{CallRetry, Event, Failure, Step};
use crate::coordination::log::{AppendError, Log, NewRecord, Page, Record};
use crate::time::{Clock, TimeMs};

mod group;
#[cfg(test)]
mod tests;

pub use group::{GroupWriter, WriterTask};

const READ_BACK_LIMIT: u32 = 500;

/// The reason why an entry was not written.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WriteError {
    /// No record was created.
    #[error("the log appended no record before the deadline")]
    NotWritten {
        /// The last failure, if an append was tried.
        #[source]
        source: Option<Arc<AppendError>>,
    },
    /// A record may have been created, or may still appear.
    #[error("the outcome of the append was not determined before the deadline")]
    Unresolved {
        /// The last failure, if it is known.
        #[source]
        source: Option<Arc<AppendError>>,
    },
    /// The queue is full, so no record was created.
    #[error("the queue of entries for the log is full")]
    QueueFull,
}

impl WriteError {
    /// Whether it is certain that no record was created.
    #[must_use]
    pub fn is_not_written(&self) -> bool {
        !matches!(self, Self::Unresolved { .. })
    }
}

/// Appends records to one stream under one writer name, one at a time.
#[derive(Debug)]
pub struct Appender<L> {
    log: Arc<L>,
    stream: String,
    writer: String,
    clock: Clock,
    rng: SmallRng,
    sequence: u64,
    tail: u64,
}

impl<L: Log> Appender<L> {
    /// Creates an appender to `stream`; `writer` must be unique to this incarnation and role.
    #[must_use]
    pub fn new(log: Arc<L>, stream: &str, writer: String, clock: Clock, rng: SmallRng) -> Self {
        Self {
            log,
            stream: stream.to_owned(),
            writer,
            clock,
            rng,
            sequence: 0,
            tail: 1,
        }
    }

    /// Returns the clock of the deadlines.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the writer's name.
    #[must_use]
    pub fn writer(&self) -> &str {
        &self.writer
    }

    /// Raises the offset at which reading back starts; the next record lands at `offset` or later.
    pub fn advance_tail(&mut self, offset: u64) {
        self.tail = self.tail.max(offset);
    }

    /// Appends `payload` as the next record and returns an offset at which it was stored.
    ///
    /// # Errors
    ///
    /// A [`WriteError`]; [`WriteError::is_not_written`] indicates whether a record may exist.
    pub async fn append(
        &mut self,
        payload: String,
        deadline_ms: TimeMs,
    ) -> Result<u64, WriteError> {
        self.run(CallRetry::new(self.tail, deadline_ms), payload)
            .await
    }

    /// Retries the record that the previous call left unresolved or that was cancelled midway.
    ///
    /// # Errors
    ///
    /// As [`Self::append`].
    ///
    /// # Panics
    ///
    /// If no append was started before.
    pub async fn resume(
        &mut self,
        payload: String,
        deadline_ms: TimeMs,
    ) -> Result<u64, WriteError> {
        // The retry must carry the sequence number that the failed call has used.
        assert!(
            self.sequence > 0,
            "resume requires an append that was started"
        );
        self.sequence -= 1;
        let call_retry = CallRetry::new(self.tail, deadline_ms).may_have_landed();
        self.run(call_retry, payload).await
    }

    async fn run(&mut self, mut call_retry: CallRetry, payload: String) -> Result<u64, WriteError> {
        // The sequence number is consumed before the first await: a caller that cancels this future
        // may have left a record behind, and no other payload may carry that number.
        self.sequence += 1;
        let record = NewRecord {
            writer: self.writer.clone(),
            sequence: self.sequence,
            payload,
        };
        let mut event = Event::Started;
        let mut cause = None;
        loop {
            let now = self.clock.now();
            let found = match call_retry.next_step(event, now, &mut self.rng) {
                Step::Call => self.try_append(&record, &mut cause).await,
                Step::ReadBack { from } => self.read_back(&record, from).await,
                Step::Wait { wait_ms } => {
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                    Err(Event::Waited)
                }
                Step::GiveUp(Failure::NotApplied) => {
                    self.sequence -= 1;
                    return Err(WriteError::NotWritten { source: cause });
                }
                Step::GiveUp(Failure::Unresolved) => {
                    return Err(WriteError::Unresolved { source: cause });
                }
            };
            match found {
                Ok(offset) => {
                    self.advance_tail(offset + 1);
                    return Ok(offset);
                }
                Err(next) => event = next,
            }
        }
    }

    async fn try_append(
        &self,
        record: &NewRecord,
        cause: &mut Option<Arc<AppendError>>,
    ) -> Result<u64, Event> {
        self.log
            .append(&self.stream, record)
            .await
            .map_err(|error| {
                let event = match &error {
                    AppendError::Unknown { .. } => Event::ResponseLost,
                    AppendError::NotAppended { retry_after_ms, .. } => Event::Rejected {
                        retry_after_ms: *retry_after_ms,
                    },
                };
                *cause = Some(Arc::new(error));
                event
            })
    }

    async fn read_back(&self, record: &NewRecord, from: u64) -> Result<u64, Event> {
        let read = self.log.read(&self.stream, from, READ_BACK_LIMIT, 0).await;
        let page = read.map_err(|_outage| Event::ReadFailed)?;
        find_record(record, &page)
    }
}

fn find_record(record: &NewRecord, page: &Page) -> Result<u64, Event> {
    let same = |held: &&Record| held.sequence == record.sequence && held.writer == record.writer;
    let full = page.records.len() >= READ_BACK_LIMIT as usize;
    match page.records.iter().find(same) {
        Some(held) => Ok(held.offset),
        None if full => Err(Event::NotInPage { next: page.next }),
        None => Err(Event::NotFound),
    }
}
