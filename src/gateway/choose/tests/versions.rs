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

/// Guards against an engine that is told to copy cached blocks that another software version wrote.
#[test]
fn prefix_is_copied_from_engines_of_the_same_version_only() {
    let mut table = UpstreamTable::default();
    for (id, version) in [("a", "v1"), ("b", "v2"), ("c", "v2")] {
        let mut engine = announced(id, "engines", "d");
        version.clone_into(&mut engine.version);
        engine.slots = 64;
        table.apply(Change::Present(engine), false, NOW);
    }
    let old = table.find("a").expect("upstream is in the table");
    let mut prefixes = Prefixes::default();
    prefixes.record(5, old, NOW);
    let leaving = table.get_mut(old).expect("upstream is in the table");
    leaving.announcement.phase = Phase::Leaving;
    let prompt = prompt(5);
    let ask = ask_with_copies(&prompt);
    let choice = choose(&table, &prefixes, &ask, NOW).expect("an upstream is available");
    assert_ne!(choice.source.map(|source| source.upstream), Some(old));
    let leaving = table.get_mut(old).expect("upstream is in the table");
    "v2".clone_into(&mut leaving.announcement.version);
    let choice = choose(&table, &prefixes, &ask, NOW).expect("an upstream is available");
    assert_eq!(choice.source.map(|source| source.upstream), Some(old));
}
