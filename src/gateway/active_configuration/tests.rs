use super::super::catalog::tests::catalog;
use super::*;
use crate::gateway::log_position::tests::at;

/// Guards against accepting a key six seconds after it was revoked: the store stops answering one
/// node, an operator revokes the key, and the node keeps using its configuration because it has
/// read no newer one.
#[test]
fn configuration_without_recent_confirmation_is_not_fresh() {
    let in_force = ActiveConfiguration {
        catalog: std::sync::Arc::new(catalog()),
        confirmed_at: TimeMs(10_000),
        ..ActiveConfiguration::default()
    };
    assert!(in_force.is_fresh(5_000, TimeMs(14_600)));
    assert!(!in_force.is_fresh(5_000, TimeMs(14_700)));
    assert!(!in_force.is_fresh(5_000, TimeMs(60_000)));
}

#[test]
fn unknown_configuration_is_not_fresh() {
    let in_force = ActiveConfiguration::default();
    assert!(!in_force.is_known());
    assert!(!in_force.is_fresh(5_000, TimeMs(1)));
}

/// A request of a node that has the same version and has read up to `read_to`.
fn request_from(read_to: LogPosition) -> ConfirmationRequest {
    ConfirmationRequest {
        asked_at: TimeMs(13_000),
        read_to,
        version: 1,
    }
}

fn known(end: u64, current_at: u64) -> ActiveConfiguration {
    let catalog = Catalog {
        version: 1,
        ..catalog()
    };
    ActiveConfiguration {
        catalog: std::sync::Arc::new(catalog),
        document: Bytes::from_static(b"{}"),
        end: at(end),
        confirmed_at: TimeMs(current_at),
        ..ActiveConfiguration::default()
    }
}

/// Guards against accepting a key for eight seconds after it was revoked.
///
/// A node requests a confirmation and is frozen for four seconds. The answer waits in its socket
/// while the key is revoked, and must not count as recent as its arrival.
#[test]
fn delayed_confirmation_dates_from_its_request() {
    let mut node = known(7, 10_000);
    let answer = known(7, 19_700).confirmation(&request_from(at(7)), TimeMs(20_000));
    let answer = answer.expect("the configuration is known");
    assert_eq!((answer.age_ms, &answer.document), (300, &None));
    node.confirmed_by_peer(&answer, TimeMs(17_000));
    assert_eq!(node.confirmed_at, TimeMs(12_700));
}

#[test]
fn peer_that_has_read_further_confirms_only_with_its_document() {
    let peer = known(9, 20_000);
    let confirmation = peer.confirmation(&request_from(at(7)), TimeMs(20_000));
    let mut confirmation = confirmation.expect("the configuration is known");
    assert!(confirmation.document.is_some());
    let mut node = known(7, 10_000);
    let mut without_document = confirmation.clone();
    without_document.document = None;
    node.confirmed_by_peer(&without_document, TimeMs(13_010));
    assert!(node.is_behind());
    assert_eq!((node.end, node.confirmed_at), (at(7), TimeMs(10_000)));
    node.confirmed_by_peer(&confirmation, TimeMs(13_010));
    assert!(!node.is_behind());
    assert_eq!((node.end, node.confirmed_at), (at(9), TimeMs(13_000)));
    confirmation.asked_at = TimeMs(90_000);
    node.confirmed_by_peer(&confirmation, TimeMs(13_020));
    assert_eq!(
        node.confirmed_at,
        TimeMs(13_000),
        "the request time lies in the future"
    );
}

/// Guards against a key that goes on working after it was revoked: a document that could not be
/// decoded counted as read, so that nobody looked for it in the store.
#[test]
fn document_that_could_not_be_applied_confirms_nothing() {
    let peer = with_version(2, at(9), 20_000);
    let mut node = known(7, 10_000);
    let confirmation = peer.confirmation(&node.request(TimeMs(13_000)), TimeMs(20_000));
    let confirmation = confirmation.expect("the configuration is known");
    assert!(confirmation.document.is_some());
    node.confirmed_by_peer(&confirmation, TimeMs(13_010));
    assert_eq!((node.end, node.confirmed_at), (at(7), TimeMs(10_000)));
    assert!(node.is_behind() && node.is_outdated());
}

#[test]
fn configuration_beyond_the_largest_message_is_not_sent() {
    let mut peer = known(9, 20_000);
    peer.document = Bytes::from(vec![b' '; MAX_SENT_DOCUMENT_BYTES + 1]);
    let answer = peer.confirmation(&request_from(at(7)), TimeMs(20_000));
    assert_eq!(answer.expect("the configuration is known").document, None);
    let nothing = ActiveConfiguration::default().confirmation(&request_from(at(0)), TimeMs(20_000));
    assert_eq!(nothing, None);
}

fn with_version(version: u64, end: LogPosition, current_at: u64) -> ActiveConfiguration {
    let catalog = Catalog {
        version,
        ..catalog()
    };
    ActiveConfiguration {
        catalog: std::sync::Arc::new(catalog),
        end,
        ..known(0, current_at)
    }
}

/// Guards against using an old version because a peer with a newer one has read up to the same
/// offset of another era.
#[test]
fn position_of_another_era_confirms_nothing() {
    let old = LogPosition { era: 1, offset: 60 };
    let new = LogPosition { era: 2, offset: 60 };
    let mut node = with_version(48, new, 10_000);
    let stale =
        with_version(48, old, 19_900).confirmation(&node.request(TimeMs(13_000)), TimeMs(20_000));
    node.confirmed_by_peer(&stale.expect("the configuration is known"), TimeMs(13_010));
    assert_eq!((node.end, node.confirmed_at), (new, TimeMs(10_000)));
    // This peer has read as far in the new era, and had applied a version before the store lost it.
    let mut level =
        with_version(52, new, 20_000).confirmation(&node.request(TimeMs(14_000)), TimeMs(20_000));
    let level = level.as_mut().expect("the configuration is known");
    assert!(level.document.take().is_some(), "the document is sent");
    node.confirmed_by_peer(level, TimeMs(14_010));
    assert_eq!(
        node.confirmed_at,
        TimeMs(10_000),
        "the confirmation lacks the document"
    );
    assert!(node.is_outdated());
}

/// Guards against a node that does not read the store itself and learns of no change after the
/// store was restored from a backup.
#[test]
fn node_without_records_of_the_current_era_asks_peers_and_answers_none() {
    let mut node = with_version(48, LogPosition { era: 1, offset: 60 }, 10_000);
    assert!(!node.is_outdated());
    node.enter_era(2);
    assert!(node.is_outdated());
    assert_eq!(node.end, LogPosition::start_of(2));
    assert_eq!(
        node.confirmation(&ConfirmationRequest::default(), TimeMs(10_100)),
        None
    );
    assert!(
        node.is_fresh(5_000, TimeMs(14_600)),
        "the earlier confirmation is still valid"
    );
    node.confirmed_by_store(LogPosition { era: 1, offset: 61 }, TimeMs(10_200));
    assert_eq!(
        node.confirmed_at,
        TimeMs(10_000),
        "an answer of the previous era is ignored"
    );
    node.confirmed_by_store(LogPosition { era: 2, offset: 40 }, TimeMs(10_300));
    assert!(!node.is_outdated());
    assert_eq!(node.confirmed_at, TimeMs(10_300));
}

/// Guards against a node that has just started and accepts a key from a restored backup which its
/// peers know to be revoked.
#[test]
fn started_node_trusts_the_store_alone_only_after_the_startup_period() {
    let end = LogPosition { era: 2, offset: 40 };
    let started = || ActiveConfiguration {
        trusts_store_at: TimeMs(11_000),
        ..with_version(1, end, 10_010)
    };
    let mut node = started();
    assert!(!node.is_fresh(5_000, TimeMs(10_020)));
    assert!(
        node.is_fresh(5_000, TimeMs(11_000)),
        "the startup period is over and no peer has reported"
    );
    node.record_peer_version(1);
    assert!(
        node.is_fresh(5_000, TimeMs(10_030)),
        "the peers have the same version"
    );
    let mut node = started();
    node.record_peer_version(2);
    assert!(!node.is_fresh(5_000, TimeMs(10_030)) && node.is_outdated());
    node.confirmed_by_store(end, TimeMs(14_000));
    assert!(
        !node.is_fresh(5_000, TimeMs(15_000)),
        "the store lacks the version of the peers"
    );
}

/// Guards against a fleet in which each node reads each change from the store: a document with
/// hundreds of teams and routes exceeds a datagram and is sent to the peers all the same.
#[test]
fn configuration_of_hundreds_of_teams_is_sent_to_peers() {
    let mut peer = known(9, 20_000);
    peer.document = Bytes::from(vec![b' '; 250_000]);
    let answer = peer.confirmation(&request_from(at(7)), TimeMs(20_000));
    let document = answer.expect("the configuration is known").document;
    assert_eq!(document.map(|document| document.len()), Some(250_000));
}
