use super::*;

/// Guards against dropping live upstreams long after a store outage, or keeping departed ones in
/// use: a node calls the store once during the outage and then not for a minute, and must not take
/// the store to be away all that time.
#[test]
fn failure_expires_without_further_calls() {
    let mut contact = StoreContact::default();
    contact.record(false, TimeMs(10_000));
    contact.record(false, TimeMs(12_000));
    assert_eq!(
        contact.availability(TimeMs(12_100)),
        StoreAvailability::Failing
    );
    assert!(contact.was_unavailable(TimeMs(12_100)));
    assert!(!contact.was_unavailable(TimeMs(16_000)));
    assert_eq!(
        contact.availability(TimeMs(22_000)),
        StoreAvailability::NotCalled
    );
}

#[test]
fn answer_is_valid_for_a_limited_time() {
    let mut contact = StoreContact::default();
    assert_eq!(
        contact.availability(TimeMs(9_000)),
        StoreAvailability::NotCalled
    );
    contact.record(true, TimeMs(10_000));
    assert_eq!(
        contact.availability(TimeMs(13_400)),
        StoreAvailability::Answering
    );
    assert_eq!(
        contact.availability(TimeMs(13_500)),
        StoreAvailability::NotCalled
    );
    assert_eq!(contact.failed_ms(TimeMs(13_500)), None);
}

#[test]
fn removals_may_be_expiries_for_a_limited_time_after_an_outage() {
    let mut contact = StoreContact::default();
    contact.record(false, TimeMs(10_000));
    contact.record(false, TimeMs(13_000));
    contact.record(true, TimeMs(14_000));
    assert!(contact.was_unavailable(TimeMs(16_400)));
    assert!(!contact.was_unavailable(TimeMs(16_500)));
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
    contact.record(false, TimeMs(8_300));
    contact.record(false, TimeMs(11_400));
    contact.record(true, TimeMs(19_000));
    assert!(!contact.was_unavailable(TimeMs(19_350)));
    assert_eq!(
        contact.availability(TimeMs(19_350)),
        StoreAvailability::Answering
    );
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
    contact.record(false, TimeMs(3_300));
    for ms in (3_500..11_700).step_by(450) {
        contact.record(false, TimeMs(ms));
        contact.record_peer_read(TimeMs(ms - 200));
        assert!(!contact.was_unavailable(TimeMs(ms)), "{ms}");
    }
    contact.record(true, TimeMs(11_745));
    assert!(!contact.was_unavailable(TimeMs(11_800)));
}

#[test]
fn store_that_no_node_could_read_was_away() {
    let mut contact = StoreContact::default();
    contact.record_peer_read(TimeMs(9_900));
    contact.record(false, TimeMs(10_000));
    contact.record(false, TimeMs(13_000));
    assert!(contact.was_unavailable(TimeMs(13_100)));
    contact.record(true, TimeMs(14_000));
    contact.record_peer_read(TimeMs(14_100));
    assert!(
        contact.was_unavailable(TimeMs(14_200)),
        "the store has only just recovered"
    );
}
