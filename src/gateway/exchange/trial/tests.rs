use super::*;

/// Symptom: more repeats than a pool's requests pay for while an upstream cannot be reached.
/// Sequence: the first upstream of a request refuses the channel; the request goes to the next one.
/// Cause: the request was counted anew with each upstream that got nothing.
#[test]
fn a_request_is_counted_once_however_many_upstreams_cannot_be_reached() {
    let mut trial = Trial::default();
    let counted = (0..3).filter(|_upstream| {
        let is_first = trial.sends() == 0 && trial.take_count();
        trial.note_vain();
        is_first
    });
    assert_eq!(counted.count(), 1);
}
