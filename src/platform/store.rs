//! Client of the platform's store, an append-only log with topics.
//!
//! A keyed topic retains the latest record of each key.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderName, Method, StatusCode};
use parking_lot::Mutex;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::http::{Call, CallError, Client, PlatformResponse};
use super::malformed_records::{MalformedRecords, Reporting};
use crate::gateway::log_position::LogPosition;

/// Timeout of a call without long polling; it takes 4 ms, and about 250 ms on a slow store.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Added to the wait time of a long-polling read to cover the network round trip.
const WAIT_MARGIN_MS: u64 = 800;

/// Header of all responses: number of times that the store was restored from a backup.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Size of the length prefix of each record.
const LENGTH_BYTES: usize = 4;

/// Size of the two offsets at the start of a response with records.
const OFFSETS_BYTES: usize = 16;

/// Maximum kilobytes of records in one response.
const READ_KB: u32 = 1_024;

/// Maximum length of the logged reason for skipping a record.
const MAX_REASON_BYTES: usize = 200;

/// Topics of the store that this program uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The operators' configuration, a keyed topic.
    Configuration,
    /// Announcements of upstreams, a keyed topic.
    Upstreams,
    /// Announcements of this system's nodes, a keyed topic.
    Nodes,
    /// Lease and reports of the duties that only the lease holder performs.
    Duties,
    /// Where streams began, for nodes that start after all of them were lost.
    Streams,
    /// What is blocked because upstreams crashed under it, for the same case; a keyed topic.
    Blocks,
}

impl Topic {
    /// Value of the `topic` key in logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
            Self::Duties => "duties",
            Self::Streams => "streams",
            Self::Blocks => "blocks",
        }
    }

    /// Name of the topic in the store.
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "keyed.op",
            Self::Upstreams => "keyed.servers",
            Self::Nodes => "keyed.status",
            Self::Duties => "duties",
            Self::Streams => "streams",
            Self::Blocks => "keyed.blocks",
        }
    }
}

/// Key of the operators' configuration within [`Topic::Configuration`].
pub(crate) const CONFIGURATION_KEY: &str = "config";

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    /// No response arrived.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The requested records have been deleted.
    #[error("records before offset {first} have been deleted")]
    Deleted {
        /// Offset of the first retained record.
        first: u64,
    },
    /// The end of the partition differs from the position that the append expected.
    #[error("the partition ends at {end}")]
    EndMismatch {
        /// Current end of the partition.
        end: LogPosition,
    },
    /// The response belongs to another era than the request, or to one that has ended since.
    ///
    /// The store was restored from a backup in between.
    #[error("the store responded in era {era}, which differs from the era of the call")]
    EraMismatch {
        /// Era of the response.
        era: u64,
    },
    /// The response or a record does not have the expected format.
    #[error("malformed store data: {problem}")]
    Malformed {
        /// Description of the problem.
        problem: &'static str,
    },
}

impl StoreError {
    /// Whether the call certainly had no effect and will not have one later.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::EndMismatch { .. }
                | Self::Deleted { .. }
                | Self::Call(CallError::Connect { .. })
        )
    }
}

/// Whether the outcome of a call shows that the store processes calls of this node.
pub(crate) fn shows_store_available<T>(called: &Result<T, StoreError>) -> bool {
    match called {
        Ok(_) => true,
        Err(error) => matches!(
            error,
            StoreError::Deleted { .. }
                | StoreError::EndMismatch { .. }
                | StoreError::EraMismatch { .. }
        ),
    }
}

/// Consecutive records of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Records {
    /// Position of the first record of `bodies`.
    pub from: LogPosition,
    /// End of the partition.
    pub end: LogPosition,
    pub bodies: Vec<Bytes>,
}

impl Records {
    /// Position after the last record of `bodies`.
    pub fn next(&self) -> LogPosition {
        self.from.after(self.bodies.len())
    }
}

/// A record of a keyed topic; a record without a value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyedRecord {
    /// Position of the record in its partition.
    pub position: LogPosition,
    pub key: String,
    pub value: Option<Bytes>,
}

/// Latest record of each key, and the position from which to continue reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LatestRecords {
    pub items: Vec<KeyedRecord>,
    pub end: LogPosition,
}

#[derive(Debug, Deserialize)]
struct RawNewest<'a> {
    /// Each item is decoded by itself: another writer's may be odd.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    truncated: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct RawKey {
    key: String,
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

#[derive(Debug, Serialize)]
struct RawTrim {
    topic: &'static str,
    part: u64,
    before: u64,
}

#[derive(Debug, Deserialize)]
struct RawFirst {
    first: u64,
}

#[derive(Debug, Deserialize)]
struct RawAppended {
    offset: u64,
}

/// Client of the store.
#[derive(Debug)]
pub(crate) struct Store {
    client: Client,
    /// Highest era seen in a response; zero before the first one.
    era: AtomicU64,
    malformed: Mutex<MalformedRecords>,
}

impl Store {
    /// Creates a client for an address without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
            era: AtomicU64::new(0),
            malformed: Mutex::default(),
        }
    }

    /// Counts a record that cannot be decoded, and logs it unless it was logged before; another writer
    /// may have written it.
    pub fn report_malformed(&self, topic: Topic, key: &str, error: &impl Display) {
        let label = topic.label();
        metrics::counter!("teaselline_records_malformed_total", "topic" => label).increment(1);
        let mut reason = error.to_string();
        // The reason may quote the invalid value, which can be as long as the record.
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        reason.truncate(end);
        let reporting = self.malformed.lock().report(topic, key, &reason);
        match reporting {
            Reporting::Log => {
                log::warn!(event = "record_malformed", topic = label, key, reason = reason.as_str(); "skipped a record that cannot be decoded");
            }
            Reporting::LeftOut { is_first: true } => {
                log::warn!(event = "records_malformed_left_out", topic = label, key; "too many records cannot be decoded; further ones are counted and not logged");
            }
            Reporting::Known | Reporting::LeftOut { is_first: false } => {}
        }
    }

    /// Records that the record under a key could be decoded, or that the key is gone.
    pub fn record_sound(&self, topic: Topic, key: &str) {
        self.malformed.lock().record_sound(topic, key);
    }

    /// Number of times that the store was restored from a backup, according to the responses so far.
    ///
    /// A restore loses the latest writes, and the store assigns their offsets again.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Reads records from a position on, waiting up to `wait_ms` milliseconds for the first.
    ///
    /// # Errors
    ///
    /// If the store does not respond or rejects the call, or the records are deleted or of another era.
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
        let (response, era) = self.get("read", &path, timeout_ms).await?;
        // The start position is valid in every era.
        if era != from.era && !from.is_start() {
            return Err(StoreError::EraMismatch { era });
        }
        match response.status {
            StatusCode::OK => read_records(LogPosition { era, ..from }, response.body),
            StatusCode::GONE => {
                let first: RawFirst = json(&response, "no first offset")?;
                Err(StoreError::Deleted { first: first.first })
            }
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the latest record of each key.
    ///
    /// Records appended during the call may be missing; reading from `end` returns them.
    ///
    /// # Errors
    ///
    /// If the store does not respond, rejects the call, or is restored between two pages.
    pub async fn read_latest(&self, topic: Topic) -> Result<LatestRecords, StoreError> {
        let name = topic.name();
        let mut newest = LatestRecords {
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
            let (response, era) = self.get("newest", &path, CALL_TIMEOUT_MS).await?;
            if !after.is_empty() && era != newest.end.era {
                return Err(StoreError::EraMismatch { era });
            }
            if response.status != StatusCode::OK {
                let status = response.status;
                return Err(StoreError::Refused { status });
            }
            // A key that is not text must not prevent the use of the other records.
            let text = String::from_utf8_lossy(&response.body);
            let page: RawNewest<'_> = decode(&text, response.status, "not a page of records")?;
            // Later pages may contain records appended after the first page was created.
            if after.is_empty() {
                newest.end = LogPosition {
                    era,
                    offset: page.end,
                };
            }
            let next = page.last_key();
            for item in page.items {
                match KeyedRecord::from_page_item(era, item) {
                    Ok(item) => newest.items.push(item),
                    Err(error) => self.report_malformed(topic, "", &error),
                }
            }
            match next {
                _ if !page.truncated => return Ok(newest),
                Some(next) if next != after => after = next,
                // A part of the records must not count as all of them.
                _ => {
                    let problem = "a truncated page has no key to continue after";
                    return Err(StoreError::Malformed { problem });
                }
            }
        }
    }

    /// Appends a record and returns its position; with `at`, only if the partition ends there.
    ///
    /// # Errors
    ///
    /// If the store does not respond or rejects the call, or the partition has another end or era. Unless
    /// [`StoreError::is_without_effect`] holds, the record may be appended already or later.
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
            problem: "the record to append is too long",
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
        let (response, era) = self.call("append", call).await?;
        // The offset may match by coincidence in an era whose records this node has not read.
        if at.is_some_and(|at| at.era != era) {
            return Err(StoreError::EraMismatch { era });
        }
        match response.status {
            StatusCode::OK => {
                let RawAppended { offset } = json(&response, "no offset")?;
                Ok(LogPosition { era, offset })
            }
            StatusCode::PRECONDITION_FAILED => {
                let RawEnd { end: offset } = json(&response, "no end")?;
                let end = LogPosition { era, offset };
                Err(StoreError::EndMismatch { end })
            }
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Appends the latest record of a key and returns its position.
    ///
    /// # Errors
    ///
    /// If the key is longer than 255 bytes, or as for [`Store::append`].
    pub async fn put(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
    ) -> Result<LogPosition, StoreError> {
        let length = u8::try_from(key.len()).map_err(|_too_long| StoreError::Malformed {
            problem: "the key to write is too long",
        })?;
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(length);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append(topic, &record, None).await
    }

    /// Deletes the records of a topic before a position.
    ///
    /// # Errors
    ///
    /// If the store does not respond, rejects the call, or has another era than the position.
    pub async fn trim(&self, topic: Topic, before: LogPosition) -> Result<(), StoreError> {
        if before.era != self.era() {
            return Err(StoreError::EraMismatch { era: self.era() });
        }
        let deleted = RawTrim {
            topic: topic.name(),
            part: 0,
            before: before.offset,
        };
        let body = serde_json::to_vec(&deleted).map_err(|_not_json| StoreError::Malformed {
            problem: "the records to delete cannot be encoded",
        })?;
        let call = Call {
            method: Method::POST,
            path: "/api/log-trim",
            headers: Vec::new(),
            body: body.into(),
            timeout_ms: CALL_TIMEOUT_MS,
        };
        let (response, _era) = self.call("trim", call).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            status => Err(StoreError::Refused { status }),
        }
    }

    async fn get(
        &self,
        name: &'static str,
        path: &str,
        timeout_ms: u64,
    ) -> Result<(PlatformResponse, u64), StoreError> {
        let call = Call {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms,
        };
        self.call(name, call).await
    }

    /// Makes a call, counts its outcome, and returns the response with its era.
    async fn call(
        &self,
        name: &'static str,
        call: Call<'_>,
    ) -> Result<(PlatformResponse, u64), StoreError> {
        let result = self.client.call(call).await;
        let outcome = match &result {
            Ok(response) => response.status.as_str().to_owned(),
            Err(error) => error.metric_label().to_owned(),
        };
        metrics::counter!("teaselline_store_calls_total", "call" => name, "outcome" => outcome)
            .increment(1);
        let response = result?;
        let era = era(&response).unwrap_or_else(|| self.era());
        self.record_era(era);
        // The response was sent before the store was restored and does not reflect the current state.
        if era < self.era() {
            return Err(StoreError::EraMismatch { era });
        }
        Ok((response, era))
    }

    /// Records an era named by the store or a peer.
    pub fn record_era(&self, era: u64) {
        self.era.fetch_max(era, Ordering::Relaxed);
    }
}

/// Returns the era in the header of a response.
fn era(response: &PlatformResponse) -> Option<u64> {
    let value = response.headers.get(ERA)?;
    let era = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if era.is_none() {
        log::warn!(event = "store_era_unreadable", era:? = value; "the era header of a store response is not a number; the last known era applies");
    }
    era
}

fn json<T: for<'a> Deserialize<'a>>(
    response: &PlatformResponse,
    problem: &'static str,
) -> Result<T, StoreError> {
    let text = String::from_utf8_lossy(&response.body);
    decode(&text, response.status, problem)
}

fn decode<'a, T: Deserialize<'a>>(
    text: &'a str,
    status: StatusCode,
    problem: &'static str,
) -> Result<T, StoreError> {
    serde_json::from_str(text).map_err(|error| {
        log::warn!(error:err = error, status = status.as_u16(); "cannot decode a response of the store");
        StoreError::Malformed { problem }
    })
}

impl RawNewest<'_> {
    /// Returns the key of the last item that has one.
    fn last_key(&self) -> Option<String> {
        let items = self.items.iter().rev();
        let mut keys = items.filter_map(|item| serde_json::from_str::<RawKey>(item.get()).ok());
        keys.next().map(|item| item.key)
    }
}

/// Decodes a response with records: two offsets, then each record after its length prefix.
fn read_records(from: LogPosition, mut body: Bytes) -> Result<Records, StoreError> {
    if body.len() < OFFSETS_BYTES {
        let problem = "the offsets are missing";
        return Err(StoreError::Malformed { problem });
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
            let problem = "a record is shorter than its length";
            return Err(StoreError::Malformed { problem });
        }
        bodies.push(body.split_to(length));
    }
    if body.is_empty() {
        return Ok(Records { from, end, bodies });
    }
    let problem = "bytes follow the last record";
    Err(StoreError::Malformed { problem })
}

impl KeyedRecord {
    /// Decodes a record of a keyed topic: the length of the key, the key, and the value.
    ///
    /// # Errors
    ///
    /// If the record is shorter than its key length, or the key is not UTF-8.
    pub fn read(position: LogPosition, mut record: Bytes) -> Result<Self, StoreError> {
        let malformed = StoreError::Malformed {
            problem: "a keyed record is cut short",
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
            problem: "a key is not text",
        })?;
        Ok(Self {
            position,
            key: key.to_owned(),
            value: (!record.is_empty()).then_some(record),
        })
    }
}

impl KeyedRecord {
    /// Decodes an item of a page that the store returned in an era.
    fn from_page_item(era: u64, raw: &RawValue) -> Result<Self, StoreError> {
        let raw: RawItem =
            serde_json::from_str(raw.get()).map_err(|_not_an_item| StoreError::Malformed {
                problem: "an item has no key or no value",
            })?;
        let value = BASE64
            .decode(raw.value)
            .map_err(|_not_base64| StoreError::Malformed {
                problem: "a value is not base64",
            })?;
        Ok(Self {
            position: LogPosition {
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
