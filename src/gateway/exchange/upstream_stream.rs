//! The stream of one upstream: reads its events and decides when it is left.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::admission::Plan;
use super::alternatives::Waiting;
use super::quiet::Quiet;
use super::request_log::RequestLog;
use super::selection;
use super::silence::{self, Silence};
use super::upstream_response::{ResponseContext, UpstreamResponse};
use crate::fair_body::FairBody;
use crate::gateway::clock;
use crate::gateway::crashes::reports;
use crate::gateway::crashes::subjects::Subjects;
use crate::gateway::events::{Events, Splitter, StreamError};
use crate::gateway::num;
use crate::gateway::patience::{self, LateReading};
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::Contact;
use crate::time::TimeMs;

/// Fewest pauses between events whose mean is a usable measure of the engine's speed.
const MIN_PAUSES: u64 = 4;

/// Time from the first event after which an answer has gone on: an upstream that crashes under a part
/// of the prompt does so as it begins to write.
const SOUND_AFTER_MS: u64 = 1_000;

/// Reason for leaving an upstream that has been silent for too long.
pub(super) const SILENT: &str = "stream_silent";

/// The stream of one upstream.
pub(super) struct UpstreamStream {
    body: FairBody<Incoming>,
    pub context: ResponseContext,
    pub splitter: Splitter,
    late_reading: LateReading,
    /// When the first events arrived; zero until then.
    pub first_events_at: TimeMs,
    /// Id of the last event in the first batch.
    pub first_batch_last_id: Option<u64>,
    /// Since when another upstream must have given a sign of life, if the request leaves this one for its silence.
    pub alive_since: Option<TimeMs>,
    /// The silence that lasts while what is no event of the stream is forwarded.
    quiet: Option<Quiet>,
    /// Whether the stream has gone on for a while, which speaks for the parts of its prompt.
    has_gone_on: bool,
}

/// The result of waiting for the next events of a stream.
pub(super) enum NextEvents {
    Events(Events),
    Ended,
    Broken(&'static str),
    /// Nothing has come for as long as was waited.
    Silent,
    /// The deadline of the whole request has passed.
    DeadlineExceeded,
}

impl UpstreamStream {
    /// Creates the stream of a response whose head has been received; it resumes after the event `after`.
    pub fn new(upstream_response: UpstreamResponse, after: Option<u64>) -> Self {
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
    pub fn record_progress(&mut self, node: &Gateway, plan: &Plan, now: TimeMs) {
        if self.first_events_at == TimeMs(0) {
            self.first_events_at = now;
        }
        if !self.has_gone_on && now.since(self.first_events_at) >= SOUND_AFTER_MS {
            self.has_gone_on = true;
            reports::record_sound(node, &plan.subjects, now);
        }
    }

    /// Returns what a crash under the stream may be blamed on: no part once it has gone on.
    pub fn blamed_subjects(&self, plan: &Plan) -> Subjects {
        if self.has_gone_on {
            plan.subjects.without_parts()
        } else {
            plan.subjects
        }
    }

    /// Updates the pool's engine model with the pace of a stream that has ended.
    pub fn record_pace(&self, node: &Gateway, pool: &str, now: TimeMs) {
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
    pub async fn next_unless_better(
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
                                && selection::takes_repeat(
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
