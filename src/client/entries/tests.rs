//! Tests of the choice among nodes.

use super::{Authority, EntryBook, FAILED_REST_MS, ID_KEEP_MS};
use crate::client::wire::{Entries, EntryAddress};
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

fn list(addresses: &[&str]) -> Entries {
    let entries = addresses.iter().map(|address| EntryAddress {
        address: (*address).to_owned(),
    });
    Entries {
        entries: entries.collect(),
        ttl_ms: 5_000,
        ids: vec![String::from("id-1")],
    }
}

fn book() -> EntryBook {
    let mut book = EntryBook::new([Authority::from("seed:1")]);
    book.take_list(&list(&["a:1", "b:1"]), NOW);
    book
}

fn picked(book: &EntryBook, avoid: Option<&str>, now: TimeMs) -> String {
    let avoid = avoid.map(Authority::from);
    book.pick(avoid.as_ref(), now).unwrap().to_string()
}

#[test]
fn the_best_entry_is_used_until_it_fails() {
    let mut book = book();
    assert_eq!(picked(&book, None, NOW), "a:1");
    assert_eq!(picked(&book, Some("a:1"), NOW), "b:1");
    book.note_failure(&Authority::from("a:1"), NOW);
    assert_eq!(picked(&book, None, NOW), "b:1");
}

/// Symptom: a caller hangs on one dead node although it asked for a new list. Sequence: the node
/// fails, the list is asked for again and still names it first, since the others have not noticed
/// yet. Cause: forgetting failures with the old list.
#[test]
fn a_new_list_does_not_hide_a_failure() {
    let mut book = book();
    book.note_failure(&Authority::from("a:1"), NOW);
    book.take_list(&list(&["a:1", "b:1"]), NOW);
    assert_eq!(picked(&book, None, NOW), "b:1");
    book.note_answer(&Authority::from("a:1"));
    assert_eq!(picked(&book, None, NOW), "a:1");
}

/// Symptom: a caller never comes back after all nodes were away. Sequence: every known node fails,
/// then they return. Cause: leaving out those that failed.
#[test]
fn nodes_that_failed_are_still_asked() {
    let mut book = book();
    for authority in ["a:1", "b:1", "seed:1"] {
        book.note_failure(&Authority::from(authority), NOW);
    }
    assert!(book.is_stale(NOW));
    assert_eq!(book.to_ask(NOW).len(), 3);
    assert_eq!(picked(&book, None, NOW), "a:1");
    assert!(!book.is_stale(NOW.after(FAILED_REST_MS)));
}

#[test]
fn ids_are_used_once_and_not_when_old() {
    let mut held = book();
    assert_eq!(held.take_id(NOW).as_deref(), Some("id-1"));
    assert_eq!(held.take_id(NOW), None);
    assert_eq!(book().take_id(NOW.after(ID_KEEP_MS)), None);
}

#[test]
fn the_list_ends_with_its_time() {
    assert!(!book().is_stale(NOW.after(4_999)));
    assert!(book().is_stale(NOW.after(5_000)));
}
