//! The page for on-call engineers names each event and each metric of the gateway.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// The text of all sources of a folder, without their tests.
fn sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        match path.file_name().and_then(|name| name.to_str()) {
            Some("tests" | "tests.rs") => {}
            _ if path.is_dir() => sources(&path, text),
            _ => text.push_str(&fs::read_to_string(&path).expect("a source")),
        }
    }
}

/// What stands between a mark and the next quote.
fn named_after(text: &str, mark: &str) -> BTreeSet<String> {
    let parts = text.split(mark).skip(1);
    let names = parts.filter_map(|part| part.split('"').next());
    names.map(str::to_owned).collect()
}

fn gateway() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    sources(&root.join("src/gateway"), &mut text);
    sources(&root.join("src/platform"), &mut text);
    sources(&root.join("src/resources"), &mut text);
    text
}

#[test]
fn each_event_is_explained() {
    let events = named_after(&gateway(), "event = \"");
    assert!(events.len() > 15, "{events:?}");
    let missing = events
        .iter()
        .filter(|event| !PAGE.contains(&format!("`{event}`")));
    assert_eq!(missing.collect::<Vec<_>>(), Vec::<&String>::new());
}

#[test]
fn each_metric_is_explained() {
    let names = named_after(&gateway(), "\"teaselline_");
    assert!(names.len() > 15, "{names:?}");
    let missing = names
        .iter()
        .filter(|name| !PAGE.contains(&format!("`teaselline_{name}`")));
    assert_eq!(missing.collect::<Vec<_>>(), Vec::<&String>::new());
}
