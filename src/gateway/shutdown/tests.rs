use super::*;

fn stop() -> Shutdown {
    Shutdown {
        requested_at: TimeMs(1_000),
        grace_ms: 8_000,
    }
}

/// Guards against a stream that is cut off at the end of a planned shutdown.
///
/// A caller with a cached directory answer sends a stream 6 s after the stop signal. The stream
/// takes 3 s, and the process is killed after 8 s. A node that accepted requests until its exit
/// would lose it.
#[test]
fn stream_that_outlasts_the_grace_period_is_rejected() {
    assert!(stop().accepts(true, TimeMs(1_500)));
    assert!(!stop().accepts(true, TimeMs(7_000)));
    assert!(!stop().accepts(true, TimeMs(3_600)));
}

#[test]
fn plain_call_is_accepted_while_it_can_finish() {
    assert!(stop().accepts(false, TimeMs(6_000)));
    assert!(!stop().accepts(false, TimeMs(7_500)));
}

#[test]
fn streams_are_accepted_for_half_of_a_short_grace_period() {
    let stop = Shutdown {
        requested_at: TimeMs(0),
        grace_ms: 2_000,
    };
    assert!(stop.accepts(true, TimeMs(900)));
    assert!(!stop.accepts(true, TimeMs(1_100)));
}

#[test]
fn idle_node_stays_until_directory_caches_expire() {
    assert!(!stop().is_complete(0, TimeMs(2_000)));
    assert!(stop().is_complete(0, TimeMs(4_500)));
    assert!(!stop().is_complete(3, TimeMs(4_500)));
}

#[test]
fn busy_node_exits_before_it_is_killed() {
    assert!(!stop().is_complete(3, TimeMs(8_000)));
    assert!(stop().is_complete(3, TimeMs(8_500)));
}

/// Guards against a request that is cut because it was read as the node began to close its connections.
#[test]
fn request_read_while_connections_close_is_served() {
    let closing_since = TimeMs(4_500);
    assert!(!stop().ends_connections(1, closing_since, TimeMs(4_900)));
    assert!(stop().ends_connections(1, closing_since, TimeMs(8_500)));
}

#[test]
fn connections_without_requests_are_left_after_the_time_for_closing() {
    let closing_since = TimeMs(4_500);
    assert!(!stop().ends_connections(0, closing_since, TimeMs(4_700)));
    assert!(stop().ends_connections(0, closing_since, TimeMs(4_800)));
    assert!(!stop().ends_connections(3, TimeMs(8_400), TimeMs(8_500)));
}
