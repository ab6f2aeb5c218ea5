//! The request path: admits a caller's request, sends it to an upstream or hands it to a peer, and
//! returns the response.

mod admission;
mod alternatives;
mod answer_memory;
mod answer_shares;
mod attempts;
mod classification;
mod connecting;
mod dispatch;
mod forward;
mod head_wait;
mod quiet;
mod request_log;
mod selection;
mod silence;
mod stream;
mod unread_answers;
mod upstream_request;
mod upstream_response;
mod upstream_stream;

use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use self::admission::Plan;
pub(crate) use self::answer_memory::AnswerMemory;
use self::attempts::Attempts;
use self::dispatch::Unsent;
use self::request_log::RequestLog;
use self::stream::StreamInterrupted;
pub(crate) use self::unread_answers::UnreadKey;
use self::upstream_response::UpstreamResponse;
use super::caller_connection::{RequestBody, UnwrittenAnswer};
use super::clock;
use super::forwarding::ForwardedRequest;
use super::refusal::Refusal;
use super::state::Gateway;
use crate::platform::headers;
use crate::time::TimeMs;

/// The body of a response to a caller: complete, or a stream of events.
pub(crate) type AnswerBody<S> = Either<Full<Bytes>, StreamBody<S>>;

/// Handles one request of a caller and returns its response, which holds the guard.
pub(crate) async fn answer(
    node: Arc<Gateway>,
    request: Request<Incoming>,
    unwritten: UnwrittenAnswer,
) -> Response<AnswerBody<impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>>>> {
    let received_at = clock::now();
    let mut request_log = RequestLog::new(received_at);
    let (parts, body) = request.into_parts();
    // Request smuggling: if a request has both `Transfer-Encoding` and `Content-Length`, the bytes
    // that follow it on the connection may belong to it. The HTTP library uses the chunked length
    // and hides the other one. The connection is closed after such a request, so that no request
    // hidden inside its body is ever read.
    let closes_connection = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    // The request's state is larger than that of its connection, which is kept when the request has ended.
    let body = unwritten.body(body);
    let serving = Box::pin(serve(&node, parts, body, received_at, &mut request_log));
    let executed = until_last_answers(&node, serving).await;
    let executed = executed.unwrap_or_else(|| Err(request_log.last_refusal()));
    let is_evicted = matches!(executed, Err(Refusal::NoMemory));
    let mut response = match executed {
        Ok(Executed::Whole(response)) => {
            request_log.finish_answered(response.status(), clock::now());
            response.map(|body| Either::Left(Full::new(unwritten.held_by(body, &node))))
        }
        Ok(Executed::Stream(stream)) => {
            let head = stream.head();
            let deadline = stream.deadline();
            let events = stream::forward(Arc::clone(&node), *stream, request_log);
            let events = unwritten.held_by_events(events.left_stream(), deadline);
            head.map(|()| Either::Right(StreamBody::new(Box::pin(events))))
        }
        Ok(Executed::Forwarded(stream)) => {
            request_log.record_first_event(clock::now());
            let head = stream.head();
            let deadline = stream.deadline();
            let events = forward::relay(*stream, request_log);
            let events = unwritten.held_by_events(events.right_stream(), deadline);
            head.map(|()| Either::Right(StreamBody::new(Box::pin(events))))
        }
        Err(refusal) => {
            request_log.finish_refused(&refusal, clock::now());
            refusal_response(&refusal, request_log.request_id())
                .map(|body| Either::Left(Full::new(unwritten.held_by(body, &node))))
        }
    };
    let is_malformed = response.status() == StatusCode::BAD_REQUEST;
    if closes_connection || is_malformed || is_evicted || node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Awaits the result for a request; `None` if the node exits before it comes.
async fn until_last_answers<T>(node: &Gateway, result: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        result = result => Some(result),
        () = node.last_answers.cancelled() => None,
    }
}

/// Admits a caller's request and sends it to an upstream or a peer.
async fn serve(
    node: &Arc<Gateway>,
    parts: Parts,
    body: RequestBody,
    received_at: TimeMs,
    request_log: &mut RequestLog,
) -> Result<Executed, Refusal> {
    let plan = admission::admit(node, parts, body, received_at, request_log).await?;
    execute(node, plan, request_log).await
}

/// Handles a request that a peer forwarded and returns its response.
///
/// # Errors
///
/// The reason why the request has no response of an upstream.
pub(crate) async fn answer_forwarded(
    node: &Arc<Gateway>,
    request: ForwardedRequest,
) -> Result<
    CallerResponse<impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>> + use<>>,
    Refusal,
> {
    let received_at = clock::now();
    let mut request_log = RequestLog::of_forwarded(&request.node, received_at);
    let mut attempts = Attempts::of_forwarded(request.is_counted);
    let executed = match admission::admit_forwarded(node, request, received_at, &mut request_log) {
        Ok(plan) => {
            attempts.bind_to(plan.begun);
            let plan = Arc::new(plan);
            let executing = execute_here(node, &plan, &mut attempts, &mut request_log);
            let executed = until_last_answers(node, executing).await;
            executed.unwrap_or_else(|| Err(request_log.last_refusal().into()))
        }
        Err(refusal) => Err(Unsent::Refused(refusal)),
    };
    match executed {
        Ok(Local::Whole(response)) => {
            request_log.finish_answered(response.status(), clock::now());
            Ok(CallerResponse::Whole(response))
        }
        Ok(Local::Stream(stream)) => {
            let head = stream.head();
            let events = stream::forward(Arc::clone(node), *stream, request_log);
            Ok(CallerResponse::Stream(head, events))
        }
        Err(unsent) => {
            let refusal = unsent.refusal();
            request_log.finish_refused(&refusal, clock::now());
            Err(refusal)
        }
    }
}

/// The response that a caller receives: complete, or its head and a stream of events.
pub(crate) enum CallerResponse<S> {
    Whole(Response<Bytes>),
    Stream(Response<()>, S),
}

/// The response to a request that this node or a peer sent to an upstream.
enum Executed {
    Whole(Response<Bytes>),
    /// A stream whose first events have been received.
    Stream(Box<stream::OpenStream>),
    /// A stream of a peer.
    Forwarded(Box<forward::ForwardedStream>),
}

/// Sends a request to an upstream, or hands it to a peer if this node does not reach its pool.
async fn execute(
    node: &Arc<Gateway>,
    plan: Plan,
    request_log: &mut RequestLog,
) -> Result<Executed, Refusal> {
    let plan = Arc::new(plan);
    let mut attempts = Attempts::default();
    attempts.bind_to(plan.begun);
    let mut serves_itself = node.serves_itself(&plan.pool, plan.draw, clock::now());
    loop {
        if !serves_itself {
            match forward::forward(node, &plan, &mut attempts, request_log).await {
                Some(forwarded) => {
                    if forwarded.is_err() {
                        plan.refund_quota(node, &attempts, request_log, clock::now());
                    }
                    return forwarded;
                }
                None => attempts.keep_here(),
            }
        }
        match execute_here(node, &plan, &mut attempts, request_log).await {
            Ok(Local::Whole(response)) => return Ok(Executed::Whole(response)),
            Ok(Local::Stream(stream)) => return Ok(Executed::Stream(stream)),
            Err(Unsent::Refused(refusal)) => return Err(refusal),
            Err(Unsent::Unreached(_refusal)) => serves_itself = false,
        }
    }
}

/// The response to a request that this node sent to an upstream.
enum Local {
    Whole(Response<Bytes>),
    /// A stream whose first events have been received.
    Stream(Box<stream::OpenStream>),
}

/// Sends a request until an upstream answers it or another send is not allowed.
async fn execute_here(
    node: &Arc<Gateway>,
    plan: &Arc<Plan>,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Result<Local, Unsent> {
    // The 5xx response of the previous upstream, returned if no other upstream answers.
    let mut failed_response: Option<Response<Bytes>> = None;
    loop {
        let sent = dispatch::send(node, plan, attempts, None, request_log).await;
        let upstream_response = match (sent, failed_response) {
            (Ok(upstream_response), _) => upstream_response,
            (Err(_unsent), Some(failed)) => return Ok(Local::Whole(failed)),
            (Err(Unsent::Refused(refusal)), None) => {
                plan.refund_quota(node, attempts, request_log, clock::now());
                return Err(refusal.into());
            }
            (Err(unreached), None) => return Err(unreached),
        };
        failed_response = None;
        let is_stream = plan.route().is_stream && upstream_response.status() == StatusCode::OK;
        if is_stream {
            match stream::open_stream(node, plan, attempts, upstream_response, request_log).await {
                Some(open_stream) => return Ok(Local::Stream(Box::new(open_stream))),
                None if plan.may_repeat(attempts) => continue,
                None => return Err(attempts.final_refusal(plan, clock::now()).into()),
            }
        }
        match read_whole(node, plan, attempts, upstream_response, request_log).await {
            Some(response) if is_failure(&response) && plan.may_repeat(attempts) => {
                failed_response = Some(response);
            }
            Some(response) => return Ok(Local::Whole(response)),
            None if plan.may_repeat(attempts) => {}
            None => return Err(attempts.final_refusal(plan, clock::now()).into()),
        }
    }
}

fn is_failure(response: &Response<Bytes>) -> bool {
    response.status().is_server_error()
}

/// Reads a non-streaming response to its end; returns `None` if the body is incomplete.
async fn read_whole(
    node: &Arc<Gateway>,
    plan: &Plan,
    attempts: &mut Attempts,
    upstream_response: UpstreamResponse,
    request_log: &mut RequestLog,
) -> Option<Response<Bytes>> {
    let status = upstream_response.status();
    let headers = headers::forwardable_response_headers(upstream_response.headers());
    let body = upstream_response
        .collect(node, plan, attempts, request_log)
        .await?;
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}

/// Builds the response for a request that this node refuses.
fn refusal_response(refusal: &Refusal, request_id: Option<&str>) -> Response<Bytes> {
    let text = format!("{{\"error\":\"{}\"}}", refusal.reason());
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() = refusal.status();
    headers::set_local_response_headers(
        response.headers_mut(),
        request_id,
        refusal.retry_after_ms(),
    );
    response
}

#[cfg(test)]
mod tests;
