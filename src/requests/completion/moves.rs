//! Moves a stream off its host, or on after it was stopped there.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::{Attempt, Events, Flow, Imported, Run, offer, start_stream};
use crate::blackboard::{HostRow, HostState};
use crate::keys::HostKey;
use crate::reclaim::Progress;
use crate::requests::Outcome;
use crate::requests::core::Right;
use crate::requests::links::Links;
use crate::requests::record::{Order, Place};
use crate::upstreams::{EngineEvent, Engines, EventStream, Import, StartStream, UpstreamError};

/// Attempts with this number and above compute ahead and generate nothing.
const FIRST_WARM_ATTEMPT: u32 = 1 << 24;

/// Times that one attempt may be computed ahead under names of their own.
const WARMS_PER_ATTEMPT: u32 = 64;

impl<L: Links> Run<L> {
    /// The successor streams: it takes over, and the old attempt is stopped.
    pub(super) async fn on_next(
        &mut self,
        event: Option<Result<EngineEvent, UpstreamError>>,
    ) -> Flow {
        let Some(Ok(EngineEvent::Token { .. })) = &event else {
            // It failed before its first token; the old attempt goes on.
            if let Some(next) = self.next.take() {
                self.core.note_close(next.place, self.core.clock.now());
                self.stay(next.place);
            }
            return Flow::Go;
        };
        if let Some(old) = self.active.take() {
            self.stop_aside(old);
        }
        self.active = self.next.take();
        if let Some(active) = &self.active {
            self.record.resume_attempt(active.place);
        }
        self.tell();
        self.on_active(event).await
    }

    /// A successor came to nothing.
    ///
    /// The record names the old attempt's place again. Left at no place, the stream would be in no
    /// later plan, and would stand still from the end of its host until it has begun anew.
    fn stay(&mut self, successor: Place) {
        self.record.close_attempt(successor.attempt);
        if let Some(active) = &self.active {
            self.record.resume_attempt(active.place);
        }
    }

    pub(super) async fn obey(&mut self, order: Order) -> Flow {
        match order {
            Order::Cancel => Flow::End(Outcome::Cancelled),
            Order::HandOver => Flow::Moved,
            Order::Warm { target } => self.warm(target),
            // A late order, for a stream that has been moved; or no order for this node to carry out.
            _ if !self.is_to_move() => Flow::Go,
            Order::Recompute { target } => self.recompute(target).await,
            Order::Resume { target } => self.stop_and_resume(target).await,
            Order::Export { target, stays } => self.export(target, stays).await,
        }
    }

    /// Whether the stream is on a host that leaves, has no successor yet on one that stays, and may
    /// be started elsewhere by this node.
    fn is_to_move(&self) -> bool {
        let stays = |attempt: &Attempt<Events<L>>| {
            let host = attempt.place.host;
            let state = self.core.blackboard.with_host(host, |row| row.state);
            state == Some(HostState::Live)
        };
        let moved = [&self.active, &self.next].into_iter().flatten().any(stays);
        self.right != Right::Reader && !moved
    }

    /// Starts a successor while the old attempt still streams.
    async fn recompute(&mut self, target: HostKey) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let Some(address) = address.filter(|_address| self.record.call.idempotent) else {
            return Flow::Go;
        };
        self.succeed(target, address, None).await
    }

    /// Starts a successor on a target, from an imported cache if there is one.
    async fn succeed(
        &mut self,
        target: HostKey,
        address: SocketAddr,
        import: Option<&str>,
    ) -> Flow {
        if let Some(old) = self.next.take() {
            self.stop_aside(old);
        }
        let place = self.record.begin_attempt(target, address);
        self.core.note_open(place, 0.0, self.core.clock.now());
        match self.open(place, import).await {
            Ok(attempt) => self.next = Some(attempt),
            Err(error) => {
                self.core.note_close(place, self.core.clock.now());
                self.core.note_failure(place, &error, self.core.clock.now());
                self.stay(place);
            }
        }
        Flow::Go
    }

    /// Stops the stream; what its engine generated before is read to its end, and then it goes on.
    ///
    /// The engine's word that it has stopped, and at which position, is what makes it certain that
    /// no token is generated twice.
    async fn stop_and_resume(&mut self, target: HostKey) -> Flow {
        let Some(active) = &self.active else {
            return Flow::Go;
        };
        let stopped = self
            .core
            .engines
            .cancel(active.place.address, &active.name)
            .await;
        match stopped {
            Ok(()) => self.resume_on = Some(target),
            // It may run on; the controller decides anew.
            Err(error) => log::info!(id:% = self.record.id, error:% = error; "a stop failed"),
        }
        Flow::Go
    }

    /// Has the target compute what the stream will need there, and generate nothing.
    fn warm(&mut self, target: HostKey) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let (Some(address), Some(active)) = (address, &self.active) else {
            return Flow::Go;
        };
        self.warmed += 1;
        let attempt = active.place.attempt.saturating_mul(WARMS_PER_ATTEMPT) + self.warmed;
        let name = self.record.id.attempt(FIRST_WARM_ATTEMPT + attempt);
        let (record, core) = (Arc::clone(&self.record), Arc::clone(&self.core));
        let priority = self.priority();
        tokio::spawn(async move {
            let (prefix, position) = record.text_and_position();
            let Some(start) = start_stream(&record, &name, &prefix, position, priority) else {
                return;
            };
            let start = StartStream {
                max_tokens: position,
                ..start
            };
            match core.engines.start(address, &start).await {
                Ok(mut events) => while let Some(Ok(_event)) = events.next().await {},
                Err(error) => log::info!(error:% = error; "a target was not warmed"),
            }
        });
        Flow::Go
    }

    /// Takes the KV cache along; the stream pauses meanwhile.
    async fn export(&mut self, target: HostKey, stays: bool) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let (Some(address), Some(active)) = (address, &self.active) else {
            return Flow::Go;
        };
        let source = active.place.address;
        let exported = tokio::select! {
            exported = self.core.engines.export(source, &active.name) => exported,
            // The controller has given the export up. Waiting on would leave the stream where it
            // stands until its host is gone.
            order = self.record.next_order() => {
                self.record.set_progress(Progress::ExportFailed);
                self.record.order(order);
                return Flow::Go;
            }
        };
        let export = match exported {
            Ok(export) => export,
            // The stream goes on where it is; the controller decides anew.
            Err(error) => {
                log::info!(id:% = self.record.id, error:% = error; "an export failed");
                self.record.set_progress(Progress::ExportFailed);
                return Flow::Go;
            }
        };
        self.read_up_to(export.position).await;
        if self.record.next_position() < export.position {
            // The tokens that are missing are read again; the engine's word that the stream was
            // exported then leads on.
            return self.reread().await;
        }
        let Some(old) = self.active.take() else {
            return Flow::Go;
        };
        self.core.note_close(old.place, self.core.clock.now());
        self.record.close_attempt(old.place.attempt);
        let handle = export.handle.clone();
        let import = Import {
            handle: export.handle,
            source,
            bytes: export.bytes,
        };
        if stays && let Some(flow) = self.stay_meanwhile(old.place, &handle).await {
            self.carry(target, address, import);
            return flow;
        }
        match self.core.engines.import(address, &import).await {
            Ok(handle) => {
                let place = self.record.begin_attempt(target, address);
                self.start(place, 0.0, Some(&handle)).await
            }
            // Its engine has stopped and all its tokens are here, so that it goes on without.
            Err(error) => {
                log::info!(id:% = self.record.id, error:% = error; "an import failed");
                Flow::Go
            }
        }
    }

    /// Goes on at the engine that has just exported the stream's cache, from that cache.
    ///
    /// Gives nothing if that engine refuses; the stream stands still then until it is elsewhere.
    async fn stay_meanwhile(&mut self, old: Place, handle: &str) -> Option<Flow> {
        let place = self.record.begin_attempt(old.host, old.address);
        self.core.note_open(place, 0.0, self.core.clock.now());
        let error = match self.open(place, Some(handle)).await {
            Ok(attempt) => {
                self.active = Some(attempt);
                return Some(Flow::Go);
            }
            Err(error) => error,
        };
        self.core.note_close(place, self.core.clock.now());
        match error {
            error if error.is_not_started() => self.record.attempt_not_started(place.attempt),
            // It may have started, and must not start elsewhere as well.
            _ if !self.record.call.idempotent => return Some(self.reattach(place).await),
            _ => self.record.close_attempt(place.attempt),
        }
        None
    }

    /// Has the target take the exported cache in while the stream goes on.
    fn carry(&mut self, target: HostKey, address: SocketAddr, import: Import) {
        self.record.set_progress(Progress::Carrying {
            target,
            started_at_ms: self.core.clock.now(),
        });
        let (sender, receiver) = oneshot::channel();
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            let imported = core.engines.import(address, &import).await;
            if sender.send(imported).is_err() {
                log::debug!("a stream ended before its cache was taken in");
            }
        });
        self.carried = Some((target, receiver));
    }

    /// The target has taken the stream's cache in, or failed to.
    pub(super) async fn on_imported(&mut self, target: HostKey, imported: Imported) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        match (imported, address) {
            (Some(Ok(handle)), Some(address)) if self.is_to_move() => {
                if self.record.call.idempotent {
                    return self.succeed(target, address, Some(&handle)).await;
                }
                self.imported = Some(handle);
                return self.stop_and_resume(target).await;
            }
            (Some(Err(error)), _) => {
                log::info!(id:% = self.record.id, error:% = error; "an import failed");
                self.record.set_progress(Progress::ExportFailed);
            }
            _ => {}
        }
        Flow::Go
    }

    /// Reads the tokens that an exported stream had generated before it paused.
    async fn read_up_to(&mut self, position: u64) {
        while self.record.next_position() < position {
            let Some(active) = self.active.as_mut() else {
                return;
            };
            match active.events.next().await {
                Some(Ok(EngineEvent::Token {
                    attempt: name,
                    position,
                    text,
                })) => {
                    offer(&self.record, active, &name, position, &text);
                }
                Some(Ok(_) | Err(_)) | None => return,
            }
        }
    }

    /// The engine says that the attempt was stopped or exported, and all its tokens are here.
    ///
    /// It will generate no more, so the stream goes on elsewhere, also if it may not run twice. A
    /// node that may only read leaves that to the one that had it stopped.
    pub(super) async fn stopped(&mut self) -> Flow {
        let Some(old) = self.active.take() else {
            return Flow::Go;
        };
        self.core.note_close(old.place, self.core.clock.now());
        if self.right == Right::Reader {
            return self.lost(old.place);
        }
        self.record.close_attempt(old.place.attempt);
        if let Some(next) = self.next.take() {
            self.record.resume_attempt(next.place);
            self.active = Some(next);
            return Flow::Go;
        }
        let target = self.resume_on.take().and_then(|target| {
            let live = |row: &mut HostRow| (row.state == HostState::Live).then_some(row.address);
            let address = self.core.blackboard.with_host(target, live)??;
            Some((target, address))
        });
        match target {
            Some((target, address)) => {
                let place = self.record.begin_attempt(target, address);
                let imported = self.imported.take();
                self.start(place, 0.0, imported.as_deref()).await
            }
            None => Flow::Go,
        }
    }

    /// Stops an attempt without waiting for its engine, which may be about to go.
    fn stop_aside(&self, attempt: Attempt<Events<L>>) {
        self.record.close_attempt(attempt.place.attempt);
        self.core.note_close(attempt.place, self.core.clock.now());
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            let Attempt { place, name, .. } = attempt;
            // A failed cancel costs tokens and nothing else.
            if let Err(error) = core.engines.cancel(place.address, &name).await {
                log::debug!(error:% = error; "a cancel failed");
            }
        });
    }
}
