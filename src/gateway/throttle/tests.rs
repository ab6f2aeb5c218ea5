use super::*;

/// An upstream's tag.
const ENGINE: u64 = 7;

#[test]
fn a_limit_is_known_from_its_naming_until_an_answer_no_longer_names_it() {
    let mut throttles = Throttles::default();
    let mut note =
        |stated, sent_at, now| throttles.note_answer(ENGINE, stated, TimeMs(sent_at), TimeMs(now));
    assert_eq!(note(StatedLimit::Unnamed, 0, 10), None);
    assert_eq!(
        note(StatedLimit::PerS(2.0), 10, 20),
        Some(Change::Named(2.0))
    );
    assert_eq!(note(StatedLimit::PerS(2.0), 30, 40), None);
    assert_eq!(
        note(StatedLimit::PerS(0.5), 50, 60),
        Some(Change::Named(0.5))
    );
    assert_eq!(note(StatedLimit::Unnamed, 70, 80), Some(Change::Ended));
    assert_eq!(throttles.limit_per_s(ENGINE), None);
}

#[test]
fn an_answer_asked_for_before_the_naming_does_not_end_a_limit() {
    let mut throttles = Throttles::default();
    throttles.note_answer(ENGINE, StatedLimit::PerS(2.0), TimeMs(10), TimeMs(50));
    let change = throttles.note_answer(ENGINE, StatedLimit::Unnamed, TimeMs(20), TimeMs(60));
    assert_eq!(change, None);
    assert_eq!(throttles.limit_per_s(ENGINE), Some(2.0));
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut throttles = Throttles::default();
    let mut note =
        |stated, sent_at, now| throttles.note_answer(ENGINE, stated, TimeMs(sent_at), TimeMs(now));
    assert_eq!(note(StatedLimit::Unreadable, 0, 10), None);
    note(StatedLimit::PerS(2.0), 10, 20);
    assert_eq!(note(StatedLimit::Unreadable, 30, 40), None);
    assert_eq!(throttles.limit_per_s(ENGINE), Some(2.0));
}

#[test]
fn the_limit_of_an_upstream_that_is_gone_is_forgotten() {
    let mut throttles = Throttles::default();
    throttles.note_answer(ENGINE, StatedLimit::PerS(2.0), TimeMs(0), TimeMs(1));
    throttles.forget_gone(|upstream| upstream != ENGINE);
    assert_eq!(throttles.limit_per_s(ENGINE), None);
}
