//! Client of the platform's store, an append-only log with topics.
//!
//! A keyed topic retains the latest record of each key.

mod error;
mod records;
mod topic;

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderName, Method, StatusCode};
use parking_lot::Mutex;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

pub(crate) use self::error::{StoreError, shows_store_available};
pub(crate) use self::records::{KeyedRecord, LatestRecords, Records};
use self::records::{LENGTH_BYTES, RawNewest, read_records};
pub(crate) use self::topic::{CONFIGURATION_KEY, Topic};
use super::http::{Call, Client, PlatformResponse};
use super::malformed_records::{MalformedRecords, Reporting};
use crate::gateway::log_position::LogPosition;

/// Timeout of a call without long polling; it takes 4 ms, and about 250 ms on a slow store.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Added to the wait time of a long-polling read to cover the network round trip.
const WAIT_MARGIN_MS: u64 = 800;

/// Header of all responses: number of times that the store was restored from a backup.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum kilobytes of records in one response.
const READ_KB: u32 = 1_024;

/// Maximum length of the logged reason for skipping a record.
const MAX_REASON_BYTES: usize = 200;

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

#[cfg(test)]
mod tests;
