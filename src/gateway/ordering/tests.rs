use super::*;

/// Symptom: a deployment that starts for the first time pays for on-demand upstreams beside those that
/// it starts with.
/// Sequence: nodes and upstreams start together; the first holder of the lease orders before all
/// upstreams have announced themselves.
/// Cause: what had not announced itself yet counted as missing.
#[test]
fn nothing_is_ordered_before_upstreams_had_the_time_to_announce_themselves() {
    let mut memory = Memory::default();
    assert!(!memory.is_settled(TimeMs(10_000)), "it has not looked yet");
    memory.first_look_at = Some(TimeMs(10_000));
    assert!(!memory.is_settled(TimeMs(11_200)));
    assert!(memory.is_settled(TimeMs(10_000 + SETTLED_AFTER_MS)));
}
