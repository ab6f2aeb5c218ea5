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
/// If the record is too long, is not JSON with the expected fields, or has an unknown state.
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

#[cfg(test)]
mod tests;
