//! Tests of parsing forms.

use serde_json::{Value, json};

use super::{Action, Form, document_from_fields};
use crate::document::raw::RawPoolKind;
use crate::document::{Document, FaultKind, RawDocument};

fn fields(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    owned.collect()
}

/// Guards against loss of invalid input: an operator types letters into a number field and submits
/// the form; parsing the field into a number type would discard the input.
#[test]
fn invalid_number_is_kept_as_text_and_reported_at_its_field() {
    let typed = fields(&[("teams[0].weight", "4,5"), ("teams[0].max_waiting", " 40 ")]);
    let document = document_from_fields(&typed);
    assert_eq!(document.teams[0].weight.display_text(), "4,5");
    assert_eq!(document.teams[0].max_waiting.0, json!(40));
    let faults = Document::try_from(&document).unwrap_err().faults;
    let fault = faults
        .iter()
        .find(|fault| fault.path.as_str() == "teams[0].weight");
    assert!(matches!(fault.unwrap().kind, FaultKind::WrongKind { .. }));
}

#[test]
fn numbers_keep_their_json_type() {
    let cases = [
        ("4", json!(4)),
        ("4.0", json!(4.0)),
        ("-1", json!(-1)),
        ("", Value::Null),
    ];
    for (typed, expected) in cases {
        let document = document_from_fields(&fields(&[("teams[0].weight", typed)]));
        assert_eq!(document.teams[0].weight.0, expected, "{typed}");
    }
    for typed in ["inf", "NaN", "1e999"] {
        let document = document_from_fields(&fields(&[("teams[0].weight", typed)]));
        assert_eq!(document.teams[0].weight.0, json!(typed));
    }
}

/// Guards against memory exhaustion by one post: a post names an entry at a very large position,
/// and allocating a list up to the largest position would use up the node's memory.
#[test]
fn entry_positions_give_the_order_and_not_the_length() {
    let far = format!("teams[{}].name", usize::MAX);
    let typed = fields(&[
        (&far, "last"),
        ("teams[10].name", "second"),
        ("teams[9].name", "first"),
    ]);
    let document = document_from_fields(&typed);
    let names: Vec<String> = document
        .teams
        .iter()
        .map(|team| team.name.display_text())
        .collect();
    assert_eq!(names, ["first", "second", "last"]);
}

#[test]
fn new_token_replaces_the_stored_hash() {
    let typed = fields(&[
        ("teams[0].token_sha256", "00"),
        ("teams[0].token_sha256.new", "team-archive-sample"),
        ("teams[1].token_sha256", "11"),
        ("teams[1].token_sha256.new", ""),
    ]);
    let document = document_from_fields(&typed);
    let sample = include_str!("../../../sample_configs/valid/kitagawa.json");
    let sample = RawDocument::read(sample).unwrap();
    assert_eq!(document.teams[0].token_sha256, sample.teams[0].token_sha256);
    assert_eq!(document.teams[1].token_sha256.display_text(), "11");
}

#[test]
fn failure_domain_without_a_count_is_omitted() {
    let typed = fields(&[
        ("pools[0].kind", "service"),
        ("pools[0].hosts[0].failure_domain", "hala-a"),
        ("pools[0].hosts[0].count", ""),
        ("pools[0].hosts[1].failure_domain", "hala-b"),
        ("pools[0].hosts[1].count", "2"),
    ]);
    let pool = &document_from_fields(&typed).pools[0];
    assert!(matches!(pool.kind, RawPoolKind::Service(_)));
    assert_eq!(pool.hosts.len(), 1);
    assert_eq!(pool.hosts[0].failure_domain.display_text(), "hala-b");
}

#[test]
fn unknown_action_changes_nothing() {
    for action in ["", "delete everything", "remove teams", "remove teams[x]"] {
        let body = format!("action={action}");
        assert_eq!(
            Action::from_form(&Form::parse(body.as_bytes())),
            Action::Check
        );
    }
    let typed = fields(&[("teams[0].name", "a"), ("teams[1].name", "b")]);
    let mut document = document_from_fields(&typed);
    Action::from_form(&Form::parse(b"action=remove+teams%5B0%5D")).edit(&mut document);
    Action::from_form(&Form::parse(b"action=remove+teams%5B7%5D")).edit(&mut document);
    Action::from_form(&Form::parse(b"action=add+services")).edit(&mut document);
    assert_eq!(document.teams.len(), 1);
    assert_eq!(document.teams[0].name.display_text(), "b");
    assert!(matches!(document.pools[0].kind, RawPoolKind::Service(_)));
}
