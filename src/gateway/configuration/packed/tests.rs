use super::*;

#[test]
fn document_of_many_routes_packs_to_a_fifth_and_unpacks_unchanged() {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{:x}","host":"h.example","path":"/{:x}/","kind":"idempotent"}}"#,
            number * 7_919 % 65_521,
            number * 104_729 % 65_521
        )
    };
    let routes: Vec<String> = (0..4_000).map(route).collect();
    let document = format!("[{}]", routes.join(","));
    let packed = pack(document.as_bytes());
    assert!(packed.len() * 5 < document.len(), "{}", packed.len());
    let unpacked = unpack(&packed).expect("it was packed");
    assert_eq!(unpacked, document.as_bytes());
}

/// Guards against a message of some kilobytes that takes all memory once it is unpacked.
#[test]
fn document_beyond_the_largest_size_is_not_unpacked() {
    let packed = pack(&vec![b' '; MAX_UNPACKED_BYTES + 1]);
    unpack(&packed).unwrap_err();
    unpack(b"{\"version\": 1}").unwrap_err();
}
