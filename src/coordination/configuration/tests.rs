mod client;

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
        detected_at_ms: TimeMs(first * 1_000),
    }
}

fn held(fold: &Configuration<Check>) -> (u64, &str) {
    let held = fold.held().expect("a document is in force");
    (held.snapshot.revision, held.checked.as_str())
}

/// Guards against a change that is lost silently: two operators change revision 1 at the same time,
/// both appends succeed, and the second was made without knowledge of the first.
#[test]
fn one_of_two_concurrent_changes_is_accepted_and_the_other_is_stale() {
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

/// Guards against reporting a change in force as stale: the response to its append is lost after
/// the effect, the append is repeated, and the repeated record is stale because of the first one.
#[test]
fn repeated_append_keeps_the_first_outcome() {
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

/// Guards against an unknown outcome of a document in force: the node appends the change, a peer
/// reads it first and sends its snapshot, and the node then skips the record that would give the
/// outcome.
#[test]
fn change_adopted_from_a_peer_has_an_outcome() {
    let mut fold = fold();
    assert!(fold.adopt(&snapshot(1, 1, "a")));
    let accepted = ChangeOutcome::Accepted { revision: 1 };
    assert_eq!(fold.outcome("change-1"), Some(accepted));
}

#[test]
fn invalid_document_is_never_in_force() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.apply(&change(2, 1, "fault"));
    assert_eq!(held(&fold), (1, "a"));
    assert_eq!(fold.outcome("change-2"), Some(ChangeOutcome::Invalid));
}

/// Guards against a revert to an older document: a peer that was disconnected sends its old
/// snapshot, or a renewal arrives after a newer change.
#[test]
fn older_revisions_are_ignored() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.apply(&change(2, 1, "b"));
    assert!(!fold.adopt(&snapshot(1, 1, "a")));
    fold.apply(&renewal(3, 1, 1, "a"));
    assert_eq!(held(&fold), (2, "b"));
    assert_eq!(fold.revision(), Some(2));
}

/// Guards against a late starter without a document although one is in force: the log has dropped
/// the change itself, and a renewal carries its document.
#[test]
fn late_starter_learns_an_expired_change_from_its_renewal() {
    let mut fold = fold();
    fold.skip(&gap(1, 8));
    assert_eq!(fold.revision(), None);
    fold.apply(&renewal(8, 5, 7, "e"));
    assert_eq!(held(&fold), (5, "e"));
    fold.apply(&change(9, 5, "f"));
    assert_eq!(held(&fold), (9, "f"));
}

/// Guards against two nodes with different documents: node A has read all records; node B starts
/// when the log retains offsets from 8 on. Record 8 is a change based on revision 5, which lost to
/// record 7. B cannot see record 7, so it must not decide on 8 before a renewal shows the revision
/// in force.
#[test]
fn change_after_missing_records_waits_for_a_snapshot() {
    let tail = [change(8, 5, "lost the race"), renewal(9, 7, 8, "g")];
    let mut late = fold();
    late.skip(&gap(1, 8));
    late.apply(&tail[0]);
    assert!(late.held().is_none());
    late.apply(&tail[1]);
    assert_eq!(held(&late), (7, "g"));
}

/// Guards against the same when the renewal precedes a change that the log has dropped: a snapshot
/// is a basis only if every record after it can be read.
#[test]
fn renewal_followed_by_missing_records_is_no_basis() {
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
fn changes_between_a_renewal_and_its_basis_are_decided() {
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

/// Guards against a node that starts during an outage of the log and serves nothing for lack of a
/// document: a peer's snapshot provides one, and reading continues after the snapshot.
#[test]
fn new_node_starts_from_a_peer_snapshot() {
    let mut fold = fold();
    assert!(fold.adopt(&snapshot(5, 7, "e")));
    assert_eq!(fold.resume_from(), 8);
    fold.apply(&change(8, 5, "f"));
    assert_eq!(held(&fold), (8, "f"));
}

/// Guards against an operator who never gets the outcome of a change: a peer read the log sooner
/// and sent a later revision, and the records before the snapshot are skipped.
#[test]
fn peer_snapshot_is_in_force_at_once_and_outcomes_still_follow() {
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

/// Guards against wrong decisions of a running node after an outage longer than the log's
/// retention: the missed records may include accepted changes.
#[test]
fn gap_while_running_keeps_the_document_and_defers_decisions() {
    let mut fold = fold();
    fold.apply(&change(1, 0, "a"));
    fold.skip(&gap(2, 6));
    fold.apply(&change(6, 1, "stale, for 4 was accepted"));
    assert_eq!(held(&fold), (1, "a"));
    fold.apply(&renewal(7, 4, 6, "d"));
    assert_eq!(held(&fold), (4, "d"));
}

/// Guards against operators who cannot submit any document: all nodes were replaced during an
/// outage longer than the log's retention, so no node knows the revision that was in force.
#[test]
fn log_without_records_accepts_a_first_document() {
    let mut fold = fold();
    fold.skip(&Gap {
        first_at_ms: None,
        ..gap(1, 9)
    });
    fold.apply(&change(9, 0, "i"));
    assert_eq!(held(&fold), (9, "i"));
}
