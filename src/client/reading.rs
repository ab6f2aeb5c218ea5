//! Reads one answer of a node and says what happened.

use std::time::Duration;

use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::events::{Event as StreamEvent, Splitter};
use super::http::{Answer, HttpError, read_whole};
use super::policy::{Event, Rejection};
use super::wire::{DoneData, OUTCOME, Refusal, TokenData};

/// The media type of an event stream.
pub(super) const EVENT_STREAM: &str = "text/event-stream";
/// The value of the `Outcome` header beside a service's own answer.
const ANSWERED: &str = "answered";
/// The longest part of an unexpected answer that is shown.
const MOST_SHOWN_CHARS: usize = 300;

/// The reason of a node that finds the id nowhere.
const NO_SUCH_REQUEST: &str = "no_such_request";

/// What has come of an answer, over all attempts.
#[derive(Debug, Default)]
pub(super) struct Received {
    /// The position of the next token.
    pub next_position: u64,
    /// Whether anything new came in the latest attempt.
    pub has_news: bool,
    /// Whether the answer is not made of tokens and has to be asked for as a whole.
    pub is_whole: bool,
}

/// What a node was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Question {
    /// To run a call.
    Call,
    /// For the answer of a call sent before.
    Resumption,
}

/// The state of a request that has not ended.
#[derive(Deserialize)]
struct RunningData {
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The data of an `error` event.
#[derive(Deserialize)]
#[serde(untagged)]
enum EndData {
    Refused(Refusal),
    /// A plain service's answer, which has no tokens.
    Other {
        outcome: String,
    },
}

/// Reads the answer to a call or a resumption.
pub(super) async fn read_answer(
    question: Question,
    response: Response<Incoming>,
    received: &mut Received,
    patience_ms: u64,
    on_token: &mut impl FnMut(u64, &str),
) -> Event {
    let is_stream = (response.headers().get(header::CONTENT_TYPE))
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with(EVENT_STREAM));
    if is_stream {
        return read_stream(response, received, patience_ms, on_token).await;
    }
    match read_whole(response, patience_ms).await {
        Ok(answer) => whole(question, &answer),
        Err(_) => Event::Broken { accepted: true },
    }
}

/// What a failed attempt means.
pub(super) fn failed(error: &HttpError) -> Event {
    match error {
        unsent if unsent.is_unsent() => Event::Unsent,
        _ => Event::Broken { accepted: false },
    }
}

fn whole(question: Question, answer: &Answer) -> Event {
    let refusal = serde_json::from_slice::<Refusal>(&answer.body).ok();
    let reason = refusal.as_ref().map_or("", Refusal::shown_reason);
    match answer.status {
        _ if answer
            .headers
            .get(OUTCOME)
            .is_some_and(|value| value == ANSWERED) =>
        {
            answered(answer)
        }
        StatusCode::ACCEPTED => running(answer),
        // A service's own answer may look like a refusal; its status tells them apart.
        status if status.is_success() => answered(answer),
        // That an id is found nowhere is no refusal: the call may still be on its way to the home
        // and run when it arrives, so that a new id could be a second run.
        StatusCode::NOT_FOUND if question == Question::Resumption => match reason {
            NO_SUCH_REQUEST | "" => Event::NoSuchRequest,
            _ => rejected(answer),
        },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT => refused(refusal, answer),
        status if status.is_server_error() => refused(refusal, answer),
        _ => rejected(answer),
    }
}

fn refused(refusal: Option<Refusal>, answer: &Answer) -> Event {
    match refusal {
        Some(refusal) => Event::Refused(refusal),
        None if answer.status.is_server_error() => Event::Broken { accepted: false },
        None => rejected(answer),
    }
}

fn answered(answer: &Answer) -> Event {
    Event::Answered {
        status: answer.status.as_u16(),
        body: answer.body.clone(),
    }
}

fn running(answer: &Answer) -> Event {
    let data = serde_json::from_slice::<RunningData>(&answer.body);
    Event::Running {
        retry_after_ms: data.ok().and_then(|data| data.retry_after_ms),
    }
}

fn rejected(answer: &Answer) -> Event {
    Event::Rejected(rejection(answer))
}

/// What a node says of a call at fault.
pub(super) fn rejection(answer: &Answer) -> Rejection {
    let text = String::from_utf8_lossy(&answer.body);
    Rejection {
        status: answer.status.as_u16(),
        message: text.chars().take(MOST_SHOWN_CHARS).collect(),
    }
}

async fn read_stream(
    response: Response<Incoming>,
    received: &mut Received,
    patience_ms: u64,
    on_token: &mut impl FnMut(u64, &str),
) -> Event {
    let broken = Event::Broken { accepted: true };
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    loop {
        let frame = tokio::time::timeout(Duration::from_millis(patience_ms), body.frame()).await;
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
                Ok(Some(event)) => match take_event(&event, received, on_token) {
                    Taken::Token => {}
                    Taken::End(event) => return event,
                    Taken::Unfit => return broken,
                },
                Err(_) => return broken,
            }
        }
    }
}

/// What became of an event of the stream.
enum Taken {
    /// It brought a token, or nothing new.
    Token,
    /// It ended the request.
    End(Event),
    /// It does not fit what has come; the stream must be read again from the next position.
    Unfit,
}

fn take_event(
    event: &StreamEvent,
    received: &mut Received,
    on_token: &mut impl FnMut(u64, &str),
) -> Taken {
    match event.kind.as_str() {
        "token" => match serde_json::from_str(&event.data) {
            Ok(token) => take_token(&token, received, on_token),
            Err(_) => Taken::Unfit,
        },
        "done" => match serde_json::from_str::<DoneData>(&event.data) {
            // An end before the last token would give the caller half an answer as a whole one.
            Ok(done) if done.tokens == received.next_position => Taken::End(Event::Completed {
                tokens: done.tokens,
                finish: done.finish,
            }),
            _ => Taken::Unfit,
        },
        "error" => match serde_json::from_str::<EndData>(&event.data) {
            Ok(EndData::Refused(refusal)) => Taken::End(Event::Refused(refusal)),
            Ok(EndData::Other { outcome }) if outcome == ANSWERED => {
                received.is_whole = true;
                Taken::End(Event::Running {
                    retry_after_ms: Some(0),
                })
            }
            _ => Taken::Unfit,
        },
        _ => Taken::Token,
    }
}

/// Takes the next token; one that came before is passed over, one from further on shows a gap.
fn take_token(
    token: &TokenData,
    received: &mut Received,
    on_token: &mut impl FnMut(u64, &str),
) -> Taken {
    match token.position {
        position if position > received.next_position => Taken::Unfit,
        position if position < received.next_position => Taken::Token,
        position => {
            on_token(position, &token.token);
            received.next_position += 1;
            received.has_news = true;
            Taken::Token
        }
    }
}
