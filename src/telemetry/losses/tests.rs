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
fn causes_are_summed_over_nodes_the_most_frequent_first() {
    let losses = sum(LOGS, 2_000);
    let causes = losses.causes();
    assert_eq!(causes.len(), 5);
    assert_eq!(causes[0].1, 2);
    let answered = causes
        .iter()
        .find(|(cause, ..)| cause.outcome == "answered");
    let (_cause, requests, median_ms) = answered.expect("two were answered");
    assert_eq!(*requests, 2);
    assert!((88..=92).contains(median_ms), "{median_ms}");
    assert_eq!(losses.torn_lines, 1);
}

#[test]
fn each_span_says_what_most_were_lost_to() {
    let moments = sum(LOGS, 2_000).moments();
    assert_eq!(moments.len(), 2);
    let (start_ms, first) = &moments[0];
    assert_eq!(
        (*start_ms, first.answered, first.refused, first.failed),
        (10_000, 2, 1, 0)
    );
    let second = &moments[1].1;
    assert_eq!((second.refused, second.failed, second.left), (2, 1, 1));
    assert_eq!(second.most, Some(("over_limit".to_owned(), 2)));
}

#[test]
fn the_table_can_be_read() {
    let text = sum(LOGS, 2_000).to_string();
    assert!(text.contains("over_limit (2)"), "{text}");
    assert!(text.contains("1 lines could not be read"), "{text}");
    assert!(sum("", 0).to_string().starts_with("requests"));
}
