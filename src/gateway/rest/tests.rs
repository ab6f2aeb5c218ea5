use super::*;

#[test]
fn a_later_shorter_rest_does_not_end_a_longer_one() {
    let mut rest = Rest::default();
    assert!(rest.note(3_000, TimeMs(1_000)));
    assert!(!rest.note(500, TimeMs(2_000)));
    assert!(rest.is_on(TimeMs(3_999)));
    assert!(!rest.is_on(TimeMs(4_000)));
}

#[test]
fn a_rest_of_no_time_is_none() {
    let mut rest = Rest::default();
    assert!(!rest.note(0, TimeMs(1_000)));
    assert!(!rest.is_on(TimeMs(1_000)));
}
