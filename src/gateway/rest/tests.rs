use super::*;

/// When the upstream asked for rest, and for how long.
const ASKED_AT: TimeMs = TimeMs(1_000);
const REST_MS: u64 = 3_000;
const END: TimeMs = TimeMs(4_000);

fn resting() -> Rest {
    let mut rest = Rest::default();
    assert!(rest.note(REST_MS, ASKED_AT));
    rest
}

/// How many requests are sent at one moment by a node that holds back many.
fn sent_at_once(rest: &mut Rest, now: TimeMs) -> u32 {
    let mut sent = 0;
    while rest.left_ms(now).is_none() && sent < 100 {
        rest.note_sent(now);
        sent += 1;
    }
    sent
}

#[test]
fn a_rest_lasts_as_long_as_was_asked() {
    let rest = resting();
    assert_eq!(rest.left_ms(ASKED_AT), Some(REST_MS));
    assert_eq!(rest.left_ms(TimeMs(3_999)), Some(1));
    assert_eq!(rest.left_ms(END), None);
}

#[test]
fn a_later_shorter_rest_does_not_end_a_longer_one() {
    let mut rest = resting();
    assert!(!rest.note(500, TimeMs(2_000)));
    assert!(!rest.note(0, TimeMs(2_000)));
    assert_eq!(rest.left_ms(TimeMs(3_999)), Some(1));
}

#[test]
fn a_rest_of_no_time_is_none() {
    let mut rest = Rest::default();
    assert!(!rest.note(0, ASKED_AT));
    assert_eq!(sent_at_once(&mut rest, ASKED_AT), 100);
}

#[test]
fn a_rest_of_more_time_than_there_is_does_not_overflow() {
    let mut rest = Rest::default();
    assert!(rest.note(u64::MAX, ASKED_AT));
    assert!(rest.left_ms(TimeMs(u64::MAX - 1)).is_some());
}

/// All that a node held back reaches the upstream at the end of its rest and knocks it over again.
#[test]
fn one_request_is_sent_first_and_more_as_answers_come() {
    let mut rest = resting();
    assert_eq!(sent_at_once(&mut rest, END), 1);
    rest.note_answer(END);
    assert_eq!(sent_at_once(&mut rest, END.after(30)), 2);
    rest.note_answer(END.after(30));
    rest.note_answer(END.after(30));
    assert_eq!(sent_at_once(&mut rest, END.after(60)), 4);
    rest.note_answer(END.after(60));
    assert_eq!(sent_at_once(&mut rest, END.after(90)), 100);
}

/// The first request after a rest is lost, and the upstream is left alone for good.
#[test]
fn without_an_answer_another_request_follows() {
    let mut rest = resting();
    assert_eq!(sent_at_once(&mut rest, END), 1);
    assert_eq!(rest.left_ms(END.after(TRIAL_MS - 1)), Some(1));
    assert_eq!(sent_at_once(&mut rest, END.after(TRIAL_MS)), 1);
}

#[test]
fn an_answer_to_what_was_sent_before_the_rest_does_not_end_it() {
    let mut rest = resting();
    for _answer in 0..10 {
        rest.note_answer(ASKED_AT);
    }
    assert_eq!(rest.left_ms(TimeMs(3_999)), Some(1));
    assert_eq!(sent_at_once(&mut rest, END), 1);
}
