//! How long an upstream may take before a request is sent to another.
//!
//! Only what may be repeated is given up early; anything else waits for as long as its caller does.

use super::catalog::Route;
use super::num;

/// An idempotent call without an answer for this many times its target is given up and sent to
/// another upstream: well after nearly all answers, and early enough for a second one in time.
const PATIENCE_TARGETS: f64 = 1.8;

/// The least patience: a plain call of the slowest upstream takes about 100 ms.
const LEAST_PATIENCE_MS: u64 = 200;

/// The last upstream that may get an idempotent call has this many times its target.
///
/// Its caller can still ask again itself in the time that is left then; held to the end, the call
/// would be lost (53 of 68 lost catalogue queries of one recorded day).
const LAST_PATIENCE_TARGETS: f64 = 3.0;

/// The least patience with the last upstream.
const LEAST_LAST_PATIENCE_MS: u64 = 400;

/// A stream's first token may wait for other prompts; starting over costs reading the prompt again.
const STREAM_PATIENCE_MS: u64 = 900;

/// The least patience before a resumable stream's first event, once its answer has begun.
const FIRST_EVENT_PATIENCE_MS: u64 = 1_200;

/// Targets before a resumable stream's first event.
const FIRST_EVENT_TARGETS: u64 = 2;

/// A pause this many times as long as the longest that is in time means that nothing more comes.
///
/// Callers leave after eight; half of that leaves time to go on elsewhere.
const GAP_PATIENCE: u64 = 4;

/// The patience between events of routes that state no pause.
const UNSTATED_GAP_MS: u64 = 1_500;

/// How long until the head of an answer, of the time that is left.
///
/// `is_last` says that no other upstream may get the request.
#[must_use]
pub(crate) fn until_head_ms(route: &Route, is_last: bool, left_ms: u64) -> u64 {
    let (targets, least_ms) = match route.is_stream {
        _ if !route.may_repeat() => return left_ms,
        true if is_last => return left_ms,
        true => (PATIENCE_TARGETS, STREAM_PATIENCE_MS),
        false if is_last => (LAST_PATIENCE_TARGETS, LEAST_LAST_PATIENCE_MS),
        false => (PATIENCE_TARGETS, LEAST_PATIENCE_MS),
    };
    let targets_ms = num::whole(num::real(route.target_ms) * targets);
    targets_ms.max(least_ms).min(left_ms)
}

/// How long until the first event of a stream whose answer has begun.
#[must_use]
pub(crate) fn until_first_event_ms(route: &Route, is_last: bool) -> u64 {
    if route.is_resumable && !is_last {
        FIRST_EVENT_PATIENCE_MS.max(route.target_ms * FIRST_EVENT_TARGETS)
    } else {
        u64::MAX
    }
}

/// How long between two events of a stream.
#[must_use]
pub(crate) fn between_events_ms(route: &Route) -> u64 {
    match route.gap_target_ms {
        _ if !route.is_resumable => u64::MAX,
        Some(gap_ms) => gap_ms * GAP_PATIENCE,
        None => UNSTATED_GAP_MS,
    }
}

#[cfg(test)]
mod tests;
