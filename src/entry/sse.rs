//! Sends a request's answer as server-sent events, with each token's position as event id.

use std::convert::Infallible;
use std::io::Write;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;

use super::refusal::{OutcomeBody, finish};
use crate::node::CallerGuard;
use crate::requests::Chunk;
use crate::requests::{Dependencies, Outcome, RequestFollower, RequestId, Step};

/// Typical size of a token's event.
const TYPICAL_EVENT_BYTES: usize = 96;

#[derive(Serialize)]
struct TokenData<'a> {
    position: u64,
    token: &'a str,
}

#[derive(Serialize)]
struct DoneData<'a> {
    tokens: u64,
    finish: &'a str,
}

/// Streams an answer.
///
/// The first step is already known, so that a refusal can be sent with its own status.
pub(super) fn stream<L: Dependencies>(
    first: Step,
    mut follow: RequestFollower<L>,
    caller: CallerGuard,
) -> Response<Body> {
    let events = async_stream::stream! {
        // Counts the caller until the stream ends.
        let _caller = caller;
        let mut step = first;
        // If another node continues the answer, the stream breaks off between two tokens and the
        // caller requests the missing ones from another node.
        while step != Step::Elsewhere {
            let is_last = !matches!(step, Step::Tokens(_));
            let mut out = Vec::with_capacity(capacity_bytes(&step));
            write_step(&mut out, &step, &follow.id_of(&step));
            yield Ok::<_, Infallible>(Frame::data(Bytes::from(out)));
            if is_last {
                break;
            }
            step = follow.next().await;
        }
    };
    let body = BodyExt::map_err(StreamBody::new(events), |never| match never {});
    let mut response = Response::new(Body::new(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Returns the buffer capacity for a step, so that writing it seldom reallocates.
fn capacity_bytes(step: &Step) -> usize {
    match step {
        Step::Tokens(chunk) => chunk.tokens().count() * TYPICAL_EVENT_BYTES,
        Step::End(_) | Step::NoSuchRequest | Step::OtherCall | Step::Elsewhere => {
            2 * TYPICAL_EVENT_BYTES
        }
    }
}

fn write_step(out: &mut Vec<u8>, step: &Step, id: &RequestId) {
    match step {
        Step::Tokens(chunk) => write_tokens(out, chunk),
        Step::End(Outcome::Completed {
            tokens,
            finish: reason,
        }) => {
            write_event(
                out,
                "done",
                &DoneData {
                    tokens: *tokens,
                    finish: finish(*reason),
                },
            );
        }
        Step::End(outcome) => write_event(out, "error", &OutcomeBody::new(id, outcome)),
        Step::NoSuchRequest | Step::OtherCall | Step::Elsewhere => {
            out.extend(b"event: error\ndata: {}\n\n");
        }
    }
}

fn write_tokens(out: &mut Vec<u8>, chunk: &Chunk) {
    for (position, token) in (chunk.from..).zip(chunk.tokens()) {
        writeln!(out, "id: {position}").expect("a vector grows as needed");
        write_event(out, "token", &TokenData { position, token });
    }
}

fn write_event(out: &mut Vec<u8>, kind: &str, data: &impl Serialize) {
    for part in ["event: ", kind, "\ndata: "] {
        out.extend(part.as_bytes());
    }
    serde_json::to_writer(&mut *out, data).expect("event data have a JSON form");
    out.extend(b"\n\n");
}
