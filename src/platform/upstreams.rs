//! Decodes the records by which servers announce themselves in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::num;
use crate::gateway::upstreams::{Announced, Phase};

/// Why an announcement cannot be used.
#[derive(Debug, Error)]
#[error("the field `{field}` of an upstream's record cannot be read: {source}")]
pub(crate) struct AnnouncementError {
    field: String,
    source: serde_json::Error,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawServer {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    spot: bool,
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
}

/// Reads the record of the server with this id.
///
/// # Errors
///
/// If it is not of the expected form.
pub(crate) fn parse(id: &str, text: &[u8]) -> Result<Announced, AnnouncementError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let raw: RawServer =
        serde_path_to_error::deserialize(&mut json).map_err(|error| AnnouncementError {
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    Ok(Announced {
        id: id.to_owned(),
        pool: raw.service,
        address: raw.address,
        failure_domain: raw.zone,
        slots: raw.slots,
        // Any state but the usual one gets no new work.
        phase: match raw.state.as_str() {
            "ready" => Phase::Ready,
            _ => Phase::Leaving,
        },
        is_warming: raw.cold_remaining_ms > 0.0,
        is_reclaimable: raw.spot,
        leaves_in_ms: raw.leaves_ms.map(num::whole),
    })
}

#[cfg(test)]
mod tests;
