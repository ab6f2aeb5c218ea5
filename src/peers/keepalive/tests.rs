//! Silence that counts and silence that doesn't.

use super::*;

const TIMEOUT_MS: u64 = 800;
const LOOK_MS: u64 = 100;

#[test]
fn a_silent_peer_is_asked_and_then_given_up_in_time() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS);
    let steps: Vec<Step> = (0..=8)
        .map(|look| keepalive.step(1_000 + look * LOOK_MS, 0, true))
        .collect();
    assert_eq!(steps[2], Step::Ask(LOOK_MS));
    assert_eq!(
        steps
            .iter()
            .filter(|step| **step == Step::Ask(LOOK_MS))
            .count(),
        1
    );
    assert_eq!(steps.iter().position(|step| *step == Step::GiveUp), Some(8));
}

#[test]
fn a_peer_that_answers_is_kept() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS);
    let mut heard_ms = 0;
    for now_ms in (0..10_000).step_by(100) {
        match keepalive.step(now_ms, heard_ms, true) {
            Step::Ask(_) => heard_ms = now_ms,
            Step::GiveUp => panic!("given up at {now_ms} ms"),
            Step::Idle | Step::Wait(_) => {}
        }
    }
}

#[test]
fn an_own_pause_is_not_taken_for_silence() {
    // Symptom: all streams of a node fail at the moment when it is resumed.
    // Sequence: the node asks its peer, is stopped for a minute and goes on.
    // Cause: its timers fire before it has read the answers.
    let mut keepalive = Keepalive::new(TIMEOUT_MS);
    for now_ms in [0, 100, 200, 300] {
        keepalive.step(now_ms, 0, true);
    }
    assert_eq!(keepalive.step(60_000, 0, true), Step::Wait(LOOK_MS));
    assert_eq!(keepalive.step(60_100, 60_001, true), Step::Wait(LOOK_MS));
}

#[test]
fn an_unused_connection_is_left_alone_and_starts_afresh() {
    let mut keepalive = Keepalive::new(TIMEOUT_MS);
    assert_eq!(keepalive.step(50_000, 0, false), Step::Idle);
    assert_eq!(keepalive.step(100_000, 0, true), Step::Wait(LOOK_MS));
}
