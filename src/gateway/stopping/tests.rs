use super::*;

fn stop() -> Stop {
    Stop {
        told_at: TimeMs(1_000),
        grace_ms: 8_000,
    }
}

/// Symptom: a caller's stream ends without an answer after a planned stop.
/// Sequence: the node is told to stop; a caller with an old answer of the directory sends a stream
/// 6 s later; the stream takes 3 s and the process is killed after 8 s.
/// Cause: a stopping node accepted requests until its very end.
#[test]
fn a_stream_that_the_grace_would_cut_is_refused() {
    assert!(stop().accepts(true, TimeMs(1_500)));
    assert!(!stop().accepts(true, TimeMs(7_000)));
    assert!(!stop().accepts(true, TimeMs(3_600)));
}

#[test]
fn a_plain_call_is_accepted_while_it_can_end() {
    assert!(stop().accepts(false, TimeMs(6_000)));
    assert!(!stop().accepts(false, TimeMs(7_500)));
}

#[test]
fn a_short_grace_leaves_half_of_it_for_streams() {
    let stop = Stop {
        told_at: TimeMs(0),
        grace_ms: 2_000,
    };
    assert!(stop.accepts(true, TimeMs(900)));
    assert!(!stop.accepts(true, TimeMs(1_100)));
}

#[test]
fn an_idle_node_stays_until_callers_have_learned_that_it_goes() {
    assert!(!stop().is_over(0, TimeMs(2_000)));
    assert!(stop().is_over(0, TimeMs(4_500)));
    assert!(!stop().is_over(3, TimeMs(4_500)));
}

#[test]
fn a_busy_node_ends_before_it_is_killed() {
    assert!(!stop().is_over(3, TimeMs(8_000)));
    assert!(stop().is_over(3, TimeMs(8_500)));
}
