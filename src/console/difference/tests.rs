//! Tests of comparing and joining documents.

use serde_json::json;

use super::{changes, join};
use crate::document::RawDocument;
use crate::document::raw::RawTeam;

const KITAGAWA: &str = include_str!("../../../sample_configs/valid/kitagawa.json");
const KEG: &str = include_str!("../../../sample_configs/valid/keg.json");

fn kitagawa() -> RawDocument {
    RawDocument::read(KITAGAWA).unwrap()
}

#[test]
fn an_entry_added_in_front_is_one_change() {
    let mut after = kitagawa();
    let new = RawTeam {
        name: "night-desk".into(),
        ..RawTeam::default()
    };
    after.teams.insert(0, new);
    after.teams[1].weight = 5.into();
    let found = changes(&kitagawa(), &after);
    let paths: Vec<&str> = found.iter().map(|change| change.path.as_str()).collect();
    assert_eq!(paths, ["teams[archive].weight", "teams[night-desk]"]);
    assert_eq!(found[0].before, Some(json!(4.0)));
    assert_eq!(found[0].after, Some(json!(5)));
}

#[test]
fn joining_with_an_unchanged_document_gives_the_changed_one() {
    let (base, other) = (kitagawa(), RawDocument::read(KEG).unwrap());
    assert_eq!(join(&base, &other, &base), (other.clone(), Vec::new()));
    assert_eq!(join(&base, &base, &other), (other, Vec::new()));
}

/// Symptom: one operator's change is undone by another's. Sequence: both start from one revision
/// and change different teams. Cause: taking one document whole.
#[test]
fn changes_of_different_places_are_both_kept() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams[0].weight = 5.into();
    theirs.teams[0].max_waiting = 7.into();
    theirs.teams.remove(4);
    theirs.failure_domains[0].region = "hokkaido-east".into();
    let (joined, conflicts) = join(&kitagawa(), &mine, &theirs);
    assert!(conflicts.is_empty());
    assert_eq!(joined.teams[0].weight, 5.into());
    assert_eq!(joined.teams[0].max_waiting, 7.into());
    assert_eq!(joined.teams.len(), 4);
    assert_eq!(joined.failure_domains[0].region, "hokkaido-east".into());
}

#[test]
fn a_place_that_both_changed_keeps_mine_and_is_told() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams.remove(0);
    mine.teams[0].weight = 5.into();
    theirs.teams[1].weight = 6.into();
    theirs.teams[0].weight = 9.into();
    let (joined, conflicts) = join(&kitagawa(), &mine, &theirs);
    assert_eq!(joined, mine);
    let told: Vec<_> = conflicts
        .iter()
        .map(|conflict| conflict.path.as_str())
        .collect();
    assert_eq!(told, ["teams[0].weight", "teams[4]"]);
    assert_eq!(conflicts[0].theirs, Some(json!(6)));
    assert_eq!(conflicts[1].mine, None);
}

/// Symptom: entries that are being typed vanish in a race. Sequence: two new teams have no name
/// yet when another change comes first. Cause: matching entries by names that they do not have.
#[test]
fn entries_without_names_are_not_lost() {
    let (mut mine, mut theirs) = (kitagawa(), kitagawa());
    mine.teams.extend([RawTeam::default(), RawTeam::default()]);
    theirs.teams[0].weight = 9.into();
    theirs.deployment = "Kitagawa".into();
    let (joined, conflicts) = join(&kitagawa(), &mine, &theirs);
    assert_eq!(joined.teams, mine.teams);
    assert_eq!(joined.deployment, theirs.deployment);
    assert_eq!(conflicts.len(), 1);
}
