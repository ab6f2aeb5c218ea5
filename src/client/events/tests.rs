//! Tests of splitting an event stream.

use super::{Event, EventError, MOST_EVENT_BYTES, Splitter};

fn event(kind: &str, data: &str) -> Event {
    Event {
        kind: kind.to_owned(),
        data: data.to_owned(),
    }
}

/// Symptom: a caller misses a token. Sequence: an event's bytes arrive in two reads, cut inside
/// the empty line or inside a character. Cause: splitting each read by itself.
#[test]
fn events_survive_any_cut() {
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
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MOST_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventError::TooLong));
}
