use proptest::prelude::*;

use super::*;

const READY: &str = r#"{"service":"s1","address":"10.128.0.9:8080","zone":"d1","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":4}"#;

#[test]
fn an_announcement_is_decoded_into_what_it_says() {
    let announced = parse("i-1", READY.as_bytes()).expect("valid");
    assert_eq!(announced.id, "i-1");
    assert_eq!(announced.phase, Phase::Ready);
    assert_eq!(announced.slots, 64);
    assert!(!announced.is_reclaimable);
}

#[test]
fn a_notice_tells_how_long_is_left() {
    let text = READY.replace("\"ready\"", "\"draining\",\"spot\":true,\"leaves_ms\":2300");
    let announced = parse("i-1", text.as_bytes()).expect("valid");
    assert_eq!(announced.phase, Phase::Leaving);
    assert_eq!(announced.leaves_in_ms, Some(2_300));
    assert!(announced.is_reclaimable);
}

#[test]
fn two_beats_that_differ_in_their_number_only_say_the_same() {
    let later = READY.replace("\"seq\":4", "\"seq\":5");
    let first = parse("i-1", READY.as_bytes()).expect("valid");
    let second = parse("i-1", later.as_bytes()).expect("valid");
    assert!(first.equals_ignoring_sequence(&second));
    assert_eq!((first.sequence, second.sequence), (4, 5));
}

#[test]
fn a_start_is_told_by_its_time() {
    let text = READY.replace("\"seq\":4", "\"seq\":4,\"born\":1771804498245");
    let announced = parse("i-1", text.as_bytes()).expect("valid");
    assert_eq!(announced.born_ms, Some(1_771_804_498_245));
}

/// Symptom: requests go to an address that no upstream has, or a node has no upstreams at all.
/// Sequence: another writer leaves a record under the key of an upstream or a key of its own.
/// Cause: whatever could be read in part counted as an upstream.
#[test]
fn what_is_not_an_announcement_names_no_upstream() {
    for (given, written) in [
        ("\"ready\"", "\"resting\""),
        ("\"ready\"", "7"),
        ("\"seq\":4", "\"seq\":4,\"born\":12.5"),
        ("\"seq\":4", "\"seq\":4,\"born\":1e12"),
        ("\"seq\":4", "\"seq\":4,\"born\":null"),
        ("\"seq\":4", "\"seq\":4,\"born\":\"12\""),
        ("\"seq\":4", "\"seq\":-4"),
        (",\"seq\":4", ""),
        ("\"slots\":64,", ""),
        ("\"slots\":64", "\"slots\":\"many\""),
        ("\"zone\":\"d1\",", ""),
        ("\"service\":\"s1\",", ""),
        ("\"10.128.0.9:8080\"", "8080"),
        ("}", "} and more"),
        ("}", ""),
    ] {
        let text = READY.replace(given, written);
        assert_ne!(text, READY);
        parse("i-1", text.as_bytes()).expect_err(&text);
    }
    parse("i-1", b"").expect_err("nothing");
    parse("i-1", &[0xff, 0xfe]).expect_err("no text");
    let padded = READY.replace("v1", &"v".repeat(1_000_000));
    parse("i-1", padded.as_bytes()).expect_err("a megabyte");
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(text in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(parse("i-1", &text).is_err());
    }

    #[test]
    fn a_record_with_one_byte_changed_is_read_or_refused(place in 0..READY.len(), byte in any::<u8>()) {
        let mut text = READY.as_bytes().to_vec();
        text[place] = byte;
        if let Ok(announced) = parse("i-1", &text) {
            prop_assert_eq!(announced.id, "i-1");
            prop_assert_eq!(announced.born_ms, None);
        }
    }
}

#[test]
fn a_fault_names_its_field() {
    let text = READY.replace("10.128.0.9:8080", "somewhere");
    let error = parse("i-1", text.as_bytes()).expect_err("no address");
    assert!(error.to_string().contains("address"), "{error}");
}
