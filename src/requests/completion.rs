//! Runs one model request across retries, host moves and host losses to a complete answer.

mod moves;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Sleep;

use super::core::{Authority, Core};
use super::dependencies::Dependencies;
use super::dispatch::{
    FailedAttempt, Tried, deadline_outcome, delivery, denied_outcome, latency_class,
    no_route_outcome, prompt_blocks,
};
use super::outcome::{Failure, Finish, UnknownReason};
use super::record::{Order, Place};
use super::standby_progress::StandbyProgress;
use super::suspects::{QuarantineEnd, StartPermission, has_passed};
use super::{Outcome, Record, Verdict, Work};
use crate::keys::HostKey;
use crate::node::messages::WitnessUpdate;
use crate::retries::{QuarantineRequest, RetryDecision};
use crate::routing::chain::PromptBlocks;
use crate::routing::{Candidate, NoRoute};
use crate::time::TimeMs;
use crate::upstreams::{
    self, Delivery, EngineEvent, Engines, EventStream, StartStream, UpstreamError,
};

/// Delay between attempts to reattach to the engine of a broken stream.
const REATTACH_DELAY_MS: u64 = 100;

/// Reattach attempts when the request can start on another host instead.
const MAX_REATTACH_ATTEMPTS: u32 = 2;

/// Reattach attempts when the request cannot start on another host.
const MAX_REATTACH_ATTEMPTS_NO_RESTART: u32 = 50;

/// Delay before the next host selection while no host is eligible for the stream.
const NO_ROUTE_DELAY_MS: u64 = 100;

/// Runs a record to its outcome; returns `None` when another node has taken it over.
pub(super) async fn run<L: Dependencies>(
    core: Arc<Core<L>>,
    record: Arc<Record>,
    authority: Authority,
) -> Option<Outcome> {
    let left_ms = core.clock.now().until(record.call.deadline_ms);
    let blocks = prompt_blocks(&record);
    let run = Run {
        deadline: Box::pin(tokio::time::sleep(Duration::from_millis(left_ms))),
        core,
        record,
        authority,
        tried: Tried::default(),
        standby: StandbyProgress::default(),
        active: None,
        next: None,
        failed: None,
        failures: 0,
        resume_on: None,
        imported_handle: None,
        pending_import: None,
        has_consent: false,
        warm_count: 0,
        quarantine: None,
        blocks,
        expected_cached_tokens: 0.0,
    };
    run.drive().await
}

type Events<L> = <<L as Dependencies>::Engines as Engines>::Events;

/// A streaming attempt.
struct Attempt<E> {
    place: Place,
    name: String,
    events: E,
}

struct Run<L: Dependencies> {
    core: Arc<Core<L>>,
    record: Arc<Record>,
    authority: Authority,
    /// One timer for the whole run: arming one for each token costs more than processing the token.
    deadline: Pin<Box<Sleep>>,
    tried: Tried,
    standby: StandbyProgress,
    active: Option<Attempt<Events<L>>>,
    /// The attempt that replaces the active one once it streams.
    next: Option<Attempt<Events<L>>>,
    /// The newest failure, until it has been checked against the retry budget.
    failed: Option<FailedAttempt>,
    failures: u32,
    /// The host on which a stream continues after its engine was asked to stop it.
    resume_on: Option<HostKey>,
    /// Handle of the KV cache that the target of `resume_on` has imported.
    imported_handle: Option<String>,
    /// The import of the stream's KV cache that is in progress.
    pending_import: Option<PendingImport>,
    /// Whether consent to start the request has been obtained; consent is never revoked.
    has_consent: bool,
    /// Number of targets that were asked to warm their prefix cache.
    warm_count: u32,
    /// The quarantine grant of a suspect, with the position at which its attempt began.
    quarantine: Option<(QuarantineRequest, u64)>,
    blocks: PromptBlocks,
    /// Prompt tokens that the chosen host was expected to have cached.
    expected_cached_tokens: f64,
}

/// Result of an import; `None` if its task ended without a result.
type ImportResult = Option<Result<String, UpstreamError>>;

/// The target of an import, and the receiver of its result.
type PendingImport = (HostKey, oneshot::Receiver<Result<String, UpstreamError>>);

/// What the run does after a step.
enum Flow {
    Continue,
    End(Outcome),
    Moved,
}

/// An event that the run waits for.
enum Event {
    Order(Order),
    Active(Option<Result<EngineEvent, UpstreamError>>),
    Next(Option<Result<EngineEvent, UpstreamError>>),
    Imported(HostKey, ImportResult),
    Deadline,
}

impl<L: Dependencies> Run<L> {
    async fn drive(mut self) -> Option<Outcome> {
        loop {
            // The rare branches are boxed: a task is as large as its largest future, and a node
            // holds ten thousand of these tasks, nearly all of which wait for the next token.
            let flow = match &self.active {
                None => Box::pin(self.start_or_reattach()).await,
                Some(_) => match self.next_event().await {
                    Event::Order(order) => Box::pin(self.apply_order(order)).await,
                    Event::Active(event) => self.on_active(event).await,
                    Event::Next(event) => Box::pin(self.on_next(event)).await,
                    Event::Imported(target, imported) => {
                        Box::pin(self.on_imported(target, imported)).await
                    }
                    Event::Deadline => Flow::End(deadline_outcome(&self.record)),
                },
            };
            match flow {
                Flow::Continue => {}
                Flow::End(outcome) => {
                    Box::pin(self.stop_streams()).await;
                    let end = if outcome.is_answer() {
                        QuarantineEnd::Passed
                    } else {
                        QuarantineEnd::Abandoned
                    };
                    Box::pin(self.end_quarantine(end)).await;
                    return Some(outcome);
                }
                Flow::Moved => {
                    self.detach_streams();
                    return None;
                }
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        tokio::select! {
            biased;
            order = self.record.next_order() => Event::Order(order),
            event = next_stream_event(&mut self.next) => Event::Next(event),
            (target, imported) = next_import(&mut self.pending_import) => {
                Event::Imported(target, imported)
            }
            event = next_stream_event(&mut self.active) => Event::Active(event),
            () = &mut self.deadline => Event::Deadline,
        }
    }

    /// Reattaches to the stream that is already running, or starts a new one.
    async fn start_or_reattach(&mut self) -> Flow {
        if self.core.clock.now() >= self.record.call.deadline_ms {
            return Flow::End(deadline_outcome(&self.record));
        }
        if let Some(place) = self.record.place() {
            return self.reattach(place).await;
        }
        if self.authority == Authority::Reader {
            return Flow::End(Outcome::Unknown(UnknownReason::HomeGone));
        }
        if let Some(flow) = self.check_retry_budget().await {
            return flow;
        }
        let view = self.core.view(&self.record, &self.blocks);
        match self
            .core
            .start_permission(&self.record, &view.candidates)
            .await
        {
            StartPermission::Refuse => Flow::End(Outcome::Failed(Failure::CrashesUpstreams)),
            StartPermission::Wait(until_ms) => self.wait_until(until_ms).await,
            StartPermission::Only(request) => {
                self.start_in_quarantine(request, &view.candidates).await
            }
            StartPermission::Anywhere => match self.core.choose(&self.record, &view, &self.tried) {
                Ok(choice) => {
                    let place = self.record.begin_attempt(choice.host, choice.address);
                    let flow = self.start(place, choice.prefill_ms, None).await;
                    if self.active.is_none() {
                        self.tried.record(choice.host, Some(choice.domain));
                    } else {
                        self.expected_cached_tokens = choice.cached_tokens;
                        self.record_sent_prompt(choice.host);
                    }
                    flow
                }
                Err(no_route) => self.on_no_route(no_route).await,
            },
        }
    }

    /// Records that the host will have the prompt cached.
    fn record_sent_prompt(&self, host: HostKey) {
        let caches = &self.core.blackboard.prefix_caches;
        caches.record_sent(host, &self.blocks, self.expected_cached_tokens);
    }

    /// Records the engine's reported cache hit, which corrects a wrong estimate.
    fn record_cached_prompt(&self, host: HostKey, cached_tokens: u64) {
        let caches = &self.core.blackboard.prefix_caches;
        caches.record_done(
            host,
            &self.blocks,
            self.expected_cached_tokens,
            cached_tokens,
        );
    }

    /// Checks the retry budget after a failed attempt; returns `None` when a retry is allowed now.
    async fn check_retry_budget(&mut self) -> Option<Flow> {
        let failed = self.failed.take()?;
        match self.core.may_retry(&self.record, &failed) {
            RetryDecision::Now => None,
            RetryDecision::At(at_ms) => Some(self.wait_until(at_ms).await),
            RetryDecision::No(reason) => Some(Flow::End(denied_outcome(&self.record, reason))),
        }
    }

    async fn start_in_quarantine(
        &mut self,
        request: QuarantineRequest,
        candidates: &[Candidate],
    ) -> Flow {
        let host = candidates
            .iter()
            .find(|candidate| candidate.host == request.host);
        let Some(address) = host.map(|candidate| candidate.address) else {
            self.core
                .end_quarantine(request, QuarantineEnd::Abandoned)
                .await;
            return Flow::Continue;
        };
        let place = self.record.begin_attempt(request.host, address);
        self.quarantine = Some((request, self.record.next_position()));
        self.start(place, 0.0, None).await
    }

    /// Releases the quarantine host if this attempt is a suspect's.
    async fn end_quarantine(&mut self, end: QuarantineEnd) {
        if let Some((request, _began_at)) = self.quarantine.take() {
            self.core.end_quarantine(request, end).await;
        }
    }

    async fn wait_until(&mut self, until_ms: TimeMs) -> Flow {
        let now = self.core.clock.now();
        let delay_ms = now
            .until(until_ms)
            .min(now.until(self.record.call.deadline_ms));
        tokio::select! {
            order = self.record.next_order() => self.apply_order(order).await,
            () = tokio::time::sleep(Duration::from_millis(delay_ms)) => Flow::Continue,
        }
    }

    /// Handles the lack of an eligible host: a dispatched stream waits, any other request is
    /// refused.
    async fn on_no_route(&mut self, no_route: NoRoute) -> Flow {
        if !self.record.is_dispatched() {
            return Flow::End(no_route_outcome(&self.record, no_route));
        }
        self.tried.clear();
        let until_ms = self.core.clock.now().after(NO_ROUTE_DELAY_MS);
        self.wait_until(until_ms).await
    }

    async fn start(&mut self, place: Place, prefill_ms: f64, import: Option<&str>) -> Flow {
        // Counted before the first await: otherwise calls that arrive together would all choose the
        // host that counts none of them yet, and queue there while other hosts are idle.
        self.core
            .record_open(place, prefill_ms, self.core.clock.now());
        // Obtained once: if a stream asked again when it moves and its witness had gone, a request
        // that has run for a long time would be refused as not run.
        if !self.has_consent {
            if let Err(outcome) = self.core.obtain_consent(&self.record, self.authority).await {
                self.core.record_close(place, self.core.clock.now());
                self.record.attempt_not_started(place.attempt);
                return Flow::End(outcome);
            }
            self.has_consent = true;
        }
        self.report_to_witness();
        match self.open(place, import).await {
            Ok(attempt) => {
                self.active = Some(attempt);
                Flow::Continue
            }
            Err(error) => {
                self.core.record_close(place, self.core.clock.now());
                self.on_open_failed(place, error).await
            }
        }
    }

    /// Starts the stream of an attempt at its engine, continuing from the tokens held.
    async fn open(
        &self,
        place: Place,
        import: Option<&str>,
    ) -> Result<Attempt<Events<L>>, UpstreamError> {
        let name = self.record.id.attempt(place.attempt);
        let (prefix, position) = self.record.text_and_position();
        let start = start_stream(&self.record, &name, &prefix, position, self.priority())
            .ok_or(UpstreamError::UnknownAttempt)?;
        let start = StartStream { import, ..start };
        let events = self.core.engines.start(place.address, &start).await?;
        metrics::counter!("teaselline_attempts_total").increment(1);
        Ok(Attempt {
            place,
            name,
            events,
        })
    }

    async fn on_open_failed(&mut self, place: Place, error: UpstreamError) -> Flow {
        self.core
            .record_failure(place, &error, self.core.clock.now());
        match error {
            error if error.is_not_started() => {
                self.record.attempt_not_started(place.attempt);
                self.end_quarantine(QuarantineEnd::Abandoned).await;
                self.set_failed(place, error);
                Flow::Continue
            }
            error if error.is_lost() => self.reattach(place).await,
            // The engine is up and rejects the call other than as not started, so the call itself
            // is at fault.
            _ if delivery(&self.record) == Delivery::AtMostOnce => {
                Flow::End(Outcome::Failed(Failure::Upstream))
            }
            UpstreamError::Rejected { status } if status.is_client_error() => {
                Flow::End(Outcome::Failed(Failure::Upstream))
            }
            error => {
                self.record.close_attempt(place.attempt);
                self.end_quarantine(QuarantineEnd::Abandoned).await;
                self.set_failed(place, error);
                Flow::Continue
            }
        }
    }

    fn set_failed(&mut self, place: Place, error: UpstreamError) {
        self.failures += 1;
        self.failed = Some(FailedAttempt {
            error,
            host: place.host,
            count: self.failures,
        });
    }

    /// Reattaches to a stream that runs at an engine, after its connection broke.
    async fn reattach(&mut self, place: Place) -> Flow {
        let max_attempts = match (self.authority, self.record.call.idempotent) {
            (Authority::Reader, _) | (_, false) => MAX_REATTACH_ATTEMPTS_NO_RESTART,
            _ => MAX_REATTACH_ATTEMPTS,
        };
        let name = self.record.id.attempt(place.attempt);
        let mut last_error = UpstreamError::UnknownAttempt;
        for _try in 0..max_attempts {
            if self.core.clock.now() >= self.record.call.deadline_ms {
                break;
            }
            let from = self.record.next_position();
            match self.core.engines.attach(place.address, &name, from).await {
                Ok(events) => {
                    self.record.resume_attempt(place);
                    self.core.record_open(place, 0.0, self.core.clock.now());
                    self.active = Some(Attempt {
                        place,
                        name,
                        events,
                    });
                    return Flow::Continue;
                }
                Err(UpstreamError::UnknownAttempt) => break,
                Err(error) => {
                    self.core
                        .record_failure(place, &error, self.core.clock.now());
                    last_error = error;
                }
            }
            tokio::time::sleep(Duration::from_millis(REATTACH_DELAY_MS)).await;
        }
        let loss = match &last_error {
            UpstreamError::Unreachable { .. } => self.core.record_host_loss(place),
            _ => None,
        };
        self.end_quarantine(loss.map_or(QuarantineEnd::Abandoned, QuarantineEnd::HostLost))
            .await;
        self.set_failed(place, last_error);
        self.on_attempt_lost(place)
    }

    /// Closes an attempt whose stream cannot be read any more.
    fn on_attempt_lost(&mut self, place: Place) -> Flow {
        self.record.close_attempt(place.attempt);
        let domain = self.core.blackboard.with_host(place.host, |row| row.domain);
        self.tried.record(place.host, domain);
        match self.authority {
            Authority::Reader => Flow::End(Outcome::Unknown(UnknownReason::HomeGone)),
            _ if !self.record.call.idempotent => {
                let state = (self.core.blackboard).with_host(place.host, |row| row.state);
                log::info!(id:% = self.record.id, attempt = place.attempt, address:% = place.address, host_state:? = state, progress:? = self.record.progress(), stop_requested = self.resume_on.is_some(), error:? = self.failed.as_ref().map(|failed| &failed.error); "the attempt of a non-idempotent stream was lost");
                Flow::End(Outcome::Unknown(UnknownReason::UpstreamLost))
            }
            _ => Flow::Continue,
        }
    }

    async fn on_active(&mut self, event: Option<Result<EngineEvent, UpstreamError>>) -> Flow {
        let mut event = event;
        loop {
            if let Some(flow) = self.apply_event(event).await {
                return flow;
            }
            match self
                .active
                .as_mut()
                .and_then(|active| active.events.next_ready())
            {
                Some(ready) => event = Some(ready),
                None => break,
            }
        }
        // Progress resets the failure count: a long stream may lose more hosts over its hours than
        // the number of attempts allowed to a short request.
        self.failures = 0;
        self.report_progress();
        let passed = |(_, began_at): &(QuarantineRequest, u64)| {
            has_passed(*began_at, self.record.next_position())
        };
        if self.quarantine.as_ref().is_some_and(passed) {
            Box::pin(self.end_quarantine(QuarantineEnd::Passed)).await;
        }
        Flow::Continue
    }

    /// Processes one event of the active attempt; returns `None` when the run only reads on.
    async fn apply_event(
        &mut self,
        event: Option<Result<EngineEvent, UpstreamError>>,
    ) -> Option<Flow> {
        match event {
            Some(Ok(EngineEvent::Token {
                attempt: name,
                position,
                text,
            })) => {
                let active = self.active.as_ref()?;
                match offer(&self.record, active, &name, position, &text) {
                    Verdict::Taken | Verdict::Duplicate | Verdict::Foreign => None,
                    Verdict::Gap => Some(Box::pin(self.reattach_active()).await),
                    Verdict::Diverged => Some(Box::pin(self.abandon()).await),
                }
            }
            Some(Ok(EngineEvent::Done {
                tokens,
                finish,
                cached_prompt_tokens,
                ..
            })) => {
                if let Some(active) = &self.active {
                    self.record_cached_prompt(active.place.host, cached_prompt_tokens);
                }
                Some(Box::pin(self.on_done(tokens, finish)).await)
            }
            Some(Ok(EngineEvent::Error { message, .. })) => {
                log::info!(id:% = self.record.id, message = message.as_str(); "engine reported an error; ending the request as failed");
                Some(Flow::End(Outcome::Failed(Failure::Upstream)))
            }
            Some(Err(error)) => Some(Box::pin(self.on_stream_broken(&error)).await),
            None => Some(Box::pin(self.reattach_active()).await),
        }
    }

    fn priority(&self) -> u8 {
        let in_force = self.core.blackboard.active_configuration();
        in_force.map_or(0, |in_force| {
            latency_class(&in_force, &self.record).priority
        })
    }

    async fn on_done(&mut self, tokens: u64, finish: upstreams::Finish) -> Flow {
        // An end that arrives before all tokens would give the caller a truncated answer.
        if tokens != self.record.next_position() {
            return self.reattach_active().await;
        }
        let finish = match finish {
            upstreams::Finish::Stop => Finish::Stop,
            upstreams::Finish::Length => Finish::Length,
            upstreams::Finish::Cancelled | upstreams::Finish::Exported => {
                return self.on_stopped().await;
            }
        };
        if let Some(active) = self.active.take() {
            self.core.record_answer(active.place);
            self.core.record_success(&self.record, active.place.host);
            self.core.record_close(active.place, self.core.clock.now());
        }
        Flow::End(Outcome::Completed { tokens, finish })
    }

    /// Reattaches to the active attempt at the next position.
    async fn reattach_active(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Continue;
        };
        self.core.record_close(active.place, self.core.clock.now());
        self.reattach(active.place).await
    }

    async fn on_stream_broken(&mut self, error: &UpstreamError) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Continue;
        };
        let now = self.core.clock.now();
        self.core.record_failure(active.place, error, now);
        self.core.record_close(active.place, now);
        if let Some(next) = self.next.take() {
            self.record.close_attempt(active.place.attempt);
            self.record.resume_attempt(next.place);
            self.active = Some(next);
            return Flow::Continue;
        }
        self.reattach(active.place).await
    }

    /// Abandons the active attempt; an idempotent request starts another from the tokens held.
    async fn abandon(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Continue;
        };
        let place = active.place;
        self.stop(active).await;
        self.on_attempt_lost(place)
    }

    async fn stop(&self, attempt: Attempt<Events<L>>) {
        self.record.close_attempt(attempt.place.attempt);
        self.core.record_close(attempt.place, self.core.clock.now());
        // A failed cancellation wastes tokens and has no other effect.
        if let Err(error) = self
            .core
            .engines
            .cancel(attempt.place.address, &attempt.name)
            .await
        {
            log::debug!(error:% = error; "failed to cancel an attempt; its remaining tokens are wasted");
        }
    }

    async fn stop_streams(&mut self) {
        for attempt in [self.active.take(), self.next.take()].into_iter().flatten() {
            self.stop(attempt).await;
        }
    }

    fn detach_streams(&mut self) {
        let now = self.core.clock.now();
        for attempt in [self.active.take(), self.next.take()].into_iter().flatten() {
            self.core.record_close(attempt.place, now);
        }
    }

    fn report_progress(&mut self) {
        if let Some(from) = self.standby.due_from(self.record.next_position()) {
            self.send_to_standby(from);
        }
    }

    /// Sends the witness the request's place and the tokens that it lacks.
    fn report_to_witness(&mut self) {
        let from = self.standby.unacknowledged_from();
        self.send_to_standby(from);
    }

    fn send_to_standby(&mut self, from: u64) {
        let copy = self.record.copy(from);
        let end = copy.chunk.end();
        log::debug!(id:% = self.record.id, from = from, end = end; "reporting progress to the witness");
        let reply = (self.core).send_to_witness(&self.record.id, WitnessUpdate::Store(copy));
        self.standby.record_sent(end, reply);
    }
}

async fn next_stream_event<E: EventStream>(
    attempt: &mut Option<Attempt<E>>,
) -> Option<Result<EngineEvent, UpstreamError>> {
    match attempt {
        Some(attempt) => attempt.events.next().await,
        None => std::future::pending().await,
    }
}

async fn next_import(pending_import: &mut Option<PendingImport>) -> (HostKey, ImportResult) {
    let Some((target, receiver)) = pending_import else {
        return std::future::pending().await;
    };
    let (target, imported) = (*target, receiver.await.ok());
    *pending_import = None;
    (target, imported)
}

/// Offers a token, unless it carries the name of another attempt than its stream.
fn offer<E>(
    record: &Record,
    attempt: &Attempt<E>,
    name: &str,
    position: u64,
    text: &str,
) -> Verdict {
    if name == attempt.name {
        record.offer(attempt.place.attempt, position, text)
    } else {
        Verdict::Foreign
    }
}

/// Builds the engine request; returns `None` for calls to plain services.
fn start_stream<'a>(
    record: &'a Record,
    attempt: &'a str,
    prefix: &'a str,
    position: u64,
    priority: u8,
) -> Option<StartStream<'a>> {
    let Work::Completion {
        model,
        prompt,
        max_tokens,
        seed,
    } = &record.call.work
    else {
        return None;
    };
    Some(StartStream {
        attempt,
        model,
        prompt,
        prefix,
        position,
        max_tokens: u64::from(*max_tokens),
        priority,
        seed: *seed,
        import: None,
        delivery: delivery(record),
    })
}
