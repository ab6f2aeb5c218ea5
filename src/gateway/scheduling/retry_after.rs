//! When callers that are refused for want of room are to return.

use crate::gateway::num;

/// Shortest delay, at twice the demand that there is room for.
const BASE_MS: f64 = 250.0;

/// Largest factor by which the demand over the room lengthens the delay.
const MAX_OVERLOAD: f64 = 8.0;

/// The delay is spread evenly from half of its mean to one and a half of it.
const LEAST_PART: f64 = 0.5;

/// Largest part of the caller's remaining time that the delay takes up.
const MAX_PART_OF_TIME_LEFT: f64 = 1.0 / 3.0;

/// Returns the `Retry-After` in milliseconds.
///
/// It grows with the demand over the room, so that the callers of a second don't come back in one,
/// and differs by the request's draw. `draw` must be uniformly distributed.
#[must_use]
pub(crate) fn retry_after_ms(overload: f64, draw: u64, left_ms: u64) -> u64 {
    let mean_ms = BASE_MS * overload.clamp(1.0, MAX_OVERLOAD);
    let delay_ms = mean_ms * (LEAST_PART + unit(draw));
    num::round_to_u64(delay_ms.min(num::to_f64(left_ms) * MAX_PART_OF_TIME_LEFT))
}

/// Returns a uniform draw as a number from 0 to 1.
#[must_use]
pub(crate) fn unit(draw: u64) -> f64 {
    num::to_f64(draw >> 11) / num::to_f64(1 << 53)
}
