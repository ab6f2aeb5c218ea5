//! A log in memory, with outages, lost answers and limited retention.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{lost, refused};
use crate::coordination::http::CallError;
use crate::coordination::log::{AppendError, Log, NewRecord, Page, ReadError, Record};
use crate::time::TimeMs;

/// What happens to one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// It takes effect and its answer arrives.
    None,
    /// It takes effect, and its answer is lost.
    LostAnswer,
    /// It takes no effect, and its answer is lost.
    LostCall,
    /// Its answer is lost, and it takes effect only at [`FakeLog::land_delayed`].
    Delayed,
    /// It is refused.
    Refused,
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
    out: bool,
    unreadable: bool,
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

/// A log in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl FakeLog {
    /// An empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the log's clock.
    pub fn set_now(&self, now_ms: TimeMs) {
        self.state.lock().now_ms = now_ms;
    }

    /// Begins or ends an outage.
    pub fn set_out(&self, out: bool) {
        self.state.lock().out = out;
        self.changed.notify_waiters();
    }

    /// Lets reads fail, or no longer.
    pub fn set_unreadable(&self, unreadable: bool) {
        self.state.lock().unreadable = unreadable;
    }

    /// Lets the coming appends meet these faults, one each.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Lets delayed appends take effect.
    pub fn land_delayed(&self, stream: &str) {
        let mut state = self.state.lock();
        let now_ms = state.now_ms;
        let stream = state.stream(stream);
        for record in std::mem::take(&mut stream.delayed) {
            stream.push(&record, now_ms);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Forgets records before `offset`, as retention does.
    pub fn expire_before(&self, stream: &str, offset: u64) {
        let mut state = self.state.lock();
        let stream = state.stream(stream);
        let gone = offset.saturating_sub(stream.first);
        let gone = usize::try_from(gone).unwrap_or(usize::MAX);
        let gone = gone.min(stream.records.len());
        stream.records.drain(..gone);
        stream.first += gone as u64;
    }

    /// The records that a stream holds.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Record> {
        self.state.lock().stream(stream).records.clone()
    }

    /// How often an append to a stream reached the log.
    #[must_use]
    pub fn appends(&self, stream: &str) -> u64 {
        self.state.lock().stream(stream).appends
    }

    fn try_append(&self, stream: &str, record: &NewRecord) -> Result<u64, CallError> {
        let mut state = self.state.lock();
        if state.out {
            return Err(refused());
        }
        let fault = state.faults.pop_front().unwrap_or(AppendFault::None);
        let now_ms = state.now_ms;
        let stream = state.stream(stream);
        stream.appends += 1;
        match fault {
            AppendFault::None => Ok(stream.push(record, now_ms)),
            AppendFault::LostAnswer => {
                stream.push(record, now_ms);
                Err(lost())
            }
            AppendFault::LostCall => Err(lost()),
            AppendFault::Delayed => {
                stream.delayed.push(record.clone());
                Err(lost())
            }
            AppendFault::Refused => Err(refused()),
        }
    }

    fn try_read(&self, stream: &str, from: u64, limit: u32) -> Result<Page, CallError> {
        let mut state = self.state.lock();
        if state.out || state.unreadable {
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
        // A timeout only means that nothing came; the second look tells either way.
        drop(tokio::time::timeout(Duration::from_millis(wait_ms), changed).await);
        Ok(self.try_read(stream, from, limit)?)
    }
}
