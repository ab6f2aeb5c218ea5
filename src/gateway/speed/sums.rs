//! Decayed sums of expected and measured times, and the rows in which nodes exchange them.

use bincode::{Decode, Encode};
use thiserror::Error;

/// Bounds of a measured time as a multiple of the expected one: a stalled request is no speed.
const RATIO_BOUNDS: (f32, f32) = (0.25, 4.0);

/// Tolerance of these bounds in a row of a peer, whose sums are rounded.
const ROUNDING: f32 = 1.01;

/// Most requests in a row: a thousand a second over the averaging time.
const MAX_WEIGHT: f32 = 100_000.0;

/// Longest mean time in a row.
const MAX_MEAN_MS: f32 = 600_000.0;

/// Requests as which the pool's model counts at each upstream.
const POOL_WEIGHT: f32 = 5.0;

/// Expected and measured times of the requests of one upstream; older ones weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Sums {
    /// Number of requests.
    weight: f32,
    /// Time that the pool's model expected.
    expected_ms: f32,
    took_ms: f32,
}

/// The sums of one upstream as a datagram holds them.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct SpeedRow {
    /// Tag of the upstream's start.
    pub upstream: u64,
    pub weight: f32,
    pub expected_ms: f32,
    pub took_ms: f32,
}

/// A row that no node computes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected positive finite sums with a ratio and a mean within bounds")]
pub(crate) struct InvalidSums;

impl TryFrom<SpeedRow> for Sums {
    type Error = InvalidSums;

    fn try_from(row: SpeedRow) -> Result<Self, InvalidSums> {
        let (lowest, highest) = RATIO_BOUNDS;
        let ratio = row.took_ms / row.expected_ms;
        let mean_ms = row.expected_ms / row.weight;
        // Comparisons with a value that is not a number fail.
        let is_valid = row.weight > 0.0
            && row.weight <= MAX_WEIGHT
            && row.expected_ms > 0.0
            && mean_ms <= MAX_MEAN_MS
            && (lowest / ROUNDING..=highest * ROUNDING).contains(&ratio);
        let sums = Self {
            weight: row.weight,
            expected_ms: row.expected_ms,
            took_ms: row.took_ms,
        };
        is_valid.then_some(sums).ok_or(InvalidSums)
    }
}

impl Sums {
    /// Adds a request; one without a positive expected time is left out.
    pub fn record(&mut self, expected_ms: f64, took_ms: f64) {
        let (expected_ms, took_ms) = (to_f32(expected_ms), to_f32(took_ms));
        if !(expected_ms > 0.0 && expected_ms <= MAX_MEAN_MS && took_ms >= 0.0) {
            return;
        }
        let (lowest, highest) = RATIO_BOUNDS;
        self.weight += 1.0;
        self.expected_ms += expected_ms;
        self.took_ms += took_ms.clamp(expected_ms * lowest, expected_ms * highest);
    }

    /// Adds the sums of other requests.
    pub fn add(&mut self, other: &Self) {
        self.weight += other.weight;
        self.expected_ms += other.expected_ms;
        self.took_ms += other.took_ms;
    }

    /// Reduces the weight of all requests to this share.
    pub fn decay(&mut self, kept_share: f32) {
        self.weight *= kept_share;
        self.expected_ms *= kept_share;
        self.took_ms *= kept_share;
    }

    /// Returns the number of requests, older ones in part.
    pub fn weight(&self) -> f32 {
        self.weight
    }

    /// Returns the measured time as a multiple of the expected one, shrunk towards 1 while there
    /// are few requests.
    pub fn time_factor(&self) -> f64 {
        if self.weight <= 0.0 {
            return 1.0;
        }
        let pool_ms = self.expected_ms / self.weight * POOL_WEIGHT;
        f64::from((self.took_ms + pool_ms) / (self.expected_ms + pool_ms))
    }

    /// Returns the row for the peers.
    pub fn row(&self, upstream: u64) -> SpeedRow {
        SpeedRow {
            upstream,
            weight: self.weight,
            expected_ms: self.expected_ms,
            took_ms: self.took_ms,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a time in milliseconds needs no more digits"
)]
fn to_f32(value: f64) -> f32 {
    value as f32
}

#[cfg(test)]
mod tests;
