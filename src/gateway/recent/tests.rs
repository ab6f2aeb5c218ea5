use super::*;

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned() }
}

/// Symptom: requests reach an upstream 2.1 s after it has said that it leaves.
/// Sequence: the store turns a node away; the datagram that tells it of the change is lost; all
/// later ones begin behind the change.
/// Cause: each change was told once.
#[test]
fn a_change_is_told_again_for_a_while() {
    let mut recent = Recent::default();
    recent.note(10, 14, vec![removed("a")], TimeMs(1_000));
    recent.note(14, 20, Vec::new(), TimeMs(1_450));
    recent.note(20, 26, vec![removed("b")], TimeMs(1_900));
    assert_eq!(
        recent.all(),
        Some((10, 26, vec![removed("a"), removed("b")]))
    );
    recent.note(26, 30, Vec::new(), TimeMs(1_000 + TOLD_MS));
    assert_eq!(recent.all(), Some((14, 30, vec![removed("b")])));
}

#[test]
fn readings_that_do_not_follow_each_other_are_not_joined() {
    let mut recent = Recent::default();
    recent.note(10, 14, vec![removed("a")], TimeMs(1_000));
    recent.note(40, 44, vec![removed("b")], TimeMs(1_100));
    assert_eq!(recent.all(), Some((40, 44, vec![removed("b")])));
}
