//! The platform's store: an append-only log with topics, some of which keep the newest record of
//! each key.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderName, Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use thiserror::Error;

use super::http::{Answer, Call, CallError, Client};
use crate::gateway::log_position::LogPosition;

/// A call that the store should answer at once takes 4 ms, and some 250 ms when the store is slow.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Allowed for the way there and back of a read that waits.
const WAIT_MARGIN_MS: u64 = 800;

/// In all answers: how often the store has come back from a copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Bytes of the length before each record.
const LENGTH_BYTES: usize = 4;

/// Bytes of the two offsets at the start of an answer with records.
const OFFSETS_BYTES: usize = 16;

/// Most kilobytes of records in one answer.
const READ_KB: u32 = 1_024;

/// A reason for passing a record over is cut to this length in the log.
const LONGEST_REASON_BYTES: usize = 200;

/// What the records of a topic are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The operators' configuration, newest record by key.
    Configuration,
    /// Announcements of upstreams, newest record by key.
    Upstreams,
    /// Announcements of this system's nodes, newest record by key.
    Nodes,
    /// Lease and reports of the duties that one node has at a time.
    Duties,
}

impl Topic {
    /// What its records are about, for logs and metrics.
    fn word(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
            Self::Duties => "duties",
        }
    }

    /// Counts and logs a record that cannot be used; it may come from another writer.
    pub fn note_malformed(self, key: &str, error: &impl Display) {
        metrics::counter!("teaselline_records_malformed_total", "topic" => self.word())
            .increment(1);
        let mut reason = error.to_string();
        // A reason may quote what it found, up to a whole record.
        let end = reason.floor_char_boundary(LONGEST_REASON_BYTES);
        reason.truncate(end);
        log::warn!(event = "record_malformed", topic = self.word(), key, reason = reason.as_str(); "a record is passed over");
    }

    /// The topic's name and the prefix of its calls' query.
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "keyed.op",
            Self::Upstreams => "keyed.servers",
            Self::Nodes => "keyed.status",
            Self::Duties => "duties",
        }
    }
}

/// The key of the operators' configuration within its topic.
pub(crate) const CONFIGURATION_KEY: &str = "config";

/// Why the store did not do what it was asked.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    /// There is no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The store refused; nothing was done.
    #[error("the store refused the call with status {status}")]
    Refused {
        /// The status.
        status: StatusCode,
    },
    /// The records asked for have been deleted.
    #[error("records before offset {first} have been deleted")]
    Deleted {
        /// The first that is still there.
        first: u64,
    },
    /// The partition does not end where the append expected it to.
    #[error("the partition ends at {end}")]
    NotAtEnd {
        /// Where it ends.
        end: LogPosition,
    },
    /// The store has come back from a copy: the answer is about another history than the question, or was on its way
    /// for too long.
    #[error("the store is in era {era}, the call was about another")]
    OtherEra {
        /// The era of the answer.
        era: u64,
    },
    /// The answer is not of the expected form.
    #[error("the store's answer cannot be read: {what}")]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
}

impl StoreError {
    /// Whether the call had no effect and never will have.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::NotAtEnd { .. }
                | Self::Deleted { .. }
                | Self::Call(CallError::Connect { .. })
        )
    }
}

/// Whether a call shows that the store serves this node, whatever it answered.
pub(crate) fn is_served<T>(called: &Result<T, StoreError>) -> bool {
    match called {
        Ok(_) => true,
        Err(error) => matches!(
            error,
            StoreError::Deleted { .. } | StoreError::NotAtEnd { .. } | StoreError::OtherEra { .. }
        ),
    }
}

/// Records of a partition in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Records {
    /// Place of the first record of `bodies`.
    pub from: LogPosition,
    /// Where the partition ends.
    pub end: LogPosition,
    pub bodies: Vec<Bytes>,
}

impl Records {
    /// The place after the last record read.
    pub fn next(&self) -> LogPosition {
        self.from.after(self.bodies.len())
    }
}

/// A record of a keyed topic; without a value, the key is no longer there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Keyed {
    /// Where it lies in its partition.
    pub place: LogPosition,
    pub key: String,
    pub value: Option<Bytes>,
}

/// The newest record of each key, and where to read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Newest {
    pub items: Vec<Keyed>,
    pub end: LogPosition,
}

#[derive(Debug, Deserialize)]
struct RawNewest {
    items: Vec<serde_json::Value>,
    #[serde(default)]
    truncated: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct RawItem {
    key: String,
    value: String,
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct RawEnd {
    end: u64,
}

#[derive(Debug, Deserialize)]
struct RawFirst {
    first: u64,
}

#[derive(Debug, Deserialize)]
struct RawAppended {
    offset: u64,
}

/// The store at its address.
#[derive(Debug)]
pub(crate) struct Store {
    client: Client,
    /// The newest era that an answer has named; zero if none did.
    era: AtomicU64,
}

impl Store {
    /// The store at an address; nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
            era: AtomicU64::new(0),
        }
    }

    /// How often the store has come back from a copy, by the newest answer that says so.
    ///
    /// What was written shortly before is gone then, and offsets are given out again.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Reads records from an offset on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// If the store does not answer or refuses, or the records are not there or lie in another history.
    pub async fn read(
        &self,
        topic: Topic,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<Records, StoreError> {
        let name = topic.name();
        let path = format!(
            "/api/log-read?topic={name}&part=0&from={}&waitMs={wait_ms}&maxKb={READ_KB}",
            from.offset
        );
        let timeout_ms = match wait_ms {
            0 => CALL_TIMEOUT_MS,
            wait_ms => wait_ms + WAIT_MARGIN_MS,
        };
        let (answer, era) = self.get("read", &path, timeout_ms).await?;
        // The beginning is the same in any era.
        if era != from.era && !from.is_start() {
            return Err(StoreError::OtherEra { era });
        }
        match answer.status {
            StatusCode::OK => read_records(LogPosition { era, ..from }, answer.body),
            StatusCode::GONE => {
                let first: RawFirst = json(&answer, "no first offset")?;
                Err(StoreError::Deleted { first: first.first })
            }
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the newest record of each key.
    ///
    /// What is written meanwhile may be missing; reading on from `end` gives it.
    ///
    /// # Errors
    ///
    /// If the store does not answer or refuses.
    pub async fn newest(&self, topic: Topic) -> Result<Newest, StoreError> {
        let name = topic.name();
        let mut newest = Newest {
            items: Vec::new(),
            end: LogPosition::default(),
        };
        let mut after = String::new();
        loop {
            let path = match after.as_str() {
                "" => format!("/api/log-newest?topic={name}&part=0"),
                after => {
                    let after = utf8_percent_encode(after, NON_ALPHANUMERIC);
                    format!("/api/log-newest?topic={name}&part=0&after={after}")
                }
            };
            let (answer, era) = self.get("newest", &path, CALL_TIMEOUT_MS).await?;
            if !after.is_empty() && era != newest.end.era {
                return Err(StoreError::OtherEra { era });
            }
            if answer.status != StatusCode::OK {
                let status = answer.status;
                return Err(StoreError::Refused { status });
            }
            let page: RawNewest = json(&answer, "not a page of records")?;
            // Later pages may already hold what came after the first was made.
            if after.is_empty() {
                newest.end = LogPosition {
                    era,
                    offset: page.end,
                };
            }
            let last = page.items.last().and_then(|item| item.get("key"));
            let last = last.and_then(|key| key.as_str()).map(str::to_owned);
            // One record that cannot be read must not hide the others.
            for item in page.items {
                match Keyed::of_page(era, item) {
                    Ok(item) => newest.items.push(item),
                    Err(error) => topic.note_malformed("", &error),
                }
            }
            match last {
                Some(last) if page.truncated => after = last,
                _ => return Ok(newest),
            }
        }
    }

    /// Appends a record; with `at`, only if the partition ends there.
    ///
    /// # Errors
    ///
    /// If the store does not answer or refuses, or the partition ends elsewhere or has another history. Unless
    /// the error says that it is without effect, the record may be there or may yet come.
    pub async fn append(
        &self,
        topic: Topic,
        record: &[u8],
        at: Option<LogPosition>,
    ) -> Result<LogPosition, StoreError> {
        let name = topic.name();
        let path = match at {
            Some(at) => format!("/api/log-append?topic={name}&part=0&at={}", at.offset),
            None => format!("/api/log-append?topic={name}&part=0"),
        };
        let mut body = BytesMut::with_capacity(LENGTH_BYTES + record.len());
        let length = u32::try_from(record.len()).map_err(|_too_long| StoreError::Malformed {
            what: "the record to append is too long",
        })?;
        body.put_u32(length);
        body.put_slice(record);
        let call = Call {
            method: Method::POST,
            path: &path,
            headers: Vec::new(),
            body: body.freeze(),
            timeout_ms: CALL_TIMEOUT_MS,
        };
        let (answer, era) = self.call("append", call).await?;
        // The condition may have held by chance, in a history that has not been read.
        if at.is_some_and(|at| at.era != era) {
            return Err(StoreError::OtherEra { era });
        }
        match answer.status {
            StatusCode::OK => {
                let RawAppended { offset } = json(&answer, "no offset")?;
                Ok(LogPosition { era, offset })
            }
            StatusCode::PRECONDITION_FAILED => {
                let RawEnd { end: offset } = json(&answer, "no end")?;
                let end = LogPosition { era, offset };
                Err(StoreError::NotAtEnd { end })
            }
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Writes the newest record of a key.
    ///
    /// # Errors
    ///
    /// As [`Store::append`].
    pub async fn put(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
    ) -> Result<LogPosition, StoreError> {
        let length = u8::try_from(key.len()).map_err(|_too_long| StoreError::Malformed {
            what: "the key to write is too long",
        })?;
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(length);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append(topic, &record, None).await
    }

    async fn get(
        &self,
        name: &'static str,
        path: &str,
        timeout_ms: u64,
    ) -> Result<(Answer, u64), StoreError> {
        let call = Call {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms,
        };
        self.call(name, call).await
    }

    /// Makes a call and counts how it ended; gives the answer and its era.
    async fn call(&self, name: &'static str, call: Call<'_>) -> Result<(Answer, u64), StoreError> {
        let answered = self.client.call(call).await;
        let outcome = match &answered {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(error) => error.word().to_owned(),
        };
        metrics::counter!("teaselline_store_calls_total", "call" => name, "outcome" => outcome)
            .increment(1);
        let answer = answered?;
        let era = era(&answer).unwrap_or_else(|| self.era());
        self.note_era(era);
        // It set out before the store came back from a copy, and says nothing of now.
        if era < self.era() {
            return Err(StoreError::OtherEra { era });
        }
        Ok((answer, era))
    }

    /// Takes in an era that the store or a peer has named.
    pub fn note_era(&self, era: u64) {
        self.era.fetch_max(era, Ordering::Relaxed);
    }
}

/// The era that an answer names.
fn era(answer: &Answer) -> Option<u64> {
    let named = answer.headers.get(ERA)?;
    let era = named
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if era.is_none() {
        log::warn!(event = "store_era_unreadable", era:? = named; "an answer of the store names an era that is no number");
    }
    era
}

fn json<T: for<'a> Deserialize<'a>>(answer: &Answer, what: &'static str) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|error| {
        log::warn!(error:err = error, status = answer.status.as_u16(); "an answer of the store is not of its form");
        StoreError::Malformed { what }
    })
}

/// Reads an answer with records: two offsets, then each record behind its length.
fn read_records(from: LogPosition, mut body: Bytes) -> Result<Records, StoreError> {
    if body.len() < OFFSETS_BYTES {
        let what = "the offsets are missing";
        return Err(StoreError::Malformed { what });
    }
    let end = LogPosition {
        offset: body.get_u64(),
        ..from
    };
    let _first = body.get_u64();
    let mut bodies = Vec::new();
    while body.len() >= LENGTH_BYTES {
        let length = usize::try_from(body.get_u32()).unwrap_or(usize::MAX);
        if length > body.len() {
            let what = "a record is shorter than its length";
            return Err(StoreError::Malformed { what });
        }
        bodies.push(body.split_to(length));
    }
    if body.is_empty() {
        return Ok(Records { from, end, bodies });
    }
    let what = "bytes follow the last record";
    Err(StoreError::Malformed { what })
}

impl Keyed {
    /// Reads a record of a keyed topic that lies at a place: the key's length, the key, and the value.
    ///
    /// # Errors
    ///
    /// If it is shorter than it says, or the key is not text.
    pub fn read(place: LogPosition, mut record: Bytes) -> Result<Self, StoreError> {
        let malformed = StoreError::Malformed {
            what: "a keyed record is cut short",
        };
        if record.is_empty() {
            return Err(malformed);
        }
        let length = usize::from(record.get_u8());
        if length > record.len() {
            return Err(malformed);
        }
        let key = record.split_to(length);
        let key = std::str::from_utf8(&key).map_err(|_not_text| StoreError::Malformed {
            what: "a key is not text",
        })?;
        Ok(Self {
            place,
            key: key.to_owned(),
            value: (!record.is_empty()).then_some(record),
        })
    }
}

impl Keyed {
    /// Reads an item of a page that the store made in an era.
    fn of_page(era: u64, raw: serde_json::Value) -> Result<Self, StoreError> {
        let raw: RawItem =
            serde_json::from_value(raw).map_err(|_other_form| StoreError::Malformed {
                what: "an item has no key or no value",
            })?;
        let value = BASE64
            .decode(raw.value)
            .map_err(|_not_base64| StoreError::Malformed {
                what: "a value is not base64",
            })?;
        Ok(Self {
            place: LogPosition {
                era,
                offset: raw.offset,
            },
            key: raw.key,
            value: (!value.is_empty()).then(|| value.into()),
        })
    }
}

#[cfg(test)]
mod tests;
