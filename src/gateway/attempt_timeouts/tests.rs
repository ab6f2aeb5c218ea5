use super::*;
use crate::gateway::catalog::RepeatPolicy;
use crate::gateway::catalog::tests::route;

fn call(repeat: RepeatPolicy) -> Route {
    Route {
        repeat,
        target_ms: 150,
        ..route("h.example", "/")
    }
}

fn stream(is_resumable: bool) -> Route {
    Route {
        is_stream: true,
        is_resumable,
        gap_target_ms: Some(300),
        ..call(RepeatPolicy::AtMostOnce)
    }
}

#[test]
fn request_that_may_run_once_has_no_early_timeout() {
    assert_eq!(
        response_head_timeout_ms(&call(RepeatPolicy::AtMostOnce), false, 9_000),
        9_000
    );
    assert_eq!(
        response_head_timeout_ms(&stream(false), false, 9_000),
        9_000
    );
    assert_eq!(first_event_timeout_ms(&stream(false), false), u64::MAX);
    assert_eq!(event_gap_timeout_ms(&stream(false)), u64::MAX);
}

/// Guards against losing idempotent calls while an upstream is unresponsive. If the last eligible
/// upstream gets all the remaining time and does not answer, the caller has no time left to retry.
#[test]
fn idempotent_call_leaves_its_caller_time_to_retry() {
    let call = call(RepeatPolicy::Idempotent);
    let first_ms = response_head_timeout_ms(&call, false, 1_000);
    let last_ms = response_head_timeout_ms(&call, true, 1_000 - first_ms);
    assert_eq!((first_ms, last_ms), (270, 450));
    assert_eq!(response_head_timeout_ms(&call, true, 200), 200);
}

#[test]
fn resumable_stream_times_out_before_its_caller_gives_up() {
    let stream = stream(true);
    // A caller gives up after the longest of 2 s, four targets and eight gaps.
    let caller_ms = 2_000.max(stream.target_ms * 4).max(300 * 8);
    assert!(response_head_timeout_ms(&stream, false, 9_000) < caller_ms);
    assert!(first_event_timeout_ms(&stream, false) < caller_ms);
    assert!(event_gap_timeout_ms(&stream) < caller_ms);
    let gap_ms = event_gap_timeout_ms(&stream);
    assert!(unproven_timeout_ms(&stream, gap_ms) < caller_ms);
    let head_ms = response_head_timeout_ms(&stream, false, 9_000);
    assert!(unproven_timeout_ms(&stream, head_ms) < caller_ms);
    assert_eq!(first_event_timeout_ms(&stream, true), u64::MAX);
}
