//! Announcements that expire, are removed or return, and what is known of their upstreams.

use super::*;

/// Guards against an outage of two seconds after the store recovers.
///
/// When the store is unavailable for longer than its TTL of announcements, it removes all of them
/// on recovery, and live upstreams need up to two seconds to announce themselves again.
#[test]
fn announcement_that_expired_during_a_store_outage_is_used_for_the_grace_period() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    table.apply(removed("a"), true, TimeMs(10_000));
    let upstream =
        |table: &UpstreamTable, now| table.get(key).expect("kept").accepts_requests(TimeMs(now));
    assert!(upstream(&table, 11_000));
    assert!(!upstream(&table, 10_000 + EXPIRY_GRACE_MS));
    table.evict_removed(TimeMs(11_000));
    assert!(table.get(key).is_some(), "the grace period has not passed");
    table.apply(
        Change::Present(announced("a", "pool", "d")),
        false,
        TimeMs(11_500),
    );
    assert!(upstream(&table, 20_000));
}

/// Guards against a request to an engine 2,090 ms after its announcement was removed.
///
/// A node to which the store was unavailable for 7 s reads, 1.6 s after recovery, real removals
/// caused by a wave of reclaims, and treats them as expired announcements. The grace period counts
/// from the read, so the time until the read adds to it.
#[test]
fn removal_treated_as_an_expiry_stays_within_the_departure_bound() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    let (removed_ms, read_ms) = (25_109, 25_659);
    table.apply(removed("a"), true, TimeMs(read_ms));
    let at_bound = TimeMs(removed_ms + 2_000 - 200);
    assert!(!table.get(key).expect("kept").accepts_requests(at_bound));
}

/// Guards against requests to an upstream that has left, after the store is restored from a backup
/// that still holds its announcement.
#[test]
fn departed_upstream_does_not_return_from_a_backup() {
    let mut table = table(&["a"]);
    table.apply(removed("a"), false, TimeMs(2));
    table.evict_removed(TimeMs(3));
    let earlier = Change::Present(announced("a", "pool", "d"));
    assert_eq!(table.apply(earlier.clone(), true, TimeMs(4)), None);
    assert!(table.find("a").is_none());
    let mut later = announced("a", "pool", "d");
    later.sequence = 1;
    let key = table.apply(Change::Present(later), true, TimeMs(5));
    assert!(
        key.is_some(),
        "the announcement is newer than the departure"
    );
}

/// Guards against rejecting a live upstream that could not announce itself during a store outage
/// and returns with the same announcement.
#[test]
fn upstream_with_expired_announcement_returns_with_the_same_announcement() {
    let mut table = table(&["a"]);
    table.apply(removed("a"), true, TimeMs(2));
    table.evict_removed(TimeMs(2 + EXPIRY_GRACE_MS));
    assert!(table.find("a").is_none());
    let same = Change::Present(announced("a", "pool", "d"));
    assert!(table.apply(same, true, TimeMs(5_000)).is_some());
}

/// Guards against requests to an upstream that has stated that it leaves, after its announcement
/// expired in an outage of the store and it has announced itself again.
#[test]
fn statement_of_leaving_outlasts_an_expired_announcement() {
    for store_was_away in [true, false] {
        let mut table = table(&["a"]);
        let tag = announced("a", "pool", "d").tag();
        assert!(table.apply_leaving_report(tag, TimeMs(1)).is_some());
        table.apply(removed("a"), store_was_away, TimeMs(10_000));
        table.evict_removed(TimeMs(12_000));
        assert!(table.find("a").is_none());
        let mut again = announced("a", "pool", "d");
        again.sequence = 5;
        table.apply(Change::Present(again), store_was_away, TimeMs(13_000));
        let admitted = admitted(&mut table, "a", TimeMs(13_000));
        assert_eq!(admitted, Some(Err(Closed::Leaving)));
        assert_eq!(table.leaving_unannounced(), [tag], "peers are told again");
    }
}

/// Guards against requests to an upstream that had stated in answers that it leaves, after an older
/// read of the store brings its removed announcement back.
#[test]
fn older_read_does_not_undo_a_statement_of_leaving() {
    for is_evicted in [true, false] {
        let mut table = UpstreamTable::default();
        let present = |sequence| Change::Present(announced_start("a", 100, sequence));
        table.apply(present(7), false, TimeMs(1));
        let tag = announced_start("a", 100, 7).tag();
        assert!(table.apply_leaving_report(tag, TimeMs(1)).is_some());
        table.apply(removed("a"), false, TimeMs(2));
        if is_evicted {
            table.evict_removed(TimeMs(3));
        }
        for sequence in [6, 7, 8] {
            table.apply(present(sequence), false, TimeMs(4));
            let admitted = admitted(&mut table, "a", TimeMs(4));
            assert_eq!(
                admitted,
                Some(Err(Closed::Leaving)),
                "{sequence} {is_evicted}"
            );
        }
    }
}

/// Guards against the same where the announcement itself had stated that the upstream leaves.
#[test]
fn older_read_does_not_undo_an_announcement_of_leaving() {
    let mut table = UpstreamTable::default();
    let ready = announced_start("a", 100, 6);
    let mut leaving = announced_start("a", 100, 7);
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, TimeMs(1));
    table.apply(removed("a"), false, TimeMs(2));
    table.evict_removed(TimeMs(3));
    table.apply(Change::Present(ready), false, TimeMs(4));
    let admitted = admitted(&mut table, "a", TimeMs(4));
    assert_eq!(admitted, Some(Err(Closed::Leaving)));
}

/// Guards against requests to an upstream of which a peer reported that it leaves before this node
/// read its announcement.
#[test]
fn reported_leaving_applies_to_an_announcement_that_is_read_later() {
    let mut table = UpstreamTable::default();
    let tag = announced("a", "pool", "d").tag();
    assert!(table.apply_leaving_report(tag, TimeMs(1)).is_none());
    table.apply(
        Change::Present(announced("a", "pool", "d")),
        false,
        TimeMs(2),
    );
    let admitted = admitted(&mut table, "a", TimeMs(2));
    assert_eq!(admitted, Some(Err(Closed::Leaving)));
}

/// Guards against a herd on upstreams that had asked for rest, named a limit or failed, as soon as
/// their expired announcements are back.
#[test]
fn rest_limit_and_health_outlast_an_expired_announcement() {
    let mut table = table(&["a"]);
    let upstream = |table: &UpstreamTable| {
        let key = table.find("a").expect("there");
        table.get(key).expect("there").clone()
    };
    let key = table.find("a").expect("there");
    let known = table.get_mut(key).expect("there");
    known.send_gate.backoff.record(30_000, TimeMs(9_000));
    known.health.record_unreachable(TimeMs(9_000));
    known.health.record_unreachable(TimeMs(9_000));
    let health = known.health;
    table.apply(removed("a"), true, TimeMs(10_000));
    table.evict_removed(TimeMs(12_000));
    table.apply(
        Change::Present(announced("a", "pool", "d")),
        true,
        TimeMs(13_000),
    );
    assert_eq!(upstream(&table).health, health);
    let closed = upstream(&table).send_gate.closed_reason(TimeMs(13_000));
    assert_eq!(closed, Some(Closed::Resting));
}

/// Guards against streams that go on at the only version that is left although another one has just served beside it.
#[test]
fn version_of_departed_upstreams_is_remembered_for_a_while() {
    let mut table = UpstreamTable::default();
    for (id, pool, version) in [
        ("a", "pool", "v1"),
        ("b", "pool", "v2"),
        ("c", "other", "v3"),
    ] {
        let mut one = announced(id, pool, "d");
        version.clone_into(&mut one.version);
        table.apply(Change::Present(one), false, TimeMs(1));
    }
    let mut both = ["v1", "v2"].map(VersionTag::of);
    both.sort_unstable();
    assert_eq!(table.recent_versions("pool", 1_000, TimeMs(2)), both);
    table.apply(removed("a"), false, TimeMs(10));
    table.evict_removed(TimeMs(10));
    assert_eq!(table.recent_versions("pool", 1_000, TimeMs(1_009)), both);
    let left = [VersionTag::of("v2")];
    assert_eq!(table.recent_versions("pool", 1_000, TimeMs(1_010)), left);
}
