//! Reads every sample document: the valid ones must pass, the invalid ones must show exactly the
//! faults that stand beside them, each as `path code` on a line.

use std::fs;
use std::path::Path;

use teaselline::document::{Document, RawDocument};

type Outcome = datatest_stable::Result<()>;

fn valid(path: &Path) -> Outcome {
    let text = fs::read_to_string(path)?;
    let document = Document::parse(&text)?;
    let raw = RawDocument::read(&text)?;
    assert_eq!(
        RawDocument::read(&raw.to_text())?,
        raw,
        "written and read again"
    );
    assert_eq!(Document::try_from(&raw)?, document);
    Ok(())
}

fn invalid(path: &Path) -> Outcome {
    let text = fs::read_to_string(path)?;
    let expected = fs::read_to_string(path.with_extension("faults"))?;
    let faults = match Document::parse(&text) {
        Ok(_) => panic!("the document passed"),
        Err(found) => found.faults,
    };
    let mut found: Vec<String> = (faults.iter())
        .map(|fault| format!("{} {}", fault.path, fault.kind.code()))
        .collect();
    let mut expected: Vec<&str> = expected.lines().collect();
    found.sort();
    expected.sort_unstable();
    assert_eq!(found, expected);
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "sample_configs/valid", pattern = r"\.json$" },
    { test = invalid, root = "sample_configs/invalid", pattern = r"\.json$" },
}
