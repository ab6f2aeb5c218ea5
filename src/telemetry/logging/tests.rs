//! Tests of the JSON form of a log record.

use log::{Level, Record};
use serde_json::{Value as Json, json};

use super::write_line;

#[test]
fn record_is_written_as_one_json_line() {
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
