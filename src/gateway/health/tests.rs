use super::*;

#[test]
fn two_consecutive_failures_pause_until_a_good_answer() {
    let mut health = Health::default();
    health.record(Outcome::Broken, TimeMs(1_000));
    assert!(!health.is_paused(TimeMs(1_001)));
    health.record(Outcome::Broken, TimeMs(1_100));
    assert!(health.is_paused(TimeMs(1_200)));
    health.record(Outcome::Good { took_ms: 30 }, TimeMs(1_300));
    assert!(!health.is_paused(TimeMs(1_301)));
}

#[test]
fn pause_grows_up_to_a_limit_and_ends() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_unreachable(TimeMs(1_000));
    }
    assert!(health.is_paused(TimeMs(4_900)));
    assert!(!health.is_paused(TimeMs(5_000)));
}

/// Guards against an upstream that fails four of ten requests, for seconds, while it reports itself
/// healthy. Failures in answers must count against an upstream, as broken connections do.
#[test]
fn failed_answers_raise_the_failure_share() {
    let mut failing = Health::default();
    let mut healthy = Health::default();
    for step in 0..40 {
        let now = TimeMs(1_000 + step * 20);
        healthy.record(Outcome::Good { took_ms: 30 }, now);
        let outcome = if step % 5 < 2 {
            Outcome::Failed
        } else {
            Outcome::Good { took_ms: 30 }
        };
        failing.record(outcome, now);
    }
    let now = TimeMs(1_800);
    assert!(
        failing.failure_share(now) > 0.25,
        "{}",
        failing.failure_share(now)
    );
    assert!(healthy.failure_share(now) < 0.01);
    assert!(!failing.is_paused(now));
}

#[test]
fn failure_share_decays_without_requests() {
    let mut health = Health::default();
    for _ in 0..30 {
        health.record(Outcome::Failed, TimeMs(1_000));
    }
    assert!(health.failure_share(TimeMs(1_000)) > 0.9);
    assert!(health.failure_share(TimeMs(13_000)) < 0.1);
}
