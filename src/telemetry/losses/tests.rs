//! Tests of the aggregated request outcomes.

use super::*;

const LOGS: &str = r#"
 12.5 node-b {"at_ms":10200,"event":"request_ended","outcome":"refused","reason":"over_limit","route":"r1","team":"t1","took_ms":1}
 12.1 node-a {"at_ms":10100,"event":"request_ended","outcome":"answered","reason":"200","route":"r1","team":"t1","took_ms":90}
 12.1 node-a {"at_ms":10150,"event":"request_ended","outcome":"answered","reason":"200","route":"r1","team":"t1","took_ms":110}
{"at_ms":10900,"event":"attempt_failed","reason":"broken"}
{"at_ms":13000,"event":"request_ended","outcome":"failed","reason":"no_answer","route":"r2","took_ms":700}
{"at_ms":13100,"event":"request_ended","outcome":"refused","reason":"over_limit","route":"r2","team":"t1"}
{"at_ms":13100,"event":"request_ended","outcome":"refused","reason":"over_limit","route":"r2","team":"t1"}
{"at_ms":13200,"event":"request_ended","outcome":"caller_left","reason":"channel_closed","route":"r2"}
{"at_ms":13300,"event":"request_en
plain text
"#;

#[test]
fn causes_of_all_nodes_are_sorted_by_frequency() {
    let losses = aggregate(LOGS, 2_000);
    let causes = losses.causes();
    assert_eq!(causes.len(), 5);
    assert_eq!(causes[0].1, 2);
    let answered = causes
        .iter()
        .find(|(cause, ..)| cause.outcome == "answered");
    let (_cause, requests, median_ms) = answered.expect("the logs have two answered requests");
    assert_eq!(*requests, 2);
    assert!((88..=92).contains(median_ms), "{median_ms}");
    assert_eq!(losses.malformed_lines, 1);
}

#[test]
fn span_shows_its_most_frequent_loss_reason() {
    let spans = aggregate(LOGS, 2_000).spans();
    assert_eq!(spans.len(), 2);
    let (start_ms, first) = &spans[0];
    assert_eq!(
        (*start_ms, first.answered, first.refused, first.failed),
        (10_000, 2, 1, 0)
    );
    let second = &spans[1].1;
    assert_eq!((second.refused, second.failed, second.left), (2, 1, 1));
    assert_eq!(second.top_reason, Some(("over_limit".to_owned(), 2)));
}

#[test]
fn table_shows_reasons_and_malformed_lines() {
    let text = aggregate(LOGS, 2_000).to_string();
    assert!(text.contains("over_limit (2)"), "{text}");
    assert!(text.contains("1 lines could not be read"), "{text}");
    assert!(aggregate("", 0).to_string().starts_with("requests"));
}
