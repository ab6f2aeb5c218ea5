use super::*;

fn strike(content: u64, upstream: u64) -> Strike {
    Strike { content, upstream }
}

/// Guards against a request that crashes all upstreams of a pool.
///
/// The request crashes the upstream that runs it, and its caller retries it on any node. Crashes
/// must be counted by request content, and shared among the nodes, since each node sees only some
/// of them.
#[test]
fn request_that_crashed_three_upstreams_is_blocked() {
    let mut strikes = Strikes::default();
    assert!(strikes.record(strike(1, 10), TimeMs(1_000)));
    assert!(strikes.record(strike(1, 11), TimeMs(1_100)));
    assert!(!strikes.is_blocked(1, TimeMs(1_200)));
    assert!(strikes.record(strike(1, 12), TimeMs(1_200)));
    assert!(strikes.is_blocked(1, TimeMs(1_300)));
    assert!(!strikes.is_blocked(2, TimeMs(1_300)));
}

#[test]
fn each_upstream_counts_once() {
    let mut strikes = Strikes::default();
    for _ in 0..5 {
        strikes.record(strike(1, 10), TimeMs(1_000));
    }
    assert!(!strikes.is_blocked(1, TimeMs(1_000)));
}

#[test]
fn answer_clears_the_strikes_of_a_request() {
    let mut strikes = Strikes::default();
    for upstream in 0..3 {
        strikes.record(strike(1, upstream), TimeMs(1_000));
    }
    strikes.clear(1);
    assert!(!strikes.is_blocked(1, TimeMs(1_000)));
}

#[test]
fn strikes_expire_and_are_bounded() {
    let mut strikes = Strikes::default();
    for content in 0..5_000 {
        strikes.record(strike(content, 1), TimeMs(1_000));
    }
    assert_eq!(strikes.recorded.len(), MAX_STRIKES);
    strikes.record(strike(1, 1), TimeMs(1_000 + STRIKE_TTL_MS));
    assert_eq!(strikes.recorded.len(), 1);
}

#[test]
fn content_hash_separates_path_key_and_body() {
    let base = content_hash("/a/", Some("k"), b"b");
    assert_eq!(base, content_hash("/a/", Some("k"), b"b"));
    assert_ne!(base, content_hash("/a/k", None, b"b"));
    assert_ne!(base, content_hash("/a/", Some("kb"), b""));
}

#[test]
fn reported_strikes_keep_their_age() {
    let (mut source, mut restarted) = (Strikes::default(), Strikes::default());
    for upstream in 0..3 {
        source.record(strike(1, upstream), TimeMs(1_000));
    }
    source.record(strike(2, 0), TimeMs(1_000));
    let reported = source.blocked_strikes(TimeMs(31_000));
    assert_eq!(reported.len(), 3);
    for remembered in reported {
        restarted.record_aged(remembered, TimeMs(31_000));
    }
    assert!(restarted.is_blocked(1, TimeMs(31_000)));
    // Without the age, reports among restarting nodes would keep the strike for good.
    assert!(!restarted.is_blocked(1, TimeMs(1_000 + STRIKE_TTL_MS)));
}
