use super::*;

/// Time and length of the requested backoff.
const REQUESTED_AT: TimeMs = TimeMs(1_000);
const BACKOFF_MS: u64 = 3_000;
const END: TimeMs = TimeMs(4_000);

fn backing_off() -> RequestedBackoff {
    let mut backoff = RequestedBackoff::default();
    assert!(backoff.record(BACKOFF_MS, REQUESTED_AT));
    backoff
}

/// Returns how many of many waiting requests a node sends at one moment.
fn sent_at_once(backoff: &mut RequestedBackoff, now: TimeMs) -> u32 {
    let mut sent = 0;
    while backoff.remaining_ms(now).is_none() && sent < 100 {
        backoff.record_sent(now);
        sent += 1;
    }
    sent
}

#[test]
fn backoff_lasts_as_long_as_requested() {
    let backoff = backing_off();
    assert_eq!(backoff.remaining_ms(REQUESTED_AT), Some(BACKOFF_MS));
    assert_eq!(backoff.remaining_ms(TimeMs(3_999)), Some(1));
    assert_eq!(backoff.remaining_ms(END), None);
}

#[test]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut backoff = backing_off();
    assert!(!backoff.record(500, TimeMs(2_000)));
    assert!(!backoff.record(0, TimeMs(2_000)));
    assert_eq!(backoff.remaining_ms(TimeMs(3_999)), Some(1));
}

#[test]
fn backoff_of_zero_is_ignored() {
    let mut backoff = RequestedBackoff::default();
    assert!(!backoff.record(0, REQUESTED_AT));
    assert_eq!(sent_at_once(&mut backoff, REQUESTED_AT), 100);
}

#[test]
fn longest_backoff_does_not_overflow() {
    let mut backoff = RequestedBackoff::default();
    assert!(backoff.record(u64::MAX, REQUESTED_AT));
    assert!(backoff.remaining_ms(TimeMs(u64::MAX - 1)).is_some());
}

/// Guards against a node that sends all waiting requests at the end of a backoff, which overloads
/// the upstream again.
#[test]
fn slow_start_sends_one_request_and_more_with_each_answer() {
    let mut backoff = backing_off();
    assert_eq!(sent_at_once(&mut backoff, END), 1);
    backoff.record_answer(END);
    assert_eq!(sent_at_once(&mut backoff, END.after(30)), 2);
    backoff.record_answer(END.after(30));
    backoff.record_answer(END.after(30));
    assert_eq!(sent_at_once(&mut backoff, END.after(60)), 4);
    backoff.record_answer(END.after(60));
    assert_eq!(sent_at_once(&mut backoff, END.after(90)), 100);
}

/// Guards against an upstream that gets no more requests because the first one after its backoff
/// was lost.
#[test]
fn unanswered_request_is_followed_by_another() {
    let mut backoff = backing_off();
    assert_eq!(sent_at_once(&mut backoff, END), 1);
    assert_eq!(
        backoff.remaining_ms(END.after(RESEND_AFTER_MS - 1)),
        Some(1)
    );
    assert_eq!(sent_at_once(&mut backoff, END.after(RESEND_AFTER_MS)), 1);
}

#[test]
fn answer_to_a_request_from_before_the_backoff_does_not_end_it() {
    let mut backoff = backing_off();
    for _answer in 0..10 {
        backoff.record_answer(REQUESTED_AT);
    }
    assert_eq!(backoff.remaining_ms(TimeMs(3_999)), Some(1));
    assert_eq!(sent_at_once(&mut backoff, END), 1);
}
