//! Decodes the records by which servers announce themselves in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::num;
use crate::gateway::upstreams::{Announcement, Phase};

/// Longest record that is read: a true one has some 300 bytes, and a megabyte of other text would
/// cost a small host some milliseconds at each reading.
const MOST_BYTES: usize = 64 * 1024;

/// Why an announcement names no upstream; it may come from another writer.
#[derive(Debug, Error)]
pub(crate) enum AnnouncementError {
    /// A field is missing or of another type, or the whole is not a record.
    #[error("the field `{field}` of an upstream's record cannot be read: {source}")]
    Field {
        /// Path of the field.
        field: String,
        /// What was found.
        source: serde_json::Error,
    },
    /// The state is none that upstreams have.
    #[error("an upstream's record names an unknown state")]
    State,
    /// It is longer than any true one.
    #[error("an upstream's record has {bytes} bytes")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawServer {
    service: String,
    /// Of the server's software.
    #[serde(default)]
    version: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    /// Counts what the server has written; begins anew when it starts again.
    seq: u64,
    /// Unix milliseconds of the server's start, always whole.
    #[serde(default, deserialize_with = "stated")]
    born: Option<u64>,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    spot: bool,
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
}

/// A field that may be missing but, if it is there, must have a value.
fn stated<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(deserializer).map(Some)
}

/// Reads the record of the server with this id.
///
/// # Errors
///
/// If it is not of the expected form.
pub(crate) fn parse(id: &str, text: &[u8]) -> Result<Announcement, AnnouncementError> {
    if text.len() > MOST_BYTES {
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
