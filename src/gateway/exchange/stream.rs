//! Event streams: forwards events as they arrive and resumes broken streams at another upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use thiserror::Error;

use super::admission::Plan;
use super::alternatives::{Remaining, Waiting};
use super::attempts::Attempts;
use super::dispatch;
use super::quiet::Quiet;
use super::request_log::RequestLog;
use super::silence::{self, Silence};
use super::upstream_response::{self, ResponseContext, UpstreamResponse};
use crate::fair_body::FairBody;
use crate::gateway::attempt_timeouts;
use crate::gateway::clock;
use crate::gateway::crashes::reports;
use crate::gateway::crashes::subjects::Subjects;
use crate::gateway::events::{Events, Splitter, StreamError};
use crate::gateway::health::Outcome;
use crate::gateway::num;
use crate::gateway::patience::{self, LateReading};
use crate::gateway::state::Gateway;
use crate::gateway::streams::{self, StreamKey, VersionTag};
use crate::gateway::upstreams::Contact;
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
}

/// Fewest pauses between events whose mean is a usable measure of the engine's speed.
const MIN_PAUSES: u64 = 4;

/// Time from the first event after which an answer has gone on: an upstream that crashes under a part
/// of the prompt does so as it begins to write.
const SOUND_AFTER_MS: u64 = 1_000;

/// Reason for leaving an upstream that has been silent for too long.
const SILENT: &str = "stream_silent";

/// The stream of one upstream.
struct UpstreamStream {
    body: FairBody<Incoming>,
    context: ResponseContext,
    splitter: Splitter,
    late_reading: LateReading,
    /// When the first events arrived; zero until then.
    first_events_at: TimeMs,
    /// Id of the last event in the first batch.
    first_batch_last_id: Option<u64>,
    /// Since when another upstream must have given a sign of life, if the request leaves this one for its silence.
    alive_since: Option<TimeMs>,
    /// The silence that lasts while what is no event of the stream is forwarded.
    quiet: Option<Quiet>,
    /// Whether the stream has gone on for a while, which speaks for the parts of its prompt.
    has_gone_on: bool,
}

/// The result of waiting for the next events of a stream.
enum NextEvents {
    Events(Events),
    Ended,
    Broken(&'static str),
    /// Nothing has come for as long as was waited.
    Silent,
    /// The deadline of the whole request has passed.
    DeadlineExceeded,
}

impl UpstreamStream {
    fn new(upstream_response: UpstreamResponse, after: Option<u64>) -> Self {
        let (body, context) = upstream_response.into_stream();
        Self {
            body,
            context,
            splitter: Splitter::after(after),
            late_reading: LateReading::default(),
            first_events_at: TimeMs(0),
            first_batch_last_id: None,
            alive_since: None,
            quiet: None,
            has_gone_on: false,
        }
    }

    /// Records once that the stream has gone on for a while.
    fn record_progress(&mut self, node: &Gateway, plan: &Plan, now: TimeMs) {
        if self.first_events_at == TimeMs(0) {
            self.first_events_at = now;
        }
        if !self.has_gone_on && now.since(self.first_events_at) >= SOUND_AFTER_MS {
            self.has_gone_on = true;
            reports::record_sound(node, &plan.subjects, now);
        }
    }

    /// Returns what a crash under the stream may be blamed on: no part once it has gone on.
    fn blamed_subjects(&self, plan: &Plan) -> Subjects {
        if self.has_gone_on {
            plan.subjects.without_parts()
        } else {
            plan.subjects
        }
    }

    /// Updates the pool's engine model with the pace of a stream that has ended.
    fn record_pace(&self, node: &Gateway, pool: &str, now: TimeMs) {
        let (Some(first), Some(last)) = (self.first_batch_last_id, self.splitter.last_id()) else {
            return;
        };
        let pauses = last.saturating_sub(first);
        node.demands.lock().record_events(pool, pauses + 1, now);
        if pauses >= MIN_PAUSES {
            let upstream_request = &self.context.upstream_request;
            let mean_pause_ms = num::to_f64(now.since(self.first_events_at)) / num::to_f64(pauses);
            let held_ms = now.since(upstream_request.sent_at);
            let mean_running = u32::midpoint(
                upstream_request.others_at_send,
                upstream_request.other_requests(),
            );
            let mut engines = node.engine_models.lock();
            let model = engines.get_or_default(pool);
            model.record_stream(mean_pause_ms, mean_running, held_ms);
        }
    }

    /// Waits for the next events, and leaves a silent upstream only for something better.
    async fn next_unless_better(
        &mut self,
        waiting: Waiting<'_>,
        timeout_ms: u64,
        request_log: &RequestLog,
    ) -> NextEvents {
        let Waiting { plan, .. } = waiting;
        let now = clock::now();
        let mut quiet = match self.quiet.take() {
            Some(quiet) => quiet.resumed(now),
            None => Quiet::new(timeout_ms, now),
        };
        let silence = Silence::new(plan.route(), quiet.since, timeout_ms);
        loop {
            let wait_ms = quiet.wait_ms(clock::now());
            let mut unnumbered = match self.next(wait_ms, plan.deadline).await {
                NextEvents::Silent => None,
                NextEvents::Events(events) if events.first_id.is_none() => Some(events),
                next => return next,
            };
            let now = clock::now();
            let is_due = quiet.wait_ms(now) == 0;
            if is_due {
                quiet.record_asked(now);
                let upstream_request = &self.context.upstream_request;
                let stays = &mut quiet.stays;
                let choice = waiting.leaves(upstream_request, &silence, stays, request_log);
                if let Some(choice) = choice
                    && waiting.is_connected(&choice).await
                {
                    // It may have gone on in the meantime.
                    match self.next(0, plan.deadline).await {
                        NextEvents::Events(events) if events.first_id.is_some() => {
                            return NextEvents::Events(events);
                        }
                        // Streams that leave one upstream at once compete for what is left of the budget.
                        NextEvents::Silent | NextEvents::Events(_)
                            if plan.may_send(waiting.node, clock::now())
                                && dispatch::takes_repeat(
                                    waiting.node,
                                    &plan.pool,
                                    clock::now(),
                                ) =>
                        {
                            let alive_since = silence::proof_since(silence.since, clock::now());
                            self.alive_since = Some(alive_since);
                            return NextEvents::Silent;
                        }
                        NextEvents::Silent => {}
                        NextEvents::Events(events) => {
                            unnumbered = Some(match unnumbered {
                                Some(before) => before.followed_by(&events),
                                None => events,
                            });
                        }
                        next => return next,
                    }
                }
            }
            if let Some(events) = unnumbered {
                self.quiet = Some(quiet.paused(clock::now()));
                return NextEvents::Events(events);
            }
        }
    }

    /// Waits for the next complete events; bytes that complete none put neither limit off.
    async fn next(&mut self, timeout_ms: u64, deadline: TimeMs) -> NextEvents {
        let left_ms = clock::now().until(deadline);
        let wait_ms = timeout_ms.min(left_ms);
        let upstream_request = &self.context.upstream_request;
        let events = read_events(
            &mut self.body,
            &mut self.splitter,
            &upstream_request.contact,
        );
        let events = patience::within(Duration::from_millis(wait_ms), events);
        match upstream_request.unless_restarted(events).await {
            None => NextEvents::Broken("upstream_restarted"),
            Some(Ok(NextEvents::Events(_)))
                if self.late_reading.is_over(deadline, clock::now()) =>
            {
                NextEvents::DeadlineExceeded
            }
            Some(Ok(next)) => next,
            Some(Err(_elapsed)) if wait_ms >= left_ms => NextEvents::DeadlineExceeded,
            Some(Err(_elapsed)) => NextEvents::Silent,
        }
    }
}

/// Reads until events are complete or the stream ends. Dropping the future loses no bytes.
async fn read_events(
    body: &mut FairBody<Incoming>,
    splitter: &mut Splitter,
    contact: &Contact,
) -> NextEvents {
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_error)) => return NextEvents::Broken("stream_broken"),
            None if splitter.is_within_event() => return NextEvents::Broken("ended_within_event"),
            None => return NextEvents::Ended,
        };
        contact.record_heard(clock::now());
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        match splitter.push(&bytes) {
            Ok(Some(events)) => return NextEvents::Events(events),
            Ok(None) => {}
            Err(StreamError::TooLong) => return NextEvents::Broken("event_too_long"),
            Err(StreamError::MissingEvent) => return NextEvents::Broken("events_missing"),
        }
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
