//! Tests of the request timeline.

use super::*;

const LOGS: &str = r#"
  12.5 node-b {"at_ms":1200,"event":"request_ended","request_id":"a1","outcome":"failed","reason":"no_answer"}
  12.1 node-b {"at_ms":1100,"event":"attempt_failed","request_id":"a1","upstream":"i-1","reason":"broken"}
{"at_ms":1150,"event":"request_ended","request_id":"other"}
{"at_ms":1160,"event":"request_en
plain text
"#;

#[test]
fn steps_are_sorted_by_time_and_show_fields() {
    let timeline = explain("a1", LOGS).expect("the logs have records of the request");
    let events: Vec<&str> = timeline
        .steps
        .iter()
        .map(|step| step.event.as_str())
        .collect();
    assert_eq!(events, ["attempt_failed", "request_ended"]);
    assert_eq!(timeline.steps[0].source, "12.1 node-b");
    assert_eq!(timeline.malformed_lines, 1);
    let text = timeline.to_string();
    assert!(text.contains("    100 ms  request_ended"), "{text}");
    assert!(text.contains("reason: \"broken\""), "{text}");
    assert!(text.contains("1 lines could not be read"), "{text}");
}

#[test]
fn unknown_request_is_an_error() {
    let error = explain("zz", LOGS).expect_err("no record has this id");
    assert_eq!(
        error,
        ExplainError::UnknownRequest {
            id: String::from("zz"),
            lines: 4
        }
    );
}
