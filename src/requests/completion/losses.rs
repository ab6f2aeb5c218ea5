//! Reattaches to streams that broke, and closes attempts that are lost.

use std::time::Duration;

use super::{Attempt, Flow, Run};
use crate::requests::Outcome;
use crate::requests::core::Authority;
use crate::requests::dependencies::Dependencies;
use crate::requests::outcome::UnknownReason;
use crate::requests::record::Place;
use crate::requests::suspects::QuarantineEnd;
use crate::upstreams::{Engines, UpstreamError};

/// Delay between attempts to reattach to the engine of a broken stream.
const REATTACH_DELAY_MS: u64 = 100;

/// Reattach attempts when the request can start on another host instead.
const MAX_REATTACH_ATTEMPTS: u32 = 2;

/// Reattach attempts when the request cannot start on another host.
const MAX_REATTACH_ATTEMPTS_NO_RESTART: u32 = 50;

impl<L: Dependencies> Run<L> {
    /// Reattaches to the active attempt at the next position.
    pub(super) async fn reattach_active(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Continue;
        };
        self.core.record_close(active.place, self.core.clock.now());
        self.reattach(active.place).await
    }

    /// Reattaches to a stream that runs at an engine, after its connection broke.
    pub(super) async fn reattach(&mut self, place: Place) -> Flow {
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

    pub(super) async fn on_stream_broken(&mut self, error: &UpstreamError) -> Flow {
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
    pub(super) async fn abandon(&mut self) -> Flow {
        let Some(active) = self.active.take() else {
            return Flow::Continue;
        };
        let place = active.place;
        self.stop(active).await;
        self.on_attempt_lost(place)
    }

    /// Closes an attempt whose stream cannot be read any more.
    pub(super) fn on_attempt_lost(&mut self, place: Place) -> Flow {
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
}
