//! Tests of the selection among nodes.

use super::{Authority, FAILURE_BACKOFF_MS, KnownNodes, MAX_ID_AGE_MS};
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

fn known_nodes() -> KnownNodes {
    let mut known_nodes = KnownNodes::new([Authority::from("seed:1")]);
    known_nodes.apply_list(&list(&["a:1", "b:1"]), NOW);
    known_nodes
}

fn picked(known_nodes: &KnownNodes, avoid: Option<&str>, now: TimeMs) -> String {
    let avoid = avoid.map(Authority::from);
    known_nodes.pick(avoid.as_ref(), now).unwrap().to_string()
}

#[test]
fn first_node_is_picked_until_it_fails() {
    let mut known_nodes = known_nodes();
    assert_eq!(picked(&known_nodes, None, NOW), "a:1");
    assert_eq!(picked(&known_nodes, Some("a:1"), NOW), "b:1");
    known_nodes.record_failure(&Authority::from("a:1"), NOW);
    assert_eq!(picked(&known_nodes, None, NOW), "b:1");
}

/// Guards against a caller that retries only a dead node: other nodes have not detected the failure
/// yet, so the refreshed list still names the dead node first. Failures must outlive the old list.
#[test]
fn refreshed_list_keeps_recorded_failure() {
    let mut known_nodes = known_nodes();
    known_nodes.record_failure(&Authority::from("a:1"), NOW);
    known_nodes.apply_list(&list(&["a:1", "b:1"]), NOW);
    assert_eq!(picked(&known_nodes, None, NOW), "b:1");
    known_nodes.record_response(&Authority::from("a:1"));
    assert_eq!(picked(&known_nodes, None, NOW), "a:1");
}

/// Guards against a caller that never recovers after an outage of all known nodes, because nodes
/// that failed are excluded.
#[test]
fn failed_nodes_are_still_candidates() {
    let mut known_nodes = known_nodes();
    for authority in ["a:1", "b:1", "seed:1"] {
        known_nodes.record_failure(&Authority::from(authority), NOW);
    }
    assert!(known_nodes.is_stale(NOW));
    assert_eq!(known_nodes.refresh_order(NOW).len(), 3);
    assert_eq!(picked(&known_nodes, None, NOW), "a:1");
    assert!(!known_nodes.is_stale(NOW.after(FAILURE_BACKOFF_MS)));
}

#[test]
fn id_is_used_once_and_expires() {
    let mut held = known_nodes();
    assert_eq!(held.take_id(NOW).as_deref(), Some("id-1"));
    assert_eq!(held.take_id(NOW), None);
    assert_eq!(known_nodes().take_id(NOW.after(MAX_ID_AGE_MS)), None);
}

#[test]
fn list_is_stale_after_its_ttl() {
    assert!(!known_nodes().is_stale(NOW.after(4_999)));
    assert!(known_nodes().is_stale(NOW.after(5_000)));
}
