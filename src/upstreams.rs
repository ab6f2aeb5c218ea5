//! Clients of model engines and plain services.
//!
//! The traits [`Engines`] and [`PlainServices`] are what the request path is generic over; the HTTP
//! clients [`EngineClient`] and [`ServiceClient`] implement them for `docs/design/protocols.md`.

pub mod engine;
pub mod error;
pub mod events;
mod http;
pub mod service;
pub mod sse;
pub mod wire;

use std::net::SocketAddr;

pub use engine::EngineClient;
pub use error::{LostCause, NotRunReason, UpstreamError};
pub use events::Events;
pub use http::Patience;
pub use service::{ServiceAnswer, ServiceCall, ServiceClient};
pub use wire::{
    CacheEvent, CacheEventKind, CacheEvents, EngineEvent, EngineState, Export, Finish, Import,
    Load, Loaded, Order, Role, StartStream,
};

/// What repeating a call would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The call is idempotent; a pooled connection may carry it.
    Repeatable,
    /// The call is non-idempotent and gets a connection of its own.
    ///
    /// A pooled connection can be closed by the upstream while the call is being written to it, and
    /// the caller cannot tell whether the call arrived: the request would end `unknown`. On a fresh
    /// connection everything up to the established connection is provably before the call.
    AtMostOnce,
}

/// Events of one stream, in the order in which the engine sent them.
pub trait EventStream: Send + Sync + 'static {
    /// The next event, or `None` after the last one or after an error.
    fn next(&mut self) -> impl Future<Output = Option<Result<EngineEvent, UpstreamError>>> + Send;

    /// The next event if it has already been received, without waiting.
    fn next_ready(&mut self) -> Option<Result<EngineEvent, UpstreamError>>;
}

/// Model engines, each named by its address.
pub trait Engines: Send + Sync + 'static {
    /// What a started stream is read from.
    type Events: EventStream;

    /// Starts a stream, or attaches to it if the engine knows the attempt already.
    fn start(
        &self,
        address: SocketAddr,
        start: &StartStream<'_>,
    ) -> impl Future<Output = Result<Self::Events, UpstreamError>> + Send;

    /// Attaches to a stream from a position.
    fn attach(
        &self,
        address: SocketAddr,
        attempt: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Events, UpstreamError>> + Send;

    /// Cancels a stream; the engine refuses the attempt for good if it has not arrived yet.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: &str,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Pauses a stream and exports its KV cache.
    fn export(
        &self,
        address: SocketAddr,
        attempt: &str,
    ) -> impl Future<Output = Result<Export, UpstreamError>> + Send;

    /// Fetches an exported KV cache from another engine; gives the handle to start with.
    fn import(
        &self,
        address: SocketAddr,
        import: &Import,
    ) -> impl Future<Output = Result<String, UpstreamError>> + Send;

    /// The engine's load report.
    fn load(&self, address: SocketAddr)
    -> impl Future<Output = Result<Load, UpstreamError>> + Send;

    /// Cache events from a sequence number on.
    fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, UpstreamError>> + Send;

    /// Gives a level-triggered order.
    fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        fencing: u64,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// What the engine has loaded.
    fn state(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineState, UpstreamError>> + Send;
}

/// Plain services, each named by its address.
pub trait PlainServices: Send + Sync + 'static {
    /// Makes a call and waits for its whole answer.
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
    ) -> impl Future<Output = Result<ServiceAnswer, UpstreamError>> + Send;

    /// Whether the service takes new calls.
    fn health(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<bool, UpstreamError>> + Send;
}
