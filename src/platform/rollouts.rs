//! Decodes the operators' orders of roll-outs, and encodes and decodes what they are told of them.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::gateway::log_position::LogPosition;
use crate::gateway::num;
use crate::gateway::rollout::{Order, Stage};

/// Records of roll-outs have keys that begin so; a pool's name follows.
const KEY_PREFIX: &str = "rollout/";

/// Longest time limit that is read, an hour: a longer one would be a mistake of units.
const LONGEST_S: f64 = 3_600.0;

/// Why an order cannot be used.
#[derive(Debug, Error)]
pub(crate) enum OrderError {
    /// A field is missing or of another type, or the whole is not an order.
    #[error("an order of a roll-out cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// It has another pool than its key names.
    #[error("an order of a roll-out is under the key of another service")]
    Key,
    /// Its time limit is of no use.
    #[error("an order of a roll-out has no time limit between 0 and {LONGEST_S} s")]
    Duration,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawOrder {
    service: String,
    /// A version of the service's software.
    target: String,
    duration_s: f64,
}

#[derive(Debug, Deserialize, Serialize)]
struct RawStatus {
    state: String,
    target: String,
    /// Number of the place of the order that it is about; ours, so that an order that comes again is told apart.
    #[serde(default)]
    order: Option<u64>,
}

/// The pool that a key is about; none if it is about no roll-out.
#[must_use]
pub(crate) fn pool_of(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}

/// The key under which the operators read how a pool's roll-out stands.
#[must_use]
pub(crate) fn status_key(pool: &str) -> String {
    format!("{KEY_PREFIX}{pool}")
}

/// Reads the order that lies under a pool's key at a place.
///
/// # Errors
///
/// If it is not of the expected form.
pub(crate) fn parse(pool: &str, place: LogPosition, text: &[u8]) -> Result<Order, OrderError> {
    let raw: RawOrder = serde_json::from_slice(text)?;
    if raw.service != pool {
        return Err(OrderError::Key);
    }
    if !(raw.duration_s > 0.0 && raw.duration_s <= LONGEST_S) {
        return Err(OrderError::Duration);
    }
    Ok(Order {
        pool: raw.service,
        target: raw.target,
        duration_ms: num::round_to_u64(raw.duration_s * 1_000.0),
        place,
    })
}

/// What the operators read of an order's stage.
#[must_use]
pub(crate) fn status(order: &Order, stage: Stage) -> Vec<u8> {
    let word = match stage {
        Stage::Observing | Stage::Moving => "running",
        Stage::Succeeded => "succeeded",
        Stage::RolledBack => "rolled_back",
    };
    let target = &order.target;
    serde_json::json!({ "state": word, "target": target, "order": order.place.number() })
        .to_string()
        .into_bytes()
}

/// The number of the order's place and its end, of a status that says that a roll-out has ended.
#[must_use]
pub(crate) fn ended(text: &[u8]) -> Option<(u64, Stage)> {
    // Other states and records of other writers tell of no end.
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
