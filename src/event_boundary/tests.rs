use proptest::prelude::*;

use super::*;

/// Returns the length of the first event, found from the start each time.
fn length_from_the_start(bytes: &[u8]) -> Option<usize> {
    (2..=bytes.len()).find(|length| {
        let event = &bytes[..*length];
        event.ends_with(b"\n\n") || event.ends_with(b"\n\r\n") || event == b"\r\n"
    })
}

/// Returns the lengths of the events of bytes that arrive in such pieces, with what is left.
fn lengths(bytes: &[u8], pieces: &[usize]) -> (Vec<usize>, usize) {
    let mut scanner = EventScanner::default();
    let (mut pending, mut found) = (Vec::new(), Vec::new());
    let mut rest = bytes;
    let mut pieces = pieces.iter().cycle();
    while !rest.is_empty() {
        let length = pieces.next().map_or(1, |piece| *piece).min(rest.len());
        let (now, later) = rest.split_at(length);
        pending.extend_from_slice(now);
        rest = later;
        while let Some(length) = scanner.event_length(&pending) {
            pending.drain(..length);
            found.push(length);
        }
    }
    (found, pending.len())
}

proptest! {
    /// The same events result from any pieces, as if all bytes were looked at from the start.
    #[test]
    fn events_do_not_depend_on_pieces(
        bytes in proptest::collection::vec(prop_oneof![Just(b'a'), Just(b'\n'), Just(b'\r')], 0..80),
        pieces in proptest::collection::vec(1_usize..9, 1..20),
    ) {
        let mut rest = bytes.as_slice();
        let mut expected = Vec::new();
        while let Some(length) = length_from_the_start(rest) {
            expected.push(length);
            rest = &rest[length..];
        }
        prop_assert_eq!(lengths(&bytes, &pieces), (expected, rest.len()));
    }
}

/// Guards against work that grows with the square of an event's length: bytes looked at before are replaced by ends of events.
#[test]
fn bytes_are_looked_at_once() {
    let mut scanner = EventScanner::default();
    let mut pending = b"data: a\ndata: ".to_vec();
    assert_eq!(scanner.event_length(&pending), None);
    pending[..7].fill(b'\n');
    assert_eq!(scanner.event_length(&pending), None);
    pending.extend_from_slice(b"b\n\n");
    assert_eq!(scanner.event_length(&pending), Some(pending.len()));
}
