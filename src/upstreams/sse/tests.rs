//! Tests the decoder with bytes split anywhere, invalid events and events of other attempts.

use std::sync::Arc;

use proptest::prelude::*;

use super::{DecodeError, Decoder, EVENT_LIMIT_BYTES};
use crate::upstreams::wire::{EngineEvent, Finish};

fn token(attempt: &str, position: u64, text: &str) -> EngineEvent {
    EngineEvent::Token {
        attempt: Arc::from(attempt),
        position,
        text: text.to_owned(),
    }
}

fn encoded_token(attempt: &str, position: u64, text: &str, newline: &str) -> String {
    let data = serde_json::json!({"attempt": attempt, "position": position, "token": text});
    format!("id: {position}{newline}event: token{newline}data: {data}{newline}{newline}")
}

fn decode_all(decoder: &mut Decoder, chunks: &[&[u8]]) -> Result<Vec<EngineEvent>, DecodeError> {
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.push(chunk);
        while let Some(event) = decoder.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

proptest! {
    // The bytes of a stream arrive in chunks of any size; the decoded tokens must not depend on it.
    #[test]
    fn tokens_do_not_depend_on_chunk_boundaries(
        texts in proptest::collection::vec(".{0,12}", 1..8),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..12),
        crlf in any::<bool>(),
    ) {
        let newline = if crlf { "\r\n" } else { "\n" };
        let mut bytes = String::new();
        let mut expected = Vec::new();
        for (position, text) in (0..).zip(&texts) {
            bytes.push_str(&encoded_token("a", position, text, newline));
            expected.push(token("a", position, text));
        }
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let chunks: Vec<_> = cuts.windows(2).map(|cut| &bytes.as_bytes()[cut[0]..cut[1]]).collect();
        let decoded = decode_all(&mut Decoder::new(Arc::from("a")), &chunks).unwrap();
        prop_assert_eq!(decoded, expected);
    }
}

#[test]
fn done_event_contains_the_cached_token_count() {
    let bytes = b"event: done\ndata: {\"attempt\":\"a\",\"tokens\":3,\"cached_prompt_tokens\":64,\
        \"computed_prompt_tokens\":9,\"finish\":\"length\"}\n\n";
    let events = decode_all(&mut Decoder::new(Arc::from("a")), &[bytes]).unwrap();
    let expected = EngineEvent::Done {
        attempt: Arc::from("a"),
        tokens: 3,
        cached_prompt_tokens: 64,
        computed_prompt_tokens: 9,
        finish: Finish::Length,
    };
    assert_eq!(events, [expected]);
}

#[test]
fn comments_and_unknown_event_types_are_skipped() {
    let mut bytes = ": keep-alive\n\nevent: later\ndata: {}\n\n".to_owned();
    bytes.push_str(&encoded_token("a", 0, "x", "\n"));
    let events = decode_all(&mut Decoder::new(Arc::from("a")), &[bytes.as_bytes()]).unwrap();
    assert_eq!(events, [token("a", 0, "x")]);
}

// Guards against sending a caller the tokens of another request: an engine confuses two streams and
// writes a token to the wrong connection. The token must keep its own attempt id instead of taking
// that of the connection.
#[test]
fn token_of_another_attempt_keeps_its_attempt_id() {
    let bytes = encoded_token("other", 0, "x", "\n");
    let events = decode_all(&mut Decoder::new(Arc::from("a")), &[bytes.as_bytes()]).unwrap();
    assert_eq!(events, [token("other", 0, "x")]);
}

// Guards against memory exhaustion: an upstream sends a line without an end, and the decoder
// buffers all bytes until the end of the event.
#[test]
fn event_without_an_end_is_an_error() {
    let mut decoder = Decoder::new(Arc::from("a"));
    let chunk = vec![b'x'; EVENT_LIMIT_BYTES / 4];
    let result = decode_all(&mut decoder, &[&*chunk; 5]);
    assert!(matches!(result, Err(DecodeError::TooLarge)));
}

#[test]
fn invalid_token_data_is_an_error() {
    let bytes = b"event: token\ndata: {\"attempt\":\"a\",\"position\":-1,\"token\":\"x\"}\n\n";
    let result = decode_all(&mut Decoder::new(Arc::from("a")), &[bytes]);
    assert!(matches!(result, Err(DecodeError::Data(_))));
}
