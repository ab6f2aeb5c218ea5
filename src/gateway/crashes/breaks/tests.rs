use super::*;

/// Guards against crashes after the head of a response that count as no crash.
#[test]
fn connections_that_break_after_the_head_count_as_crashes() {
    let crashes = [
        "broken",
        "body_broken",
        "stream_broken",
        "ended_empty",
        "ended_within_event",
        "upstream_restarted",
    ];
    for reason in crashes {
        assert!(is_crash(reason), "{reason}");
    }
}

#[test]
fn failures_of_an_upstream_that_runs_on_count_as_no_crash() {
    let others = [
        "unreachable",
        "channel_closed",
        "silent",
        "stream_silent",
        "late",
        "body_timeout",
        "body_too_long",
        "not_run",
        "other_answer",
        "unnamed_answer",
        "other_upstream",
        "unproved_answer",
        "unproved_refusal",
        "contradictory_answer",
        "events_missing",
        "event_too_long",
        "not_resumed",
        "peer_failed",
        "peer_refused",
    ];
    for reason in others {
        assert!(!is_crash(reason), "{reason}");
    }
}
