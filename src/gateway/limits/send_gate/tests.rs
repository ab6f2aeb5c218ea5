use super::*;
use crate::gateway::limits::throttle::StatedLimit;

/// Guards against sending a request to an upstream that requested a backoff after it was chosen.
#[test]
fn request_chosen_before_a_backoff_is_rejected_during_it() {
    let mut intake = SendGate::default();
    assert_eq!(intake.closed_reason(TimeMs(1_000)), None);
    intake.backoff.record(3_000, TimeMs(1_100));
    assert_eq!(intake.admit(TimeMs(1_400)), Err(Closed::Resting));
    assert_eq!(intake.admit(TimeMs(4_100)), Ok(()));
}

/// Guards against a first request after a backoff that exceeds this node's share of the upstream's
/// limit.
#[test]
fn limit_applies_after_a_backoff() {
    let mut intake = SendGate::default();
    let now = TimeMs(1_000);
    (intake.throttle).record_answer(StatedLimit::PerS(1.0), TimeMs(0), now);
    intake.backoff.record(100, now);
    assert_eq!(intake.admit(now), Err(Closed::Resting));
    assert_eq!(intake.admit(TimeMs(1_200)), Err(Closed::AtLimit));
}

/// Guards against buying upstreams for a backoff that ends before they can serve.
#[test]
fn upstream_counts_as_unavailable_only_if_its_backoff_outlasts_a_boot() {
    let mut intake = SendGate::default();
    let now = TimeMs(1_000);
    intake.backoff.record(3_000, now);
    assert_eq!(intake.min_limit_per_s(4_000, now), None);
    assert_eq!(intake.min_limit_per_s(2_000, now), Some(0.0));
}

/// Guards against losing the only request of a slow start to a closed channel.
#[test]
fn request_that_was_not_sent_can_be_sent_again() {
    let mut intake = SendGate::default();
    intake.backoff.record(1_000, TimeMs(1_000));
    assert_eq!(intake.admit(TimeMs(2_000)), Ok(()));
    assert_eq!(intake.closed_reason(TimeMs(2_001)), Some(Closed::Resting));
    intake.cancel(TimeMs(2_001));
    assert_eq!(intake.admit(TimeMs(2_001)), Ok(()));
}
