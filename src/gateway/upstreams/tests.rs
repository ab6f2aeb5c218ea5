mod removals;
mod restarts;

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

/// The gate's answer to a request to the upstream with this id; `None` without an entry.
fn admitted(table: &mut UpstreamTable, id: &str, now: TimeMs) -> Option<Result<(), Closed>> {
    let key = table.find(id)?;
    table
        .get_mut(key)
        .map(|upstream: &mut Upstream| upstream.admit(now))
}
