use super::*;

pub(in crate::gateway) fn announced(id: &str, pool: &str, domain: &str) -> Announced {
    Announced {
        id: id.to_owned(),
        pool: pool.to_owned(),
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
