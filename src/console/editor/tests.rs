//! Tests of the rendered form, parsed as a browser does.

use super::{Editor, Notice};
use crate::console::Session;
use crate::console::form::document_from_fields;
use crate::document::raw::Scalar;
use crate::document::{Document, RawDocument};

const KITAGAWA: &str = include_str!("../../../sample_configs/valid/kitagawa.json");
const KEG: &str = include_str!("../../../sample_configs/valid/keg.json");

fn session() -> Session {
    Session {
        operator: String::from("kobayashi"),
        form_token: String::from("a form token"),
    }
}

/// Returns the unescaped value of an attribute.
fn attribute(tag: &str, name: &str) -> Option<String> {
    let start = tag.find(&format!(" {name}=\""))? + name.len() + 3;
    let value = tag[start..].split('"').next()?;
    let entities = [
        ("&lt;", "<"),
        ("&gt;", ">"),
        ("&quot;", "\""),
        ("&#39;", "'"),
        ("&amp;", "&"),
    ];
    let unescaped = entities
        .iter()
        .fold(value.to_owned(), |text, (from, to)| text.replace(from, to));
    Some(unescaped)
}

/// Returns the fields that a browser posts for an unchanged form, without a button.
fn posted_fields(body: &str) -> Vec<(String, String)> {
    let form = body.split("action=\"/console/document\"").nth(1).unwrap();
    let mut select = String::new();
    let mut fields = Vec::new();
    for tag in form
        .split('<')
        .skip(1)
        .map(|rest| rest.split('>').next().unwrap())
    {
        let name = attribute(tag, "name").unwrap_or_default();
        let value = attribute(tag, "value").unwrap_or_default();
        let is_checkbox = attribute(tag, "type").as_deref() == Some("checkbox");
        match tag.split(' ').next().unwrap() {
            "select" => select = name,
            "option" if attribute(tag, "selected").is_some() => {
                fields.push((select.clone(), value));
            }
            "input" if !is_checkbox || attribute(tag, "checked").is_some() => {
                fields.push((name, value));
            }
            _ => {}
        }
    }
    fields
}

fn with_sorted_pools(mut document: RawDocument) -> RawDocument {
    for pool in &mut document.pools {
        pool.hosts
            .sort_by_key(|hosts| hosts.failure_domain.display_text());
        pool.host_classes.sort_by_key(Scalar::display_text);
    }
    document
}

/// Guards against unintended changes: posting an unchanged form changes the document if a field is
/// missing from the form, or rendered and parsed differently.
#[test]
fn unchanged_form_parses_to_the_same_document() {
    for text in [KITAGAWA, KEG] {
        let document = RawDocument::read(text).unwrap();
        let body = Editor::unmodified(3, document.clone())
            .page(&session())
            .body;
        let read = document_from_fields(&posted_fields(&body));
        assert_eq!(with_sorted_pools(read), with_sorted_pools(document));
    }
}

#[test]
fn invalid_and_malicious_input_is_kept_and_escaped() {
    let mut document = RawDocument::read(KITAGAWA).unwrap();
    document.deployment = "\"><script>alert('é&amp;')</script>".into();
    document.teams[0].weight = "four".into();
    document.teams[1].default_latency_class = "gone".into();
    document.pools[0].host_classes.push("gone too".into());
    document.pools[0].hosts[0].failure_domain = "nemuro".into();
    let body = Editor::unmodified(3, document.clone())
        .page(&session())
        .body;
    assert!(!body.contains("<script"));
    let read = document_from_fields(&posted_fields(&body));
    assert_eq!(with_sorted_pools(read), with_sorted_pools(document));
}

#[test]
fn each_fault_is_rendered_at_its_field() {
    let mut document = RawDocument::read(KITAGAWA).unwrap();
    document.teams[0].weight = "four".into();
    document.pools[0].hosts[0].count = 70_000.into();
    let faults = Document::try_from(&document).unwrap_err().faults;
    let editor = Editor {
        document,
        faults: faults.clone(),
        notice: Notice::Checked,
        ..Editor::unmodified(3, RawDocument::read(KITAGAWA).unwrap())
    };
    let response = editor.page(&session());
    assert_eq!(response.status, 422);
    for fault in &faults {
        let remarks = format!("id=\"{}.remarks\"", fault.path.as_str());
        let after_remarks_id = response.body.split(&remarks).nth(1).unwrap();
        assert!(
            after_remarks_id
                .split("</div>")
                .next()
                .unwrap()
                .contains(&fault.kind.to_string())
        );
        assert!(
            response
                .body
                .contains(&format!("href=\"#{}\"", fault.path.as_str()))
        );
    }
    assert!(!response.body.contains("Put in force"));
}

/// Guards against broken fault links: the page needs an element with the id of each fault's path.
#[test]
fn every_fault_path_has_an_element_in_the_form() {
    let empty = RawDocument::default();
    let mut broken = RawDocument::read(KITAGAWA).unwrap();
    broken.models[0].adapters.push("Ä".into());
    broken.pools[0].host_classes.clear();
    broken.pools[1].hosts.clear();
    broken.measure.cost_weight = 0.9.into();
    for document in [empty, broken] {
        let faults = Document::try_from(&document).unwrap_err().faults;
        let body = Editor::unmodified(3, document).page(&session()).body;
        for fault in faults {
            let place = format!("id=\"{}\"", fault.path);
            assert!(body.contains(&place), "{place}");
        }
    }
}

#[test]
fn every_input_has_a_label() {
    let document = RawDocument::read(KITAGAWA).unwrap();
    let body = Editor::unmodified(3, document).page(&session()).body;
    for tag in body
        .split('<')
        .filter(|tag| tag.starts_with("input ") || tag.starts_with("select "))
    {
        let is_hidden = attribute(tag, "type").as_deref() == Some("hidden");
        let id = attribute(tag, "id").unwrap_or_default();
        assert!(
            is_hidden || body.contains(&format!("for=\"{id}\"")),
            "{tag}"
        );
    }
}

#[test]
fn first_button_of_the_form_only_checks() {
    let document = RawDocument::read(KITAGAWA).unwrap();
    let body = Editor::unmodified(3, document).page(&session()).body;
    let form = body.split("action=\"/console/document\"").nth(1).unwrap();
    let first = form.split("<button ").nth(1).unwrap();
    assert_eq!(
        attribute(&format!(" {first}"), "value").as_deref(),
        Some("check")
    );
}
