use super::*;

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

fn view(versions: &[&str], is_proof: bool) -> VersionsView {
    let mut versions: Vec<VersionTag> = versions.iter().map(|name| version(name)).collect();
    versions.sort_unstable();
    VersionsView {
        pool: POOL,
        versions,
        is_proof,
    }
}

fn stated(statements: &[Statement]) -> Found {
    Found {
        own: None,
        stated: statements.to_vec(),
        is_complete: true,
    }
}

fn decided(found: &Found, view: &VersionsView) -> Option<(VersionTag, Source)> {
    decide(found, TEAM, view).map(|begun| (begun.origin.version, begun.source))
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
        ..Found::default()
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
