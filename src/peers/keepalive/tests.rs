//! Tests of silence detection, including pauses of this node.

use super::*;

const TIMEOUT_MS: u64 = 800;
const CHECK_INTERVAL_MS: u64 = 100;

#[test]
fn silent_peer_is_pinged_once_and_closed_at_the_timeout() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS, TIMEOUT_MS);
    let actions: Vec<Action> = (0..=8)
        .map(|check| keepalive.check(1_000 + check * CHECK_INTERVAL_MS, 0, true, 0))
        .collect();
    assert_eq!(actions[2], Action::Ping(CHECK_INTERVAL_MS));
    assert_eq!(
        actions
            .iter()
            .filter(|action| **action == Action::Ping(CHECK_INTERVAL_MS))
            .count(),
        1
    );
    assert_eq!(
        actions.iter().position(|action| *action == Action::Close),
        Some(8)
    );
}

#[test]
fn connection_of_an_answering_peer_stays_open() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS, TIMEOUT_MS);
    let mut last_read_ms = 0;
    for now_ms in (0..10_000).step_by(100) {
        match keepalive.check(now_ms, last_read_ms, true, 0) {
            Action::Ping(_) => last_read_ms = now_ms,
            Action::Close => panic!("closed at {now_ms} ms although the peer answers"),
            Action::Retire(_) => panic!("retired at {now_ms} ms although the peer answers"),
            Action::Idle | Action::Wait(_) => {}
        }
    }
}

#[test]
fn pause_of_this_node_does_not_count_as_silence() {
    // Guards against all streams of a resumed node failing at once. The node pings its peer, is
    // paused for a minute, and its timers fire before it has read the answers.
    let mut keepalive = Keepalive::new(TIMEOUT_MS, TIMEOUT_MS);
    for now_ms in [0, 100, 200, 300] {
        keepalive.check(now_ms, 0, true, 0);
    }
    assert_eq!(
        keepalive.check(60_000, 0, true, 0),
        Action::Wait(CHECK_INTERVAL_MS)
    );
    assert_eq!(
        keepalive.check(60_100, 60_001, true, 0),
        Action::Wait(CHECK_INTERVAL_MS)
    );
}

#[test]
fn unused_connection_is_idle_and_restarts_the_silence() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS, TIMEOUT_MS);
    assert_eq!(keepalive.check(50_000, 0, false, 0), Action::Idle);
    assert_eq!(
        keepalive.check(100_000, 0, true, 0),
        Action::Wait(CHECK_INTERVAL_MS)
    );
}

#[test]
fn silent_connection_takes_no_further_request_long_before_its_streams_end() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS, 4 * TIMEOUT_MS);
    let actions: Vec<Action> = (0..=32)
        .map(|check| keepalive.check(1_000 + check * CHECK_INTERVAL_MS, 0, true, 0))
        .collect();
    let first = |wanted: Action| actions.iter().position(|action| *action == wanted);
    assert_eq!(first(Action::Retire(CHECK_INTERVAL_MS)), Some(8));
    assert_eq!(first(Action::Close), Some(32));
}

/// Guards against an answer that is cut by a silence although its caller still waits, and against a lost peer that is kept after.
#[test]
fn silent_connection_is_closed_only_after_the_last_deadline_of_its_streams() {
    let deadline_ms = 1_000 + 20 * CHECK_INTERVAL_MS;
    let mut keepalive = Keepalive::new(TIMEOUT_MS, TIMEOUT_MS);
    let actions: Vec<Action> = (0..=20)
        .map(|check| 1_000 + check * CHECK_INTERVAL_MS)
        .map(|now_ms| keepalive.check(now_ms, 0, true, deadline_ms))
        .collect();
    let first = |wanted: Action| actions.iter().position(|action| *action == wanted);
    assert_eq!(first(Action::Retire(CHECK_INTERVAL_MS)), Some(8));
    assert_eq!(first(Action::Close), Some(20));
}
