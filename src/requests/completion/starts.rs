//! Starts attempts: when a request may start, on which host, and what follows if that fails.

use std::time::Duration;

use super::{Attempt, Events, Flow, Run};
use crate::keys::HostKey;
use crate::requests::core::Authority;
use crate::requests::dependencies::Dependencies;
use crate::requests::dispatch::{
    FailedAttempt, deadline_outcome, delivery, denied_outcome, no_route_outcome,
};
use crate::requests::outcome::{Failure, UnknownReason};
use crate::requests::record::Place;
use crate::requests::suspects::{QuarantineEnd, StartPermission};
use crate::requests::{Outcome, Record, Work};
use crate::retries::{QuarantineRequest, RetryDecision};
use crate::routing::{Candidate, NoRoute};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, Engines, StartStream, UpstreamError};

/// Delay before the next host selection while no host is eligible for the stream.
const NO_ROUTE_DELAY_MS: u64 = 100;

impl<L: Dependencies> Run<L> {
    /// Reattaches to the stream that is already running, or starts a new one.
    pub(super) async fn start_or_reattach(&mut self) -> Flow {
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

    pub(super) async fn wait_until(&mut self, until_ms: TimeMs) -> Flow {
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

    pub(super) async fn start(
        &mut self,
        place: Place,
        prefill_ms: f64,
        import: Option<&str>,
    ) -> Flow {
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
    pub(super) async fn open(
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

    pub(super) fn set_failed(&mut self, place: Place, error: UpstreamError) {
        self.failures += 1;
        self.failed = Some(FailedAttempt {
            error,
            host: place.host,
            count: self.failures,
        });
    }
}

/// Builds the engine request; returns `None` for calls to plain services.
pub(super) fn start_stream<'a>(
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
