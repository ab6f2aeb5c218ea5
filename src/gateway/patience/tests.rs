use super::*;
use crate::gateway::catalog::Repeat;
use crate::gateway::catalog::tests::route;

fn call(repeat: Repeat) -> Route {
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
        ..call(Repeat::AtMostOnce)
    }
}

#[test]
fn what_may_run_once_waits_as_long_as_its_caller() {
    assert_eq!(
        until_head_ms(&call(Repeat::AtMostOnce), false, 9_000),
        9_000
    );
    assert_eq!(until_head_ms(&stream(false), false, 9_000), 9_000);
    assert_eq!(until_first_event_ms(&stream(false), false), u64::MAX);
    assert_eq!(between_events_ms(&stream(false)), u64::MAX);
}

/// Symptom: idempotent calls are lost while an upstream is dark.
/// Sequence: the last upstream that may get a call is dark; the call waits there to its end.
/// Cause: the last upstream had all the time that was left, and the caller none to ask again.
#[test]
fn an_idempotent_call_leaves_its_caller_time_to_ask_again() {
    let call = call(Repeat::Idempotent);
    let first_ms = until_head_ms(&call, false, 1_000);
    let last_ms = until_head_ms(&call, true, 1_000 - first_ms);
    assert_eq!((first_ms, last_ms), (270, 450));
    assert_eq!(until_head_ms(&call, true, 200), 200);
}

#[test]
fn a_resumable_stream_is_given_up_before_its_caller_leaves() {
    let stream = stream(true);
    // Callers leave after the longest of 2 s, four targets and eight pauses.
    let caller_ms = 2_000.max(stream.target_ms * 4).max(300 * 8);
    assert!(until_head_ms(&stream, false, 9_000) < caller_ms);
    assert!(until_first_event_ms(&stream, false) < caller_ms);
    assert!(between_events_ms(&stream) < caller_ms);
    assert_eq!(until_first_event_ms(&stream, true), u64::MAX);
}
