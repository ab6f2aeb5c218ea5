//! The store: topics of records with offsets, some of which keep the newest record of each key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{future, io};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use crate::server::{Answer, Call, Cut, Handler, Server, empty, error, ok};

/// Most items of one page of newest records.
const PAGE_ITEMS: usize = 500;

/// Most bytes of the values of one page; the item that reaches it is its last.
const PAGE_BYTES: usize = 1_000_000;

/// How a door of the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Door {
    /// It serves.
    #[default]
    Open,
    /// It refuses each call.
    Refusing,
    /// It takes calls and never answers.
    Silent,
    /// It closes the channel of each call.
    Resetting,
    /// It carries out each append and loses the answer.
    LosingAnswers,
}

/// The store; its doors are addresses with faults of their own.
#[derive(Clone, Debug, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: watch::Sender<u64>,
    /// What it answers in place of the newest records.
    newest_page: Mutex<Option<Bytes>>,
    /// How often it has come back from a copy; named in each answer.
    era: AtomicU64,
}

/// What the store held at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: BTreeMap<String, Topic>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            topics: Mutex::default(),
            changed: watch::Sender::new(0),
            newest_page: Mutex::default(),
            era: AtomicU64::new(1),
        }
    }
}

/// The records to delete, as callers name them.
#[derive(Debug, Deserialize)]
struct Trim {
    topic: String,
    before: u64,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (Bytes, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes, is_keyed: bool) -> u64 {
        let offset = self.end();
        if is_keyed && let Some((key, value)) = keyed(&record) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push(record);
        offset
    }
}

/// One address of the store; dropping it closes it.
#[derive(Debug)]
pub struct OpenDoor {
    server: Server,
    state: Arc<Mutex<Door>>,
}

impl OpenDoor {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it behaves, from the next call on.
    pub fn set(&self, door: Door) {
        *self.state.lock() = door;
    }
}

#[derive(Debug)]
struct Behind {
    shared: Arc<Shared>,
    state: Arc<Mutex<Door>>,
}

impl Store {
    /// Opens an address of the store.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn open(&self) -> io::Result<OpenDoor> {
        let state = Arc::new(Mutex::new(Door::Open));
        let behind = Behind {
            shared: Arc::clone(&self.shared),
            state: Arc::clone(&state),
        };
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::new(behind))?;
        Ok(OpenDoor { server, state })
    }

    /// Writes the newest record of a key; an empty value drops the key.
    ///
    /// # Panics
    ///
    /// If the key has more than 255 bytes.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).expect("short keys"));
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        let appended = self.shared.append(topic, None, vec![record.freeze()]);
        debug_assert!(appended.is_ok(), "only conditional appends can fail");
    }

    /// Writes bytes as another writer may: under a key that need not be text.
    ///
    /// # Panics
    ///
    /// If the key has more than 255 bytes.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).expect("short keys"));
        record.put_slice(key);
        record.put_slice(value);
        self.append_bytes(topic, record.freeze());
    }

    /// Appends a record as another writer may.
    pub fn append_bytes(&self, topic: &str, record: Bytes) {
        let appended = self.shared.append(topic, None, vec![record]);
        debug_assert!(appended.is_ok(), "only conditional appends can fail");
    }

    /// Answers each call for the newest records with these bytes from now on.
    pub fn answer_newest_with(&self, page: Bytes) {
        *self.shared.newest_page.lock() = Some(page);
    }

    /// The newest record of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Bytes> {
        let topics = self.shared.topics.lock();
        let (value, _offset) = topics.get(topic)?.newest.get(key)?;
        Some(value.clone())
    }

    /// The keys of a topic that have a record.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.shared.topics.lock();
        let newest = topics.get(topic).map(|topic| topic.newest.keys().cloned());
        newest.map_or_else(Vec::new, Iterator::collect)
    }

    /// What it holds now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.shared.topics.lock().clone(),
        }
    }

    /// Comes back from a copy: what was written since is gone, and its offsets are given out again.
    pub fn come_back_from(&self, copy: StoreCopy) {
        *self.shared.topics.lock() = copy.topics;
        self.shared.era.fetch_add(1, Ordering::Relaxed);
        self.shared.changed.send_modify(|changes| *changes += 1);
    }

    /// Forgets the records of a topic, but for the newest of each key.
    pub fn forget_history(&self, topic: &str) {
        let mut topics = self.shared.topics.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }

    /// The offset of the oldest record that a topic still has.
    #[must_use]
    pub fn first(&self, topic: &str) -> u64 {
        (self.shared.topics.lock().get(topic)).map_or(0, |topic| topic.first)
    }

    /// How many records a topic has had.
    #[must_use]
    pub fn end(&self, topic: &str) -> u64 {
        self.shared.topics.lock().get(topic).map_or(0, Topic::end)
    }
}

impl Shared {
    fn append(&self, name: &str, at: Option<u64>, records: Vec<Bytes>) -> Result<u64, u64> {
        let mut topics = self.topics.lock();
        let topic = topics.entry(name.to_owned()).or_default();
        if at.is_some_and(|at| at != topic.end()) {
            return Err(topic.end());
        }
        let offset = topic.end();
        for record in records {
            topic.append(record, name.starts_with("keyed."));
        }
        drop(topics);
        self.changed.send_modify(|changes| *changes += 1);
        Ok(offset)
    }

    /// Deletes the records of a topic before an offset.
    fn trim(&self, name: &str, before: u64) {
        let mut topics = self.topics.lock();
        let Some(topic) = topics.get_mut(name) else {
            return;
        };
        let before = before.clamp(topic.first, topic.end());
        let count = usize::try_from(before - topic.first).unwrap_or(usize::MAX);
        topic.records.drain(..count);
        topic.first = before;
    }

    async fn read(&self, name: &str, from: u64, wait: Duration) -> Response<Full<Bytes>> {
        let mut changes = self.changed.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            changes.mark_unchanged();
            if let Some(answer) = self.records(name, from, wait.is_zero()) {
                return answer;
            }
            let news = tokio::time::timeout_at(until, changes.changed()).await;
            if news.is_err() {
                let answer = self.records(name, from, true);
                return answer.unwrap_or_else(|| empty(StatusCode::OK));
            }
        }
    }

    fn records(&self, name: &str, from: u64, even_if_empty: bool) -> Option<Response<Full<Bytes>>> {
        let topics = self.topics.lock();
        let nothing = Topic::default();
        let topic = topics.get(name).unwrap_or(&nothing);
        if from < topic.first || from > topic.end() {
            let first = json!({ "first": topic.first });
            return Some(crate::server::json(StatusCode::GONE, &first));
        }
        let skipped = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
        let records = topic.records.get(skipped..).unwrap_or_default();
        if records.is_empty() && !even_if_empty {
            return None;
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.end());
        body.put_u64(topic.first);
        for record in records {
            body.put_u32(u32::try_from(record.len()).expect("short records"));
            body.put_slice(record);
        }
        Some(Response::new(Full::new(body.freeze())))
    }

    fn newest(&self, name: &str, after: Option<&str>) -> Response<Full<Bytes>> {
        if let Some(page) = self.newest_page.lock().clone() {
            return Response::new(Full::new(page));
        }
        let topics = self.topics.lock();
        let nothing = Topic::default();
        let topic = topics.get(name).unwrap_or(&nothing);
        let mut rest = (topic.newest.iter())
            .filter(|(key, _record)| after.is_none_or(|after| key.as_str() > after));
        let mut items = Vec::new();
        let mut bytes = 0;
        while items.len() < PAGE_ITEMS && bytes < PAGE_BYTES {
            let Some((key, (value, offset))) = rest.next() else {
                break;
            };
            let value = STANDARD.encode(value);
            bytes += value.len();
            items.push(json!({ "key": key, "value": value, "offset": offset }));
        }
        let truncated = rest.next().is_some();
        ok(&json!({ "items": items, "truncated": truncated, "end": topic.end() }))
    }
}

impl Handler for Behind {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        let mut answer = self.answer(call).await?;
        let era = self.shared.era.load(Ordering::Relaxed);
        answer.headers_mut().insert("store-era", era.into());
        Ok(answer)
    }
}

impl Behind {
    async fn answer(&self, call: Call) -> Answer {
        let door = *self.state.lock();
        match door {
            Door::Open | Door::LosingAnswers => {}
            Door::Refusing => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
            Door::Silent => future::pending().await,
            Door::Resetting => return Err(Cut),
        }
        let name = text(&call, "topic");
        let (method, path) = call.route();
        match (method, path.as_slice()) {
            ("GET", ["api", "log-read"]) => {
                let wait = Duration::from_millis(call.query("waitMs"));
                Ok(self.shared.read(&name, call.query("from"), wait).await)
            }
            ("GET", ["api", "log-newest"]) => {
                let after = text(&call, "after");
                let after = (!after.is_empty()).then(|| decoded(&after));
                Ok(self.shared.newest(&name, after.as_deref()))
            }
            ("POST", ["api", "log-append"]) => {
                let at = (!text(&call, "at").is_empty()).then(|| call.query("at"));
                let appended = self.shared.append(&name, at, records(call.body.clone()));
                match appended {
                    _ if door == Door::LosingAnswers => future::pending().await,
                    Ok(offset) => Ok(ok(&json!({ "offset": offset, "end": offset + 1 }))),
                    Err(end) => {
                        let end = json!({ "end": end });
                        Ok(crate::server::json(StatusCode::PRECONDITION_FAILED, &end))
                    }
                }
            }
            ("POST", ["api", "log-trim"]) => match call.json::<Trim>() {
                Ok(trim) => {
                    self.shared.trim(&trim.topic, trim.before);
                    Ok(ok(&json!({})))
                }
                Err(_malformed) => Ok(error(StatusCode::BAD_REQUEST, "the body can't be read")),
            },
            _ => Ok(error(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

fn text(call: &Call, name: &str) -> String {
    let pairs = call.head.uri.query().unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _value)| *key == name);
    found
        .map(|(_key, value)| value.to_owned())
        .unwrap_or_default()
}

/// The key and the value of a keyed record; none if it is cut short.
fn keyed(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(1 + length..)))
}

/// Replaces each `%` and the two hexadecimal digits after it by the byte that they name.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, others @ ..] = rest {
        let named = match (first, others) {
            (b'%', [high, low, ..]) => std::str::from_utf8(&[*high, *low])
                .ok()
                .and_then(|digits| u8::from_str_radix(digits, 16).ok()),
            _ => None,
        };
        bytes.push(named.unwrap_or(*first));
        rest = &others[if named.is_some() { 2 } else { 0 }..];
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn records(mut body: Bytes) -> Vec<Bytes> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = usize::try_from(body.get_u32()).expect("short records");
        records.push(body.split_to(length));
    }
    records
}
