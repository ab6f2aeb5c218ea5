//! Records of the store and the formats in which it returns them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::{Buf, Bytes};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::error::StoreError;
use crate::gateway::log_position::LogPosition;

/// Size of the length prefix of each record.
pub(super) const LENGTH_BYTES: usize = 4;

/// Size of the two offsets at the start of a response with records.
const OFFSETS_BYTES: usize = 16;

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

/// A page of the latest records of a keyed topic.
#[derive(Debug, Deserialize)]
pub(super) struct RawNewest<'a> {
    /// Each item is decoded by itself: another writer's may be odd.
    #[serde(borrow)]
    pub items: Vec<&'a RawValue>,
    #[serde(default)]
    pub truncated: bool,
    pub end: u64,
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

impl RawNewest<'_> {
    /// Returns the key of the last item that has one.
    pub fn last_key(&self) -> Option<String> {
        let items = self.items.iter().rev();
        let mut keys = items.filter_map(|item| serde_json::from_str::<RawKey>(item.get()).ok());
        keys.next().map(|item| item.key)
    }
}

/// Decodes a response with records: two offsets, then each record after its length prefix.
pub(super) fn read_records(from: LogPosition, mut body: Bytes) -> Result<Records, StoreError> {
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
    pub(super) fn from_page_item(era: u64, raw: &RawValue) -> Result<Self, StoreError> {
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
