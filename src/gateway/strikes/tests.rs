use super::*;

fn strike(content: u64, upstream: u64) -> Strike {
    Strike { content, upstream }
}

/// Symptom: one request after the other crashes all upstreams of a pool.
/// Sequence: a request crashes the upstream that runs it; its caller sends it again, at any node;
/// each node knows only of the crashes that it saw itself.
/// Cause: crashes were counted for upstreams, and not for what they had been running.
#[test]
fn a_request_that_broke_three_upstreams_is_blocked() {
    let mut strikes = Strikes::default();
    assert!(strikes.note(strike(1, 10), TimeMs(1_000)));
    assert!(strikes.note(strike(1, 11), TimeMs(1_100)));
    assert!(!strikes.is_blocked(1, TimeMs(1_200)));
    assert!(strikes.note(strike(1, 12), TimeMs(1_200)));
    assert!(strikes.is_blocked(1, TimeMs(1_300)));
    assert!(!strikes.is_blocked(2, TimeMs(1_300)));
}

#[test]
fn one_upstream_counts_once() {
    let mut strikes = Strikes::default();
    for _ in 0..5 {
        strikes.note(strike(1, 10), TimeMs(1_000));
    }
    assert!(!strikes.is_blocked(1, TimeMs(1_000)));
}

#[test]
fn an_answer_clears_a_request_that_only_met_crashing_upstreams() {
    let mut strikes = Strikes::default();
    for upstream in 0..3 {
        strikes.note(strike(1, upstream), TimeMs(1_000));
    }
    strikes.clear(1);
    assert!(!strikes.is_blocked(1, TimeMs(1_000)));
}

#[test]
fn strikes_are_forgotten_and_bounded() {
    let mut strikes = Strikes::default();
    for content in 0..5_000 {
        strikes.note(strike(content, 1), TimeMs(1_000));
    }
    assert_eq!(strikes.noted.len(), MOST_REMEMBERED);
    strikes.note(strike(1, 1), TimeMs(1_000 + REMEMBERED_MS));
    assert_eq!(strikes.noted.len(), 1);
}

#[test]
fn content_tells_path_key_and_body_apart() {
    let base = content("/a/", Some("k"), b"b");
    assert_eq!(base, content("/a/", Some("k"), b"b"));
    assert_ne!(base, content("/a/k", None, b"b"));
    assert_ne!(base, content("/a/", Some("kb"), b""));
}

#[test]
fn what_peers_remember_of_a_blocked_content_keeps_its_age() {
    let (mut knowing, mut fresh) = (Strikes::default(), Strikes::default());
    for upstream in 0..3 {
        knowing.note(strike(1, upstream), TimeMs(1_000));
    }
    knowing.note(strike(2, 0), TimeMs(1_000));
    let told = knowing.of_blocked(TimeMs(31_000));
    assert_eq!(told.len(), 3);
    for remembered in told {
        fresh.note_remembered(remembered, TimeMs(31_000));
    }
    assert!(fresh.is_blocked(1, TimeMs(31_000)));
    // Passed on among nodes that come and go, it would otherwise never be forgotten.
    assert!(!fresh.is_blocked(1, TimeMs(1_000 + REMEMBERED_MS)));
}
