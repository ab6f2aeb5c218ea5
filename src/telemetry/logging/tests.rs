//! Tests of the log line.

use log::{Level, Record};
use serde_json::{Value as Json, json};

use super::write_line;

#[test]
fn a_record_is_one_json_line_with_its_fields() {
    let fields = [("host", "h-12"), ("message", "taken")];
    let mut out = Vec::new();
    let record = Record::builder()
        .args(format_args!("host\nis leaving"))
        .level(Level::Warn)
        .target("teaselline::reclaim")
        .key_values(&fields)
        .build();
    write_line(&mut out, &record, 7).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().count(), 1);
    let line: Json = serde_json::from_str(&text).unwrap();
    let expected = json!({
        "at_ms": 7,
        "level": "warn",
        "target": "teaselline::reclaim",
        "message": "host\nis leaving",
        "host": "h-12",
        "field_message": "taken",
    });
    assert_eq!(line, expected);
}
