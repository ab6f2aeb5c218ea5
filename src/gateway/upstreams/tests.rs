use std::net::SocketAddr;

use super::*;
use crate::gateway::limits::send_gate::Closed;
use crate::gateway::streams::VersionTag;

pub(in crate::gateway) fn announced(id: &str, pool: &str, domain: &str) -> Announcement {
    Announcement {
        id: id.to_owned(),
        born_ms: None,
        sequence: 0,
        pool: pool.to_owned(),
        version: String::new(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: domain.to_owned(),
        slots: 8,
        phase: Phase::Ready,
        is_warming: false,
        is_reclaimable: false,
        leaves_in_ms: None,
    }
}

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned() }
}

fn table(ids: &[&str]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for id in ids {
        table.apply(
            Change::Present(announced(id, "pool", "d")),
            false,
            TimeMs(1),
        );
    }
    table
}

/// Guards against requests to an upstream that has announced that it drains, as happens if only the
/// removal of its announcement takes it out of use.
#[test]
fn leaving_upstream_accepts_no_requests() {
    let mut table = table(&["a"]);
    let mut leaving = announced("a", "pool", "d");
    leaving.phase = Phase::Leaving;
    let key = table
        .apply(Change::Present(leaving), false, TimeMs(2))
        .expect("known");
    assert!(!table.get(key).expect("there").accepts_requests(TimeMs(2)));
}

#[test]
fn removed_upstream_accepts_no_requests_and_is_evicted_when_idle() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    table.get_mut(key).expect("there").own_load.running = 1;
    table.apply(removed("a"), false, TimeMs(2));
    assert!(!table.get(key).expect("kept").accepts_requests(TimeMs(2)));
    table.evict_removed(TimeMs(3));
    assert!(table.get(key).is_some(), "a request still runs there");
    table.get_mut(key).expect("there").own_load.running = 0;
    table.evict_removed(TimeMs(4));
    assert!(table.get(key).is_none());
    assert_eq!(table.find("a"), None);
}

#[test]
fn key_of_an_evicted_upstream_is_not_reused() {
    let mut table = table(&["a"]);
    let old = table.find("a").expect("there");
    table.apply(removed("a"), false, TimeMs(2));
    table.evict_removed(TimeMs(3));
    table.apply(
        Change::Present(announced("b", "pool", "d")),
        false,
        TimeMs(4),
    );
    assert!(table.get(old).is_none());
    assert!(table.get(table.find("b").expect("there")).is_some());
}

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

#[test]
fn replace_removes_absent_upstreams() {
    let mut table = table(&["a", "b"]);
    table.replace(
        vec![announced("b", "pool", "d"), announced("c", "pool", "d")],
        false,
        TimeMs(2),
    );
    let takes = |id: &str| {
        let key = table.find(id).expect("known");
        table.get(key).expect("there").accepts_requests(TimeMs(2))
    };
    assert_eq!([takes("a"), takes("b"), takes("c")], [false, true, true]);
}

#[test]
fn peer_load_report_replaces_the_previous_one() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    let load = |running| Load {
        running,
        unread_tokens: 10,
    };
    table.set_peer_loads(1, &[(tag("a"), load(3))]);
    table.set_peer_loads(2, &[(tag("a"), load(4)), (tag("unknown"), load(9))]);
    assert_eq!(table.get(key).expect("there").running(), 7);
    table.set_peer_loads(1, &[(tag("a"), load(1))]);
    assert_eq!(table.get(key).expect("there").running(), 5);
    table.set_peer_loads(2, &[]);
    assert_eq!(table.get(key).expect("there").peer_load, load(1));
}

/// Guards against losing calls for a second each while one upstream is unreachable, because calls
/// continue to be sent there until the first one has timed out.
#[test]
fn upstream_with_overdue_response_is_silent() {
    use crate::gateway::health::Outcome;
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    let upstream = table.get_mut(key).expect("there");
    upstream
        .health
        .record(Outcome::Good { took_ms: 30 }, TimeMs(1_000));
    upstream.own_load.running = 2;
    upstream.record_sent(TimeMs(1_000));
    upstream.record_sent(TimeMs(1_200));
    assert!(!upstream.is_unresponsive(TimeMs(1_250)));
    assert!(upstream.is_unresponsive(TimeMs(1_350)));
    upstream.record_response(TimeMs(1_400));
    assert!(
        !upstream.is_unresponsive(TimeMs(1_450)),
        "the wait for the next response starts now"
    );
    upstream.own_load.running = 1;
    upstream.record_response(TimeMs(1_500));
    assert!(
        !upstream.is_unresponsive(TimeMs(9_000)),
        "no response is outstanding"
    );
}

fn announced_start(id: &str, born_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        born_ms: Some(born_ms),
        sequence,
        ..announced(id, "pool", "d")
    }
}

/// Guards against state that outlives a restart.
///
/// An upstream crashes and starts again under the same id, with its sequence numbers beginning
/// again. State that is keyed by the id alone makes requests wait for an upstream that has lost
/// them, routes prompts to a cache that is empty, and leaves a recovered upstream unused.
#[test]
fn restarted_upstream_gets_a_new_key_and_fresh_state() {
    let mut table = UpstreamTable::default();
    let old = (table.apply(
        Change::Present(announced_start("a", 100, 9)),
        false,
        TimeMs(1),
    ))
    .expect("known");
    let old_tag = table.get(old).expect("there").tag;
    let upstream = table.get_mut(old).expect("there");
    upstream.own_load.running = 1;
    upstream.health.record_unreachable(TimeMs(1));
    table.set_peer_loads(
        7,
        &[(
            old_tag,
            Load {
                running: 3,
                unread_tokens: 50,
            },
        )],
    );
    let restarted = table.get(old).expect("there").restarted.clone();

    let new = (table.apply(
        Change::Present(announced_start("a", 200, 1)),
        false,
        TimeMs(2),
    ))
    .expect("known");
    assert_ne!(old, new);
    assert_eq!(table.find("a"), Some(new));
    assert!(
        restarted.is_cancelled(),
        "requests that wait for the old start are notified"
    );
    assert!(
        !table
            .get(old)
            .expect("the request of the old start has not ended")
            .accepts_requests(TimeMs(2))
    );
    let upstream = table.get(new).expect("there");
    assert!(upstream.accepts_requests(TimeMs(2)));
    assert_eq!(upstream.running(), 0);
    assert!(!upstream.health.is_paused(TimeMs(2)));
    assert!(!upstream.restarted.is_cancelled());

    // A heartbeat with the tag of the old start does not affect the new one.
    table.set_peer_loads(
        7,
        &[(
            old_tag,
            Load {
                running: 5,
                unread_tokens: 50,
            },
        )],
    );
    assert_eq!(table.get(new).expect("there").running(), 0);
    table.get_mut(old).expect("there").own_load.running = 0;
    table.evict_removed(TimeMs(3));
    assert!(table.get(old).is_none());
    assert_eq!(table.find("a"), Some(new));
}

/// Guards against an earlier announcement that arrives after a later one and overrides it: a
/// leaving upstream would get requests, or a restarted one would be taken for its old start.
#[test]
fn stale_announcement_is_ignored() {
    let mut table = UpstreamTable::default();
    let mut leaving = announced_start("a", 200, 5);
    leaving.phase = Phase::Leaving;
    let key = (table.apply(Change::Present(leaving), false, TimeMs(1))).expect("known");
    for stale in [announced_start("a", 100, 50), announced_start("a", 200, 4)] {
        let change = Change::Present(stale);
        assert!(table.is_known(&change));
        assert_eq!(table.apply(change, false, TimeMs(2)), Some(key));
        assert!(!table.get(key).expect("there").accepts_requests(TimeMs(2)));
    }
    let later = Change::Present(announced_start("a", 200, 6));
    assert!(!table.is_known(&later));
}

/// Guards against records that another writer puts under the key of an upstream or under a new key.
/// If partly readable records counted, upstreams that are gone or never existed would get requests.
#[test]
fn foreign_record_removes_only_the_upstream_under_its_key() {
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.apply(
            Change::Present(announced_start(id, 100, 1)),
            false,
            TimeMs(1),
        );
    }
    let without_start = announced("b", "pool", "d");
    table.apply(Change::Present(without_start), false, TimeMs(2));
    table.apply(Change::Unreadable { id: "c".to_owned() }, true, TimeMs(2));
    table.apply(
        Change::Present(announced("x", "pool", "d")),
        false,
        TimeMs(2),
    );
    let accepts = |table: &UpstreamTable, id: &str| {
        let key = table.find(id);
        key.is_some_and(|key| table.get(key).expect("there").accepts_requests(TimeMs(3)))
    };
    assert!(accepts(&table, "a"));
    assert!(!accepts(&table, "b"));
    assert!(!accepts(&table, "c"));
    assert!(!accepts(&table, "x"));
    for id in ["b", "c"] {
        table.apply(
            Change::Present(announced_start(id, 100, 2)),
            false,
            TimeMs(4),
        );
        assert!(
            accepts(&table, id),
            "the next announcement of the upstream restores it"
        );
    }
}

#[test]
fn start_time_is_optional_when_the_pool_announces_none() {
    let mut table = table(&["a", "b"]);
    let odd = Change::Present(announced_start("x", 100, 1));
    table.apply(odd, false, TimeMs(2));
    table.apply(
        Change::Present(announced("c", "pool", "d")),
        false,
        TimeMs(2),
    );
    for id in ["a", "b", "c"] {
        let key = table.find(id).expect("there");
        assert!(table.get(key).expect("there").accepts_requests(TimeMs(3)));
    }
}

/// Guards against a restarted upstream that gets no requests because its previous start had asked
/// for a backoff.
#[test]
fn restarted_upstream_does_not_inherit_the_backoff() {
    let mut table = UpstreamTable::default();
    let mut first = announced("a", "pool", "d");
    first.born_ms = Some(1);
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(1));
    let upstream = table.get_mut(key.expect("known")).expect("there");
    upstream.send_gate.backoff.record(3_000, TimeMs(1));
    first.sequence = 1;
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(2));
    let closed = |table: &UpstreamTable, key: Option<UpstreamKey>| {
        let upstream = table.get(key.expect("known")).expect("there");
        upstream.send_gate.closed_reason(TimeMs(3))
    };
    assert_eq!(closed(&table, key), Some(Closed::Resting));
    first.born_ms = Some(2);
    let key = table.apply(Change::Present(first), false, TimeMs(3));
    assert_eq!(closed(&table, key), None);
}

/// Guards against a request to an upstream that was chosen before its announcement stated that it
/// leaves, and that is sent afterwards.
#[test]
fn chosen_upstream_that_announced_leaving_rejects_the_request() {
    let mut table = table(&["a"]);
    let mut leaving = announced("a", "pool", "d");
    let key = table.find("a").expect("known");
    assert_eq!(table.get_mut(key).expect("there").admit(TimeMs(2)), Ok(()));
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, TimeMs(2));
    let entered = table.get_mut(key).expect("there").admit(TimeMs(2));
    assert_eq!(entered, Err(Closed::Leaving));
}

/// Guards against a node that started later and sends to an upstream that has stated to other nodes
/// that it leaves.
#[test]
fn reported_leaving_applies_to_that_start_only() {
    let mut table = UpstreamTable::default();
    let mut first = announced("a", "pool", "d");
    first.born_ms = Some(1);
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(1));
    assert!(table.apply_leaving_report(first.tag(), TimeMs(1)).is_some());
    assert!(
        table.apply_leaving_report(first.tag(), TimeMs(1)).is_none(),
        "the report is not new"
    );
    assert!(
        table.apply_leaving_report(17, TimeMs(1)).is_none(),
        "no upstream has this tag"
    );
    assert_eq!(table.leaving_unannounced(), [first.tag()]);
    // The announcement may continue to state that the upstream is ready.
    first.sequence = 1;
    table.apply(Change::Present(first.clone()), false, TimeMs(2));
    let upstream = table.get(key.expect("known")).expect("there");
    assert!(!upstream.accepts_requests(TimeMs(2)));
    first.born_ms = Some(2);
    let key = table.apply(Change::Present(first), false, TimeMs(3));
    let upstream = table.get(key.expect("known")).expect("there");
    assert!(upstream.accepts_requests(TimeMs(3)));
    assert!(table.leaving_unannounced().is_empty());
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

/// The gate's answer to a request to the upstream with this id; `None` without an entry.
fn admitted(table: &mut UpstreamTable, id: &str, now: TimeMs) -> Option<Result<(), Closed>> {
    let key = table.find(id)?;
    table
        .get_mut(key)
        .map(|upstream: &mut Upstream| upstream.admit(now))
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

/// Guards against a restarted upstream that gets no requests because its former start had stated
/// that it leaves.
#[test]
fn restarted_upstream_does_not_inherit_the_statement_of_leaving() {
    let mut table = UpstreamTable::default();
    let first = announced_start("a", 100, 7);
    table.apply(Change::Present(first.clone()), false, TimeMs(1));
    assert!(table.apply_leaving_report(first.tag(), TimeMs(1)).is_some());
    table.apply(removed("a"), true, TimeMs(10_000));
    table.evict_removed(TimeMs(12_000));
    let restarted = Change::Present(announced_start("a", 13_000, 1));
    table.apply(restarted, true, TimeMs(13_000));
    let admitted = admitted(&mut table, "a", TimeMs(13_000));
    assert_eq!(admitted, Some(Ok(())));
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

/// Guards against a restart under the same id that is taken for the same start, with another version of the software.
#[test]
fn announcement_with_another_version_is_another_start() {
    let mut table = UpstreamTable::default();
    let announcement = |version: &str, sequence| {
        let mut one = announced("a", "pool", "d");
        version.clone_into(&mut one.version);
        one.sequence = sequence;
        Change::Present(one)
    };
    let first = (table.apply(announcement("v1", 5), false, TimeMs(1))).expect("it is added");
    let restarted = table.get(first).expect("it is known").restarted.clone();
    let second = (table.apply(announcement("v2", 6), false, TimeMs(2))).expect("it is added");
    assert_ne!(first, second);
    assert!(restarted.is_cancelled(), "what the first start ran is lost");
    let version = |key| table.get(key).map(Upstream::version);
    assert_eq!(version(first), Some(VersionTag::of("v1")));
    assert_eq!(version(second), Some(VersionTag::of("v2")));
}
