//! Moves a stream to another host, or resumes it there after its engine has stopped it.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::events::offer;
use super::starts::start_stream;
use super::{Attempt, Events, Flow, ImportResult, Run};
use crate::blackboard::{HostRow, HostState};
use crate::keys::HostKey;
use crate::reclaim::Progress;
use crate::requests::Outcome;
use crate::requests::core::Authority;
use crate::requests::dependencies::Dependencies;
use crate::requests::record::{Order, Place};
use crate::upstreams::{EngineEvent, Engines, EventStream, Import, StartStream, UpstreamError};

/// Number of the first warm-up attempt: attempts from here on fill a prefix cache and produce no
/// answer.
const FIRST_WARM_ATTEMPT: u32 = 1 << 24;

/// Number of warm-up attempts that can be numbered for each attempt.
const WARM_NUMBERS_PER_ATTEMPT: u32 = 64;

impl<L: Dependencies> Run<L> {
    /// Handles an event of the next attempt; with its first token the next attempt replaces the
    /// active one, which is stopped.
    pub(super) async fn on_next(
        &mut self,
        event: Option<Result<EngineEvent, UpstreamError>>,
    ) -> Flow {
        let Some(Ok(EngineEvent::Token { .. })) = &event else {
            // The next attempt failed before its first token; the active attempt continues.
            if let Some(next) = self.next.take() {
                self.core.record_close(next.place, self.core.clock.now());
                self.drop_next(next.place);
            }
            return Flow::Continue;
        };
        if let Some(old) = self.active.take() {
            self.stop_in_background(old);
        }
        self.active = self.next.take();
        if let Some(active) = &self.active {
            self.record.resume_attempt(active.place);
        }
        self.report_to_witness();
        self.on_active(event).await
    }

    /// Closes a next attempt that failed and restores the active attempt's place in the record.
    ///
    /// Without a place, the stream would be in no later move plan, and would stall from the loss of
    /// its host until it is started again.
    fn drop_next(&mut self, place: Place) {
        self.record.close_attempt(place.attempt);
        if let Some(active) = &self.active {
            self.record.resume_attempt(active.place);
        }
    }

    pub(super) async fn apply_order(&mut self, order: Order) -> Flow {
        match order {
            Order::Cancel => Flow::End(Outcome::Cancelled),
            Order::HandOver => Flow::Moved,
            Order::Warm { target } => self.warm(target),
            // The order is late and the stream has already moved, or this node cannot carry it out.
            _ if !self.needs_move() => Flow::Continue,
            Order::Recompute { target } => self.recompute(target).await,
            Order::Resume { target } => self.stop_and_resume(target).await,
            Order::Export { target, is_live } => self.export(target, is_live).await,
        }
    }

    /// Returns whether neither the active nor the next attempt runs on a live host, and this node
    /// is allowed to start the stream elsewhere.
    fn needs_move(&self) -> bool {
        let is_on_live_host = |attempt: &Attempt<Events<L>>| {
            let host = attempt.place.host;
            let state = self.core.blackboard.with_host(host, |row| row.state);
            state == Some(HostState::Live)
        };
        let has_live_attempt = [&self.active, &self.next]
            .into_iter()
            .flatten()
            .any(is_on_live_host);
        self.authority != Authority::Reader && !has_live_attempt
    }

    /// Starts the next attempt on the target while the active one still streams.
    async fn recompute(&mut self, target: HostKey) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let Some(address) = address.filter(|_address| self.record.call.idempotent) else {
            return Flow::Continue;
        };
        self.start_next(target, address, None).await
    }

    /// Starts the next attempt on a target, from an imported KV cache if there is one.
    async fn start_next(
        &mut self,
        target: HostKey,
        address: SocketAddr,
        import: Option<&str>,
    ) -> Flow {
        if let Some(old) = self.next.take() {
            self.stop_in_background(old);
        }
        let place = self.record.begin_attempt(target, address);
        self.core.record_open(place, 0.0, self.core.clock.now());
        match self.open(place, import).await {
            Ok(attempt) => self.next = Some(attempt),
            Err(error) => {
                self.core.record_close(place, self.core.clock.now());
                self.core
                    .record_failure(place, &error, self.core.clock.now());
                self.drop_next(place);
            }
        }
        Flow::Continue
    }

    /// Asks the engine to stop the stream, which resumes on the target once the remaining tokens
    /// are read.
    ///
    /// The engine's confirmation that it has stopped, and at which position, guarantees that no
    /// token is generated twice.
    async fn stop_and_resume(&mut self, target: HostKey) -> Flow {
        let Some(active) = &self.active else {
            return Flow::Continue;
        };
        let stopped = self
            .core
            .engines
            .cancel(active.place.address, &active.name)
            .await;
        match stopped {
            Ok(()) => self.resume_on = Some(target),
            // The stream may still be running; the controller decides again.
            Err(error) => {
                log::info!(id:% = self.record.id, error:% = error; "failed to stop a stream; the controller decides again");
            }
        }
        Flow::Continue
    }

    /// Warms the target's prefix cache with the prompt and the tokens so far.
    fn warm(&mut self, target: HostKey) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let (Some(address), Some(active)) = (address, &self.active) else {
            return Flow::Continue;
        };
        self.warm_count += 1;
        let attempt = active
            .place
            .attempt
            .saturating_mul(WARM_NUMBERS_PER_ATTEMPT)
            + self.warm_count;
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
                Err(error) => log::info!(error:% = error; "failed to warm a target's prefix cache"),
            }
        });
        Flow::Continue
    }

    /// Moves the stream together with its KV cache; the stream pauses during the export.
    async fn export(&mut self, target: HostKey, is_live: bool) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        let (Some(address), Some(active)) = (address, &self.active) else {
            return Flow::Continue;
        };
        let source = active.place.address;
        let exported = tokio::select! {
            exported = self.core.engines.export(source, &active.name) => exported,
            // A new order means that the controller has abandoned the export. Waiting on would
            // stall the stream until its host is gone.
            order = self.record.next_order() => {
                self.record.set_progress(Progress::ExportFailed);
                self.record.order(order);
                return Flow::Continue;
            }
        };
        let export = match exported {
            Ok(export) => export,
            // The stream continues on its host; the controller decides again.
            Err(error) => {
                log::info!(id:% = self.record.id, error:% = error; "failed to export a KV cache; the stream stays on its host");
                self.record.set_progress(Progress::ExportFailed);
                return Flow::Continue;
            }
        };
        self.read_up_to(export.position).await;
        if self.record.next_position() < export.position {
            // The missing tokens are read again; the run resumes at the engine's `Exported` end.
            return self.reattach_active().await;
        }
        let Some(old) = self.active.take() else {
            return Flow::Continue;
        };
        self.core.record_close(old.place, self.core.clock.now());
        self.record.close_attempt(old.place.attempt);
        let handle = export.handle.clone();
        let import = Import {
            handle: export.handle,
            source,
            bytes: export.bytes,
        };
        if is_live && let Some(flow) = self.resume_at_source(old.place, &handle).await {
            self.import_in_background(target, address, import);
            return flow;
        }
        match self.core.engines.import(address, &import).await {
            Ok(handle) => {
                let place = self.record.begin_attempt(target, address);
                self.start(place, 0.0, Some(&handle)).await
            }
            // The engine has stopped the stream and all its tokens are here, so the stream resumes
            // without the KV cache.
            Err(error) => {
                log::info!(id:% = self.record.id, error:% = error; "failed to import a KV cache; the stream continues without it");
                Flow::Continue
            }
        }
    }

    /// Resumes the stream at the engine that has just exported its KV cache, from that cache.
    ///
    /// Returns `None` if the engine refuses; the stream then pauses until it runs on another host.
    async fn resume_at_source(&mut self, old: Place, handle: &str) -> Option<Flow> {
        let place = self.record.begin_attempt(old.host, old.address);
        self.core.record_open(place, 0.0, self.core.clock.now());
        let error = match self.open(place, Some(handle)).await {
            Ok(attempt) => {
                self.active = Some(attempt);
                return Some(Flow::Continue);
            }
            Err(error) => error,
        };
        self.core.record_close(place, self.core.clock.now());
        match error {
            error if error.is_not_started() => self.record.attempt_not_started(place.attempt),
            // The attempt may have started, and a non-idempotent request must not start twice.
            _ if !self.record.call.idempotent => return Some(self.reattach(place).await),
            _ => self.record.close_attempt(place.attempt),
        }
        None
    }

    /// Imports the exported KV cache on the target while the stream continues.
    fn import_in_background(&mut self, target: HostKey, address: SocketAddr, import: Import) {
        self.record.set_progress(Progress::Importing {
            target,
            started_at_ms: self.core.clock.now(),
        });
        let (sender, receiver) = oneshot::channel();
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            let imported = core.engines.import(address, &import).await;
            if sender.send(imported).is_err() {
                log::debug!("stream ended before its KV cache was imported");
            }
        });
        self.pending_import = Some((target, receiver));
    }

    /// Handles the result of an import: on success the stream moves to the target.
    pub(super) async fn on_imported(&mut self, target: HostKey, imported: ImportResult) -> Flow {
        let address = self.core.blackboard.with_host(target, |row| row.address);
        match (imported, address) {
            (Some(Ok(handle)), Some(address)) if self.needs_move() => {
                if self.record.call.idempotent {
                    return self.start_next(target, address, Some(&handle)).await;
                }
                self.imported_handle = Some(handle);
                return self.stop_and_resume(target).await;
            }
            (Some(Err(error)), _) => {
                log::info!(id:% = self.record.id, error:% = error; "failed to import a KV cache; the stream stays on its host");
                self.record.set_progress(Progress::ExportFailed);
            }
            _ => {}
        }
        Flow::Continue
    }

    /// Reads the tokens that an exported stream generated before it paused.
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

    /// Handles the engine's report that the attempt was stopped or exported, with all its tokens
    /// here.
    ///
    /// The engine generates no more tokens, so even a non-idempotent request resumes elsewhere. A
    /// read-only node leaves that to the node that stopped the attempt.
    pub(super) async fn on_stopped(&mut self) -> Flow {
        let Some(old) = self.active.take() else {
            return Flow::Continue;
        };
        self.core.record_close(old.place, self.core.clock.now());
        if self.authority == Authority::Reader {
            return self.on_attempt_lost(old.place);
        }
        self.record.close_attempt(old.place.attempt);
        if let Some(next) = self.next.take() {
            self.record.resume_attempt(next.place);
            self.active = Some(next);
            return Flow::Continue;
        }
        let target = self.resume_on.take().and_then(|target| {
            let live = |row: &mut HostRow| (row.state == HostState::Live).then_some(row.address);
            let address = self.core.blackboard.with_host(target, live)??;
            Some((target, address))
        });
        match target {
            Some((target, address)) => {
                let place = self.record.begin_attempt(target, address);
                let imported = self.imported_handle.take();
                self.start(place, 0.0, imported.as_deref()).await
            }
            None => Flow::Continue,
        }
    }

    /// Stops an attempt without waiting for its engine, which may be about to go away.
    fn stop_in_background(&self, attempt: Attempt<Events<L>>) {
        self.record.close_attempt(attempt.place.attempt);
        self.core.record_close(attempt.place, self.core.clock.now());
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            let Attempt { place, name, .. } = attempt;
            // A failed cancellation wastes tokens and has no other effect.
            if let Err(error) = core.engines.cancel(place.address, &name).await {
                log::debug!(error:% = error; "failed to cancel an attempt; its remaining tokens are wasted");
            }
        });
    }
}
