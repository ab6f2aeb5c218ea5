//! Tests of comparing and merging documents.

use serde_json::json;

use super::{changes, merge};
use crate::document::RawDocument;
use crate::document::raw::RawTeam;

const KITAGAWA: &str = include_str!("../../../sample_configs/valid/kitagawa.json");
const KEG: &str = include_str!("../../../sample_configs/valid/keg.json");

fn kitagawa() -> RawDocument {
    RawDocument::read(KITAGAWA).unwrap()
}

#[test]
fn entry_inserted_at_the_front_is_one_change() {
    let mut after = kitagawa();
    let new = RawTeam {
        name: "night-desk".into(),
        ..RawTeam::default()
    };
    after.teams.insert(0, new);
    after.teams[1].weight = 5.into();
    let differences = changes(&kitagawa(), &after);
    let paths: Vec<&str> = differences
        .iter()
        .map(|change| change.path.as_str())
        .collect();
    assert_eq!(paths, ["teams[archive].weight", "teams[night-desk]"]);
    assert_eq!(differences[0].before, Some(json!(4.0)));
    assert_eq!(differences[0].after, Some(json!(5)));
}

#[test]
fn merge_with_an_unchanged_document_returns_the_changed_one() {
    let (base, other) = (kitagawa(), RawDocument::read(KEG).unwrap());
    assert_eq!(merge(&base, &other, &base), (other.clone(), Vec::new()));
    assert_eq!(merge(&base, &base, &other), (other, Vec::new()));
}

/// Guards against lost updates: two operators edit the same revision and change different values;
/// accepting the later document as a whole would revert the earlier change.
#[test]
fn changes_to_different_values_are_both_kept() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams[0].weight = 5.into();
    theirs.teams[0].max_waiting = 7.into();
    theirs.teams.remove(4);
    theirs.failure_domains[0].region = "hokkaido-east".into();
    let (merged, conflicts) = merge(&kitagawa(), &mine, &theirs);
    assert!(conflicts.is_empty());
    assert_eq!(merged.teams[0].weight, 5.into());
    assert_eq!(merged.teams[0].max_waiting, 7.into());
    assert_eq!(merged.teams.len(), 4);
    assert_eq!(merged.failure_domains[0].region, "hokkaido-east".into());
}

#[test]
fn value_changed_by_both_keeps_mine_and_is_a_conflict() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams.remove(0);
    mine.teams[0].weight = 5.into();
    theirs.teams[1].weight = 6.into();
    theirs.teams[0].weight = 9.into();
    let (merged, conflicts) = merge(&kitagawa(), &mine, &theirs);
    assert_eq!(merged, mine);
    let conflict_paths: Vec<_> = conflicts
        .iter()
        .map(|conflict| conflict.path.as_str())
        .collect();
    assert_eq!(conflict_paths, ["teams[0].weight", "teams[4]"]);
    assert_eq!(conflicts[0].theirs, Some(json!(6)));
    assert_eq!(conflicts[1].mine, None);
}

/// Guards against loss of unfinished entries: two new teams have no name yet when a concurrent
/// change is accepted first, so a merge that matches entries by name would drop them.
#[test]
fn entries_without_names_survive_a_merge() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams.extend([RawTeam::default(), RawTeam::default()]);
    theirs.teams[0].weight = 9.into();
    theirs.deployment = "Kitagawa".into();
    let (merged, conflicts) = merge(&kitagawa(), &mine, &theirs);
    assert_eq!(merged.teams, mine.teams);
    assert_eq!(merged.deployment, theirs.deployment);
    assert_eq!(conflicts.len(), 1);
}
