//! Each file that the docs name exists.
//!
//! Symptom: a newcomer follows the map of the design to a file that is not there.
//! Sequence: a file moves or a note is planned and never written; the page goes on naming it.
//! Cause: nothing compares the pages with the tree.

use std::fs;
use std::path::{Path, PathBuf};

/// Pages that say where things are; journal entries and tries that were reverted may name what is gone.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut pages = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    for folder in ["docs", "docs/design", "docs/operators"] {
        let entries = fs::read_dir(root.join(folder)).expect("the folder is there");
        let files = entries.map(|entry| entry.expect("an entry").path());
        pages.extend(files.filter(|file| file.extension().is_some_and(|kind| kind == "md")));
    }
    pages.sort();
    pages
}

/// Words between backticks or in links that look like a file of this repository.
fn named(text: &str) -> Vec<String> {
    let quoted = text.split('`').skip(1).step_by(2);
    let linked = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    quoted
        .chain(linked)
        .filter(|word| !word.contains([' ', '*', '<', ':', '{']))
        .filter(|word| match Path::new(word).extension() {
            Some(kind) => kind == "md" || (kind == "rs" && word.contains('/')),
            None => false,
        })
        .map(str::to_owned)
        .collect()
}

fn exists(page: &Path, name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let beside = page.parent().expect("a folder");
    let below = [
        "",
        "docs",
        "docs/design",
        "docs/operators",
        "src",
        "src/gateway",
        "stand_ins/src",
    ];
    let mut folders = below.iter().map(|folder| root.join(folder));
    beside.join(name).exists() || folders.any(|folder| folder.join(name).exists())
}

#[test]
fn each_file_that_the_docs_name_exists() {
    let mut missing = Vec::new();
    let mut checked = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        for name in named(&text) {
            checked += 1;
            if !exists(&page, &name) {
                missing.push(format!("{}: {name}", page.display()));
            }
        }
    }
    assert!(checked > 40, "{checked}");
    assert!(missing.is_empty(), "{missing:#?}");
}
