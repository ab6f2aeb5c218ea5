use super::BadPart;

fn parts(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| String::from(*id)).collect()
}

#[test]
fn bad_part_crashes_at_each_place_but_the_last() {
    let bad = BadPart::new("b0");
    assert!(bad.crashes(&parts(&["b0", "1"]), None, "/once/x"));
    assert!(bad.crashes(&parts(&["a0", "b0", "1"]), Some("m"), "/once/x"));
    assert!(!bad.crashes(&parts(&["a0", "b0"]), None, "/once/x"));
    assert!(!bad.crashes(&parts(&["b0"]), None, "/once/x"));
    assert!(!bad.crashes(&[], None, "/once/x"));
}

#[test]
fn bad_part_of_one_model_or_path_crashes_no_other() {
    let of_model = BadPart {
        model: Some(String::from("m1")),
        ..BadPart::new("b0")
    };
    let of_path = BadPart {
        path: Some(String::from("/once/")),
        ..BadPart::new("b0")
    };
    let parts = parts(&["b0", "1"]);
    assert!(of_model.crashes(&parts, Some("m1"), "/again/x"));
    assert!(!of_model.crashes(&parts, Some("m2"), "/again/x"));
    assert!(!of_model.crashes(&parts, None, "/again/x"));
    assert!(of_path.crashes(&parts, Some("m2"), "/once/x"));
    assert!(!of_path.crashes(&parts, Some("m2"), "/again/x"));
}
