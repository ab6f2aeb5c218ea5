//! An upstream response whose head has been received and whose body is still to be read.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode};
use hyper::body::Incoming;

use super::admission::Plan;
use super::attempts::Attempts;
use super::request_log::RequestLog;
use super::upstream_request::UpstreamRequest;
use crate::fair_body::FairBody;
use crate::gateway::clock;
use crate::gateway::crashes::reports;
use crate::gateway::health::Outcome;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::head_limit::HeadLimitedSender;
use crate::platform::headers::ResponseHead;
use crate::time::TimeMs;

/// The head of an upstream's response and its unread body.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub response: Response<Incoming>,
    pub answer: ResponseHead,
    pub upstream_request: UpstreamRequest,
    pub sender: HeadLimitedSender,
}

impl UpstreamResponse {
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Splits the response into its body and the context that is kept until the body ends.
    pub fn into_stream(self) -> (FairBody<Incoming>, ResponseContext) {
        let headers = self.response.headers();
        let context = ResponseContext {
            is_end_framed: headers.contains_key(CONTENT_LENGTH)
                || headers.contains_key(TRANSFER_ENCODING),
            upstream_request: self.upstream_request,
            sender: self.sender,
            answer: self.answer,
        };
        (FairBody::new(self.response.into_body()), context)
    }

    /// Reads the whole body; returns `None` if it is incomplete, too large or late.
    ///
    /// An empty body of a success that ends with its connection counts as incomplete: an upstream that stops after its head
    /// leaves the same bytes.
    pub async fn collect(
        self,
        node: &Gateway,
        plan: &Plan,
        attempts: &mut Attempts,
        request_log: &mut RequestLog,
    ) -> Option<Bytes> {
        let status = self.status();
        let (body, mut context) = self.into_stream();
        attempts.record_execution();
        count_usage(
            node,
            plan,
            estimated_start(context.upstream_request.sent_at, clock::now()),
        );
        let left = Duration::from_millis(clock::now().until(plan.deadline));
        let mut reading = (node.answer_memory).begin(context.upstream_request.upstream_tag);
        let whole = tokio::time::timeout(left, reading.collect(body));
        let Some(whole) = context.upstream_request.unless_restarted(whole).await else {
            let (reason, now) = ("upstream_restarted", clock::now());
            attempts.exclude(context.upstream_request.upstream);
            context.upstream_request.record_crash(&plan.subjects, now);
            request_log.record_failed_attempt(reason, "within the body", now);
            return None;
        };
        let now = clock::now();
        context.upstream_request.record_first_token();
        match whole {
            Ok(Ok(body)) if body.is_empty() && context.awaits_body(&plan.method, status) => {
                let (reason, now) = ("ended_empty", clock::now());
                attempts.exclude(context.upstream_request.upstream);
                (context.upstream_request).record_failure(reason, &plan.subjects, now);
                request_log.record_failed_attempt(reason, "no length, and no body", now);
                None
            }
            Ok(Ok(body)) => {
                request_log.record_first_event(now);
                context.finish(node, status, plan, now);
                Some(body)
            }
            Ok(Err(error)) => {
                let reason = error.reason();
                (context.upstream_request).record_failure(reason, &plan.subjects, now);
                attempts.exclude(context.upstream_request.upstream);
                request_log.record_failed_attempt(reason, &error.to_string(), now);
                None
            }
            // The upstream of an answer that waited for memory may be sound.
            Err(_elapsed) if reading.is_waiting() => {
                let bytes = reading.reserved_by_all_bytes();
                let detail = format!("the answers that are being read hold {bytes} bytes");
                request_log.record_failed_attempt("body_no_memory", &detail, now);
                None
            }
            Err(_elapsed) => {
                let reason = "body_timeout";
                (context.upstream_request).record_failure(reason, &plan.subjects, now);
                request_log.record_failed_attempt(reason, "", now);
                None
            }
        }
    }
}

/// State of a response that is kept until its body ends.
#[derive(Debug)]
pub(super) struct ResponseContext {
    pub upstream_request: UpstreamRequest,
    sender: HeadLimitedSender,
    answer: ResponseHead,
    /// Whether the end of the body shows that it is whole; a body that ends with its connection may
    /// have been cut by a crash.
    is_end_framed: bool,
}

impl ResponseContext {
    /// Whether nothing but a body can show that the response was not cut off after its head.
    fn awaits_body(&self, method: &Method, status: StatusCode) -> bool {
        let has_no_body = method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
        status.is_success() && !self.is_end_framed && !has_no_body
    }

    /// Records the outcome of a body that was read to its end and makes its connection reusable.
    pub fn finish(self, node: &Gateway, status: StatusCode, plan: &Plan, now: TimeMs) {
        let took_ms = now.since(self.upstream_request.sent_at);
        if status.is_success() {
            let route = tag(&plan.route().name);
            node.durations.lock().record(route, took_ms, now);
        }
        let outcome = match status {
            _ if self.answer.requested_backoff_ms(status).is_some() => Outcome::Resting,
            _ if status.is_server_error() => Outcome::Failed,
            _ => Outcome::Good { took_ms },
        };
        // A stream's outcome is recorded when its first event arrives.
        if !plan.route().is_stream || status.is_server_error() {
            self.upstream_request.record_outcome(outcome, now);
        }
        match status.is_success() {
            true if self.is_end_framed => reports::record_answer(node, &plan.subjects, now),
            true => (self.upstream_request).record_unframed_answer(&plan.subjects, now),
            false => {}
        }
        keep_connection(node, &self.upstream_request, self.sender, &self.answer);
    }
}

/// Mean execution time of a non-streaming call, from its start to its response.
const PLAIN_CALL_DURATION_MS: u64 = 30;

/// Estimates when the upstream began to execute a non-streaming call that it has answered.
fn estimated_start(sent_at: TimeMs, answered_at: TimeMs) -> TimeMs {
    TimeMs(answered_at.0.saturating_sub(PLAIN_CALL_DURATION_MS)).max(sent_at)
}

/// Counts a request that began to execute toward its team's usage.
pub(super) fn count_usage(node: &Gateway, plan: &Plan, at: TimeMs) {
    if let Some(team) = plan.team() {
        let now = clock::now();
        let ago_ms = now.since(at);
        let time_of_day = TimeMs(node.agreed_time_of_day(now).0.saturating_sub(ago_ms));
        node.usage.lock().count(tag(&team.name), time_of_day);
    }
}

/// Keeps the connection of a response for reuse unless the upstream closes it.
pub(super) fn keep_connection(
    node: &Gateway,
    upstream_request: &UpstreamRequest,
    sender: HeadLimitedSender,
    answer: &ResponseHead,
) {
    if !answer.is_closing {
        let idle_timeout_ms = answer.idle_timeout_ms;
        (node.channels).keep(
            upstream_request.upstream,
            sender,
            idle_timeout_ms,
            clock::now(),
        );
    }
}
