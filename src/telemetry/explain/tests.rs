use super::*;

const LOGS: &str = r#"
  12.5 node-b {"at_ms":1200,"event":"request_ended","request_id":"a1","outcome":"failed","reason":"no_answer"}
  12.1 node-b {"at_ms":1100,"event":"attempt_failed","request_id":"a1","upstream":"i-1","reason":"broken"}
{"at_ms":1150,"event":"request_ended","request_id":"other"}
{"at_ms":1160,"event":"request_en
plain text
"#;

#[test]
fn a_story_is_told_in_order_with_what_decided() {
    let story = explain("a1", LOGS).expect("it is there");
    let events: Vec<&str> = story.steps.iter().map(|step| step.event.as_str()).collect();
    assert_eq!(events, ["attempt_failed", "request_ended"]);
    assert_eq!(story.steps[0].source, "12.1 node-b");
    assert_eq!(story.torn_lines, 1);
    let text = story.to_string();
    assert!(text.contains("    100 ms  request_ended"), "{text}");
    assert!(text.contains("reason: \"broken\""), "{text}");
    assert!(text.contains("1 lines could not be read"), "{text}");
}

#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    let unknown = explain("zz", LOGS).expect_err("not there");
    assert_eq!(
        unknown,
        NoStory::Unknown {
            id: String::from("zz"),
            lines: 4
        }
    );
}
