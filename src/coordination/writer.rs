//! Appends to a stream so that one intent gives one record.
//!
//! The log does not deduplicate, and its answer can be lost after the record took effect. An
//! [`Appender`] therefore gives each record a sequence number of its writer and, when an answer is
//! lost, looks for that number in the stream before it appends again ([`Flight`] decides).
//!
//! A lost append can still land after the stream was found to lack it. The second append carries
//! the same number, so that a fold can tell the repetition; the folds of this crate are all
//! indifferent to it, and say why.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::coordination::flight::{Event, Failure, Flight, Step};
use crate::coordination::log::{AppendError, Log, NewRecord, Page, Record};
use crate::time::{Clock, TimeMs};

mod group;
#[cfg(test)]
mod tests;

pub use group::{GroupWriter, WriterTask};

const READ_BACK_LIMIT: u32 = 500;

/// Why something was not written.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WriteError {
    /// No record was made.
    #[error("the log took no record in time")]
    NotTaken {
        /// The last failure, if an append was tried.
        #[source]
        source: Option<Arc<AppendError>>,
    },
    /// A record may have been made, or may still appear.
    #[error("it could not be found out in time whether the log took the record")]
    Unresolved {
        /// The last failure, if it is known.
        #[source]
        source: Option<Arc<AppendError>>,
    },
    /// Too much waits already, so no record was made.
    #[error("too many entries wait for the log")]
    QueueFull,
}

impl WriteError {
    /// Whether it is certain that no record was made.
    #[must_use]
    pub fn is_not_taken(&self) -> bool {
        !matches!(self, Self::Unresolved { .. })
    }
}

/// Appends records to one stream under one writer's name, one at a time.
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
    /// An appender to `stream`; `writer` must be unique to this incarnation and role.
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

    /// The clock that deadlines are on.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The writer's name.
    #[must_use]
    pub fn writer(&self) -> &str {
        &self.writer
    }

    /// Learns that the stream reached `offset` before the next record; shortens reading back.
    pub fn note_tail(&mut self, offset: u64) {
        self.tail = self.tail.max(offset);
    }

    /// Appends `payload` as the next record and tells an offset that it has.
    ///
    /// # Errors
    ///
    /// A [`WriteError`] that says whether a record may exist.
    pub async fn append(
        &mut self,
        payload: String,
        deadline_ms: TimeMs,
    ) -> Result<u64, WriteError> {
        self.run(Flight::new(self.tail, deadline_ms), payload).await
    }

    /// Goes on with the record that the last call left unresolved, or that was dropped midway.
    ///
    /// # Errors
    ///
    /// As [`Self::append`].
    ///
    /// # Panics
    ///
    /// If nothing was appended before.
    pub async fn resume(
        &mut self,
        payload: String,
        deadline_ms: TimeMs,
    ) -> Result<u64, WriteError> {
        // The repetition must carry the number that the failed call has used up.
        assert!(self.sequence > 0, "only what was begun can be resumed");
        self.sequence -= 1;
        let flight = Flight::new(self.tail, deadline_ms).maybe_taken();
        self.run(flight, payload).await
    }

    async fn run(&mut self, mut flight: Flight, payload: String) -> Result<u64, WriteError> {
        // The number is used up before the first await: a caller that drops this future midway
        // may have left a record behind, and no other payload may carry its number.
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
            let found = match flight.next_step(event, now, &mut self.rng) {
                Step::Call => self.try_append(&record, &mut cause).await,
                Step::ReadBack { from } => self.read_back(&record, from).await,
                Step::Wait { wait_ms } => {
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                    Err(Event::Waited)
                }
                Step::GiveUp(Failure::NotTaken) => {
                    self.sequence -= 1;
                    return Err(WriteError::NotTaken { source: cause });
                }
                Step::GiveUp(Failure::Unresolved) => {
                    return Err(WriteError::Unresolved { source: cause });
                }
            };
            match found {
                Ok(offset) => {
                    self.note_tail(offset + 1);
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
                    AppendError::Unknown { .. } => Event::AnswerLost,
                    AppendError::NotTaken { retry_after_ms, .. } => Event::NotTaken {
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
        look_for(record, &page)
    }
}

fn look_for(record: &NewRecord, page: &Page) -> Result<u64, Event> {
    let same = |held: &&Record| held.sequence == record.sequence && held.writer == record.writer;
    let full = page.records.len() >= READ_BACK_LIMIT as usize;
    match page.records.iter().find(same) {
        Some(held) => Ok(held.offset),
        None if full => Err(Event::NotYetFound { next: page.next }),
        None => Err(Event::NotThere),
    }
}
