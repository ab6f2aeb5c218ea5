use super::*;
use crate::gateway::streams::VersionTag;

/// Returns a table with two plain upstreams of v1 and two of v2.
fn table_of_two_versions() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (id, version) in [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")] {
        let mut plain = announced(id, "plain", "d");
        version.clone_into(&mut plain.version);
        table.apply(Change::Present(plain), false, NOW);
    }
    table
}

/// Guards against a begun stream that goes to another version because its own upstream is slower or excluded.
#[test]
fn begun_stream_goes_to_the_other_upstream_of_its_version() {
    let mut table = table_of_two_versions();
    let [first, second] = ["a", "b"].map(|id| table.find(id).expect("upstream is in the table"));
    let busy = table.get_mut(second).expect("upstream is in the table");
    busy.own_load.running = 30;
    let excluded = [first];
    let ask = Criteria {
        versions: VersionFilter::Begun(VersionTag::of("v1")),
        ..ask("plain", None, &excluded)
    };
    let choice = choose(&table, &Prefixes::default(), &ask, NOW);
    assert_eq!(choice.map(|choice| choice.upstream), Some(second));
    assert!(is_any_left(&table, &ask, NOW));
}

/// Guards against a stream that waits, or goes on elsewhere, when its version has no other upstream.
#[test]
fn begun_stream_has_no_upstream_once_all_of_its_version_leave_or_had_it() {
    let mut table = table_of_two_versions();
    let mut leaving = announced("b", "plain", "d");
    "v1".clone_into(&mut leaving.version);
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, NOW);
    let excluded = [table.find("a").expect("upstream is in the table")];
    let ask = Criteria {
        versions: VersionFilter::Begun(VersionTag::of("v1")),
        ..ask("plain", None, &excluded)
    };
    assert_eq!(choose(&table, &Prefixes::default(), &ask, NOW), None);
    assert!(!is_any_left(&table, &ask, NOW));
}
