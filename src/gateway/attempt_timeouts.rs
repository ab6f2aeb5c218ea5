//! Computes the timeouts of an attempt, after which the request is sent to another upstream.
//!
//! Only requests that are safe to repeat time out early; any other waits as long as its caller
//! does.

use super::catalog::Route;
use super::num;

/// Timeout of a repeatable request's response head, as a multiple of its latency target. Nearly all
/// answers arrive earlier, and a second attempt can still be in time.
const HEAD_TIMEOUT_TARGETS: f64 = 1.8;

/// Shortest such timeout of a call: a plain call of the slowest upstream takes about 100 ms.
const MIN_HEAD_TIMEOUT_MS: u64 = 200;

/// Timeout of an idempotent call at the last eligible upstream, as a multiple of its latency
/// target.
///
/// It leaves the caller time to retry. Without it, the call would be lost if the upstream is
/// unresponsive: in a recorded day, 53 of 68 lost catalogue queries were held to their deadline.
const LAST_HEAD_TIMEOUT_TARGETS: f64 = 3.0;

/// Shortest timeout at the last eligible upstream.
const MIN_LAST_HEAD_TIMEOUT_MS: u64 = 400;

/// Shortest timeout of the response head of a stream: the first token may queue behind other
/// prompts, and a new attempt costs a second prefill.
const MIN_STREAM_HEAD_TIMEOUT_MS: u64 = 900;

/// Shortest timeout of a resumable stream's first event, after the response head.
const MIN_FIRST_EVENT_TIMEOUT_MS: u64 = 1_200;

/// Timeout of a resumable stream's first event, as a multiple of its latency target.
const FIRST_EVENT_TIMEOUT_TARGETS: u64 = 2;

/// Timeout between two events, as a multiple of the longest gap that meets the target.
///
/// Callers give up after eight such gaps; half of that leaves time to resume at another upstream.
const GAP_TIMEOUT_TARGETS: u64 = 4;

/// Timeout of a stream whose other upstreams have given no sign of life either, as a multiple of the usual one.
///
/// To move costs a second prefill, for nothing if all upstreams stand still; callers wait longer than this.
const UNPROVEN_TIMEOUT_FACTOR: f64 = 1.5;

/// Timeout between two events on routes without a gap target.
const DEFAULT_GAP_TIMEOUT_MS: u64 = 1_500;

/// Returns the timeout of the response head in milliseconds, at most `remaining_ms`.
///
/// `is_last` says that no other upstream is eligible for the request.
#[must_use]
pub(crate) fn response_head_timeout_ms(route: &Route, is_last: bool, remaining_ms: u64) -> u64 {
    let (targets, min_ms) = match route.is_stream {
        _ if !route.is_repeatable() => return remaining_ms,
        true if is_last => return remaining_ms,
        true => (HEAD_TIMEOUT_TARGETS, MIN_STREAM_HEAD_TIMEOUT_MS),
        false if is_last => (LAST_HEAD_TIMEOUT_TARGETS, MIN_LAST_HEAD_TIMEOUT_MS),
        false => (HEAD_TIMEOUT_TARGETS, MIN_HEAD_TIMEOUT_MS),
    };
    let targets_ms = num::round_to_u64(num::to_f64(route.target_ms) * targets);
    targets_ms.max(min_ms).min(remaining_ms)
}

/// Returns the timeout of a stream's first event after the response head, in milliseconds.
#[must_use]
pub(crate) fn first_event_timeout_ms(route: &Route, is_last: bool) -> u64 {
    if route.is_resumable && !is_last {
        MIN_FIRST_EVENT_TIMEOUT_MS.max(route.target_ms * FIRST_EVENT_TIMEOUT_TARGETS)
    } else {
        u64::MAX
    }
}

/// Returns the timeout between two events of a stream, in milliseconds.
#[must_use]
pub(crate) fn event_gap_timeout_ms(route: &Route) -> u64 {
    match route.gap_target_ms {
        _ if !route.is_resumable => u64::MAX,
        Some(gap_ms) => gap_ms * GAP_TIMEOUT_TARGETS,
        None => DEFAULT_GAP_TIMEOUT_MS,
    }
}

/// Returns the timeout, in milliseconds, after which a request leaves for an upstream that has given no sign of life.
#[must_use]
pub(crate) fn unproven_timeout_ms(route: &Route, timeout_ms: u64) -> u64 {
    if route.is_stream {
        num::round_to_u64(num::to_f64(timeout_ms) * UNPROVEN_TIMEOUT_FACTOR)
    } else {
        timeout_ms
    }
}

#[cfg(test)]
mod tests;
