//! Reads the response of a node and converts it to an event of the retry policy.

use std::time::Duration;

use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::events::{Event as StreamEvent, Splitter};
use super::http::{BufferedResponse, HttpError, read_body};
use super::policy::{Event, Rejection};
use super::wire::{DoneData, OUTCOME, Refusal, TokenData};

/// The media type of an event stream.
pub(super) const EVENT_STREAM: &str = "text/event-stream";
/// Value of the `Outcome` header of a response that a plain service wrote.
const ANSWERED: &str = "answered";
/// Maximum number of characters of a response body in a rejection message.
const MAX_SHOWN_CHARS: usize = 300;

/// Reason of a node that found no request with the id.
const NO_SUCH_REQUEST: &str = "no_such_request";

/// Part of the response received so far, over all attempts.
#[derive(Debug, Default)]
pub(super) struct Received {
    /// Position of the next expected token.
    pub next_position: u64,
    /// Whether the latest attempt received a new token.
    pub has_progress: bool,
    /// Whether the response has no tokens and must be requested without an event stream.
    pub is_tokenless: bool,
}

/// Kind of the request that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A call to run.
    Call,
    /// A query for the response of an earlier call.
    Resumption,
}

/// Body of the response for a request that has not ended.
#[derive(Deserialize)]
struct RunningData {
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Data of an `error` event.
#[derive(Deserialize)]
#[serde(untagged)]
enum EndData {
    Refused(Refusal),
    /// The outcome of a plain service's request, which has no tokens.
    Other {
        outcome: String,
    },
}

/// Reads the response to a call or a query; passes new tokens to `on_token`.
pub(super) async fn read_response(
    request_kind: RequestKind,
    response: Response<Incoming>,
    received: &mut Received,
    timeout_ms: u64,
    on_token: &mut impl FnMut(u64, &str),
) -> Event {
    let is_stream = (response.headers().get(header::CONTENT_TYPE))
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with(EVENT_STREAM));
    if is_stream {
        return read_stream(response, received, timeout_ms, on_token).await;
    }
    match read_body(response, timeout_ms).await {
        Ok(response) => whole_response(request_kind, &response),
        Err(_) => Event::Broken { is_accepted: true },
    }
}

/// The event of an attempt that received no response head.
pub(super) fn event_of_error(error: &HttpError) -> Event {
    match error {
        unsent if unsent.is_unsent() => Event::Unsent,
        _ => Event::Broken { is_accepted: false },
    }
}

/// The event of a response that is not an event stream.
fn whole_response(request_kind: RequestKind, response: &BufferedResponse) -> Event {
    let refusal = serde_json::from_slice::<Refusal>(&response.body).ok();
    let reason = refusal.as_ref().map_or("", Refusal::shown_reason);
    match response.status {
        _ if response
            .headers
            .get(OUTCOME)
            .is_some_and(|value| value == ANSWERED) =>
        {
            answered(response)
        }
        StatusCode::ACCEPTED => running(response),
        // A response of a service may have the form of a refusal; the status distinguishes them.
        status if status.is_success() => answered(response),
        // An id that is not found is not a refusal: the call may still be in transit to its home node
        // and run when it arrives, so a retry under a new id could be a second run.
        StatusCode::NOT_FOUND if request_kind == RequestKind::Resumption => match reason {
            NO_SUCH_REQUEST | "" => Event::NoSuchRequest,
            _ => rejected(response),
        },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT => refused(refusal, response),
        status if status.is_server_error() => refused(refusal, response),
        _ => rejected(response),
    }
}

fn refused(refusal: Option<Refusal>, response: &BufferedResponse) -> Event {
    match refusal {
        Some(refusal) => Event::Refused(refusal),
        None if response.status.is_server_error() => Event::Broken { is_accepted: false },
        None => rejected(response),
    }
}

fn answered(response: &BufferedResponse) -> Event {
    Event::Answered {
        status: response.status.as_u16(),
        body: response.body.clone(),
    }
}

fn running(response: &BufferedResponse) -> Event {
    let data = serde_json::from_slice::<RunningData>(&response.body);
    Event::Running {
        retry_after_ms: data.ok().and_then(|data| data.retry_after_ms),
    }
}

fn rejected(response: &BufferedResponse) -> Event {
    Event::Rejected(rejection(response))
}

/// The rejection in a node's response to an invalid call.
pub(super) fn rejection(response: &BufferedResponse) -> Rejection {
    let text = String::from_utf8_lossy(&response.body);
    Rejection {
        status: response.status.as_u16(),
        message: text.chars().take(MAX_SHOWN_CHARS).collect(),
    }
}

async fn read_stream(
    response: Response<Incoming>,
    received: &mut Received,
    timeout_ms: u64,
    on_token: &mut impl FnMut(u64, &str),
) -> Event {
    let broken = Event::Broken { is_accepted: true };
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    loop {
        let frame = tokio::time::timeout(Duration::from_millis(timeout_ms), body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else {
            return broken;
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        splitter.push(bytes);
        loop {
            match splitter.next_event() {
                Ok(None) => break,
                Ok(Some(event)) => match apply_event(&event, received, on_token) {
                    EventEffect::Token => {}
                    EventEffect::End(event) => return event,
                    EventEffect::Mismatch => return broken,
                },
                Err(_) => return broken,
            }
        }
    }
}

/// Effect of a stream event on the received response.
enum EventEffect {
    /// The event has the next token, or nothing new.
    Token,
    /// The event ends the stream.
    End(Event),
    /// The event is malformed or out of order; the stream must be resumed from the next position.
    Mismatch,
}

fn apply_event(
    event: &StreamEvent,
    received: &mut Received,
    on_token: &mut impl FnMut(u64, &str),
) -> EventEffect {
    match event.kind.as_str() {
        "token" => match serde_json::from_str(&event.data) {
            Ok(token) => apply_token(&token, received, on_token),
            Err(_) => EventEffect::Mismatch,
        },
        "done" => match serde_json::from_str::<DoneData>(&event.data) {
            // An end before the last token would present a partial response as complete.
            Ok(done) if done.tokens == received.next_position => {
                EventEffect::End(Event::Completed {
                    tokens: done.tokens,
                    finish: done.finish,
                })
            }
            _ => EventEffect::Mismatch,
        },
        "error" => match serde_json::from_str::<EndData>(&event.data) {
            Ok(EndData::Refused(refusal)) => EventEffect::End(Event::Refused(refusal)),
            Ok(EndData::Other { outcome }) if outcome == ANSWERED => {
                received.is_tokenless = true;
                EventEffect::End(Event::Running {
                    retry_after_ms: Some(0),
                })
            }
            _ => EventEffect::Mismatch,
        },
        _ => EventEffect::Token,
    }
}

/// Passes the next token to `on_token`; skips duplicates; a later position is a gap.
fn apply_token(
    token: &TokenData,
    received: &mut Received,
    on_token: &mut impl FnMut(u64, &str),
) -> EventEffect {
    match token.position {
        position if position > received.next_position => EventEffect::Mismatch,
        position if position < received.next_position => EventEffect::Token,
        position => {
            on_token(position, &token.token);
            received.next_position += 1;
            received.has_progress = true;
            EventEffect::Token
        }
    }
}
