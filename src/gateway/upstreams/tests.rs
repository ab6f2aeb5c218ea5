use super::*;

pub(in crate::gateway) fn announced(id: &str, pool: &str, domain: &str) -> Announced {
    Announced {
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

/// Symptom: requests reach an upstream after it has said that it leaves.
/// Sequence: an upstream announces that it drains; a node goes on choosing it.
/// Cause: only removal took an upstream out.
#[test]
fn an_upstream_that_leaves_takes_no_work() {
    let mut table = table(&["a"]);
    let mut leaving = announced("a", "pool", "d");
    leaving.phase = Phase::Leaving;
    let key = table
        .apply(Change::Present(leaving), false, TimeMs(2))
        .expect("known");
    assert!(!table.get(key).expect("there").takes_work(TimeMs(2)));
}

#[test]
fn a_removed_upstream_takes_no_work_and_is_forgotten_when_idle() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    table.get_mut(key).expect("there").own.running = 1;
    table.apply(removed("a"), false, TimeMs(2));
    assert!(!table.get(key).expect("kept").takes_work(TimeMs(2)));
    table.forget_gone(TimeMs(3));
    assert!(table.get(key).is_some(), "a request still runs there");
    table.get_mut(key).expect("there").own.running = 0;
    table.forget_gone(TimeMs(4));
    assert!(table.get(key).is_none());
    assert_eq!(table.find("a"), None);
}

#[test]
fn a_key_never_stands_for_another_upstream() {
    let mut table = table(&["a"]);
    let old = table.find("a").expect("there");
    table.apply(removed("a"), false, TimeMs(2));
    table.forget_gone(TimeMs(3));
    table.apply(
        Change::Present(announced("b", "pool", "d")),
        false,
        TimeMs(4),
    );
    assert!(table.get(old).is_none());
    assert!(table.get(table.find("b").expect("there")).is_some());
}

/// Symptom: no request is served for two seconds after the store comes back.
/// Sequence: the store is away for longer than upstreams may be silent; it removes them all when
/// it is back; they announce themselves again within two seconds.
/// Cause: each removal took an upstream out at once.
#[test]
fn what_lapsed_while_the_store_was_away_is_used_for_a_moment() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    table.apply(removed("a"), true, TimeMs(10_000));
    let upstream =
        |table: &UpstreamTable, now| table.get(key).expect("kept").takes_work(TimeMs(now));
    assert!(upstream(&table, 11_000));
    assert!(!upstream(&table, 10_000 + LAPSE_GRACE_MS));
    table.forget_gone(TimeMs(11_000));
    assert!(table.get(key).is_some(), "its grace has not passed");
    table.apply(
        Change::Present(announced("a", "pool", "d")),
        false,
        TimeMs(11_500),
    );
    assert!(upstream(&table, 20_000));
}

/// Symptom: a request reaches an engine 2,090 ms after its announcement was removed.
/// Sequence: the store turned one node away for 7 s and serves it again; 1.6 s later a wave of
/// reclaims removes announcements; the node takes the removals for lapses, from when it reads them.
/// Cause: the grace for lapses and the way of a removal together exceeded the bound.
#[test]
fn a_removal_taken_for_a_lapse_stays_within_the_bound_on_leaving() {
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    let (removed_ms, read_ms) = (25_109, 25_659);
    table.apply(removed("a"), true, TimeMs(read_ms));
    let at_bound = TimeMs(removed_ms + 2_000 - 200);
    assert!(!table.get(key).expect("kept").takes_work(at_bound));
}

#[test]
fn a_whole_reading_removes_what_is_not_in_it() {
    let mut table = table(&["a", "b"]);
    table.replace(
        vec![announced("b", "pool", "d"), announced("c", "pool", "d")],
        false,
        TimeMs(2),
    );
    let takes = |id: &str| {
        let key = table.find(id).expect("known");
        table.get(key).expect("there").takes_work(TimeMs(2))
    };
    assert_eq!([takes("a"), takes("b"), takes("c")], [false, true, true]);
}

#[test]
fn loads_of_peers_replace_what_they_said_before() {
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
    assert_eq!(table.get(key).expect("there").peers, load(1));
}

/// Symptom: calls are lost for a second each while one upstream is dark.
/// Sequence: an upstream goes dark; calls are sent there until the first has waited to its end.
/// Cause: only an answer, or the end of a wait, told how an upstream fared.
#[test]
fn an_upstream_that_gives_no_sign_counts_as_silent() {
    use crate::gateway::health::Outcome;
    let mut table = table(&["a"]);
    let key = table.find("a").expect("there");
    let upstream = table.get_mut(key).expect("there");
    upstream
        .health
        .note(Outcome::Good { took_ms: 30 }, TimeMs(1_000));
    upstream.own.running = 2;
    upstream.note_sent(TimeMs(1_000));
    upstream.note_sent(TimeMs(1_200));
    assert!(!upstream.is_silent(TimeMs(1_250)));
    assert!(upstream.is_silent(TimeMs(1_350)));
    upstream.note_sign(TimeMs(1_400));
    assert!(
        !upstream.is_silent(TimeMs(1_450)),
        "another is waited for from now"
    );
    upstream.own.running = 1;
    upstream.note_sign(TimeMs(1_500));
    assert!(!upstream.is_silent(TimeMs(9_000)), "nothing is waited for");
}

fn born(id: &str, born_ms: u64, sequence: u64) -> Announced {
    Announced {
        born_ms: Some(born_ms),
        sequence,
        ..announced(id, "pool", "d")
    }
}

/// Symptom: requests wait for an upstream that has forgotten them, or go where a prompt is believed
/// to be cached and is not; an upstream that is well again is left alone.
/// Sequence: an upstream crashes and starts again under its id; its count of records begins anew.
/// Cause: all that was believed of it hung on its id.
#[test]
fn an_upstream_that_started_again_is_another_one() {
    let mut table = UpstreamTable::default();
    let old = (table.apply(Change::Present(born("a", 100, 9)), false, TimeMs(1))).expect("known");
    let old_tag = table.get(old).expect("there").tag;
    let upstream = table.get_mut(old).expect("there");
    upstream.own.running = 1;
    upstream.health.note_unreachable(TimeMs(1));
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

    let new = (table.apply(Change::Present(born("a", 200, 1)), false, TimeMs(2))).expect("known");
    assert_ne!(old, new);
    assert_eq!(table.find("a"), Some(new));
    assert!(
        restarted.is_cancelled(),
        "what waits for the old start is told"
    );
    assert!(
        !table
            .get(old)
            .expect("its request has not ended")
            .takes_work(TimeMs(2))
    );
    let upstream = table.get(new).expect("there");
    assert!(upstream.takes_work(TimeMs(2)));
    assert_eq!(upstream.running(), 0);
    assert!(!upstream.health.is_paused(TimeMs(2)));
    assert!(!upstream.restarted.is_cancelled());

    // A pulse that names the old start says nothing of the new one.
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
    table.get_mut(old).expect("there").own.running = 0;
    table.forget_gone(TimeMs(3));
    assert!(table.get(old).is_none());
    assert_eq!(table.find("a"), Some(new));
}

/// Symptom: an upstream that leaves gets work, or one that started again is taken for its old start.
/// Sequence: a record that was written earlier arrives after a later one.
/// Cause: the record that came last counted.
#[test]
fn a_record_that_comes_late_changes_nothing() {
    let mut table = UpstreamTable::default();
    let mut leaving = born("a", 200, 5);
    leaving.phase = Phase::Leaving;
    let key = (table.apply(Change::Present(leaving), false, TimeMs(1))).expect("known");
    for late in [born("a", 100, 50), born("a", 200, 4)] {
        let change = Change::Present(late);
        assert!(table.is_known(&change));
        assert_eq!(table.apply(change, false, TimeMs(2)), Some(key));
        assert!(!table.get(key).expect("there").takes_work(TimeMs(2)));
    }
    let later = Change::Present(born("a", 200, 6));
    assert!(!table.is_known(&later));
}

/// Symptom: an upstream that is gone, or was never there, gets work.
/// Sequence: another writer puts a record under an upstream's key or a key of its own.
/// Cause: each record that can be read in part counted.
#[test]
fn what_other_writers_leave_takes_out_its_key_and_nothing_else() {
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.apply(Change::Present(born(id, 100, 1)), false, TimeMs(1));
    }
    let without_start = announced("b", "pool", "d");
    table.apply(Change::Present(without_start), false, TimeMs(2));
    table.apply(Change::Unreadable { id: "c".to_owned() }, true, TimeMs(2));
    table.apply(
        Change::Present(announced("x", "pool", "d")),
        false,
        TimeMs(2),
    );
    let works = |table: &UpstreamTable, id: &str| {
        let key = table.find(id);
        key.is_some_and(|key| table.get(key).expect("there").takes_work(TimeMs(3)))
    };
    assert!(works(&table, "a"));
    assert!(!works(&table, "b"));
    assert!(!works(&table, "c"));
    assert!(!works(&table, "x"));
    for id in ["b", "c"] {
        table.apply(Change::Present(born(id, 100, 2)), false, TimeMs(4));
        assert!(works(&table, id), "its own next record brings it back");
    }
}

#[test]
fn where_no_upstream_tells_its_start_none_needs_to() {
    let mut table = table(&["a", "b"]);
    let odd = Change::Present(born("x", 100, 1));
    table.apply(odd, false, TimeMs(2));
    table.apply(
        Change::Present(announced("c", "pool", "d")),
        false,
        TimeMs(2),
    );
    for id in ["a", "b", "c"] {
        let key = table.find(id).expect("there");
        assert!(table.get(key).expect("there").takes_work(TimeMs(3)));
    }
}

/// A start of an upstream is left alone since the one before it had asked for rest.
#[test]
fn another_start_of_an_upstream_does_not_rest() {
    let mut table = UpstreamTable::default();
    let mut first = announced("a", "pool", "d");
    first.born_ms = Some(1);
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(1));
    let upstream = table.get_mut(key.expect("known")).expect("there");
    upstream.intake.rest.note(3_000, TimeMs(1));
    first.sequence = 1;
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(2));
    let closed = |table: &UpstreamTable, key: Option<UpstreamKey>| {
        let upstream = table.get(key.expect("known")).expect("there");
        upstream.intake.closed(TimeMs(3))
    };
    assert_eq!(closed(&table, key), Some(Closed::Resting));
    first.born_ms = Some(2);
    let key = table.apply(Change::Present(first), false, TimeMs(3));
    assert_eq!(closed(&table, key), None);
}

/// A choice was made before the upstream's announcement said that it leaves, and a request goes to it afterwards.
#[test]
fn what_was_chosen_before_an_upstream_announced_that_it_leaves_meets_that_at_the_gate() {
    let mut table = table(&["a"]);
    let mut leaving = announced("a", "pool", "d");
    let key = table.find("a").expect("known");
    assert_eq!(table.get_mut(key).expect("there").enter(TimeMs(2)), Ok(()));
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, TimeMs(2));
    let entered = table.get_mut(key).expect("there").enter(TimeMs(2));
    assert_eq!(entered, Err(Closed::Leaving));
}

/// A node that started later sends to an upstream that has told others in answers that it leaves.
#[test]
fn what_an_upstream_told_a_peer_of_its_leaving_holds_for_that_start_of_it() {
    let mut table = UpstreamTable::default();
    let mut first = announced("a", "pool", "d");
    first.born_ms = Some(1);
    let key = table.apply(Change::Present(first.clone()), false, TimeMs(1));
    assert!(table.note_told_leaving(first.tag()).is_some());
    assert!(
        table.note_told_leaving(first.tag()).is_none(),
        "it is not new"
    );
    assert!(
        table.note_told_leaving(17).is_none(),
        "nobody is known by that"
    );
    assert_eq!(table.leaving_unannounced(), [first.tag()]);
    // Its announcement may go on as if nothing were.
    first.sequence = 1;
    table.apply(Change::Present(first.clone()), false, TimeMs(2));
    let upstream = table.get(key.expect("known")).expect("there");
    assert!(!upstream.takes_work(TimeMs(2)));
    first.born_ms = Some(2);
    let key = table.apply(Change::Present(first), false, TimeMs(3));
    let upstream = table.get(key.expect("known")).expect("there");
    assert!(upstream.takes_work(TimeMs(3)));
    assert!(table.leaving_unannounced().is_empty());
}

/// Requests go to an upstream that has left: the store came back from a copy in which it is still there.
#[test]
fn an_upstream_that_has_left_does_not_come_back_from_a_copy() {
    let mut table = table(&["a"]);
    table.apply(removed("a"), false, TimeMs(2));
    table.forget_gone(TimeMs(3));
    let earlier = Change::Present(announced("a", "pool", "d"));
    assert_eq!(table.apply(earlier.clone(), true, TimeMs(4)), None);
    assert!(table.find("a").is_none());
    let mut later = announced("a", "pool", "d");
    later.sequence = 1;
    let key = table.apply(Change::Present(later), true, TimeMs(5));
    assert!(key.is_some(), "it has written since");
}

/// A live upstream that could not announce itself while the store was away is kept out by its own record.
#[test]
fn an_upstream_whose_record_lapsed_comes_back_with_the_same_one() {
    let mut table = table(&["a"]);
    table.apply(removed("a"), true, TimeMs(2));
    table.forget_gone(TimeMs(2 + LAPSE_GRACE_MS));
    assert!(table.find("a").is_none());
    let same = Change::Present(announced("a", "pool", "d"));
    assert!(table.apply(same, true, TimeMs(5_000)).is_some());
}
