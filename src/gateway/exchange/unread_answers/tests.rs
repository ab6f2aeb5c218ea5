use super::*;

const ANSWER_BYTES: usize = 12 * 1024 * 1024;
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Guards against a caller that reads a byte now and then, and keeps the memory of others' answers.
#[test]
fn answer_without_progress_for_the_longest_is_given_up() {
    let mut unread = UnreadAnswers::default();
    let trickling = unread.enter(ANSWER_BYTES, TimeMs(0));
    let silent = unread.enter(ANSWER_BYTES, TimeMs(100));
    let slow = unread.enter(ANSWER_BYTES, TimeMs(0));
    for now_ms in (0..2_000).step_by(100) {
        unread.record_write(trickling, 1, TimeMs(now_ms));
        unread.record_write(slow, PROGRESS_BYTES, TimeMs(now_ms));
    }
    let now = TimeMs(2_000);
    assert_eq!(unread.give_up(now), Some(trickling));
    assert_eq!(unread.give_up(now), Some(silent));
    assert_eq!(unread.give_up(now), None, "the third is read on");
}

/// Guards against an answer that has run and is thrown away as soon as another one comes.
#[test]
fn answer_that_has_just_been_read_is_not_given_up() {
    let mut unread = UnreadAnswers::default();
    unread.enter(ANSWER_BYTES, TimeMs(0));
    assert_eq!(unread.give_up(TimeMs(STALLED_MS - 1)), None);
}

#[test]
fn room_is_bounded_by_what_is_unread_and_one_answer_always_has_room() {
    let mut unread = UnreadAnswers::default();
    assert!(unread.has_room(2 * MAX_BYTES, MAX_BYTES));
    let first = unread.enter(ANSWER_BYTES, TimeMs(0));
    assert!(unread.has_room(ANSWER_BYTES, MAX_BYTES));
    unread.enter(ANSWER_BYTES, TimeMs(0));
    assert!(!unread.has_room(ANSWER_BYTES, MAX_BYTES));
    unread.leave(first);
    assert!(unread.has_room(ANSWER_BYTES, MAX_BYTES));
}
