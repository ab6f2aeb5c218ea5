use proptest::prelude::*;

use super::*;

const READY: &str = r#"{"service":"s1","address":"10.128.0.9:8080","zone":"d1","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":4}"#;

#[test]
fn announcement_is_decoded() {
    let announcement = parse("i-1", READY.as_bytes()).expect("valid");
    assert_eq!(announcement.id, "i-1");
    assert_eq!(announcement.phase, Phase::Ready);
    assert_eq!(announcement.slots, 64);
    assert!(!announcement.is_reclaimable);
}

#[test]
fn draining_announcement_states_the_remaining_time() {
    let text = READY.replace("\"ready\"", "\"draining\",\"spot\":true,\"leaves_ms\":2300");
    let announcement = parse("i-1", text.as_bytes()).expect("valid");
    assert_eq!(announcement.phase, Phase::Leaving);
    assert_eq!(announcement.leaves_in_ms, Some(2_300));
    assert!(announcement.is_reclaimable);
}

#[test]
fn announcements_that_differ_only_in_sequence_are_equal() {
    let later = READY.replace("\"seq\":4", "\"seq\":5");
    let first = parse("i-1", READY.as_bytes()).expect("valid");
    let second = parse("i-1", later.as_bytes()).expect("valid");
    assert!(first.equals_ignoring_sequence(&second));
    assert_eq!((first.sequence, second.sequence), (4, 5));
}

#[test]
fn start_time_is_decoded() {
    let text = READY.replace("\"seq\":4", "\"seq\":4,\"born\":1771804498245");
    let announcement = parse("i-1", text.as_bytes()).expect("valid");
    assert_eq!(announcement.born_ms, Some(1_771_804_498_245));
}

/// Guards against requests to an address without an upstream, or a node without upstreams.
///
/// Another writer can leave a record under the key of an upstream or a key of its own. A record
/// that is only partly decodable must not count as an upstream.
#[test]
fn malformed_announcement_is_rejected() {
    for (valid, invalid) in [
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
        let text = READY.replace(valid, invalid);
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
    fn random_bytes_are_rejected(text in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(parse("i-1", &text).is_err());
    }

    #[test]
    fn record_with_one_changed_byte_is_decoded_or_rejected(index in 0..READY.len(), byte in any::<u8>()) {
        let mut text = READY.as_bytes().to_vec();
        text[index] = byte;
        if let Ok(announcement) = parse("i-1", &text) {
            prop_assert_eq!(announcement.id, "i-1");
            prop_assert_eq!(announcement.born_ms, None);
        }
    }
}

/// Guards against nodes that end, or stop following the upstreams, over one odd record.
#[test]
fn odd_records_are_rejected() {
    let nested = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let cut_nesting = "[".repeat(65_000);
    let digits = "9".repeat(400);
    let long = "n".repeat(MAX_NAME_BYTES + 1);
    for (valid, odd) in [
        ("\"s1\"", nested.as_str()),
        ("\"s1\"", cut_nesting.as_str()),
        ("s1", long.as_str()),
        ("d1", long.as_str()),
        ("v1", long.as_str()),
        ("v1", "v\\n1"),
        ("v1", "v\\u00001"),
        ("\"slots\":64", "\"slots\":-1"),
        ("\"slots\":64", "\"slots\":1e999"),
        ("\"slots\":64", "\"slots\":4294967296"),
        ("\"slots\":64", "\"slots\":64,\"slots\":64"),
        ("\"seq\":4", &format!("\"seq\":{digits}")),
        ("\"seq\":4", "\"seq\":18446744073709551616"),
        ("\"seq\":4", "\"seq\":18446744073709551615"),
        ("\"seq\":4", "\"seq\":4,\"born\":9007199254740992"),
        ("\"seq\":4", "\"seq\":4,\"leaves_ms\":1e999"),
        ("\"seq\":4", "\"seq\":4,\"leaves_ms\":NaN"),
        ("10.128.0.9:8080", "10.128.0.9:0"),
        ("10.128.0.9:8080", "10.128.0.9:65536"),
        ("10.128.0.9:8080", "10.128.0.9:99999"),
        ("10.128.0.9:8080", "10.128.0.9"),
        ("10.128.0.9:8080", "0.0.0.0:8080"),
        ("10.128.0.9:8080", "[::]:8080"),
        ("10.128.0.9:8080", "224.0.0.1:8080"),
        ("10.128.0.9:8080", "[fe80::1%eth0]:8080"),
    ] {
        let text = READY.replace(valid, odd);
        assert_ne!(text, READY);
        parse("i-1", text.as_bytes()).expect_err(&text);
    }
    for text in ["null", "[]", "7", "\"ready\"", "{", "{}"] {
        parse("i-1", text.as_bytes()).expect_err(text);
    }
    for id in [long.as_str(), "line\nbreak", "zero\0"] {
        parse(id, READY.as_bytes()).expect_err(id);
    }
}

/// Guards against sound upstreams that get no requests over a field that nobody reads, or over the
/// largest values that are allowed.
#[test]
fn odd_values_of_unused_fields_are_ignored() {
    let nested = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let digits = "9".repeat(400);
    for value in [nested.as_str(), digits.as_str(), "1e999", "-1", "null"] {
        let text = READY.replace("\"seq\":4", &format!("\"seq\":4,\"other\":{value}"));
        parse("i-1", text.as_bytes()).expect(value);
    }
    let text = READY
        .replace("\"slots\":64", "\"slots\":4294967295")
        .replace("\"seq\":4", "\"seq\":9007199254740991,\"leaves_ms\":1e308")
        .replace("v1", &"v".repeat(MAX_NAME_BYTES));
    let announcement = parse("i-1", text.as_bytes()).expect("valid");
    assert_eq!(announcement.leaves_in_ms, Some(u64::MAX));
}

#[test]
fn error_names_the_invalid_field() {
    let text = READY.replace("10.128.0.9:8080", "somewhere");
    let error = parse("i-1", text.as_bytes()).expect_err("no address");
    assert!(error.to_string().contains("address"), "{error}");
}
