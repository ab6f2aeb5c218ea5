//! Upstreams that start again under the same id.

use super::*;

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
