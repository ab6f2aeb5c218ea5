use super::*;
use crate::gateway::log_position::tests::at;

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned() }
}

fn batch(from: u64, to: u64, changes: Vec<Change>) -> ChangeBatch {
    ChangeBatch {
        from: at(from),
        to: at(to),
        changes,
    }
}

fn removals(count: usize) -> Vec<Change> {
    (0..count)
        .map(|number| removed(&format!("u{number}")))
        .collect()
}

/// Guards against requests reaching an upstream 2.1 s after it announced that it drains. A node
/// cannot read the store and the datagram with the change is lost; if each change is sent once, all
/// later datagrams start after it.
#[test]
fn change_is_repeated_for_a_while() {
    let mut recent = RecentChanges::default();
    recent.record(batch(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.record(batch(14, 20, Vec::new()), TimeMs(1_450));
    recent.record(batch(20, 26, vec![removed("b")]), TimeMs(1_900));
    assert_eq!(
        recent.batches_to_send(at(20), TimeMs(1_900)),
        vec![batch(10, 26, vec![removed("a"), removed("b")])]
    );
    let later = TimeMs(1_000 + REPEAT_MS);
    recent.record(batch(26, 30, Vec::new()), later);
    assert_eq!(
        recent.batches_to_send(at(26), later),
        vec![batch(14, 30, vec![removed("b")])]
    );
}

#[test]
fn batches_with_a_gap_are_not_merged() {
    let mut recent = RecentChanges::default();
    recent.record(batch(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.record(batch(40, 44, vec![removed("b")]), TimeMs(1_100));
    assert_eq!(
        recent.batches_to_send(at(40), TimeMs(1_100)),
        vec![batch(40, 44, vec![removed("b")])]
    );
    assert_eq!(recent.since(at(12)), None);
}

/// Guards against changes that reach no node, so that all nodes read an overloaded store. When
/// 1,200 upstreams change within a second, one message with all recent changes exceeds a datagram
/// and is not sent.
#[test]
fn many_changes_are_split_into_messages_that_fit() {
    let mut recent = RecentChanges::default();
    recent.record(batch(0, 100, removals(90)), TimeMs(1_000));
    recent.record(batch(100, 200, removals(90)), TimeMs(1_010));
    recent.record(batch(200, 300, removals(20)), TimeMs(1_020));
    let messages = recent.batches_to_send(at(100), TimeMs(1_020));
    assert_eq!(
        messages.len(),
        2,
        "earlier changes do not fit and are not repeated"
    );
    assert_eq!((messages[0].from, messages[1].to), (at(100), at(300)));
    assert!(
        messages
            .iter()
            .all(|batch| batch.changes.len() <= MAX_CHANGES_PER_MESSAGE)
    );
    assert_eq!(
        messages[0].to, messages[1].from,
        "the messages are contiguous"
    );
}

#[test]
fn peer_gets_missed_changes_while_they_are_retained() {
    let mut recent = RecentChanges::default();
    recent.record(batch(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.record(batch(14, 20, vec![removed("b")]), TimeMs(2_000));
    let all = batch(10, 20, vec![removed("a"), removed("b")]);
    assert_eq!(recent.since(at(10)), Some(vec![all.clone()]));
    assert_eq!(recent.since(at(12)), Some(vec![all]));
    assert_eq!(
        recent.since(at(14)),
        Some(vec![batch(14, 20, vec![removed("b")])])
    );
    assert_eq!(
        recent.since(at(9)),
        None,
        "the missed changes are no longer retained"
    );
    assert_eq!(recent.since(at(20)), None, "nothing was missed");
    recent.record(batch(20, 21, Vec::new()), TimeMs(1_000 + RETENTION_MS));
    assert_eq!(
        recent.since(at(10)),
        None,
        "the missed changes have expired"
    );
}
