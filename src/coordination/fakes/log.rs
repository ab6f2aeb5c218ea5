//! An in-memory log with outages, lost responses and limited retention.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{lost, refused};
use crate::coordination::http::CallError;
use crate::coordination::log::{AppendError, Log, NewRecord, Page, ReadError, Record};
use crate::time::TimeMs;

/// The fault of one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// The append takes effect, and its response arrives.
    None,
    /// The append takes effect, and its response is lost.
    LostResponse,
    /// The append takes no effect, and its response is lost.
    LostRequest,
    /// The response is lost, and the append takes effect only at [`FakeLog::append_delayed`].
    Delayed,
    /// The append is rejected.
    Rejected,
}

#[derive(Debug, Default)]
struct Stream {
    name: String,
    first: u64,
    records: Vec<Record>,
    delayed: Vec<NewRecord>,
    appends: u64,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: &NewRecord, at_ms: TimeMs) -> u64 {
        let offset = self.next();
        self.records.push(Record {
            offset,
            at_ms,
            writer: record.writer.clone(),
            sequence: record.sequence,
            payload: record.payload.clone(),
        });
        offset
    }

    fn page(&self, from: u64, limit: u32) -> Page {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records: Vec<Record> = self
            .records
            .iter()
            .skip(skip)
            .take(limit as usize)
            .cloned()
            .collect();
        Page {
            first: self.first,
            next: from.min(self.next()) + records.len() as u64,
            records,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: Vec<Stream>,
    faults: VecDeque<AppendFault>,
    is_unavailable: bool,
    is_unreadable: bool,
    now_ms: TimeMs,
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = self.streams.iter().position(|held| held.name == name);
        let index = index.unwrap_or_else(|| {
            self.streams.push(Stream {
                name: name.to_owned(),
                first: 1,
                ..Stream::default()
            });
            self.streams.len() - 1
        });
        &mut self.streams[index]
    }
}

/// An in-memory log; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl FakeLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the log's clock.
    pub fn set_now(&self, now_ms: TimeMs) {
        self.state.lock().now_ms = now_ms;
    }

    /// Starts or ends an outage.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state.lock().is_unavailable = is_unavailable;
        self.changed.notify_waiters();
    }

    /// Sets whether reads fail.
    pub fn set_unreadable(&self, is_unreadable: bool) {
        self.state.lock().is_unreadable = is_unreadable;
    }

    /// Applies these faults to the next appends, one each.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Appends the delayed records.
    pub fn append_delayed(&self, stream: &str) {
        let mut state = self.state.lock();
        let now_ms = state.now_ms;
        let stream = state.stream(stream);
        for record in std::mem::take(&mut stream.delayed) {
            stream.push(&record, now_ms);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops records before `offset`, as retention does.
    pub fn drop_before(&self, stream: &str, offset: u64) {
        let mut state = self.state.lock();
        let stream = state.stream(stream);
        let gone = offset.saturating_sub(stream.first);
        let gone = usize::try_from(gone).unwrap_or(usize::MAX);
        let gone = gone.min(stream.records.len());
        stream.records.drain(..gone);
        stream.first += gone as u64;
    }

    /// Returns the records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Record> {
        self.state.lock().stream(stream).records.clone()
    }

    /// Returns the number of appends to a stream that reached the log.
    #[must_use]
    pub fn appends(&self, stream: &str) -> u64 {
        self.state.lock().stream(stream).appends
    }

    fn try_append(&self, stream: &str, record: &NewRecord) -> Result<u64, CallError> {
        let mut state = self.state.lock();
        if state.is_unavailable {
            return Err(refused());
        }
        let fault = state.faults.pop_front().unwrap_or(AppendFault::None);
        let now_ms = state.now_ms;
        let stream = state.stream(stream);
        stream.appends += 1;
        match fault {
            AppendFault::None => Ok(stream.push(record, now_ms)),
            AppendFault::LostResponse => {
                stream.push(record, now_ms);
                Err(lost())
            }
            AppendFault::LostRequest => Err(lost()),
            AppendFault::Delayed => {
                stream.delayed.push(record.clone());
                Err(lost())
            }
            AppendFault::Rejected => Err(refused()),
        }
    }

    fn try_read(&self, stream: &str, from: u64, limit: u32) -> Result<Page, CallError> {
        let mut state = self.state.lock();
        if state.is_unavailable || state.is_unreadable {
            return Err(refused());
        }
        Ok(state.stream(stream).page(from, limit))
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, record: &NewRecord) -> Result<u64, AppendError> {
        let appended = self.try_append(stream, record);
        self.changed.notify_waiters();
        Ok(appended?)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait_ms: u64,
    ) -> Result<Page, ReadError> {
        let changed = self.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let page = self.try_read(stream, from, limit)?;
        if !page.records.is_empty() || wait_ms == 0 {
            return Ok(page);
        }
        // A timeout only means that no record was appended; the second read covers both cases.
        drop(tokio::time::timeout(Duration::from_millis(wait_ms), changed).await);
        Ok(self.try_read(stream, from, limit)?)
    }
}
