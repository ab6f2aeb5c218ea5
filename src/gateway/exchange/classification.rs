//! Decides what an upstream's response shows of the request that was sent: an answer, that it has not run, or nothing.

use std::sync::Arc;

use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::admission::Plan;
use super::upstream_request::UpstreamRequest;
use super::upstream_response::{UpstreamResponse, keep_connection};
use crate::gateway::clock;
use crate::gateway::connections::Connection;
use crate::gateway::health::Outcome;
use crate::gateway::limits::backoff::StatedBackoff;
use crate::gateway::state::Gateway;
use crate::platform::headers::{self, NamedRequest, ResponseHead};
use crate::time::TimeMs;

/// Why one send gave no usable response.
///
/// The fields are the reason that is logged and its detail.
pub(super) enum SendError {
    /// The request did not reach the upstream, or the upstream reported that it did not execute it.
    NotRun(&'static str, String),
    /// The upstream may have executed the request.
    MayHaveRun(&'static str, String),
}

/// Checks that a response belongs to the request and proves that the upstream executed it.
///
/// # Errors
///
/// If the response gives no answer to the request: what it shows of whether the request has run.
pub(super) fn classify(
    node: &Arc<Gateway>,
    plan: &Plan,
    upstream_request: UpstreamRequest,
    channel: Connection,
    response: Response<Incoming>,
) -> Result<UpstreamResponse, SendError> {
    let Connection {
        sender, is_reused, ..
    } = channel;
    let now = clock::now();
    node.reach
        .lock()
        .get_or_default(&plan.pool)
        .record_response();
    let answer = headers::read_response_head(response.headers());
    let status = response.status();
    let named = answer.named_request(&plan.head.id);
    let detail = || response_detail(status, named, is_reused);
    if is_about_request(named, is_reused) {
        record_upstream_state(plan, &upstream_request, status, &answer, now);
    }
    if answer.is_leaving && status != StatusCode::MISDIRECTED_REQUEST {
        upstream_request.record_leaving();
    }
    match status {
        // A late copy of the response to another request. The response to this one may follow on the
        // connection, which is closed.
        _ if !is_about_request(named, is_reused) => {
            upstream_request.record_outcome(Outcome::Broken, now);
            Err(SendError::MayHaveRun("other_answer", detail()))
        }
        // The status itself states that this upstream is another one and has not run the request.
        StatusCode::MISDIRECTED_REQUEST => {
            upstream_request.record_outcome(Outcome::Refused, now);
            Err(SendError::NotRun("other_upstream", detail()))
        }
        _ if answer.is_not_executed && shows_run(status) => {
            upstream_request.record_outcome(Outcome::Broken, now);
            Err(SendError::MayHaveRun("contradictory_answer", detail()))
        }
        _ if answer.is_not_executed => {
            let outcome = match answer.requested_backoff_ms(status) {
                Some(_rest_ms) => Outcome::Resting,
                None => Outcome::Refused,
            };
            upstream_request.record_outcome(outcome, now);
            keep_connection(node, &upstream_request, sender, &answer);
            Err(SendError::NotRun("not_run", detail()))
        }
        _ if named != NamedRequest::Own => {
            upstream_request.record_outcome(Outcome::Broken, now);
            Err(SendError::MayHaveRun("unnamed_answer", detail()))
        }
        // To the caller, the status would be a promise that this response does not give.
        _ if promises_not_run(status) => {
            let outcome = match answer.requested_backoff_ms(status) {
                Some(_rest_ms) => Outcome::Resting,
                None => Outcome::Failed,
            };
            upstream_request.record_outcome(outcome, now);
            keep_connection(node, &upstream_request, sender, &answer);
            Err(SendError::MayHaveRun("unproved_refusal", detail()))
        }
        _ if status.is_success() && (!answer.is_sealed || answer.is_encoded) => {
            upstream_request.record_outcome(Outcome::Broken, now);
            Err(SendError::MayHaveRun("unproved_answer", detail()))
        }
        _ => {
            if answer.requested_backoff_ms(status).is_none() {
                upstream_request.record_accepted();
            }
            Ok(UpstreamResponse {
                response,
                answer,
                upstream_request,
                sender,
            })
        }
    }
}

/// Whether a response is one to the request that was just sent on its connection.
///
/// A response without an id shows that only as the first one of a connection: on another, it may be a late copy.
fn is_about_request(named: NamedRequest, is_reused: bool) -> bool {
    match named {
        NamedRequest::Own => true,
        NamedRequest::Unnamed => !is_reused,
        NamedRequest::Other => false,
    }
}

/// Whether a status promises a caller that its request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a status is one of a request that has run, whatever else the response states.
fn shows_run(status: StatusCode) -> bool {
    let is_own_failure = matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR | StatusCode::GATEWAY_TIMEOUT
    );
    status.is_success() || is_own_failure
}

/// Describes a response that gives no answer, for the log.
fn response_detail(status: StatusCode, named: NamedRequest, is_reused: bool) -> String {
    let named = named.as_str();
    let connection = if is_reused { "reused" } else { "new" };
    format!("{status}, names request: {named}, connection: {connection}")
}

/// Applies the rate limit, brittleness and backoff that a response to the request states for its upstream.
///
/// After an address is reassigned, a different upstream answers on it; its headers do not describe
/// the selected one.
fn record_upstream_state(
    plan: &Plan,
    upstream_request: &UpstreamRequest,
    status: StatusCode,
    answer: &ResponseHead,
    now: TimeMs,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(stated) = answer.proven_limit(&plan.head.id) {
        upstream_request.record_limit(stated, now);
    }
    if let Some(stated) = answer.proven_brittleness(&plan.head.id) {
        upstream_request.record_brittleness(stated, now);
    }
    if answer.is_not_executed && status == StatusCode::SERVICE_UNAVAILABLE {
        upstream_request.record_refusal(now);
    }
    if let Some(rest_ms) = answer.requested_backoff_ms(status) {
        upstream_request.record_backoff(rest_ms, now);
    }
    match answer.backoff {
        StatedBackoff::ForMs(rest_ms) if status != StatusCode::SERVICE_UNAVAILABLE => {
            log::debug!(event = "upstream_rest_passed_over", status = status.as_u16(), rest_ms; "ignored a Retry-After header on a response with a status other than 503");
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
