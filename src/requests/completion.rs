//! Runs one model request through its attempts, moves and losses to a whole answer.

mod moves;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Sleep;

use super::core::{Core, Right};
use super::dispatch::{
    Failed, Tried, chain, delivery, denied, latency_class, no_upstream, past_deadline,
};
use super::links::Links;
use super::outcome::{Doubt, Failure, Finish};
use super::record::{Order, Place};
use super::suspicion::{Leave, QuarantineEnd, has_passed};
use super::{Outcome, Record, Verdict, Work};
use crate::keys::HostKey;
use crate::node::messages::Told;
use crate::retries::{QuarantineRequest, RetryDecision};
use crate::routing::chain::PromptBlocks;
use crate::routing::{Candidate, NoRoute};
use crate::time::TimeMs;
use crate::upstreams::{
    self, Delivery, EngineEvent, Engines, EventStream, StartStream, UpstreamError,
};

/// Between two tries to reach the engine of a stream that broke.
const REATTACH_PAUSE_MS: u64 = 100;

/// Tries to reach it while the request may go elsewhere instead.
const REATTACH_TRIES: u32 = 2;

/// Tries to reach it where there is nowhere else to go.
const LAST_REATTACH_TRIES: u32 = 50;

/// Pause before looking for a host again while none may be given the stream.
const NO_ROUTE_PAUSE_MS: u64 = 100;

/// How often the witness is told of new tokens.
///
/// It needs them only if home and upstream are lost together; the upstream itself keeps the rest.
const TELL_TOKENS: u64 = 64;

/// Runs a record to its outcome, or to `None` when another node has taken it over.
pub(super) async fn run<L: Links>(
    core: Arc<Core<L>>,
    record: Arc<Record>,
    right: Right,
) -> Option<Outcome> {
    let left_ms = core.clock.now().until(record.call.deadline_ms);
    let chain = chain(&record);
    let run = Run {
        deadline: Box::pin(tokio::time::sleep(Duration::from_millis(left_ms))),
        core,
        record,
        right,
        tried: Tried::default(),
        told: 0,
        active: None,
        next: None,
        failed: None,
        failures: 0,
        resume_on: None,
        imported: None,
        carried: None,
        has_right: false,
        warmed: 0,
        quarantine: None,
        chain,
        expected_cached_tokens: 0.0,
    };
    run.drive().await
}

type Events<L> = <<L as Links>::Engines as Engines>::Events;

/// An attempt that streams.
struct Attempt<E> {
    place: Place,
    name: String,
    events: E,
}

struct Run<L: Links> {
    core: Arc<Core<L>>,
    record: Arc<Record>,
    right: Right,
    /// One timer for the whole run: setting one for each token costs more than taking the token.
    deadline: Pin<Box<Sleep>>,
    tried: Tried,
    /// The position up to which the witness has been told.
    told: u64,
    active: Option<Attempt<Events<L>>>,
    /// The attempt that is to take over from the active one.
    next: Option<Attempt<Events<L>>>,
    /// The newest failure, until the retry budget has been asked about it.
    failed: Option<Failed>,
    failures: u32,
    /// Where a stream that its engine was asked to stop is to go on.
    resume_on: Option<HostKey>,
    /// The cache that the target of `resume_on` has taken in.
    imported: Option<String>,
    /// A target that is taking the stream's cache in.
    carried: Option<Carried>,
    /// Whether the right to start it has been obtained; it is never taken back.
    has_right: bool,
    /// Targets that were asked to compute ahead.
    warmed: u32,
    /// Leave to run as a suspect, with the position at which the attempt began.
    quarantine: Option<(QuarantineRequest, u64)>,
    /// The blocks of the prompt.
    chain: PromptBlocks,
    /// Tokens that the host chosen was believed to have cached.
    expected_cached_tokens: f64,
}

/// What came of an import, unless its task ended without a word.
type Imported = Option<Result<String, UpstreamError>>;

/// A target, and what will come of the import there.
type Carried = (HostKey, oneshot::Receiver<Result<String, UpstreamError>>);

/// Whether to go on.
enum Flow {
    Go,
    End(Outcome),
    Moved,
}

/// What woke the run.
enum Wake {
    Order(Order),
    Active(Option<Result<EngineEvent, UpstreamError>>),
    Next(Option<Result<EngineEvent, UpstreamError>>),
    Imported(HostKey, Imported),
    Deadline,
}

impl<L: Links> Run<L> {
    async fn drive(mut self) -> Option<Outcome> {
        loop {
            // What a stream seldom does is boxed: a task is as large as its largest step, and a node
            // holds ten thousand of them, nearly all of which wait for the next token.
            let flow = match &self.active {
                None => Box::pin(self.begin()).await,
                Some(_) => match self.wake().await {
                    Wake::Order(order) => Box::pin(self.obey(order)).await,
                    Wake::Active(event) => self.on_active(event).await,
                    Wake::Next(event) => Box::pin(self.on_next(event)).await,
                    Wake::Imported(target, imported) => {
                        Box::pin(self.on_imported(target, imported)).await
                    }
                    Wake::Deadline => Flow::End(past_deadline(&self.record)),
                },
            };
            match flow {
                Flow::Go => {}
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
                    self.leave_streams();
                    return None;
                }
            }
        }
    }

    async fn wake(&mut self) -> Wake {
        tokio::select! {
            biased;
            order = self.record.next_order() => Wake::Order(order),
            event = next_event(&mut self.next) => Wake::Next(event),
            (target, imported) = next_import(&mut self.carried) => {
                Wake::Imported(target, imported)
            }
            event = next_event(&mut self.active) => Wake::Active(event),
            () = &mut self.deadline => Wake::Deadline,
        }
    }

    /// Gets a stream going where there is none: the one that runs already, or a new one.
    async fn begin(&mut self) -> Flow {
        if self.core.clock.now() >= self.record.call.deadline_ms {
            return Flow::End(past_deadline(&self.record));
        }
        if let Some(place) = self.record.place() {
            return self.reattach(place).await;
        }
        if self.right == Right::Reader {
            return Flow::End(Outcome::Unknown(Doubt::HomeGone));
        }
        if let Some(flow) = self.ask_for_retry().await {
            return flow;
        }
        let view = self.core.view(&self.record, &self.chain);
        match self
            .core
            .leave_to_start(&self.record, &view.candidates)
            .await
        {
            Leave::Refuse => Flow::End(Outcome::Failed(Failure::KillsUpstreams)),
            Leave::Wait(until_ms) => self.pause_until(until_ms).await,
            Leave::Only(ask) => self.start_in_quarantine(ask, &view.candidates).await,
            Leave::Anywhere => match self.core.choose(&self.record, &view, &self.tried) {
                Ok(choice) => {
                    let place = self.record.begin_attempt(choice.host, choice.address);
                    let flow = self.start(place, choice.prefill_ms, None).await;
                    if self.active.is_none() {
                        self.tried.note(choice.host, Some(choice.domain));
                    } else {
                        self.expected_cached_tokens = choice.cached_tokens;
                        self.note_sent(choice.host);
                    }
                    flow
                }
                Err(no_route) => self.no_route(no_route).await,
            },
        }
    }

    /// Notes that the host will have the prompt cached.
    fn note_sent(&self, host: HostKey) {
        let caches = &self.core.blackboard.caches;
        caches.record_sent(host, &self.chain, self.expected_cached_tokens);
    }

    /// Notes what the engine says it had cached, so that a wrong belief is mended.
    fn note_cached(&self, host: HostKey, cached_tokens: u64) {
        let caches = &self.core.blackboard.caches;
        caches.record_done(
            host,
            &self.chain,
            self.expected_cached_tokens,
            cached_tokens,
        );
    }

    /// Asks the retry budget after a failed attempt; gives what follows unless it grants one now.
    async fn ask_for_retry(&mut self) -> Option<Flow> {
        let failed = self.failed.take()?;
        match self.core.may_retry(&self.record, &failed) {
            RetryDecision::Now => None,
            RetryDecision::At(at_ms) => Some(self.pause_until(at_ms).await),
            RetryDecision::No(reason) => Some(Flow::End(denied(&self.record, reason))),
        }
    }

    async fn start_in_quarantine(&mut self, ask: QuarantineRequest, view: &[Candidate]) -> Flow {
        let host = view.iter().find(|candidate| candidate.host == ask.host);
        let Some(address) = host.map(|candidate| candidate.address) else {
            self.core
                .end_quarantine(ask, QuarantineEnd::Abandoned)
                .await;
            return Flow::Go;
        };
        let place = self.record.begin_attempt(ask.host, address);
        self.quarantine = Some((ask, self.record.next_position()));
        self.start(place, 0.0, None).await
    }

    /// Gives the host of a suspect back, if this is one.
    async fn end_quarantine(&mut self, end: QuarantineEnd) {
        if let Some((ask, _began_at)) = self.quarantine.take() {
            self.core.end_quarantine(ask, end).await;
        }
    }

    async fn pause_until(&mut self, until_ms: TimeMs) -> Flow {
        let now = self.core.clock.now();
        let pause_ms = now
            .until(until_ms)
            .min(now.until(self.record.call.deadline_ms));
        tokio::select! {
            order = self.record.next_order() => self.obey(order).await,
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => Flow::Go,
        }
    }

    /// An accepted stream waits for a host; a request that has not been dispatched is refused.
    async fn no_route(&mut self, no_route: NoRoute) -> Flow {
        if !self.record.is_dispatched() {
            return Flow::End(no_upstream(&self.record, no_route));
        }
        self.tried.clear();
        let until_ms = self.core.clock.now().after(NO_ROUTE_PAUSE_MS);
        self.pause_until(until_ms).await
    }

    async fn start(&mut self, place: Place, prefill_ms: f64, import: Option<&str>) -> Flow {
        // Counted before the first pause: calls that arrive together would all choose the host that
        // none of them has been counted on yet, and wait there while others stand idle.
        self.core
            .note_open(place, prefill_ms, self.core.clock.now());
        // Asked once: a witness that is gone by the time a stream moves would have a request refused
        // as not run that has run for long.
        if !self.has_right {
            if let Err(outcome) = self.core.obtain_right(&self.record, self.right).await {
                self.core.note_close(place, self.core.clock.now());
                self.record.attempt_not_started(place.attempt);
                return Flow::End(outcome);
            }
            self.has_right = true;
        }
        self.tell();
        match self.open(place, import).await {
            Ok(attempt) => {
                self.active = Some(attempt);
                Flow::Go
            }
            Err(error) => {
                self.core.note_close(place, self.core.clock.now());
                self.not_opened(place, error).await
            }
        }
    }

    /// Starts the stream of an attempt at its engine, from the tokens held.
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

    async fn not_opened(&mut self, place: Place, error: UpstreamError) -> Flow {
        self.core.note_failure(place, &error, self.core.clock.now());
        match error {
            error if error.is_not_started() => {
                self.record.attempt_not_started(place.attempt);
                self.end_quarantine(QuarantineEnd::Abandoned).await;
                self.note_failed(place, error);
                Flow::Go
            }
            error if error.is_lost() => self.reattach(place).await,
            // The engine lives and turns the call down, not as "not run": it is the call's fault.
            _ if delivery(&self.record) == Delivery::AtMostOnce => {
                Flow::End(Outcome::Failed(Failure::Upstream))
            }
            UpstreamError::Rejected { status } if status.is_client_error() => {
                Flow::End(Outcome::Failed(Failure::Upstream))
            }
            error => {
                self.record.close_attempt(place.attempt);
                self.end_quarantine(QuarantineEnd::Abandoned).await;
                self.note_failed(place, error);
                Flow::Go
            }
        }
    }

    fn note_failed(&mut self, place: Place, error: UpstreamError) {
        self.failures += 1;
        self.failed = Some(Failed {
            error,
            host: place.host,
            count: self.failures,
        });
    }

    /// Finds a stream again that runs at an engine, after its connection broke.
    async fn reattach(&mut self, place: Place) -> Flow {
        let tries = match (self.right, self.record.call.idempotent) {
            (Right::Reader, _) | (_, false) => LAST_REATTACH_TRIES,
            _ => REATTACH_TRIES,
        };
        let name = self.record.id.attempt(place.attempt);
        let mut last = UpstreamError::UnknownAttempt;
        for _try in 0..tries {
            if self.core.clock.now() >= self.record.call.deadline_ms {
                break;
            }
            let from = self.record.next_position();
            match self.core.engines.attach(place.address, &name, from).await {
                Ok(events) => {
                    self.record.resume_attempt(place);
                    self.core.note_open(place, 0.0, self.core.clock.now());
                    self.active = Some(Attempt {
                        place,
                        name,
                        events,
                    });
                    return Flow::Go;
                }
                Err(UpstreamError::UnknownAttempt) => break,
                Err(error) => {
                    self.core.note_failure(place, &error, self.core.clock.now());
                    last = error;
                }
            }
            tokio::time::sleep(Duration::from_millis(REATTACH_PAUSE_MS)).await;
        }
        let died = match &last {
            UpstreamError::Unreachable { .. } => self.core.note_death(place),
            _ => None,
        };
        self.end_quarantine(died.map_or(QuarantineEnd::Abandoned, QuarantineEnd::Died))
            .await;
        self.note_failed(place, last);
        self.lost(place)
    }

    /// The attempt cannot be read any more.
    fn lost(&mut self, place: Place) -> Flow {
        self.record.close_attempt(place.attempt);
        let domain = self.core.blackboard.with_host(place.host, |row| row.domain);
        self.tried.note(place.host, domain);
        match self.right {
            Right::Reader => Flow::End(Outcome::Unknown(Doubt::HomeGone)),
            _ if !self.record.call.idempotent => Flow::End(Outcome::Unknown(Doubt::UpstreamLost)),
            _ => Flow::Go,
        }
    }

    async fn on_active(&mut self, event: Option<Result<EngineEvent, UpstreamError>>) -> Flow {
        let mut event = event;
        loop {
            if let Some(flow) = self.take(event).await {
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
        // A stream that gets on starts its count of failures anew: a long report may lose more hosts
        // in its hours than a short request may be tried.
        self.failures = 0;
        self.tell_progress();
        let passed = |(_, began_at): &(QuarantineRequest, u64)| {
            has_passed(*began_at, self.record.next_position())
        };
        if self.quarantine.as_ref().is_some_and(passed) {
            Box::pin(self.end_quarantine(QuarantineEnd::Passed)).await;
        }
        Flow::Go
    }

    /// Takes one event of the active attempt; gives what follows from it beyond a token taken.
    async fn take(&mut self, event: Option<Result<EngineEvent, UpstreamError>>) -> Option<Flow> {
        match event {
            Some(Ok(EngineEvent::Token {
                attempt: name,
                position,
                text,
            })) => {
                let active = self.active.as_ref()?;
                match offer(&self.record, active, &name, position, &text) {
                    Verdict::Taken | Verdict::Duplicate | Verdict::Foreign => None,
                    Verdict::Gap => Some(Box::pin(self.reread()).await),
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
                    self.note_cached(active.place.host, cached_prompt_tokens);
                }
                Some(Box::pin(self.done(tokens, finish)).await)
            }
            Some(Ok(EngineEvent::Error { message, .. })) => {
                log::info!(id:% = self.record.id, message = message.as_str(); "an engine failed");
                Some(Flow::End(Outcome::Failed(Failure::Upstream)))
            }
            Some(Err(error)) => Some(Box::pin(self.broke(&error)).await),
            None => Some(Box::pin(self.reread()).await),
        }
    }

    fn priority(&self) -> u8 {
        let in_force = self.core.blackboard.in_force();
        in_force.map_or(0, |in_force| {
            latency_class(&in_force, &self.record).priority
        })
    }

    async fn done(&mut self, tokens: u64, finish: upstreams::Finish) -> Flow {
        // An end that arrives without all tokens would give the caller a shortened answer.
        if tokens != self.record.next_position() {
            return self.reread().await;
        }
        let finish = match finish {
            upstreams::Finish::Stop => Finish::Stop,
            upstreams::Finish::Length => Finish::Length,
            upstreams::Finish::Cancelled | upstreams::Finish::Exported => {
                return self.stopped().await;
            }
        };
        if let Some(active) = self.active.take() {
            self.core.note_answer(active.place);
            self.core.note_success(&self.record, active.place.host);
            self.core.note_close(active.place, self.core.clock.now());
        }
        Flow::End(Outcome::Completed { tokens, finish })
    }

    /// Reads the active attempt again from the next position.
    async fn reread(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Go;
        };
        self.core.note_close(active.place, self.core.clock.now());
        self.reattach(active.place).await
    }

    async fn broke(&mut self, error: &UpstreamError) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Go;
        };
        let now = self.core.clock.now();
        self.core.note_failure(active.place, error, now);
        self.core.note_close(active.place, now);
        if let Some(next) = self.next.take() {
            self.record.close_attempt(active.place.attempt);
            self.record.resume_attempt(next.place);
            self.active = Some(next);
            return Flow::Go;
        }
        self.reattach(active.place).await
    }

    /// Gives the active attempt up; an idempotent request starts another from the tokens held.
    async fn abandon(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Go;
        };
        let place = active.place;
        self.stop(active).await;
        self.lost(place)
    }

    async fn stop(&self, attempt: Attempt<Events<L>>) {
        self.record.close_attempt(attempt.place.attempt);
        self.core.note_close(attempt.place, self.core.clock.now());
        // A failed cancel costs tokens and nothing else.
        if let Err(error) = self
            .core
            .engines
            .cancel(attempt.place.address, &attempt.name)
            .await
        {
            log::debug!(error:% = error; "a cancel failed");
        }
    }

    async fn stop_streams(&mut self) {
        for attempt in [self.active.take(), self.next.take()].into_iter().flatten() {
            self.stop(attempt).await;
        }
    }

    fn leave_streams(&mut self) {
        let now = self.core.clock.now();
        for attempt in [self.active.take(), self.next.take()].into_iter().flatten() {
            self.core.note_close(attempt.place, now);
        }
    }

    fn tell_progress(&mut self) {
        if self.record.next_position() >= self.told + TELL_TOKENS {
            self.tell();
        }
    }

    /// Tells the witness where the request runs and what is new of its answer.
    fn tell(&mut self) {
        let from = self.told;
        self.told = self.record.next_position();
        let told = Told::Keep(self.record.copy(from));
        drop(self.core.tell(&self.record.id, told));
    }
}

async fn next_event<E: EventStream>(
    attempt: &mut Option<Attempt<E>>,
) -> Option<Result<EngineEvent, UpstreamError>> {
    match attempt {
        Some(attempt) => attempt.events.next().await,
        None => std::future::pending().await,
    }
}

async fn next_import(carried: &mut Option<Carried>) -> (HostKey, Imported) {
    let Some((target, receiver)) = carried else {
        return std::future::pending().await;
    };
    let (target, imported) = (*target, receiver.await.ok());
    *carried = None;
    (target, imported)
}

/// Offers a token, unless it belongs to another attempt than the stream it came on.
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

/// What an engine is asked for; `None` for work that is not for engines.
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
