use super::*;

/// Guards against dropping live upstreams long after a store outage, or keeping departed ones in
/// use: a node calls the store once during the outage and then not for a minute, and must not take
/// the store to be away all that time.
#[test]
fn failure_expires_without_further_calls() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(12_000));
    assert_eq!(contact.reach(TimeMs(12_100)), StoreReach::Failing);
    assert!(contact.was_away(TimeMs(12_100)));
    assert!(!contact.was_away(TimeMs(16_000)));
    assert_eq!(contact.reach(TimeMs(22_000)), StoreReach::Unasked);
}

#[test]
fn answer_is_valid_for_a_limited_time() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.reach(TimeMs(9_000)), StoreReach::Unasked);
    contact.note(true, TimeMs(10_000));
    assert_eq!(contact.reach(TimeMs(13_400)), StoreReach::Answering);
    assert_eq!(contact.reach(TimeMs(13_500)), StoreReach::Unasked);
    assert_eq!(contact.failed_ms(TimeMs(13_500)), None);
}

#[test]
fn removals_may_be_expiries_for_a_limited_time_after_an_outage() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(13_000));
    contact.note(true, TimeMs(14_000));
    assert!(contact.was_away(TimeMs(16_400)));
    assert!(!contact.was_away(TimeMs(16_500)));
}

/// Guards against requests to an upstream 2.1 s after it has left.
///
/// The store refuses a node until 11.5 s, and the node, whose configuration peers confirm, does not
/// call it again before 19.0 s. An upstream is removed at 17.5 s; the node reads the removal and
/// sends it to all others. The first answer after the failures must not count as the recovery of
/// the store, nor the removal as an expired announcement.
#[test]
fn answer_long_after_a_failure_is_no_recovery() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(8_300));
    contact.note(false, TimeMs(11_400));
    contact.note(true, TimeMs(19_000));
    assert!(!contact.was_away(TimeMs(19_350)));
    assert_eq!(contact.reach(TimeMs(19_350)), StoreReach::Answering);
}

/// Guards against a request to an upstream 2.1 s after it has left.
///
/// The store refuses one node for eight seconds and serves the others, whose messages that node
/// receives meanwhile. Once it is answered again, the node becomes the reader for all, reads that
/// an upstream was removed, and must not state to the others that removals may be expired
/// announcements.
#[test]
fn store_that_served_other_nodes_was_not_away() {
    let mut contact = StoreContact::default();
    contact.note(false, TimeMs(3_300));
    for ms in (3_500..11_700).step_by(450) {
        contact.note(false, TimeMs(ms));
        contact.record_peer_read(TimeMs(ms - 200));
        assert!(!contact.was_away(TimeMs(ms)), "{ms}");
    }
    contact.note(true, TimeMs(11_745));
    assert!(!contact.was_away(TimeMs(11_800)));
}

#[test]
fn store_that_no_node_could_read_was_away() {
    let mut contact = StoreContact::default();
    contact.record_peer_read(TimeMs(9_900));
    contact.note(false, TimeMs(10_000));
    contact.note(false, TimeMs(13_000));
    assert!(contact.was_away(TimeMs(13_100)));
    contact.note(true, TimeMs(14_000));
    contact.record_peer_read(TimeMs(14_100));
    assert!(
        contact.was_away(TimeMs(14_200)),
        "the store has only just recovered"
    );
}
