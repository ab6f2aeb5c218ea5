//! Tests of purchase ids.

use super::super::*;
use super::simulated_cloud::document;
use crate::keys::{ClassKey, DomainKey, PoolKey};

fn id() -> PurchaseId {
    PurchaseId {
        pool: PoolKey(0),
        class: ClassKey(1),
        domain: DomainKey(2),
        fencing: 41,
        counter: 3,
    }
}

#[test]
fn id_round_trips_through_its_text() {
    let mut document = document();
    document.failure_domains[2].name = "c/%2F".to_owned();
    let text = id().text(&document);
    assert_eq!(text, "teaselline/models/a-spot/c%2F%252F/41/3");
    assert_eq!(PurchaseId::parse(&text, &document), Ok(id()));
}

#[test]
fn id_of_an_earlier_document_is_distinguished_from_a_foreign_id() {
    let mut document = document();
    let text = id().text(&document);
    document.host_classes.remove(1);
    let earlier = PurchaseId::parse(&text, &document).expect_err("the class is gone");
    assert!(earlier.is_orphaned());
    for foreign in [
        "",
        "vm-1",
        "other/models/a-spot/c/41/3",
        "teaselline/models/a-spot/c/x/3",
    ] {
        let error = PurchaseId::parse(foreign, &document).expect_err("not ours");
        assert!(!error.is_orphaned(), "{foreign}");
    }
}
