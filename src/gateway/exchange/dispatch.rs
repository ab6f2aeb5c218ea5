//! Sends a request to upstreams, one after another, within its deadline and repeat budget.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::admission::Plan;
use super::attempts::Attempts;
use super::classification::{self, SendError};
use super::connecting::open_channel;
use super::head_wait::await_head;
use super::request_log::{RequestLog, SelectionInputs};
use super::selection::select_upstream;
use super::silence;
use super::upstream_request::UpstreamRequest;
use super::upstream_response::UpstreamResponse;
use crate::gateway::choose::Choice;
use crate::gateway::clock;
use crate::gateway::crashes::reports;
use crate::gateway::num;
use crate::gateway::refusal::Refusal;
use crate::gateway::request_head::Prompt;
use crate::gateway::scheduling::{Arrival, gate};
use crate::gateway::state::Gateway;
use crate::head_limit::HeadTooLong;
use crate::platform::headers::{self, UpstreamHeaders};
use crate::time::TimeMs;

/// Why a request was not sent, or not sent once more.
pub(super) enum Unsent {
    /// The caller gets this refusal.
    Refused(Refusal),
    /// This node does not reach the pool. The caller gets this refusal unless a peer reaches it.
    Unreached(Refusal),
}

impl From<Refusal> for Unsent {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Unsent {
    /// Returns the refusal for the caller if no peer sends the request.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) | Self::Unreached(refusal) => refusal,
        }
    }
}

/// Sends a request until an upstream answers it.
///
/// With `resume_after`, the upstream is asked to resume the stream after the event of that id.
///
/// # Errors
///
/// The refusal to return to the caller if no further upstream may be tried, or that this node does
/// not reach the pool and no upstream has received the request.
pub(super) async fn send(
    node: &Arc<Gateway>,
    plan: &Plan,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
    request_log: &mut RequestLog,
) -> Result<UpstreamResponse, Unsent> {
    loop {
        let now = clock::now();
        if !plan.may_send(node, now) {
            return Err(attempts.stopped().into());
        }
        let choice = select_upstream(node, plan, attempts, now)?;
        let is_new = resume_after.is_none() && plan.begun.is_none();
        if is_new
            && attempts.start_once()
            && wait_for_room(node, plan, &choice, request_log).await?
        {
            continue;
        }
        pass_blocks(node, plan, attempts)?;
        let sent = send_once(node, plan, attempts, &choice, resume_after, request_log).await;
        let now = clock::now();
        let (reason, detail) = match sent {
            Ok(upstream_response) => return Ok(upstream_response),
            Err(SendError::NotRun(reason, detail)) => {
                attempts.record_undelivered();
                (reason, detail)
            }
            Err(SendError::MayHaveRun(reason, detail)) => {
                attempts.record_execution();
                (reason, detail)
            }
        };
        attempts.exclude(choice.upstream);
        request_log.record_failed_attempt(reason, &detail, now);
        if attempts.executions() > 0 && !plan.may_repeat(attempts) {
            return Err(attempts.final_refusal(plan, now).into());
        }
        let is_suspected = attempts.is_nearly_undeliverable() && node.is_suspected(&plan.pool);
        if attempts.may_forward() && (is_suspected || node.is_unreached(&plan.pool)) {
            return Err(Unsent::Unreached(attempts.final_refusal(plan, now)));
        }
    }
}

/// Lets the request pass the blocks of its parts. One that tests a block goes on doing so until an
/// upstream may have run it.
///
/// # Errors
///
/// The refusal if other requests have begun to test the block meanwhile.
fn pass_blocks(node: &Gateway, plan: &Plan, attempts: &mut Attempts) -> Result<(), Refusal> {
    if !attempts.is_trial() && reports::pass_blocks(node, &plan.subjects, clock::now())? {
        attempts.begin_trial();
    }
    Ok(())
}

/// Waits until the request may start, if its pool is short of room; returns whether it waited.
///
/// # Errors
///
/// The refusal if it may not start.
async fn wait_for_room(
    node: &Gateway,
    plan: &Plan,
    choice: &Choice,
    request_log: &mut RequestLog,
) -> Result<bool, Refusal> {
    if plan.head.prompt.is_none() || !node.scheduling.lock().is_on() {
        return Ok(false);
    }
    let pace = node.pace(&plan.pool, clock::now());
    let backlog_tokens = choice.waiting_tokens.saturating_sub(choice.unread_tokens);
    let backlog_ms = num::to_f64(backlog_tokens) / pace.read_tokens_per_ms;
    let arrival = Arrival {
        kind: plan.kind(),
        tokens: num::to_f64(choice.unread_tokens),
        idle_ms: (choice.expected_ms - backlog_ms).max(0.0),
        expected_ms: choice.expected_ms,
        target_at: (request_log.received_at()).after(plan.route().target_ms),
        deadline: plan.deadline,
        draw: plan.draw,
    };
    match gate::acquire(node, &plan.pool, arrival).await {
        Ok(queued_ms) => {
            request_log.record_queued(queued_ms);
            Ok(queued_ms > 0)
        }
        Err((refused, queued_ms)) => {
            request_log.record_queued(queued_ms);
            let reason = refused.reason.as_str();
            metrics::counter!("teaselline_refused_for_room_total", "pool" => plan.pool.clone(), "reason" => reason)
                .increment(1);
            Err(refused.into())
        }
    }
}

/// Sends a request to one upstream and waits for the head of its response.
async fn send_once(
    node: &Arc<Gateway>,
    plan: &Plan,
    attempts: &mut Attempts,
    choice: &Choice,
    resume_after: Option<u64>,
    request_log: &mut RequestLog,
) -> Result<UpstreamResponse, SendError> {
    let key = choice.upstream;
    let target = {
        let upstreams = node.upstreams.lock();
        let upstream = upstreams.get(key);
        upstream.map(|upstream| upstream.announcement.clone())
    };
    let Some(target) = target else {
        return Err(SendError::NotRun("upstream_gone", String::new()));
    };
    let now = clock::now();
    let Some(mut pending) = UpstreamRequest::new(node, plan, choice, now) else {
        return Err(SendError::NotRun("upstream_gone", String::new()));
    };
    count_send(attempts, resume_after, pending.limit_per_s.is_some());
    request_log.record_send(
        &target,
        SelectionInputs {
            expected_ms: choice.expected_ms,
            upstream_speed: choice.time_factor,
            running: choice.running,
            slots: choice.slots,
            unread_tokens: choice.unread_tokens,
            copied_tokens: choice.copied_tokens,
            limit_per_s: pending.limit_per_s,
            upstreams_age_ms: now.since(node.upstreams_view.lock().read_at),
            configuration_age_ms: now.since(node.in_force.read().confirmed_at),
        },
    );
    // The upstream may have closed a reused connection; the request is then sent on a new one.
    let mut sent = None;
    while sent.is_none() {
        let mut channel = open_channel(node, plan, key, target.address).await?;
        pending.sent_at = clock::now();
        let request = build_request(plan, &target.id, choice, resume_after, pending.sent_at);
        let Some(request) = request else {
            return Err(SendError::NotRun("unsendable", String::new()));
        };
        // Connecting may have taken a while.
        if !plan.may_send(node, pending.sent_at) {
            (node.channels).put_back(key, channel, pending.sent_at);
            return Err(SendError::NotRun("stopping", String::new()));
        }
        if let Err(closed) = pending.begin_send(pending.sent_at) {
            (node.channels).put_back(key, channel, pending.sent_at);
            return Err(SendError::NotRun(closed.reason(), String::new()));
        }
        let answer = channel.sender.try_send_request(request);
        let answer = await_head(node, plan, attempts, &pending, answer, request_log);
        let Some(answered) = pending.unless_restarted(answer).await else {
            attempts.record_send();
            pending.record_crash(&plan.subjects, clock::now());
            return Err(SendError::MayHaveRun("upstream_restarted", String::new()));
        };
        match answered {
            Some(Ok(response)) => {
                pending.contact.record_heard(clock::now());
                sent = Some((channel, response));
            }
            Some(Err(mut error)) if error.message().is_some() => {
                drop(error.take_message());
                pending.cancel_send(clock::now());
                if !channel.is_reused {
                    return Err(SendError::NotRun(
                        "channel_closed",
                        error.into_error().to_string(),
                    ));
                }
            }
            Some(Err(error)) => {
                attempts.record_send();
                let error = error.into_error();
                let reason = unread_head_reason(&error);
                pending.record_failure(reason, &plan.subjects, clock::now());
                return Err(SendError::MayHaveRun(reason, error.to_string()));
            }
            None => {
                let now = clock::now();
                attempts.record_send();
                attempts.prefer_alive(silence::proof_since(pending.sent_at, now));
                pending.record_failure("silent", &plan.subjects, now);
                return Err(SendError::MayHaveRun("silent", String::new()));
            }
        }
    }
    attempts.record_send();
    if let Some(part) = plan.head.prompt.as_ref().and_then(Prompt::shared) {
        node.prefixes.lock().record(part.id, key, clock::now());
    }
    let Some((channel, response)) = sent else {
        return Err(SendError::NotRun("channel_closed", String::new()));
    };
    classification::classify(node, plan, pending, channel, response)
}

/// Returns why a head was not received, as it is logged: an upstream that sends a malformed one has not crashed.
fn unread_head_reason(error: &hyper::Error) -> &'static str {
    match error {
        _ if HeadTooLong::is_cause_of(error) => "head_too_long",
        _ if error.is_parse() => "head_malformed",
        _ => "broken",
    }
}

/// Counts a send by its kind, separately for upstreams that have announced a rate limit.
fn count_send(attempts: &Attempts, resume_after: Option<u64>, is_limited: bool) {
    let kind = match (attempts.sends(), resume_after) {
        (0, _) => "first",
        (_, None) => "repeat",
        (_, Some(_)) => "resumption",
    };
    let limited = if is_limited { "yes" } else { "no" };
    metrics::counter!("teaselline_sends_total", "kind" => kind, "limited" => limited).increment(1);
}

/// Builds the upstream request; returns `None` once the deadline has passed.
fn build_request(
    plan: &Plan,
    upstream_id: &str,
    choice: &Choice,
    resume_after: Option<u64>,
    now: TimeMs,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = plan.uri.clone();
    *request.headers_mut() = plan.headers.clone();
    let added = UpstreamHeaders {
        upstream_id,
        time_left_ms: now.until(plan.deadline),
        team: plan.team().map(|team| team.name.as_str()),
        urgency: plan.head.prompt.is_some().then_some(plan.urgency),
        resume_after,
        copy_from: choice.source.map(|source| source.address),
    };
    headers::set_upstream_headers(request.headers_mut(), &added);
    (added.time_left_ms > 0).then_some(request)
}
