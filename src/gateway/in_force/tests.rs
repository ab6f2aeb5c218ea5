use super::super::catalog::tests::catalog;
use super::*;
use crate::gateway::place::tests::at;

/// Symptom: a request runs with a key that was taken away six seconds before.
/// Sequence: the store stops answering one node; an operator takes a key away; the node goes on
/// with the configuration that it has.
/// Cause: a configuration was taken to be current for as long as nothing newer came.
#[test]
fn a_configuration_that_was_not_confirmed_in_time_is_not_fresh() {
    let in_force = InForce {
        catalog: std::sync::Arc::new(catalog()),
        current_at: TimeMs(10_000),
        ..InForce::default()
    };
    assert!(in_force.is_fresh(5_000, TimeMs(14_600)));
    assert!(!in_force.is_fresh(5_000, TimeMs(14_700)));
    assert!(!in_force.is_fresh(5_000, TimeMs(60_000)));
}

#[test]
fn a_node_that_never_read_a_configuration_has_no_fresh_one() {
    let in_force = InForce::default();
    assert!(!in_force.is_known());
    assert!(!in_force.is_fresh(5_000, TimeMs(1)));
}

/// A question of a node with the same version that has read so far.
fn asking(read_to: Place) -> Question {
    Question {
        asked_at: TimeMs(13_000),
        read_to,
        version: 1,
    }
}

fn known(end: u64, current_at: u64) -> InForce {
    let catalog = Catalog {
        version: 1,
        ..catalog()
    };
    InForce {
        catalog: std::sync::Arc::new(catalog),
        document: Bytes::from_static(b"{}"),
        end: at(end),
        current_at: TimeMs(current_at),
        ..InForce::default()
    }
}

/// Symptom: a key works for eight seconds after it was taken away.
/// Sequence: a node asks a peer and is frozen for four seconds; the peer's answer waits in its socket;
/// the key is taken away meanwhile; the node wakes up and reads the answer.
/// Cause: what a peer confirms was taken to be as new as its arrival.
#[test]
fn a_confirmation_that_waited_is_as_old_as_its_question() {
    let mut node = known(7, 10_000);
    let answer = known(7, 19_700).confirmation(&asking(at(7)), TimeMs(20_000));
    let answer = answer.expect("it is known");
    assert_eq!((answer.age_ms, &answer.document), (300, &None));
    node.confirmed_by_peer(&answer, TimeMs(17_000));
    assert_eq!(node.current_at, TimeMs(12_700));
}

#[test]
fn a_peer_that_has_read_further_confirms_only_with_its_document() {
    let peer = known(9, 20_000);
    let handed = peer.confirmation(&asking(at(7)), TimeMs(20_000));
    let mut handed = handed.expect("it is known");
    assert!(handed.document.is_some());
    let mut node = known(7, 10_000);
    let mut cut = handed.clone();
    cut.document = None;
    node.confirmed_by_peer(&cut, TimeMs(13_010));
    assert!(node.is_behind());
    assert_eq!((node.end, node.current_at), (at(7), TimeMs(10_000)));
    node.confirmed_by_peer(&handed, TimeMs(13_010));
    assert!(!node.is_behind());
    assert_eq!((node.end, node.current_at), (at(9), TimeMs(13_000)));
    handed.asked_at = TimeMs(90_000);
    node.confirmed_by_peer(&handed, TimeMs(13_020));
    assert_eq!(
        node.current_at,
        TimeMs(13_000),
        "it was asked in the future"
    );
}

#[test]
fn a_configuration_too_large_for_a_datagram_is_not_handed_over() {
    let mut peer = known(9, 20_000);
    peer.document = Bytes::from(vec![b' '; LARGEST_DOCUMENT_BYTES + 1]);
    let answer = peer.confirmation(&asking(at(7)), TimeMs(20_000));
    assert_eq!(answer.expect("it is known").document, None);
    let nothing = InForce::default().confirmation(&asking(at(0)), TimeMs(20_000));
    assert_eq!(nothing, None);
}

fn with_version(version: u64, end: Place, current_at: u64) -> InForce {
    let catalog = Catalog {
        version,
        ..catalog()
    };
    InForce {
        catalog: std::sync::Arc::new(catalog),
        end,
        ..known(0, current_at)
    }
}

/// Nodes go on by an old version, since a peer that has a newer one has read up to the same offset of another history.
#[test]
fn an_end_of_another_era_confirms_nothing() {
    let old = Place { era: 1, offset: 60 };
    let new = Place { era: 2, offset: 60 };
    let mut node = with_version(48, new, 10_000);
    let stale =
        with_version(48, old, 19_900).confirmation(&node.question(TimeMs(13_000)), TimeMs(20_000));
    node.confirmed_by_peer(&stale.expect("it is known"), TimeMs(13_010));
    assert_eq!((node.end, node.current_at), (new, TimeMs(10_000)));
    // A peer that has read the new history as far, and took in a version before it was lost.
    let mut level =
        with_version(52, new, 20_000).confirmation(&node.question(TimeMs(14_000)), TimeMs(20_000));
    let level = level.as_mut().expect("it is known");
    assert!(level.document.take().is_some(), "it is handed over");
    node.confirmed_by_peer(level, TimeMs(14_010));
    assert_eq!(
        node.current_at,
        TimeMs(10_000),
        "the document was lost on its way"
    );
    assert!(node.is_outdated());
}

/// A node that does not read the store itself learns nothing after the store came back from a copy.
#[test]
fn a_node_that_has_read_nothing_of_the_present_era_asks_and_answers_nobody() {
    let mut node = with_version(48, Place { era: 1, offset: 60 }, 10_000);
    assert!(!node.is_outdated());
    node.enter_era(2);
    assert!(node.is_outdated());
    assert_eq!(node.end, Place::start_of(2));
    assert_eq!(
        node.confirmation(&Question::default(), TimeMs(10_100)),
        None
    );
    assert!(
        node.is_fresh(5_000, TimeMs(14_600)),
        "what was confirmed was true then"
    );
    node.confirmed_by_store(Place { era: 1, offset: 61 }, TimeMs(10_200));
    assert_eq!(
        node.current_at,
        TimeMs(10_000),
        "an answer of before came late"
    );
    node.confirmed_by_store(Place { era: 2, offset: 40 }, TimeMs(10_300));
    assert!(!node.is_outdated());
    assert_eq!(node.current_at, TimeMs(10_300));
}

/// A node that has just started reads a copy in which a key is valid that its peers know to be revoked.
#[test]
fn a_node_that_starts_goes_by_the_store_alone_only_after_it_could_hear_its_peers() {
    let end = Place { era: 2, offset: 40 };
    let started = || InForce {
        settles_at: TimeMs(11_000),
        ..with_version(1, end, 10_010)
    };
    let mut node = started();
    assert!(!node.is_fresh(5_000, TimeMs(10_020)));
    assert!(node.is_fresh(5_000, TimeMs(11_000)), "it is alone");
    node.note_peer_version(1);
    assert!(
        node.is_fresh(5_000, TimeMs(10_030)),
        "its peers have no other"
    );
    let mut node = started();
    node.note_peer_version(2);
    assert!(!node.is_fresh(5_000, TimeMs(10_030)) && node.is_outdated());
    node.confirmed_by_store(end, TimeMs(14_000));
    assert!(
        !node.is_fresh(5_000, TimeMs(15_000)),
        "the store lacks what its peers have"
    );
}
