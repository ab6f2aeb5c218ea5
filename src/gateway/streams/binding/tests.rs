use super::*;
use crate::gateway::log_position::tests::at;

const TEAM: Option<u64> = Some(7);
const POOL: u64 = 3;

fn version(name: &str) -> VersionTag {
    VersionTag::of(name)
}

fn origin(name: &str) -> Origin {
    Origin {
        pool: POOL,
        version: version(name),
        team: TEAM,
    }
}

/// Position that this node has read up to.
const READ_TO: u64 = 40;

/// Position at which this node's own observation began.
const OBSERVED_FROM: u64 = 20;

fn view(versions: &[&str], has_observed: bool) -> VersionsView {
    let mut versions: Vec<VersionTag> = versions.iter().map(|name| version(name)).collect();
    versions.sort_unstable();
    VersionsView {
        pool: POOL,
        versions,
        has_observed,
        read_to: at(READ_TO),
        complete_from: at(OBSERVED_FROM),
    }
}

/// An answer of a peer that has read as far as this node and not since the question.
fn answered(statement: Statement) -> Answer {
    Answer {
        statement,
        read_to: at(READ_TO),
        confirmed_end: None,
        number: 1,
    }
}

/// What peers stated to a node that has read the announcements for the request.
fn stated(statements: &[Statement]) -> Found {
    Found {
        own: None,
        answers: statements.iter().copied().map(answered).collect(),
        read_end: Some(at(READ_TO)),
        is_complete: true,
    }
}

fn decided(found: &Found, view: &VersionsView) -> Option<(VersionTag, Source)> {
    match decide(found, TEAM, view) {
        Decision::Bound(begun) => Some((begun.origin.version, begun.source)),
        Decision::Unconfirmed | Decision::Unknown => None,
    }
}

#[test]
fn known_stream_is_bound_to_the_version_that_began_it() {
    let both = view(&["v1", "v2"], true);
    let own = Found {
        own: Some((origin("v1"), Source::Own)),
        ..Found::default()
    };
    assert_eq!(decided(&own, &both), Some((version("v1"), Source::Own)));
    let peer = stated(&[Statement::Unknown, Statement::Began(origin("v2"))]);
    assert_eq!(decided(&peer, &both), Some((version("v2"), Source::Peer)));
    let gone = view(&["v2"], true);
    assert_eq!(decided(&own, &gone), Some((version("v1"), Source::Own)));
}

/// Guards against a caller that takes up the stream of another team, or learns where it began.
#[test]
fn stream_of_another_team_counts_as_unknown() {
    let of_other = Found {
        own: Some((
            Origin {
                team: Some(8),
                ..origin("v1")
            },
            Source::Own,
        )),
        ..stated(&[])
    };
    assert_eq!(decided(&of_other, &view(&["v1", "v2"], true)), None);
    let sole = Some((version("v1"), Source::SoleVersion));
    assert_eq!(decided(&of_other, &view(&["v1"], true)), sole);
}

/// Guards against a node that goes by an old or young view while another version serves that it has not seen.
#[test]
fn unknown_stream_goes_on_only_if_one_version_is_proven_to_have_served_alone() {
    let sole = Some((version("v1"), Source::SoleVersion));
    let unknown = stated(&[Statement::Unknown]);
    let vouched = stated(&[Statement::Unknown, Statement::SoleVersion(version("v1"))]);
    let contradicted = stated(&[
        Statement::SoleVersion(version("v1")),
        Statement::SoleVersion(version("v2")),
    ]);
    assert_eq!(decided(&unknown, &view(&["v1"], true)), sole);
    assert_eq!(decided(&unknown, &view(&["v1"], false)), None);
    assert_eq!(decided(&vouched, &view(&["v1"], false)), sole);
    assert_eq!(decided(&vouched, &view(&["v2"], false)), None);
    assert_eq!(decided(&vouched, &view(&["v1", "v2"], false)), None);
    assert_eq!(decided(&contradicted, &view(&["v1"], true)), None);
    let newer = stated(&[Statement::SeveralVersions]);
    assert_eq!(decided(&newer, &view(&["v1"], true)), None);
    assert_eq!(decided(&unknown, &view(&["v1", "v2"], true)), None);
    assert_eq!(decided(&vouched, &view(&[], true)), None);
}

#[test]
fn ids_that_no_request_can_have_are_not_looked_up() {
    assert!(is_valid_id("9c41d07be2a35f68"));
    assert!(!is_valid_id(""));
    assert!(!is_valid_id(&"x".repeat(MAX_ID_BYTES + 1)));
}

#[test]
fn node_vouches_for_a_sole_version_only_by_a_view_that_proves_it() {
    let sole = Statement::SoleVersion(version("v1"));
    assert_eq!(view(&["v1"], true).statement(), sole);
    assert_eq!(view(&["v1"], false).statement(), Statement::Unknown);
    assert_eq!(view(&[], true).statement(), Statement::Unknown);
    let several = Statement::SeveralVersions;
    assert_eq!(view(&["v1", "v2"], false).statement(), several);
}

/// Guards against a table that is older than the stream: a server of another version may have joined since it was read.
#[test]
fn sole_version_is_believed_only_by_a_read_that_began_after_the_take_up() {
    let seen = view(&["v1"], true);
    let unread = Found {
        read_end: None,
        ..stated(&[Statement::Unknown])
    };
    assert_eq!(decide(&unread, TEAM, &seen), Decision::Unconfirmed);
    let vouched = Found {
        read_end: None,
        ..stated(&[Statement::SoleVersion(version("v1"))])
    };
    assert_eq!(decide(&vouched, TEAM, &seen), Decision::Unconfirmed);
    let confirmed = |end| Found {
        answers: vec![Answer {
            confirmed_end: Some(end),
            ..answered(Statement::SoleVersion(version("v1")))
        }],
        ..unread.clone()
    };
    let sole = Some((version("v1"), Source::SoleVersion));
    assert_eq!(decided(&confirmed(at(READ_TO)), &seen), sole);
    let news_on_the_way = confirmed(at(READ_TO + 1));
    assert_eq!(decide(&news_on_the_way, TEAM, &seen), Decision::Unconfirmed);
    let of_restored_store = confirmed(LogPosition {
        era: at(0).era + 1,
        offset: 1,
    });
    assert_eq!(
        decide(&of_restored_store, TEAM, &seen),
        Decision::Unconfirmed
    );
}

/// Guards against a peer's word on a past that ends before this node's own observation begins: a version may have come
/// and gone between them.
#[test]
fn peer_vouches_only_up_to_the_position_that_it_has_read() {
    let young = view(&["v1"], false);
    let vouched_to = |read_to| Found {
        answers: vec![Answer {
            read_to: at(read_to),
            ..answered(Statement::SoleVersion(version("v1")))
        }],
        ..stated(&[])
    };
    let sole = Some((version("v1"), Source::SoleVersion));
    assert_eq!(decided(&vouched_to(OBSERVED_FROM), &young), sole);
    assert_eq!(decided(&vouched_to(OBSERVED_FROM - 1), &young), None);
}

#[test]
fn upstreams_are_observed_for_as_long_as_streams_last() {
    let now = TimeMs(100_000);
    assert!(has_observed(TimeMs(0), now));
    assert!(has_observed(TimeMs(now.0 - SOLE_VERSION_MS), now));
    assert!(!has_observed(TimeMs(now.0 - SOLE_VERSION_MS + 1), now));
}
