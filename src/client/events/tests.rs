//! Tests of parsing event streams.

use super::{Event, EventError, MAX_EVENT_BYTES, Splitter};

fn event(kind: &str, data: &str) -> Event {
    Event {
        kind: kind.to_owned(),
        data: data.to_owned(),
    }
}

/// Guards against a lost token when an event's bytes arrive in two reads, split inside the empty
/// line or a character, and each read is parsed separately.
#[test]
fn event_split_across_reads_is_parsed() {
    let text = ": still here\n\nid: 0\nevent: token\ndata: \"skúška 映画\"\n\r\nevent: done\ndata: a\ndata: b\n\n";
    let bytes = text.as_bytes();
    for cut in 0..=bytes.len() {
        let mut splitter = Splitter::default();
        let mut found = Vec::new();
        for part in [&bytes[..cut], &bytes[cut..]] {
            splitter.push(part);
            while let Some(event) = splitter.next_event().unwrap() {
                found.push(event);
            }
        }
        let expected = [event("token", "\"skúška 映画\""), event("done", "a\nb")];
        assert_eq!(found, expected, "cut at {cut}");
    }
}

#[test]
fn unterminated_event_is_too_long() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventError::TooLong));
}
