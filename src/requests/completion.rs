//! Runs one model request across retries, host moves and host losses to a complete answer.

mod events;
mod losses;
mod moves;
mod starts;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Sleep;

use super::core::{Authority, Core};
use super::dependencies::Dependencies;
use super::dispatch::{FailedAttempt, Tried, deadline_outcome, latency_class, prompt_blocks};
use super::record::{Order, Place};
use super::standby_progress::StandbyProgress;
use super::suspects::QuarantineEnd;
use super::{Outcome, Record};
use crate::keys::HostKey;
use crate::node::messages::WitnessUpdate;
use crate::retries::QuarantineRequest;
use crate::routing::chain::PromptBlocks;
use crate::upstreams::{EngineEvent, Engines, EventStream, UpstreamError};

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

    /// Releases the quarantine host if this attempt is a suspect's.
    async fn end_quarantine(&mut self, end: QuarantineEnd) {
        if let Some((request, _began_at)) = self.quarantine.take() {
            self.core.end_quarantine(request, end).await;
        }
    }

    fn priority(&self) -> u8 {
        let in_force = self.core.blackboard.active_configuration();
        in_force.map_or(0, |in_force| {
            latency_class(&in_force, &self.record).priority
        })
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
