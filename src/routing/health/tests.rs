//! Backoff and probing.

use super::{Health, LONGEST_BACKOFF_MS, Standing};
use crate::time::TimeMs;

#[test]
fn each_failure_doubles_the_wait_up_to_the_longest() {
    let mut health = Health::default();
    let mut now = TimeMs(1_000);
    let mut waits = Vec::new();
    for _ in 0..9 {
        health.note_failure(now);
        let Standing::Failing { probe_at_ms } = health.standing(now) else {
            panic!("a host that has just failed is left alone");
        };
        waits.push(probe_at_ms.since(now));
        now = probe_at_ms;
        assert_eq!(health.standing(now), Standing::Probe);
    }
    assert_eq!(waits[..4], [250, 500, 1_000, 2_000]);
    assert_eq!(waits.last(), Some(&LONGEST_BACKOFF_MS));
    health.note_answer();
    assert_eq!(health.standing(now), Standing::Open);
}

// Symptom: when a host comes back, a crowd of requests fails on it at once. Sequence: its backoff
// ends, all waiting requests choose it, it fails again. Cause: nothing marks that one try is out.
#[test]
fn one_probe_at_a_time() {
    let mut health = Health::default();
    health.note_failure(TimeMs(0));
    let now = TimeMs(250);
    assert_eq!(health.standing(now), Standing::Probe);
    health.note_probe(now);
    assert!(matches!(health.standing(now), Standing::Failing { .. }));
}
