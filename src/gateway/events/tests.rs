use super::*;

fn push(splitter: &mut Splitter, text: &'static str) -> Result<Option<String>, StreamError> {
    let events = splitter.push(&Bytes::from_static(text.as_bytes()))?;
    Ok(events.map(|events| String::from_utf8_lossy(&events.bytes).into_owned()))
}

#[test]
fn events_are_forwarded_only_when_complete() {
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
fn lines_with_carriage_returns_are_accepted() {
    let mut splitter = Splitter::default();
    let event = push(&mut splitter, "id: 1\r\ndata: a\r\n\r\n").expect("in order");
    assert_eq!(event.as_deref(), Some("id: 1\r\ndata: a\r\n\r\n"));
    assert_eq!(splitter.last_id(), Some(1));
}

/// Guards against comments that are lost while a stream looks for a better upstream and stays.
#[test]
fn what_follows_is_kept_in_order() {
    let mut splitter = Splitter::after(Some(1));
    let mut events = |text: &'static str| {
        let pushed = splitter.push(&Bytes::from_static(text.as_bytes()));
        pushed.expect("in order").expect("complete")
    };
    let (first, second) = (events(": a\n\n"), events("id: 2\n\n"));
    let joined = first.followed_by(&second);
    assert_eq!(&*joined.bytes, b": a\n\nid: 2\n\n");
    assert_eq!((joined.first_id, joined.last_id), (Some(2), Some(2)));
}

/// Guards against duplicate events after a stream is resumed: the first upstream crashes after event
/// 3, the second one begins again with event 2, and its events must not be forwarded unchecked.
#[test]
fn events_already_forwarded_are_left_out() {
    let mut splitter = Splitter::after(Some(3));
    let forwarded = push(&mut splitter, "id: 2\n\nid: 3\n\nid: 4\n\n").expect("in order");
    assert_eq!(forwarded.as_deref(), Some("id: 4\n\n"));
}

/// Guards against a stream that lacks an event and ends as if it were complete: an upstream corrupts
/// part of its response, which shows only in the comparison of consecutive ids.
#[test]
fn missing_event_is_rejected() {
    let mut splitter = Splitter::after(Some(3));
    assert_eq!(
        push(&mut splitter, "id: 5\n\n"),
        Err(StreamError::MissingEvent)
    );
}

#[test]
fn event_over_the_maximum_length_is_rejected() {
    let mut splitter = Splitter::default();
    let long = Bytes::from(vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.push(&long), Err(StreamError::TooLong));
}

/// Guards against work that grows with the square of an event's length: a long event comes in pieces of one byte.
#[test]
fn long_event_in_small_pieces_costs_one_look_at_each_byte() {
    let begun_at = std::time::Instant::now();
    let mut splitter = Splitter::default();
    for _byte in 0..MAX_EVENT_BYTES {
        assert_eq!(splitter.push(&Bytes::from_static(b"x")), Ok(None));
    }
    let end = splitter.push(&Bytes::from_static(b"x"));
    assert_eq!(end, Err(StreamError::TooLong));
    // A look at all pending bytes for each piece is half a million million steps.
    assert!(begun_at.elapsed() < std::time::Duration::from_mins(1));
}

proptest::proptest! {
    /// The same complete events result, in the same order, from any segmentation of the bytes.
    #[test]
    fn any_segmentation_yields_the_same_events(segments in proptest::collection::vec(1_usize..9, 1..60)) {
        let mut text = String::new();
        for id in 1..12 {
            let data = "y".repeat(id);
            for part in ["id: ", &id.to_string(), "\ndata: ", &data, "\n\n"] {
                text.push_str(part);
            }
        }
        let mut rest = text.as_bytes();
        let mut splitter = Splitter::default();
        let mut forwarded = Vec::new();
        let mut segments = segments.into_iter().cycle();
        while !rest.is_empty() {
            let length = segments.next().unwrap_or(1).min(rest.len());
            let (now, later) = rest.split_at(length);
            rest = later;
            if let Some(events) = splitter.push(&Bytes::copy_from_slice(now)).expect("in order") {
                forwarded.extend_from_slice(&events.bytes);
            }
        }
        proptest::prop_assert_eq!(forwarded, text.into_bytes());
        proptest::prop_assert!(!splitter.is_within_event());
    }
}
