//! A request's answer as server-sent events, each with its token's position as id.

use std::convert::Infallible;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;

use super::refusal::{OutcomeBody, finish};
use crate::node::OpenCaller;
use crate::requests::record::Chunk;
use crate::requests::{Follow, Links, Outcome, RequestId, Step};

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

/// Streams what follows; the first step is there already, so that a refusal can have its status.
pub(super) fn stream<L: Links>(
    first: Step,
    mut follow: Follow<L>,
    id: RequestId,
    caller: OpenCaller,
) -> Response<Body> {
    let events = async_stream::stream! {
        // Held for as long as the caller reads.
        let _caller = caller;
        let mut step = first;
        // Where the rest is elsewhere, the stream breaks off between two tokens and the caller asks
        // another node for what is missing.
        while step != Step::Elsewhere {
            let mut text = String::new();
            let last = !matches!(step, Step::Tokens(_));
            write_step(&mut text, &step, &id);
            yield Ok::<_, Infallible>(Frame::data(Bytes::from(text)));
            if last {
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

fn write_step(text: &mut String, step: &Step, id: &RequestId) {
    match step {
        Step::Tokens(chunk) => write_tokens(text, chunk),
        Step::End(Outcome::Completed {
            tokens,
            finish: reason,
        }) => {
            write_event(
                text,
                "done",
                &DoneData {
                    tokens: *tokens,
                    finish: finish(*reason),
                },
            );
        }
        Step::End(outcome) => write_event(text, "error", &OutcomeBody::new(id, outcome)),
        Step::NoSuchRequest | Step::OtherCall | Step::Elsewhere => {
            text.push_str("event: error\ndata: {}\n\n");
        }
    }
}

fn write_tokens(text: &mut String, chunk: &Chunk) {
    for (position, token) in (chunk.from..).zip(&chunk.tokens) {
        text.push_str("id: ");
        text.push_str(&position.to_string());
        text.push('\n');
        write_event(text, "token", &TokenData { position, token });
    }
}

fn write_event(text: &mut String, kind: &str, data: &impl Serialize) {
    let json = serde_json::to_string(data).unwrap_or_default();
    for part in ["event: ", kind, "\ndata: ", &json, "\n\n"] {
        text.push_str(part);
    }
}
