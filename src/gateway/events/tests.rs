use super::*;

fn push(splitter: &mut Splitter, text: &'static str) -> Result<Option<String>, Flaw> {
    let events = splitter.push(&Bytes::from_static(text.as_bytes()))?;
    Ok(events.map(|events| String::from_utf8_lossy(&events.bytes).into_owned()))
}

#[test]
fn events_are_passed_on_whole() {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, "id: 1\ndata: a"), Ok(None));
    assert!(splitter.is_within_event());
    let first = push(&mut splitter, "b\n\nid: 2\n").expect("in order");
    assert_eq!(first.as_deref(), Some("id: 1\ndata: ab\n\n"));
    let second = push(&mut splitter, "data: c\n\n").expect("in order");
    assert_eq!(second.as_deref(), Some("id: 2\ndata: c\n\n"));
    assert!(!splitter.is_within_event());
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = Splitter::default();
    let event = push(&mut splitter, "id: 1\r\ndata: a\r\n\r\n").expect("in order");
    assert_eq!(event.as_deref(), Some("id: 1\r\ndata: a\r\n\r\n"));
    assert_eq!(splitter.last_id(), Some(1));
}

/// Symptom: a caller gets an event twice after a stream went on at another upstream.
/// Sequence: the first upstream crashes after event 3; the second begins again with event 2.
/// Cause: what the second sent was passed on unseen.
#[test]
fn events_that_the_caller_has_are_left_out() {
    let mut splitter = Splitter::after(Some(3));
    let passed = push(&mut splitter, "id: 2\n\nid: 3\n\nid: 4\n\n").expect("in order");
    assert_eq!(passed.as_deref(), Some("id: 4\n\n"));
}

/// Symptom: an event is missing in the middle of a stream that ends as if it were whole.
/// Sequence: an upstream spoils a piece of its answer.
/// Cause: ids were not compared with those before.
#[test]
fn a_missing_event_is_noticed() {
    let mut splitter = Splitter::after(Some(3));
    assert_eq!(push(&mut splitter, "id: 5\n\n"), Err(Flaw::OutOfOrder));
}

#[test]
fn an_endless_event_is_given_up() {
    let mut splitter = Splitter::default();
    let long = Bytes::from(vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.push(&long), Err(Flaw::TooLong));
}

proptest::proptest! {
    /// However the bytes are cut, the same whole events come out in the same order.
    #[test]
    fn cuts_do_not_matter(cuts in proptest::collection::vec(1_usize..9, 1..60)) {
        let mut text = String::new();
        for id in 1..12 {
            let data = "y".repeat(id);
            for part in ["id: ", &id.to_string(), "\ndata: ", &data, "\n\n"] {
                text.push_str(part);
            }
        }
        let mut rest = text.as_bytes();
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let length = cuts.next().unwrap_or(1).min(rest.len());
            let (now, later) = rest.split_at(length);
            rest = later;
            if let Some(events) = splitter.push(&Bytes::copy_from_slice(now)).expect("in order") {
                passed.extend_from_slice(&events.bytes);
            }
        }
        proptest::prop_assert_eq!(passed, text.into_bytes());
        proptest::prop_assert!(!splitter.is_within_event());
    }
}
