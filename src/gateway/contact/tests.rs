use super::*;

/// Symptom: live upstreams are dropped by nodes long after the store was away, or one that left goes
/// on getting work.
/// Sequence: a node asks the store once while it is away, and then not for a minute.
/// Cause: a store that failed once was taken to be away until it was asked again.
#[test]
fn a_failure_is_forgotten_when_nothing_is_asked() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(12_000));
    assert_eq!(contact.reach(TimeMs(12_100)), StoreReach::Failing);
    assert!(contact.was_away(TimeMs(12_100)));
    assert!(!contact.was_away(TimeMs(16_000)));
    assert_eq!(contact.reach(TimeMs(22_000)), StoreReach::Unasked);
}

#[test]
fn an_answer_counts_for_a_while() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.reach(TimeMs(9_000)), StoreReach::Unasked);
    contact.note(true, TimeMs(10_000));
    assert_eq!(contact.reach(TimeMs(13_400)), StoreReach::Answering);
    assert_eq!(contact.reach(TimeMs(13_500)), StoreReach::Unasked);
    assert_eq!(contact.failed_ms(TimeMs(13_500)), None);
}

#[test]
fn removals_may_be_lapses_for_a_moment_after_an_outage() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(13_000));
    contact.note(true, TimeMs(14_000));
    assert!(contact.was_away(TimeMs(16_400)));
    assert!(!contact.was_away(TimeMs(16_500)));
}

/// Symptom: requests reach an upstream 2.1 s after it has left, on a day of a hunt (DRAIN).
/// Sequence: the store turns a node away until 11.5 s; the node does not ask it again before 19.0 s, by
/// what peers confirm; an upstream is removed at 17.5 s; the node reads that and tells all others.
/// Cause: the first answer after the failures was taken for the store's return, and the removal for a
/// lapse.
#[test]
fn an_answer_long_after_a_failure_is_no_return_of_the_store() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(8_300));
    contact.note(false, TimeMs(11_400));
    contact.note(true, TimeMs(19_000));
    assert!(!contact.was_away(TimeMs(19_350)));
    assert_eq!(contact.reach(TimeMs(19_350)), StoreReach::Answering);
}

/// Symptom: a request reaches an upstream 2.1 s after it has left, on a day of a hunt (DRAIN).
/// Sequence: the store turns one node away for eight seconds and serves the others, whose news that node
/// gets all the while; it is answered again, becomes the one that reads for all, reads that an upstream
/// was removed, and tells all others that removals may be lapses.
/// Cause: a store that turned one node away was taken to have been away.
#[test]
fn a_store_that_served_the_others_was_not_away() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(3_300));
    for ms in (3_500..11_700).step_by(450) {
        contact.note(false, TimeMs(ms));
        contact.note_peer_read(TimeMs(ms - 200));
        assert!(!contact.was_away(TimeMs(ms)), "{ms}");
    }
    contact.note(true, TimeMs(11_745));
    assert!(!contact.was_away(TimeMs(11_800)));
}

#[test]
fn a_store_that_nobody_read_was_away() {
    let mut contact = StoreContact::default();
    contact.note_peer_read(TimeMs(9_900));
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(13_000));
    assert!(contact.was_away(TimeMs(13_100)));
    contact.note(true, TimeMs(14_000));
    contact.note_peer_read(TimeMs(14_100));
    assert!(
        contact.was_away(TimeMs(14_200)),
        "it has only just come back"
    );
}
