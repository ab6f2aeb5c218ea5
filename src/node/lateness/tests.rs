//! Tests of the delay that a node measures of its timers.

use super::Lateness;
use crate::time::TimeMs;

#[test]
fn node_whose_timers_fire_in_time_is_not_late() {
    let mut lateness = Lateness::default();
    for tick in 0..10 {
        let now = TimeMs(tick * 500);
        lateness.record(now, now);
        assert_eq!(lateness.delay_ms(now), 0);
    }
}

// Guards against a stop that comes too late since one timer of a busy node was in time by chance.
#[test]
fn one_timer_in_time_does_not_hide_the_delay_of_the_one_before() {
    let mut lateness = Lateness::default();
    lateness.record(TimeMs(1_000), TimeMs(1_200));
    lateness.record(TimeMs(1_210), TimeMs(1_210));
    let delay_ms = lateness.delay_ms(TimeMs(1_210));
    assert!((190..=200).contains(&delay_ms), "{delay_ms}");
}

#[test]
fn delay_is_halved_within_five_seconds() {
    let mut lateness = Lateness::default();
    lateness.record(TimeMs(1_000), TimeMs(1_200));
    assert_eq!(lateness.delay_ms(TimeMs(6_200)), 100);
    assert_eq!(lateness.delay_ms(TimeMs(101_200)), 0);
}
