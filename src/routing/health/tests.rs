//! Tests of backoff and probing.

use super::{Availability, Health, MAX_BACKOFF_MS};
use crate::time::TimeMs;

#[test]
fn each_failure_doubles_the_backoff_up_to_the_maximum() {
    let mut health = Health::default();
    let mut now = TimeMs(1_000);
    let mut backoffs = Vec::new();
    for _ in 0..9 {
        health.record_failure(now);
        let Availability::Failing { probe_at_ms } = health.availability(now) else {
            panic!("expected a failing host to be in backoff");
        };
        backoffs.push(probe_at_ms.since(now));
        now = probe_at_ms;
        assert_eq!(health.availability(now), Availability::Probe);
    }
    assert_eq!(backoffs[..4], [250, 500, 1_000, 2_000]);
    assert_eq!(backoffs.last(), Some(&MAX_BACKOFF_MS));
    health.record_answer();
    assert_eq!(health.availability(now), Availability::Open);
}

// When the backoff of a host ends, all waiting requests could choose it and fail together if it
// still fails. The first one that probes it must keep the others away.
#[test]
fn only_one_probe_is_in_flight() {
    let mut health = Health::default();
    health.record_failure(TimeMs(0));
    let now = TimeMs(250);
    assert_eq!(health.availability(now), Availability::Probe);
    health.record_probe(now);
    assert!(matches!(
        health.availability(now),
        Availability::Failing { .. }
    ));
}
