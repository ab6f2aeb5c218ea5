use super::*;
use crate::gateway::place::tests::at;

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned() }
}

fn step(from: u64, to: u64, changes: Vec<Change>) -> Step {
    Step {
        from: at(from),
        to: at(to),
        changes,
    }
}

fn many(count: usize) -> Vec<Change> {
    (0..count)
        .map(|number| removed(&format!("u{number}")))
        .collect()
}

/// Symptom: requests reach an upstream 2.1 s after it has said that it leaves.
/// Sequence: the store turns a node away; the datagram that tells it of the change is lost; all
/// later ones begin behind the change.
/// Cause: each change was told once.
#[test]
fn a_change_is_told_again_for_a_while() {
    let mut recent = Recent::default();
    recent.note(step(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.note(step(14, 20, Vec::new()), TimeMs(1_450));
    recent.note(step(20, 26, vec![removed("b")]), TimeMs(1_900));
    assert_eq!(
        recent.told(at(20), TimeMs(1_900)),
        vec![step(10, 26, vec![removed("a"), removed("b")])]
    );
    let later = TimeMs(1_000 + TOLD_MS);
    recent.note(step(26, 30, Vec::new()), later);
    assert_eq!(
        recent.told(at(26), later),
        vec![step(14, 30, vec![removed("b")])]
    );
}

#[test]
fn readings_that_do_not_follow_each_other_are_not_joined() {
    let mut recent = Recent::default();
    recent.note(step(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.note(step(40, 44, vec![removed("b")]), TimeMs(1_100));
    assert_eq!(
        recent.told(at(40), TimeMs(1_100)),
        vec![step(40, 44, vec![removed("b")])]
    );
    assert_eq!(recent.since(at(12)), None);
}

/// Symptom: no node hears of any change; all read the store, which answers none of them in time.
/// Sequence: 1,200 upstreams change within a second; the message with the changes of the last
/// moments is longer than a datagram, and none is sent.
/// Cause: one message held all changes, however many.
#[test]
fn many_changes_go_into_messages_that_fit() {
    let mut recent = Recent::default();
    recent.note(step(0, 100, many(90)), TimeMs(1_000));
    recent.note(step(100, 200, many(90)), TimeMs(1_010));
    recent.note(step(200, 300, many(20)), TimeMs(1_020));
    let told = recent.told(at(100), TimeMs(1_020));
    assert_eq!(told.len(), 2, "what was told before is not told again");
    assert_eq!((told[0].from, told[1].to), (at(100), at(300)));
    assert!(
        told.iter()
            .all(|step| step.changes.len() <= MESSAGE_CHANGES)
    );
    assert_eq!(told[0].to, told[1].from, "nothing lies between them");
}

#[test]
fn a_peer_gets_all_that_it_missed_while_that_is_known() {
    let mut recent = Recent::default();
    recent.note(step(10, 14, vec![removed("a")]), TimeMs(1_000));
    recent.note(step(14, 20, vec![removed("b")]), TimeMs(2_000));
    let all = step(10, 20, vec![removed("a"), removed("b")]);
    assert_eq!(recent.since(at(10)), Some(vec![all.clone()]));
    assert_eq!(recent.since(at(12)), Some(vec![all]));
    assert_eq!(
        recent.since(at(14)),
        Some(vec![step(14, 20, vec![removed("b")])])
    );
    assert_eq!(recent.since(at(9)), None, "it missed what is not known");
    assert_eq!(recent.since(at(20)), None, "it missed nothing");
    recent.note(step(20, 21, Vec::new()), TimeMs(1_000 + KEPT_MS));
    assert_eq!(recent.since(at(10)), None, "it asks too late");
}
