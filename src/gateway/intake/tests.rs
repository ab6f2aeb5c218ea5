use super::*;
use crate::gateway::throttle::StatedLimit;

/// Guards against sending a request to an upstream that requested a backoff after it was chosen.
#[test]
fn request_chosen_before_a_backoff_is_rejected_during_it() {
    let mut intake = Intake::default();
    assert_eq!(intake.closed(TimeMs(1_000)), None);
    intake.rest.note(3_000, TimeMs(1_100));
    assert_eq!(intake.enter(TimeMs(1_400)), Err(Closed::Resting));
    assert_eq!(intake.enter(TimeMs(4_100)), Ok(()));
}

/// Guards against a first request after a backoff that exceeds this node's share of the upstream's
/// limit.
#[test]
fn limit_applies_after_a_backoff() {
    let mut intake = Intake::default();
    let now = TimeMs(1_000);
    (intake.throttle).note_answer(StatedLimit::PerS(1.0), TimeMs(0), now);
    intake.rest.note(100, now);
    assert_eq!(intake.enter(now), Err(Closed::Resting));
    assert_eq!(intake.enter(TimeMs(1_200)), Err(Closed::AtLimit));
}

/// Guards against buying upstreams for a backoff that ends before they can serve.
#[test]
fn upstream_counts_as_unavailable_only_if_its_backoff_outlasts_a_boot() {
    let mut intake = Intake::default();
    let now = TimeMs(1_000);
    intake.rest.note(3_000, now);
    assert_eq!(intake.least_per_s(4_000, now), None);
    assert_eq!(intake.least_per_s(2_000, now), Some(0.0));
}

/// Guards against losing the only request of a slow start to a closed channel.
#[test]
fn request_that_was_not_sent_can_be_sent_again() {
    let mut intake = Intake::default();
    intake.rest.note(1_000, TimeMs(1_000));
    assert_eq!(intake.enter(TimeMs(2_000)), Ok(()));
    assert_eq!(intake.closed(TimeMs(2_001)), Some(Closed::Resting));
    intake.leave(TimeMs(2_001));
    assert_eq!(intake.enter(TimeMs(2_001)), Ok(()));
}
