//! Decodes the operators' rollout orders; encodes and decodes the rollout status records.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::gateway::log_position::LogPosition;
use crate::gateway::num;
use crate::gateway::rollout::{Order, Stage};

/// Key prefix of rollout records, followed by the name of the pool.
const KEY_PREFIX: &str = "rollout/";

/// Longest accepted time limit, one hour; a longer one indicates a wrong unit.
const MAX_DURATION_S: f64 = 3_600.0;

/// Reason why a rollout order is rejected.
#[derive(Debug, Error)]
pub(crate) enum OrderError {
    /// A field is missing or has the wrong type, or the text is not JSON.
    #[error("cannot decode the rollout order: {0}")]
    Form(#[from] serde_json::Error),
    /// The pool in the order differs from the pool in its key.
    #[error("the rollout order names another service than its key")]
    Key,
    /// The time limit is out of range.
    #[error("the time limit of the rollout order must be above 0 and at most {MAX_DURATION_S} s")]
    Duration,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawOrder {
    service: String,
    /// Version of the service's software to roll out.
    target: String,
    duration_s: f64,
}

#[derive(Debug, Deserialize, Serialize)]
struct RawStatus {
    state: String,
    target: String,
    /// Number of the order's log position, added by this program to distinguish repeated orders.
    #[serde(default)]
    order: Option<u64>,
}

/// Returns the pool of a rollout key, or `None` for any other key.
#[must_use]
pub(crate) fn pool_from_key(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}

/// Returns the key under which the operators read the status of a pool's rollout.
#[must_use]
pub(crate) fn status_key(pool: &str) -> String {
    format!("{KEY_PREFIX}{pool}")
}

/// Decodes the rollout order stored under a pool's key at a log position.
///
/// # Errors
///
/// If the text cannot be decoded, names another pool, or has a time limit out of range.
pub(crate) fn parse(pool: &str, position: LogPosition, text: &[u8]) -> Result<Order, OrderError> {
    let raw: RawOrder = serde_json::from_slice(text)?;
    if raw.service != pool {
        return Err(OrderError::Key);
    }
    if !(raw.duration_s > 0.0 && raw.duration_s <= MAX_DURATION_S) {
        return Err(OrderError::Duration);
    }
    Ok(Order {
        pool: raw.service,
        target: raw.target,
        duration_ms: num::round_to_u64(raw.duration_s * 1_000.0),
        place: position,
    })
}

/// Encodes the status record that reports the stage of an order to the operators.
#[must_use]
pub(crate) fn encode_status(order: &Order, stage: Stage) -> Vec<u8> {
    let state_name = match stage {
        Stage::Observing | Stage::Moving => "running",
        Stage::Succeeded => "succeeded",
        Stage::RolledBack => "rolled_back",
    };
    let target = &order.target;
    serde_json::json!({ "state": state_name, "target": target, "order": order.place.number() })
        .to_string()
        .into_bytes()
}

/// Returns the order's position number and final stage from the status of a finished rollout.
#[must_use]
pub(crate) fn decode_final_status(text: &[u8]) -> Option<(u64, Stage)> {
    // Other states and records of other writers do not report a finished rollout.
    let status: RawStatus = serde_json::from_slice(text).ok()?;
    let stage = match status.state.as_str() {
        "succeeded" => Stage::Succeeded,
        "rolled_back" => Stage::RolledBack,
        _ => return None,
    };
    Some((status.order?, stage))
}

#[cfg(test)]
mod tests;
