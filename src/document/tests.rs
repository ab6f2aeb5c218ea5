//! Unit tests of document validation; only `sample_configs/valid/kitagawa.json` serves as input.

use super::Document;
use super::faults::{Fault, FaultKind, FaultPath};
use super::raw::{RawDocument, RawFailureDomain};

const KITAGAWA: &str = include_str!("../../sample_configs/valid/kitagawa.json");

#[test]
fn arenas_are_sorted_and_references_resolved() {
    let document = Document::parse(KITAGAWA).unwrap();
    let names: Vec<&str> = (document.failure_domains.iter())
        .map(|domain| domain.name.as_str())
        .collect();
    let sorted = [
        "ishikari-hall",
        "otaru-vault",
        "sapporo-lab",
        "yoichi-annex",
    ];
    assert_eq!(names, sorted);
    let archive = document.team(document.find_team("archive").unwrap());
    let class = document.latency_class(archive.default_latency_class);
    assert_eq!(class.name, "interactive");
    let pool = document.pool(document.find_pool("frame-models").unwrap());
    let otaru = document.find_failure_domain("otaru-vault").unwrap();
    assert!(pool.hosts.contains(&(otaru, 5)));
}

#[test]
fn list_with_more_entries_than_keys_is_rejected() {
    let mut raw = RawDocument::read(KITAGAWA).unwrap();
    let domain = raw.failure_domains[0].clone();
    raw.failure_domains.extend((0..65_536).map(|number| {
        let name = format!("domain-{number}").into();
        RawFailureDomain {
            name,
            ..domain.clone()
        }
    }));
    let faults = Document::try_from(&raw).unwrap_err().faults;
    let path = FaultPath::root().field("failure_domains");
    let kind = FaultKind::TooMany { most: 65_535 };
    assert_eq!(faults, vec![Fault { path, kind }]);
}
