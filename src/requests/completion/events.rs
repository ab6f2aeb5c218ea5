//! Processes what the engine of the active attempt sends.

use super::{Attempt, Flow, Run};
use crate::keys::HostKey;
use crate::requests::dependencies::Dependencies;
use crate::requests::outcome::{Failure, Finish};
use crate::requests::suspects::{QuarantineEnd, has_passed};
use crate::requests::{Outcome, Record, Verdict};
use crate::retries::QuarantineRequest;
use crate::upstreams::{self, EngineEvent, EventStream, UpstreamError};

impl<L: Dependencies> Run<L> {
    pub(super) async fn on_active(
        &mut self,
        event: Option<Result<EngineEvent, UpstreamError>>,
    ) -> Flow {
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
}

/// Offers a token, unless it carries the name of another attempt than its stream.
pub(super) fn offer<E>(
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
