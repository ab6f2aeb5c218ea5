//! Decodes the announcements that servers write to the store.

use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::num;
use crate::gateway::upstreams::{Announcement, Phase};

/// Largest accepted record.
///
/// A valid record has about 300 bytes; decoding a megabyte of other text would take a small host
/// several milliseconds at each read.
const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Longest accepted id or name, the length of the longest key of the store.
///
/// Announcements are sent to all peers, many in one message; some with longer names would make it
/// exceed the largest message.
const MAX_NAME_BYTES: usize = 255;

/// Largest accepted time or sequence number, the largest integer that all JSON writers state exactly.
///
/// Later announcements under the same id are ordered by these numbers. After an excessive one, all
/// announcements of the upstream itself would count as late arrivals.
const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Reason why a record is not a valid announcement; another writer may have written it.
#[derive(Debug, Error)]
pub(crate) enum AnnouncementError {
    /// A field is missing or has the wrong type, or the text is not a JSON object.
    #[error("cannot decode the field `{field}` of an upstream's record: {source}")]
    Field {
        /// JSON path of the field.
        field: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The state is unknown.
    #[error("an upstream's record has an unknown state")]
    State,
    /// The id or a name is too long, or contains control characters.
    #[error(
        "the `{field}` of an upstream's record exceeds {MAX_NAME_BYTES} bytes or contains control characters"
    )]
    Name {
        /// The field, or `id` for the key of the record.
        field: &'static str,
    },
    /// A time or sequence number is too large.
    #[error("the `{field}` of an upstream's record exceeds {MAX_NUMBER}")]
    Number {
        /// The field.
        field: &'static str,
    },
    /// No connection can lead to the address.
    #[error("an upstream's record has the address {address}, to which no connection leads")]
    Address {
        /// The address.
        address: SocketAddr,
    },
    /// The record exceeds the size limit.
    #[error("an upstream's record has {bytes} bytes, more than the limit of {MAX_RECORD_BYTES}")]
    TooLong {
        /// Size of the record.
        bytes: usize,
    },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawServer {
    service: String,
    /// Version of the server's software.
    #[serde(default)]
    version: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    /// Number of records that the server has written since its start.
    seq: u64,
    /// Start time of the server in whole Unix milliseconds.
    #[serde(default, deserialize_with = "stated")]
    born: Option<u64>,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    spot: bool,
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
}

/// Decodes an optional field that must not be null when it is present.
fn stated<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(deserializer).map(Some)
}

/// Decodes the announcement of the server with this id.
///
/// # Errors
///
/// If the record is too long, is not JSON with the expected fields, or has a value out of range.
pub(crate) fn parse(id: &str, text: &[u8]) -> Result<Announcement, AnnouncementError> {
    if text.len() > MAX_RECORD_BYTES {
        let bytes = text.len();
        return Err(AnnouncementError::TooLong { bytes });
    }
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw: RawServer =
        serde_path_to_error::deserialize(&mut json).map_err(|error| AnnouncementError::Field {
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    json.end().map_err(|source| AnnouncementError::Field {
        field: ".".to_owned(),
        source,
    })?;
    check(id, &raw)?;
    let phase = match raw.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Leaving,
        _ => return Err(AnnouncementError::State),
    };
    Ok(Announcement {
        id: id.to_owned(),
        born_ms: raw.born,
        sequence: raw.seq,
        pool: raw.service,
        version: raw.version,
        address: raw.address,
        failure_domain: raw.zone,
        slots: raw.slots,
        phase,
        is_warming: raw.cold_remaining_ms > 0.0,
        is_reclaimable: raw.spot,
        leaves_in_ms: raw.leaves_ms.map(num::round_to_u64),
    })
}

/// Checks the values that peers and later announcements depend on.
fn check(id: &str, raw: &RawServer) -> Result<(), AnnouncementError> {
    let names = [
        ("id", id),
        ("service", &raw.service),
        ("version", &raw.version),
        ("zone", &raw.zone),
    ];
    if let Some((field, _name)) = names.into_iter().find(|(_field, name)| !is_name(name)) {
        return Err(AnnouncementError::Name { field });
    }
    let numbers = [("seq", raw.seq), ("born", raw.born.unwrap_or_default())];
    let excessive = numbers
        .into_iter()
        .find(|(_field, value)| *value > MAX_NUMBER);
    if let Some((field, _value)) = excessive {
        return Err(AnnouncementError::Number { field });
    }
    let address = raw.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(AnnouncementError::Address { address });
    }
    Ok(())
}

fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
