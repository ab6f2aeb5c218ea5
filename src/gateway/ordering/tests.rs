use super::*;

/// Symptom: a deployment that starts for the first time pays for on-demand upstreams beside those that
/// it starts with.
/// Sequence: nodes and upstreams start together; the first holder of the lease orders before all
/// upstreams have announced themselves.
/// Cause: what had not announced itself yet counted as missing.
#[test]
fn nothing_is_ordered_before_upstreams_had_the_time_to_announce_themselves() {
    let mut arrival = Arrival::default();
    assert!(!arrival.is_settled, "it has not looked yet");
    arrival.note(12, TimeMs(10_000));
    arrival.note(12, TimeMs(11_200));
    assert!(!arrival.is_settled && !arrival.is_over);
    arrival.note(12, TimeMs(10_000 + SETTLED_AFTER_MS));
    assert!(arrival.is_settled && arrival.is_over);
    arrival.note(13, TimeMs(13_000));
    assert!(arrival.is_over, "one that boots later holds nothing up");
}

/// Symptom: fifty on-demand upstreams are bought before the first request, beside 78 that stand.
/// Sequence: 78 upstreams start with the nodes and announce themselves over four seconds; the first
/// orders are given while half of them are known.
/// Cause: what had not announced itself after a fixed time counted as missing.
///
/// Reclaimable ones are ordered meanwhile: ordered three seconds later, they had not booted when the
/// first callers came, and 0.46 of the payoff owed was left of a busy day of nine nodes where 0.55 is.
#[test]
fn on_demand_upstreams_are_not_bought_while_upstreams_keep_announcing_themselves() {
    let mut arrival = Arrival::default();
    for step in 0..40 {
        arrival.note(step * 2, TimeMs(10_000 + step as u64 * 100));
        assert!(!arrival.is_over, "at step {step}");
    }
    assert!(arrival.is_settled, "reclaimable ones need not wait");
    arrival.note(78, TimeMs(13_900 + QUIET_MS));
    assert!(arrival.is_over);
}

#[test]
fn purchases_do_not_wait_for_ever() {
    let mut arrival = Arrival::default();
    for step in 0..=60 {
        arrival.note(step, TimeMs(10_000 + step as u64 * 100));
    }
    assert!(arrival.is_over, "one more comes each tenth of a second");
}
