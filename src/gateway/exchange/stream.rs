//! Event streams: forwards events as they arrive and resumes broken streams at another upstream.

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Frame;
use thiserror::Error;

use super::admission::Plan;
use super::alternatives::{Remaining, Waiting};
use super::attempts::Attempts;
use super::dispatch;
use super::request_log::RequestLog;
use super::upstream_response::{self, UpstreamResponse};
use super::upstream_stream::{NextEvents, SILENT, UpstreamStream};
use crate::gateway::attempt_timeouts;
use crate::gateway::clock;
use crate::gateway::events::Events;
use crate::gateway::health::Outcome;
use crate::gateway::state::Gateway;
use crate::gateway::streams::{self, StreamKey, VersionTag};
use crate::platform::headers;
use crate::time::TimeMs;

/// A stream that ended early; it aborts the caller's connection, so that the loss is visible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream was interrupted before its end: {reason}")]
pub(crate) struct StreamInterrupted {
    pub reason: &'static str,
}

/// A stream whose first events have been received.
pub(super) struct OpenStream {
    plan: Arc<Plan>,
    headers: HeaderMap,
    upstream_stream: UpstreamStream,
    attempts: Attempts,
    first: Events,
}

impl OpenStream {
    /// Returns the response head for the caller.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// Returns when the stream ends, whatever its upstream does.
    pub fn deadline(&self) -> TimeMs {
        self.plan.deadline
    }
}

/// Waits for a stream's first events; returns `None` if the stream fails before them.
///
/// The response head is withheld from the caller until then, so that a stream that fails earlier
/// can be restarted at another upstream or refused with a status code.
pub(super) async fn open_stream(
    node: &Arc<Gateway>,
    plan: &Arc<Plan>,
    attempts: &mut Attempts,
    upstream_response: UpstreamResponse,
    request_log: &mut RequestLog,
) -> Option<OpenStream> {
    let headers = headers::forwardable_response_headers(upstream_response.headers());
    let mut upstream_stream = UpstreamStream::new(upstream_response, plan.head.resume_after);
    let is_last = attempts.executions() + 1 >= plan.route().max_upstreams;
    let timeout_ms = attempt_timeouts::first_event_timeout_ms(plan.route(), is_last);
    let waiting = Waiting {
        node,
        plan,
        attempts,
        remaining: if is_last {
            Remaining::NoAttempt
        } else {
            Remaining::Attempts
        },
    };
    let next = (upstream_stream)
        .next_unless_better(waiting, timeout_ms, request_log)
        .await;
    let now = clock::now();
    upstream_stream
        .context
        .upstream_request
        .record_first_token();
    attempts.record_execution();
    let reason = match next {
        NextEvents::Events(first) => {
            let took_ms = now.since(upstream_stream.context.upstream_request.sent_at);
            upstream_stream
                .context
                .upstream_request
                .record_outcome(Outcome::Good { took_ms }, now);
            upstream_stream.first_events_at = now;
            upstream_stream.first_batch_last_id = first.last_id;
            if attempts.sends() == 1
                && upstream_stream
                    .context
                    .upstream_request
                    .is_read_speed_sample
            {
                let upstream_request = &upstream_stream.context.upstream_request;
                upstream_request.record_speed(took_ms);
                let mut engines = node.engine_models.lock();
                let model = engines.get_or_default(&plan.pool);
                model.record_first_token(
                    upstream_request.waiting_tokens,
                    upstream_request.others_at_send,
                    took_ms,
                );
            }
            let version = &upstream_stream.context.upstream_request.version;
            let version = VersionTag::of(version);
            attempts.bind(version);
            record_start(node, plan, version, now);
            upstream_response::count_usage(node, plan, now);
            request_log.record_first_event(now);
            return Some(OpenStream {
                plan: Arc::clone(plan),
                headers,
                upstream_stream,
                attempts: std::mem::take(attempts),
                first,
            });
        }
        NextEvents::Ended => "ended_empty",
        NextEvents::Broken(reason) => reason,
        NextEvents::Silent => SILENT,
        NextEvents::DeadlineExceeded => "late",
    };
    (upstream_stream.context.upstream_request).record_failure(reason, &plan.subjects, now);
    attempts.exclude(upstream_stream.context.upstream_request.upstream);
    if let Some(since) = upstream_stream.alive_since {
        attempts.prefer_alive(since);
        attempts.hold_repeat();
    }
    request_log.record_failed_attempt(reason, "before the first event", now);
    None
}

/// Records where a resumable stream began, also under the request that its caller names when it takes the stream up.
fn record_start(node: &Arc<Gateway>, plan: &Plan, version: VersionTag, now: TimeMs) {
    if !plan.route().is_repeatable() {
        return;
    }
    let origin = plan.origin_at(version);
    let resumed = plan
        .head
        .resumes
        .as_deref()
        .filter(|_id| plan.begun.is_some());
    for id in [Some(plan.head.id.as_str()), resumed].into_iter().flatten() {
        streams::record_start(node, StreamKey::of(id), origin, now);
    }
}

/// Forwards a stream to the caller until its end, resuming it at other upstreams as needed.
pub(super) fn forward(
    node: Arc<Gateway>,
    open_stream: OpenStream,
    mut request_log: RequestLog,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>> {
    async_stream::try_stream! {
        let OpenStream { plan, mut upstream_stream, mut attempts, first, .. } = open_stream;
        yield Frame::data(first.bytes);
        loop {
            let timeout_ms = attempt_timeouts::event_gap_timeout_ms(plan.route());
            let remaining = if plan.may_repeat(&attempts) {
                Remaining::Attempts
            } else {
                Remaining::NoAttempt
            };
            let waiting = Waiting { node: &node, plan: &plan, attempts: &attempts, remaining };
            let reason = match upstream_stream.next_unless_better(waiting, timeout_ms, &request_log).await {
                NextEvents::Events(events) => {
                    let now = clock::now();
                    request_log.record_event(now);
                    upstream_stream.record_progress(&node, &plan, now);
                    attempts.forget_silence();
                    yield Frame::data(events.bytes);
                    continue;
                }
                NextEvents::Ended => {
                    let now = clock::now();
                    upstream_stream.record_pace(&node, &plan.pool, now);
                    upstream_stream.context.finish(&node, StatusCode::OK, &plan, now);
                    request_log.finish_answered(StatusCode::OK, now);
                    break;
                }
                NextEvents::Broken(reason) => reason,
                NextEvents::Silent => SILENT,
                NextEvents::DeadlineExceeded => "late",
            };
            let next = resume(&node, &plan, &mut attempts, upstream_stream, reason, &mut request_log).await;
            if next.is_none() {
                request_log.finish_interrupted(reason, clock::now());
            }
            upstream_stream = next.ok_or(StreamInterrupted { reason })?;
        }
    }
}

/// Resumes a broken stream at another upstream; returns `None` if that is not allowed or fails.
async fn resume(
    node: &Arc<Gateway>,
    plan: &Arc<Plan>,
    attempts: &mut Attempts,
    upstream_stream: UpstreamStream,
    reason: &'static str,
    request_log: &mut RequestLog,
) -> Option<UpstreamStream> {
    let now = clock::now();
    if reason != "late" {
        let subjects = upstream_stream.blamed_subjects(plan);
        (upstream_stream.context.upstream_request).record_failure(reason, &subjects, now);
    }
    request_log.record_failed_attempt(reason, "within the stream", now);
    let after = upstream_stream
        .splitter
        .last_id()
        .or(plan.head.resume_after);
    attempts.exclude(upstream_stream.context.upstream_request.upstream);
    if let Some(since) = upstream_stream.alive_since {
        attempts.prefer_alive(since);
        attempts.hold_repeat();
    }
    // Closing the old connection first makes its upstream stop work whose result is unused.
    drop(upstream_stream);
    let not_resumed = match reason {
        "late" => Some("deadline"),
        _ if !plan.route().is_repeatable() => Some("not_resumable"),
        _ if !plan.may_repeat(attempts) => Some("attempts_used"),
        _ => None,
    };
    if let Some(detail) = not_resumed {
        request_log.record_failed_attempt("not_resumed", detail, clock::now());
        return None;
    }
    match dispatch::send(node, plan, attempts, after, request_log).await {
        Ok(upstream_response) if upstream_response.status() == StatusCode::OK => {
            attempts.record_execution();
            Some(UpstreamStream::new(upstream_response, after))
        }
        Ok(upstream_response) => {
            let status = upstream_response.status();
            request_log.record_failed_attempt("not_resumed", status.as_str(), clock::now());
            None
        }
        Err(unsent) => {
            let reason = unsent.refusal().reason();
            request_log.record_failed_attempt("not_resumed", reason, clock::now());
            None
        }
    }
}
