use super::*;

fn stop() -> Shutdown {
    Shutdown {
        requested_at: TimeMs(1_000),
        grace_ms: 8_000,
    }
}

/// A request that ends within `limit_ms` of `now`, and may run once.
fn once(limit_ms: u64, now: TimeMs) -> Outlook {
    Outlook {
        deadline: now.after(limit_ms),
        longest_ms: None,
    }
}

/// Whether a request that may run once is accepted at this time with this time limit.
fn accepts(stop: &Shutdown, limit_ms: u64, at_ms: u64) -> bool {
    stop.accepts(&once(limit_ms, TimeMs(at_ms)), TimeMs(at_ms))
}

/// Guards against a stream that is cut off at the end of a planned shutdown.
///
/// A caller with a cached directory answer sends a stream 6 s after the stop signal. The stream
/// takes 3 s, and the process is killed after 8 s. A node that accepted requests until its exit
/// would lose it.
#[test]
fn stream_that_outlasts_the_grace_period_is_rejected() {
    assert!(accepts(&stop(), 6_000, 1_500));
    assert!(!accepts(&stop(), 6_000, 7_000));
    assert!(!accepts(&stop(), 6_000, 3_600));
    assert!(!accepts(&stop(), 3_000, 7_000));
}

#[test]
fn plain_call_is_accepted_while_it_can_finish() {
    assert!(accepts(&stop(), 1_500, 6_000));
    assert!(!accepts(&stop(), 1_500, 7_500));
}

#[test]
fn requests_are_accepted_for_half_of_a_short_grace_period() {
    let stop = Shutdown {
        requested_at: TimeMs(0),
        grace_ms: 2_000,
    };
    assert!(accepts(&stop, 800, 900));
    assert!(!accepts(&stop, 800, 1_100));
}

/// Guards against a decision by the usual time limits of some deployments: whatever the grace and the limits, what is
/// accepted ends before the exit, and what would end before it is accepted.
#[test]
fn accepted_request_ends_before_the_exit_with_any_grace_and_limit() {
    for grace_ms in [0, 1_000, 8_000, 30_000, 300_000] {
        let stop = Shutdown { grace_ms, ..stop() };
        let margin_ms = GRACE_MARGIN_MS.min(grace_ms / 10);
        for limit_ms in [1, 100, 1_500, 6_000, 12_000, 60_000, 600_000] {
            for since_ms in (0..grace_ms).step_by(50) {
                let now = stop.requested_at.after(since_ms);
                let ends_in_time = since_ms + limit_ms + margin_ms + margin_ms / 3 <= grace_ms;
                assert_eq!(
                    stop.accepts(&once(limit_ms, now), now),
                    ends_in_time,
                    "grace {grace_ms}, limit {limit_ms}, {since_ms} ms after the signal"
                );
                let is_exit = stop.is_complete(1, now.after(limit_ms));
                assert!(!(ends_in_time && is_exit));
            }
        }
        let killed_at = stop.requested_at.after(grace_ms);
        assert!(stop.is_complete(1, killed_at));
    }
}

/// Guards against refusing all streams from the stop signal on where their time limit is longer than the grace.
#[test]
fn request_that_may_be_repeated_is_judged_by_what_its_route_took() {
    let at = |since_ms: u64, longest_ms: u64, limit_ms: u64| {
        let now = stop().requested_at.after(since_ms);
        let outlook = Outlook {
            longest_ms: Some(longest_ms),
            ..once(limit_ms, now)
        };
        stop().accepts(&outlook, now)
    };
    assert!(at(0, 4_000, 60_000));
    assert!(at(2_900, 4_000, 60_000));
    assert!(!at(2_900, 4_400, 60_000));
    assert!(!at(3_000, 100, 60_000));
    assert!(at(5_000, 100, 2_000));
    assert!(at(2_900, 60_000, 4_000));
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
