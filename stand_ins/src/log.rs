//! The log service: append-only streams with a limited rate and retention, and outages.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{
    chance::Chance,
    rate::Bucket,
    server::{Answer, Call, Cut, Handler, Server, error, ok},
};

const DEFAULT_LIMIT: u64 = 1000;
const MAX_WAIT_MS: u64 = 60_000;

/// What a log service is like.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// The seed of which answers are lost.
    pub seed: u64,
    /// What may change at run time.
    pub knobs: LogKnobs,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            knobs: LogKnobs::default(),
        }
    }
}

/// What may change while a log service runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogKnobs {
    /// Appends per second; more get `429`.
    pub appends_per_second: f64,
    /// Appends that may come at once.
    pub burst: f64,
    /// Records kept in a stream.
    pub retained_records: usize,
    /// How long a record is kept.
    pub retained_ms: u64,
    /// Time added to each call.
    pub delay_ms: u64,
    /// The share of appends whose answer is lost after they took effect.
    pub lose_answer_probability: f64,
    /// Whether it is out.
    pub outage: Outage,
}

impl Default for LogKnobs {
    fn default() -> Self {
        Self {
            appends_per_second: 500.0,
            burst: 200.0,
            retained_records: 100_000,
            retained_ms: 3_600_000,
            delay_ms: 0,
            lose_answer_probability: 0.0,
            outage: Outage::None,
        }
    }
}

/// How the log service is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It is not.
    None,
    /// It answers `503`.
    Refuse,
    /// It does not answer until the outage is over.
    Hang,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream, from 1.
    #[serde(skip_deserializing)]
    pub offset: u64,
    /// When it was appended.
    #[serde(skip_deserializing)]
    pub at_ms: u64,
    /// Who appended it.
    pub writer: String,
    /// The writer's own number.
    pub sequence: u64,
    /// What it holds.
    pub payload: String,
}

/// A running log service.
#[derive(Debug)]
pub struct Log {
    server: Server,
    store: Arc<Store>,
}

#[derive(Debug)]
struct Store {
    chance: Chance,
    knobs: watch::Sender<LogKnobs>,
    state: Mutex<State>,
    /// Counts appends, for those who wait for one.
    appended: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Records>,
    bucket: Bucket,
    refused: u64,
    lost_answers: u64,
}

#[derive(Debug, Default)]
struct Records {
    kept: VecDeque<LogRecord>,
    last: u64,
}

impl Log {
    /// Starts a log service.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: LogSettings) -> io::Result<Self> {
        let state = State {
            streams: HashMap::new(),
            bucket: Bucket::new(settings.knobs.appends_per_second, settings.knobs.burst),
            refused: 0,
            lost_answers: 0,
        };
        let store = Arc::new(Store {
            chance: Chance::new(settings.seed),
            knobs: watch::Sender::new(settings.knobs),
            state: Mutex::new(state),
            appended: watch::Sender::new(0),
        });
        let server = Server::start(settings.address, Arc::clone(&store))?;
        Ok(Self { server, store })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what may change at run time.
    pub fn change(&self, change: impl FnOnce(&mut LogKnobs)) {
        self.store.knobs.send_modify(change);
    }

    /// The records kept in a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let state = self.store.state.lock();
        let records = state.streams.get(stream);
        records.map_or_else(Vec::new, |records| records.kept.iter().cloned().collect())
    }

    /// How many appends took effect, in all streams.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.store
            .state
            .lock()
            .streams
            .values()
            .map(|records| records.last)
            .sum()
    }

    /// How many appends were refused for their rate.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.store.state.lock().refused
    }

    /// How many appends took effect but had their answer lost.
    #[must_use]
    pub fn lost_answers(&self) -> u64 {
        self.store.state.lock().lost_answers
    }
}

impl Handler for Store {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        let (method, path) = call.route();
        let ["v1", "streams", stream, "records"] = path[..] else {
            return Ok(error(StatusCode::NOT_FOUND, "unknown_path"));
        };
        let knobs = *self.knobs.borrow();
        tokio::time::sleep(Duration::from_millis(knobs.delay_ms)).await;
        if self.knobs.borrow().outage == Outage::Refuse {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        self.until_answering().await;
        match method {
            "POST" => self.append(stream, &call, &knobs),
            "GET" => self.read(stream, &call, &knobs).await,
            _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "unknown_path")),
        }
    }
}

impl Store {
    async fn until_answering(&self) {
        let mut knobs = self.knobs.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        drop(knobs.wait_for(|knobs| knobs.outage != Outage::Hang).await);
    }

    fn append(&self, stream: &str, call: &Call, knobs: &LogKnobs) -> Answer {
        let record: LogRecord = match call.json() {
            Ok(record) => record,
            Err(malformed) => return Ok(malformed.answer()),
        };
        let mut state = self.state.lock();
        state.bucket.set(knobs.appends_per_second, knobs.burst);
        if state.bucket.take().is_err() {
            state.refused += 1;
            return Ok(error(StatusCode::TOO_MANY_REQUESTS, "rate"));
        }
        let records = state.streams.entry(stream.to_owned()).or_default();
        let offset = records.append(record, crate::now_ms());
        records.expire(knobs, crate::now_ms());
        let is_lost = self.chance.happens(knobs.lose_answer_probability);
        state.lost_answers += u64::from(is_lost);
        drop(state);
        self.appended.send_modify(|count| *count += 1);
        if is_lost {
            Err(Cut)
        } else {
            Ok(ok(&json!({ "offset": offset })))
        }
    }

    async fn read(&self, stream: &str, call: &Call, knobs: &LogKnobs) -> Answer {
        let until = Instant::now() + Duration::from_millis(call.query("wait_ms").min(MAX_WAIT_MS));
        let limit = match call.query("limit") {
            0 => DEFAULT_LIMIT,
            limit => limit,
        };
        let from = call.query("from");
        let (mut appended, mut changed) = (self.appended.subscribe(), self.knobs.subscribe());
        loop {
            let page = self.state.lock().page(stream, from, limit, knobs);
            if !page.records.is_empty() || Instant::now() >= until {
                return Ok(ok(&page));
            }
            // An outage that begins during a long poll ends it, as it would a real one.
            if self.knobs.borrow().outage == Outage::Refuse {
                return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            self.until_answering().await;
            // However the wait ends, the page is read again.
            tokio::select! {
                _ = appended.changed() => {}
                _ = changed.changed() => {}
                () = sleep_until(until) => {}
            }
        }
    }
}

#[derive(Debug, Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<LogRecord>,
}

impl State {
    fn page(&mut self, stream: &str, from: u64, limit: u64, knobs: &LogKnobs) -> Page {
        let Some(records) = self.streams.get_mut(stream) else {
            return Page {
                first: 1,
                next: 1,
                records: Vec::new(),
            };
        };
        records.expire(knobs, crate::now_ms());
        let first = records.first();
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let page: Vec<_> = records
            .kept
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect();
        let end = from.clamp(first, records.last + 1);
        let next = page.last().map_or(end, |record| record.offset + 1);
        Page {
            first,
            next,
            records: page,
        }
    }
}

impl Records {
    /// The oldest offset kept.
    fn first(&self) -> u64 {
        self.kept
            .front()
            .map_or(self.last + 1, |record| record.offset)
    }

    fn append(&mut self, record: LogRecord, at_ms: u64) -> u64 {
        self.last += 1;
        let offset = self.last;
        self.kept.push_back(LogRecord {
            offset,
            at_ms,
            ..record
        });
        offset
    }

    fn expire(&mut self, knobs: &LogKnobs, now_ms: u64) {
        let is_old = |record: &LogRecord| now_ms.saturating_sub(record.at_ms) >= knobs.retained_ms;
        while self.kept.len() > knobs.retained_records || self.kept.front().is_some_and(is_old) {
            self.kept.pop_front();
        }
    }
}
