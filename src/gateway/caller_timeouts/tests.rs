use super::*;

fn limits(header_timeout_ms: u64, idle_timeout_ms: u64) -> CallerLimits {
    CallerLimits {
        header_timeout_ms,
        idle_timeout_ms,
        ..CallerLimits::default()
    }
}

const IDLE: Phase = Phase::Idle {
    since: TimeMs(1_000),
};

const HEAD: Phase = Phase::Head {
    since: TimeMs(1_000),
};

/// Guards against a connection that is closed by an old limit while its caller, who knows a longer one, sends a request.
#[test]
fn risen_limit_holds_for_connections_that_wait() {
    let (old, new) = (limits(300, 500), limits(3_000, 10_000));
    assert_eq!(IDLE.closes_at(old, new), Some(TimeMs(21_000)));
    assert_eq!(HEAD.closes_at(old, new), Some(TimeMs(7_000)));
}

/// Guards against a connection that is closed by a new limit while its caller, who knows the old one, sends a request.
#[test]
fn fallen_limit_holds_from_the_next_request_on() {
    let (old, new) = (limits(3_000, 10_000), limits(300, 500));
    assert_eq!(IDLE.closes_at(old, new), Some(TimeMs(21_000)));
    assert_eq!(IDLE.closes_at(new, new), Some(TimeMs(2_000)));
    assert_eq!(HEAD.closes_at(old, new), Some(TimeMs(7_000)));
    assert_eq!(HEAD.closes_at(new, new), Some(TimeMs(1_600)));
}

#[test]
fn connection_with_an_answer_under_way_is_not_closed() {
    let limits = limits(1, 1);
    assert_eq!(Phase::Answer.closes_at(limits, limits), None);
}
