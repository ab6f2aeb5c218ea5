//! The path of a request: from a caller to an upstream and back.

mod admit;
mod arrived;
mod attempt;
mod events;
mod running;
mod story;
mod trial;

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use self::admit::Plan;
use self::arrived::Arrived;
use self::events::BrokenOff;
use self::story::Story;
use self::trial::Trial;
use super::clock;
use super::refusal::Refusal;
use super::state::Gateway;
use crate::platform::headers;

/// The body of an answer to a caller: whole, or a stream of events.
pub(crate) type AnswerBody<S> = Either<Full<Bytes>, StreamBody<S>>;

/// Answers one request of a caller.
pub(crate) async fn answer(
    node: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody<impl Stream<Item = Result<Frame<Bytes>, BrokenOff>>>> {
    let received_at = clock::now();
    let in_flight = node.enter();
    let mut story = Story::new(received_at);
    let (parts, body) = request.into_parts();
    // Where a request names two lengths, what follows it on the channel may be part of it. The
    // HTTP library goes by the chunks and hides the other length; no later request of such a
    // channel is read, so that none can be hidden inside another.
    let ends_channel = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let answered = match admit::admit(&node, parts, body, received_at, &mut story).await {
        Ok(plan) => run(&node, plan, &mut story).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match answered {
        Ok(Answered::Whole(response)) => {
            story.answered(response.status(), clock::now());
            response.map(|body| Either::Left(Full::new(body)))
        }
        Ok(Answered::Stream(stream)) => {
            let stream = *stream;
            let head = stream.head();
            let events = events::pass_on(Arc::clone(&node), stream, story, in_flight);
            head.map(|()| Either::Right(StreamBody::new(events)))
        }
        Err(refusal) => {
            story.refused(&refusal, clock::now());
            refuse(&refusal, story.request_id()).map(|body| Either::Left(Full::new(body)))
        }
    };
    let is_malformed = response.status() == StatusCode::BAD_REQUEST;
    if ends_channel || is_malformed || node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// What a caller gets.
enum Answered {
    Whole(Response<Bytes>),
    /// A stream of which the first events have come.
    Stream(Box<events::Opened>),
}

/// Sends a request until an upstream has answered it or it must not be sent again.
async fn run(node: &Arc<Gateway>, plan: Plan, story: &mut Story) -> Result<Answered, Refusal> {
    let mut trial = Trial::default();
    let plan = Arc::new(plan);
    // The answer of an upstream that failed, in case no other does better.
    let mut fallback: Option<Response<Bytes>> = None;
    loop {
        let sent = attempt::send(node, &plan, &mut trial, None, story).await;
        let arrived = match (sent, fallback) {
            (Ok(arrived), _) => arrived,
            (Err(_refusal), Some(failure)) => return Ok(Answered::Whole(failure)),
            (Err(refusal), None) => {
                plan.settle(node, &trial, clock::now());
                return Err(refusal);
            }
        };
        fallback = None;
        let is_stream = plan.route().is_stream && arrived.status() == StatusCode::OK;
        if is_stream {
            match events::open(node, &plan, &mut trial, arrived, story).await {
                Some(opened) => return Ok(Answered::Stream(Box::new(opened))),
                None if plan.may_repeat(&trial) => continue,
                None => return Err(trial.unanswered(&plan, clock::now())),
            }
        }
        match whole(node, &plan, &mut trial, arrived, story).await {
            Some(response) if is_failure(&response) && plan.may_repeat(&trial) => {
                fallback = Some(response);
            }
            Some(response) => return Ok(Answered::Whole(response)),
            None if plan.may_repeat(&trial) => {}
            None => return Err(trial.unanswered(&plan, clock::now())),
        }
    }
}

fn is_failure(response: &Response<Bytes>) -> bool {
    response.status().is_server_error()
}

/// Reads an answer that is not a stream to its end.
async fn whole(
    node: &Arc<Gateway>,
    plan: &Plan,
    trial: &mut Trial,
    arrived: Arrived,
    story: &mut Story,
) -> Option<Response<Bytes>> {
    let status = arrived.status();
    let headers = headers::returnable(arrived.headers());
    let body = arrived.collect(node, plan, trial, story).await?;
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}

/// An answer of our own.
fn refuse(refusal: &Refusal, request_id: Option<&str>) -> Response<Bytes> {
    let text = format!("{{\"error\":\"{}\"}}", refusal.word());
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() = refusal.status();
    headers::own_answer(response.headers_mut(), request_id, refusal.retry_after_ms());
    response
}
