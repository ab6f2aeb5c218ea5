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
fn an_unknown_state_gets_no_work() {
    let text = READY.replace("\"ready\"", "\"resting\"");
    assert_eq!(
        parse("i-1", text.as_bytes()).expect("valid").phase,
        Phase::Leaving
    );
}

#[test]
fn two_beats_that_differ_in_their_number_only_are_equal() {
    let later = READY.replace("\"seq\":4", "\"seq\":5");
    let first = parse("i-1", READY.as_bytes()).expect("valid");
    assert_eq!(first, parse("i-1", later.as_bytes()).expect("valid"));
}

#[test]
fn a_fault_names_its_field() {
    let text = READY.replace("10.128.0.9:8080", "somewhere");
    let error = parse("i-1", text.as_bytes()).expect_err("no address");
    assert!(error.to_string().contains("address"), "{error}");
}
