//! Tests of reading a form.

use serde_json::{Value, json};

use super::{Action, Form, document_from_form};
use crate::document::raw::RawPoolKind;
use crate::document::{Document, FaultKind, RawDocument};

fn fields(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    owned.collect()
}

/// Symptom: an operator's typing is gone after a slip. Sequence: letters in a field for numbers,
/// then a check. Cause: reading the form into numbers, which cannot hold what was typed.
#[test]
fn what_is_no_number_stays_as_typed_and_is_a_fault_of_its_field() {
    let typed = fields(&[("teams[0].weight", "4,5"), ("teams[0].max_waiting", " 40 ")]);
    let document = document_from_form(&typed);
    assert_eq!(document.teams[0].weight.shown(), "4,5");
    assert_eq!(document.teams[0].max_waiting.0, json!(40));
    let faults = Document::try_from(&document).unwrap_err().faults;
    let fault = faults
        .iter()
        .find(|fault| fault.path.as_str() == "teams[0].weight");
    assert!(matches!(fault.unwrap().kind, FaultKind::WrongKind { .. }));
}

#[test]
fn numbers_are_read_as_they_are_written_in_json() {
    let cases = [
        ("4", json!(4)),
        ("4.0", json!(4.0)),
        ("-1", json!(-1)),
        ("", Value::Null),
    ];
    for (typed, expected) in cases {
        let document = document_from_form(&fields(&[("teams[0].weight", typed)]));
        assert_eq!(document.teams[0].weight.0, expected, "{typed}");
    }
    for typed in ["inf", "NaN", "1e999"] {
        let document = document_from_form(&fields(&[("teams[0].weight", typed)]));
        assert_eq!(document.teams[0].weight.0, json!(typed));
    }
}

/// Symptom: the node's memory is used up by one post. Sequence: a post names an entry far out.
/// Cause: making a list as long as the largest position in it.
#[test]
fn positions_are_an_order_and_not_a_length() {
    let far = format!("teams[{}].name", usize::MAX);
    let typed = fields(&[
        (&far, "last"),
        ("teams[10].name", "second"),
        ("teams[9].name", "first"),
    ]);
    let document = document_from_form(&typed);
    let names: Vec<String> = document
        .teams
        .iter()
        .map(|team| team.name.shown())
        .collect();
    assert_eq!(names, ["first", "second", "last"]);
}

#[test]
fn a_new_token_takes_the_place_of_its_hash() {
    let typed = fields(&[
        ("teams[0].token_sha256", "00"),
        ("teams[0].token_sha256.new", "team-archive-sample"),
        ("teams[1].token_sha256", "11"),
        ("teams[1].token_sha256.new", ""),
    ]);
    let document = document_from_form(&typed);
    let sample = include_str!("../../../sample_configs/valid/kitagawa.json");
    let sample = RawDocument::read(sample).unwrap();
    assert_eq!(document.teams[0].token_sha256, sample.teams[0].token_sha256);
    assert_eq!(document.teams[1].token_sha256.shown(), "11");
}

#[test]
fn a_failure_domain_without_a_number_is_left_out() {
    let typed = fields(&[
        ("pools[0].kind", "service"),
        ("pools[0].hosts[0].failure_domain", "hala-a"),
        ("pools[0].hosts[0].count", ""),
        ("pools[0].hosts[1].failure_domain", "hala-b"),
        ("pools[0].hosts[1].count", "2"),
    ]);
    let pool = &document_from_form(&typed).pools[0];
    assert!(matches!(pool.kind, RawPoolKind::Service(_)));
    assert_eq!(pool.hosts.len(), 1);
    assert_eq!(pool.hosts[0].failure_domain.shown(), "hala-b");
}

#[test]
fn an_action_that_is_not_known_changes_nothing() {
    for action in ["", "delete everything", "remove teams", "remove teams[x]"] {
        let body = format!("action={action}");
        assert_eq!(Action::of(&Form::parse(body.as_bytes())), Action::Check);
    }
    let typed = fields(&[("teams[0].name", "a"), ("teams[1].name", "b")]);
    let mut document = document_from_form(&typed);
    Action::of(&Form::parse(b"action=remove+teams%5B0%5D")).edit(&mut document);
    Action::of(&Form::parse(b"action=remove+teams%5B7%5D")).edit(&mut document);
    Action::of(&Form::parse(b"action=add+services")).edit(&mut document);
    assert_eq!(document.teams.len(), 1);
    assert_eq!(document.teams[0].name.shown(), "b");
    assert!(matches!(document.pools[0].kind, RawPoolKind::Service(_)));
}
