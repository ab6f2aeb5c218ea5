mod keeper;

use super::{Change, ChangeOutcome, Configuration, Entry, Snapshot};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

type Check = fn(&str) -> Option<String>;

fn fold() -> Configuration<Check> {
    Configuration::new(|text| (!text.contains("fault")).then(|| text.to_owned()))
}

fn record(offset: u64, entry: &Entry) -> Record {
    Record {
        offset,
        at_ms: TimeMs(offset * 1_000),
        writer: "w".to_owned(),
        sequence: offset,
        payload: serde_json::to_string(entry).expect("entries have a JSON form"),
    }
}

fn change(offset: u64, base_revision: u64, document: &str) -> Record {
    let change = Change {
        change_id: format!("change-{offset}"),
        base_revision,
        operator: "aiko".to_owned(),
        document: document.to_owned(),
    };
    record(offset, &Entry::Change(change))
}

fn snapshot(revision: u64, as_of: u64, document: &str) -> Snapshot {
    Snapshot {
        revision,
        as_of,
        base_revision: 0,
        operator: "aiko".to_owned(),
        change_id: format!("change-{revision}"),
        accepted_at_ms: TimeMs(revision * 1_000),
        document: document.to_owned(),
    }
}

fn renewal(offset: u64, revision: u64, as_of: u64, document: &str) -> Record {
    record(offset, &Entry::Renewal(snapshot(revision, as_of, document)))
}

fn gap(wanted: u64, first: u64) -> Gap {
    Gap {
        wanted,
        first,
        first_at_ms: Some(TimeMs(first * 1_000)),
        met_ms: TimeMs(first * 1_000),
    }
}

fn held(fold: &Configuration<Check>) -> (u64, &str) {
    let held = fold.held().expect("a document is in force");
    (held.snapshot.revision, held.checked.as_str())
}

/// Symptom: an operator's change disappears without a word. Two operators change revision 1 at
/// once; both appends succeed. Cause: the second was made without sight of the first.
#[test]
fn of_racing_operators_one_wins_and_the_other_is_told() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.apply(&change(2, 1, "b"));
    fold.apply(&change(3, 1, "c"));
    assert_eq!(held(&fold), (2, "b"));
    let outcomes = ["change-2", "change-3"].map(|id| fold.outcome(id));
    let accepted = ChangeOutcome::Accepted { revision: 2 };
    let stale = ChangeOutcome::Stale { current: 2 };
    assert_eq!(outcomes, [Some(accepted), Some(stale)]);
}

/// Symptom: an operator is told that the change lost although it is in force. The answer to its
/// append was lost after the effect, and it was appended again. Cause: the repeated append is
/// stale by its own first one.
#[test]
fn a_repeated_append_keeps_the_first_outcome() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    let again = Record {
        offset: 2,
        ..change(1, 0, "a")
    };
    fold.apply(&again);
    assert_eq!(held(&fold).0, 1);
    assert_eq!(
        fold.outcome("change-1"),
        Some(ChangeOutcome::Accepted { revision: 1 })
    );
}

/// Symptom: an operator is told that it is not known what became of the first document, although it
/// is in force. The node appends it; a peer reads it first and hands it over; the node then skips
/// the record. Cause: only records give outcomes.
#[test]
fn a_change_that_a_peer_hands_over_first_has_its_outcome() {
    let mut fold = fold();
    assert!(fold.adopt(&snapshot(1, 1, "a")));
    let accepted = ChangeOutcome::Accepted { revision: 1 };
    assert_eq!(fold.outcome("change-1"), Some(accepted));
}

#[test]
fn a_faulty_document_is_never_in_force() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.apply(&change(2, 1, "fault"));
    assert_eq!(held(&fold), (1, "a"));
    assert_eq!(fold.outcome("change-2"), Some(ChangeOutcome::Invalid));
}

/// Symptom: the document in force goes back to an older one. A peer that was cut off hands over
/// what it had, or a renewal arrives after a change. Cause: late messages about older revisions.
#[test]
fn nothing_older_is_taken() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.apply(&change(2, 1, "b"));
    assert!(!fold.adopt(&snapshot(1, 1, "a")));
    fold.apply(&renewal(3, 1, 1, "a"));
    assert_eq!(held(&fold), (2, "b"));
    assert_eq!(fold.revision(), Some(2));
}

/// Symptom: a node that starts late has no document although one is in force. The log forgot the
/// change itself. Cause: limited retention; a renewal carries the document on.
#[test]
fn a_node_that_starts_after_the_change_expired_learns_it_from_the_renewal() {
    let mut fold = fold();
    fold.skip(&gap(1, 8));
    assert_eq!(fold.revision(), None);
    fold.apply(&renewal(8, 5, 7, "e"));
    assert_eq!(held(&fold), (5, "e"));
    fold.apply(&change(9, 5, "f"));
    assert_eq!(held(&fold), (9, "f"));
}

/// Symptom: two nodes hold different documents. Node A knows all; node B starts when the log keeps
/// offsets from 8 on. Record 8 is a change made from revision 5, which lost to record 7. Cause: B
/// cannot see 7, so it must not judge 8 before a renewal tells what was in force.
#[test]
fn a_change_after_missing_records_waits_for_a_snapshot() {
    let tail = [change(8, 5, "lost the race"), renewal(9, 7, 8, "g")];
    let mut late = fold();
    late.skip(&gap(1, 8));
    late.apply(&tail[0]);
    assert!(late.held().is_none());
    late.apply(&tail[1]);
    assert_eq!(held(&late), (7, "g"));
}

/// Symptom: as above. The renewal was made before a change that the log has already forgotten.
/// Cause: a snapshot counts only if every record after it can be read.
#[test]
fn a_renewal_with_missing_records_after_it_is_no_basis() {
    let mut late = fold();
    late.skip(&gap(1, 12));
    late.apply(&renewal(12, 10, 10, "j"));
    late.apply(&change(13, 10, "stale, for 11 was accepted"));
    assert_eq!(held(&late), (10, "j"));
    assert_eq!(late.revision(), None);
    assert!(late.renewal().is_none());
    late.apply(&renewal(14, 11, 13, "k"));
    assert_eq!(held(&late), (11, "k"));
}

#[test]
fn changes_between_a_renewal_and_its_basis_are_judged() {
    let mut late = fold();
    late.skip(&gap(1, 11));
    late.apply(&change(11, 10, "k"));
    late.apply(&change(12, 10, "stale"));
    late.apply(&renewal(13, 10, 10, "j"));
    assert_eq!(held(&late), (11, "k"));
    assert_eq!(
        late.outcome("change-12"),
        Some(ChangeOutcome::Stale { current: 11 })
    );
}

/// Symptom: a node starts during an outage of the log and serves nothing. Cause: it knows no
/// document; a peer's snapshot gives it one, and the log is read on from there.
#[test]
fn a_new_node_starts_from_a_peer() {
    let mut fold = fold();
    assert!(fold.adopt(&snapshot(5, 7, "e")));
    assert_eq!(fold.resume_from(), 8);
    fold.apply(&change(8, 5, "f"));
    assert_eq!(held(&fold), (8, "f"));
}

/// Symptom: an operator waits for ever for the outcome of a change. A peer read the log sooner and
/// handed over a later revision. Cause: records before the snapshot were skipped.
#[test]
fn a_hand_over_puts_in_force_at_once_and_outcomes_still_come() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    assert!(fold.adopt(&snapshot(3, 3, "c")));
    assert_eq!(held(&fold), (3, "c"));
    fold.apply(&change(2, 1, "b"));
    assert_eq!(held(&fold), (3, "c"));
    assert_eq!(
        fold.outcome("change-2"),
        Some(ChangeOutcome::Accepted { revision: 2 })
    );
    fold.apply(&change(3, 2, "c"));
    assert_eq!(fold.revision(), Some(3));
}

/// Symptom: a running node judges changes wrongly after an outage that was longer than the log's
/// retention. Cause: accepted changes may be among what it missed.
#[test]
fn a_gap_while_running_keeps_the_document_and_judges_nothing() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.skip(&gap(2, 6));
    fold.apply(&change(6, 1, "stale, for 4 was accepted"));
    assert_eq!(held(&fold), (1, "a"));
    fold.apply(&renewal(7, 4, 6, "d"));
    assert_eq!(held(&fold), (4, "d"));
}

/// Symptom: operators cannot put any document in force. All nodes were replaced while the log was
/// out for longer than its retention. Cause: nobody is left who knows what was in force.
#[test]
fn a_log_that_kept_nothing_takes_a_first_document() {
    let mut fold = fold();
    fold.skip(&Gap {
        first_at_ms: None,
        ..gap(1, 9)
    });
    fold.apply(&change(9, 0, "i"));
    assert_eq!(held(&fold), (9, "i"));
}
