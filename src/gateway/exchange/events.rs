//! Streams of events: passed on as they come, and gone on with elsewhere where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use thiserror::Error;

use super::admit::Plan;
use super::arrived::{self, Arrived, Remainder};
use super::attempt;
use super::story::Story;
use super::trial::Trial;
use crate::gateway::clock;
use crate::gateway::events::{Events, Flaw, Splitter};
use crate::gateway::health::Outcome;
use crate::gateway::num;
use crate::gateway::patience;
use crate::gateway::state::{Gateway, InFlight};
use crate::platform::headers;
use crate::time::TimeMs;

/// A stream that the caller must be able to see has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream broke off: {reason}")]
pub(crate) struct BrokenOff {
    reason: &'static str,
}

/// A stream of which the first events have come.
pub(super) struct Opened {
    plan: Arc<Plan>,
    headers: HeaderMap,
    source: Source,
    trial: Trial,
    first: Events,
}

impl Opened {
    /// The head of the answer.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.headers_mut() = self.headers.clone();
        response
    }
}

/// Pauses of a stream below which their mean tells little of the engine.
const LEAST_PAUSES: u64 = 4;

/// One upstream's stream.
struct Source {
    body: Incoming,
    rest: Remainder,
    splitter: Splitter,
    /// When its first events came, and the last of them.
    first_at: TimeMs,
    first_id: Option<u64>,
}

/// What comes next of a stream.
enum Next {
    Events(Events),
    Ended,
    Broken(&'static str),
    /// The time of the whole request is over.
    Late,
}

impl Source {
    fn new(arrived: Arrived, after: Option<u64>) -> Self {
        let (body, rest) = arrived.into_stream();
        Self {
            body,
            rest,
            splitter: Splitter::after(after),
            first_at: TimeMs(0),
            first_id: None,
        }
    }

    /// Learns from a stream that has ended how fast its engine made events.
    fn note_paces(&self, node: &Gateway, pool: &str, now: TimeMs) {
        let (Some(first), Some(last)) = (self.first_id, self.splitter.last_id()) else {
            return;
        };
        let pauses = last.saturating_sub(first);
        node.demands.lock().note_events(pool, pauses + 1, now);
        if pauses >= LEAST_PAUSES {
            let running = &self.rest.running;
            let mean_pause_ms = num::real(now.since(self.first_at)) / num::real(pauses);
            let held_ms = now.since(running.sent_at);
            let mean_running = u32::midpoint(running.others_before, running.others());
            let mut engines = node.engines.lock();
            let model = engines.of(pool);
            model.note_stream(mean_pause_ms, mean_running, held_ms);
        }
    }

    async fn next(&mut self, patience_ms: u64, limit_at: TimeMs) -> Next {
        loop {
            let left_ms = clock::now().until(limit_at);
            let wait_ms = patience_ms.min(left_ms);
            let frame = tokio::time::timeout(Duration::from_millis(wait_ms), self.body.frame());
            let Some(frame) = self.rest.running.unless_restarted(frame).await else {
                return Next::Broken("upstream_restarted");
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_error))) => return Next::Broken("stream_broken"),
                Ok(None) if self.splitter.is_within_event() => {
                    return Next::Broken("ended_within_event");
                }
                Ok(None) => return Next::Ended,
                Err(_elapsed) if wait_ms >= left_ms => return Next::Late,
                Err(_elapsed) => return Next::Broken("stream_silent"),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&bytes) {
                Ok(Some(events)) => return Next::Events(events),
                Ok(None) => {}
                Err(Flaw::TooLong) => return Next::Broken("event_too_long"),
                Err(Flaw::OutOfOrder) => return Next::Broken("events_missing"),
            }
        }
    }
}

/// Waits for a stream's first events; none if they do not come.
///
/// The head is held back until then, so that a stream that fails before can start over with the
/// head of another upstream, or be refused with a status.
pub(super) async fn open(
    node: &Arc<Gateway>,
    plan: &Arc<Plan>,
    trial: &mut Trial,
    arrived: Arrived,
    story: &mut Story,
) -> Option<Opened> {
    let headers = headers::returnable(arrived.headers());
    let mut source = Source::new(arrived, plan.head.resume_after);
    let is_last = trial.runs() + 1 >= plan.route().max_upstreams;
    let patience_ms = patience::until_first_event_ms(plan.route(), is_last);
    let next = source.next(patience_ms, plan.limit_at).await;
    let now = clock::now();
    source.rest.running.note_first_token();
    trial.note_run();
    let reason = match next {
        Next::Events(first) => {
            let took_ms = now.since(source.rest.running.sent_at);
            source.rest.running.note(Outcome::Good { took_ms }, now);
            source.first_at = now;
            source.first_id = first.last_id;
            if trial.sends() == 1 && source.rest.running.is_telling {
                let running = &source.rest.running;
                let mut engines = node.engines.lock();
                let model = engines.of(&plan.pool);
                model.note_first(running.waiting_tokens, running.others_before, took_ms);
            }
            arrived::count_begun(node, plan, now);
            story.first(now);
            return Some(Opened {
                plan: Arc::clone(plan),
                headers,
                source,
                trial: std::mem::take(trial),
                first,
            });
        }
        Next::Ended => "ended_empty",
        Next::Broken(reason) => reason,
        Next::Late => "late",
    };
    match reason {
        "stream_broken" => source.rest.running.note_broken(plan.content, now),
        _ => source.rest.running.note(Outcome::Broken, now),
    }
    trial.exclude(source.rest.running.upstream);
    story.attempt_failed(reason, "before the first event", now);
    None
}

/// Passes a stream on to its end.
pub(super) fn pass_on(
    node: Arc<Gateway>,
    opened: Opened,
    mut story: Story,
    in_flight: InFlight,
) -> impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> {
    async_stream::try_stream! {
        let Opened { plan, mut source, mut trial, first, .. } = opened;
        yield Frame::data(first.bytes);
        loop {
            let patience_ms = patience::between_events_ms(plan.route());
            let reason = match source.next(patience_ms, plan.limit_at).await {
                Next::Events(events) => {
                    story.event(clock::now());
                    yield Frame::data(events.bytes);
                    continue;
                }
                Next::Ended => {
                    let now = clock::now();
                    source.note_paces(&node, &plan.pool, now);
                    source.rest.ended(&node, StatusCode::OK, &plan, now);
                    story.answered(StatusCode::OK, now);
                    break;
                }
                Next::Broken(reason) => reason,
                Next::Late => "late",
            };
            let next = go_on(&node, &plan, &mut trial, source, reason, &mut story).await;
            if next.is_none() {
                story.broken_off(reason, clock::now());
            }
            source = next.ok_or(BrokenOff { reason })?;
        }
        drop(in_flight);
    }
}

/// Goes on with a broken stream at another upstream, if it may.
async fn go_on(
    node: &Arc<Gateway>,
    plan: &Arc<Plan>,
    trial: &mut Trial,
    source: Source,
    reason: &'static str,
    story: &mut Story,
) -> Option<Source> {
    let now = clock::now();
    match reason {
        "stream_broken" => source.rest.running.note_broken(plan.content, now),
        "late" => {}
        _ => source.rest.running.note(Outcome::Broken, now),
    }
    story.attempt_failed(reason, "within the stream", now);
    let after = source.splitter.last_id().or(plan.head.resume_after);
    trial.exclude(source.rest.running.upstream);
    // The old channel is closed before the stream goes on: the upstream would work on it in vain.
    drop(source);
    if !plan.may_repeat(trial) || reason == "late" {
        return None;
    }
    match attempt::send(node, plan, trial, after, story).await {
        Ok(arrived) if arrived.status() == StatusCode::OK => {
            trial.note_run();
            Some(Source::new(arrived, after))
        }
        Ok(arrived) => {
            let status = arrived.status();
            story.attempt_failed("not_resumed", status.as_str(), clock::now());
            None
        }
        Err(refusal) => {
            story.attempt_failed("not_resumed", refusal.word(), clock::now());
            None
        }
    }
}
