use super::*;
use crate::gateway::throttle::StatedLimit;

/// A request that was chosen before the upstream asked for rest is sent to it all the same.
#[test]
fn what_was_chosen_before_a_rest_meets_it_at_the_gate() {
    let mut intake = Intake::default();
    assert_eq!(intake.closed(TimeMs(1_000)), None);
    intake.rest.note(3_000, TimeMs(1_100));
    assert_eq!(intake.enter(TimeMs(1_400)), Err(Closed::Resting));
    assert_eq!(intake.enter(TimeMs(4_100)), Ok(()));
}

/// The first request after a rest goes to an upstream that names a limit, beyond this node's part.
#[test]
fn a_limit_holds_after_a_rest() {
    let mut intake = Intake::default();
    let now = TimeMs(1_000);
    (intake.throttle).note_answer(StatedLimit::PerS(1.0), TimeMs(0), now);
    intake.rest.note(100, now);
    assert_eq!(intake.enter(now), Err(Closed::Resting));
    assert_eq!(intake.enter(TimeMs(1_200)), Err(Closed::AtLimit));
}

/// Engines are bought for a rest that is over before they serve.
#[test]
fn an_upstream_takes_nothing_only_if_its_rest_outlasts_the_boot_of_another() {
    let mut intake = Intake::default();
    let now = TimeMs(1_000);
    intake.rest.note(3_000, now);
    assert_eq!(intake.least_per_s(4_000, now), None);
    assert_eq!(intake.least_per_s(2_000, now), Some(0.0));
}

/// A channel that was closed costs an upstream that is tried after a rest its only request.
#[test]
fn what_was_let_through_and_not_sent_may_be_sent_again() {
    let mut intake = Intake::default();
    intake.rest.note(1_000, TimeMs(1_000));
    assert_eq!(intake.enter(TimeMs(2_000)), Ok(()));
    assert_eq!(intake.closed(TimeMs(2_001)), Some(Closed::Resting));
    intake.leave(TimeMs(2_001));
    assert_eq!(intake.enter(TimeMs(2_001)), Ok(()));
}
