//! Clients of model engines and plain services.
//!
//! The request path is generic over the traits [`Engines`] and [`PlainServices`]. The HTTP clients
//! [`EngineClient`] and [`ServiceClient`] implement them as `docs/design/protocols.md` specifies.

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
pub use http::CallTimeouts;
pub use service::{ServiceCall, ServiceClient, ServiceResponse};
pub use wire::{
    CacheEvent, CacheEventKind, CacheEvents, EngineEvent, EngineOrder, EngineState, Export, Finish,
    Import, Load, Loaded, Role, StartStream,
};

/// Delivery guarantee of a call, which determines the connection that carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The call is idempotent and may use a pooled connection.
    Repeatable,
    /// The call is non-idempotent and uses a new connection.
    ///
    /// The upstream can close a pooled connection while the client writes the call to it. The client
    /// then cannot determine whether the call arrived, and the request would end `unknown`. On a new
    /// connection, a failure to connect proves that the call was not sent.
    AtMostOnce,
}

/// Events of one stream in the order in which the engine sent them.
pub trait EventStream: Send + Sync + 'static {
    /// Returns the next event, or `None` after the last event or an error.
    fn next(&mut self) -> impl Future<Output = Option<Result<EngineEvent, UpstreamError>>> + Send;

    /// Returns the next event if it is already received, without waiting.
    fn next_ready(&mut self) -> Option<Result<EngineEvent, UpstreamError>>;
}

/// Client interface of model engines, each identified by its address.
pub trait Engines: Send + Sync + 'static {
    /// Event stream of a started generation.
    type Events: EventStream;

    /// Starts a stream, or attaches to it if the engine already has the attempt.
    fn start(
        &self,
        address: SocketAddr,
        start: &StartStream<'_>,
    ) -> impl Future<Output = Result<Self::Events, UpstreamError>> + Send;

    /// Attaches to a running stream and returns its events from position `from`.
    fn attach(
        &self,
        address: SocketAddr,
        attempt: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Events, UpstreamError>> + Send;

    /// Cancels a stream; an attempt that arrives after its cancellation is rejected permanently.
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

    /// Imports an exported KV cache from another engine and returns the handle for the new stream.
    fn import(
        &self,
        address: SocketAddr,
        import: &Import,
    ) -> impl Future<Output = Result<String, UpstreamError>> + Send;

    /// Returns the engine's load report.
    fn load(&self, address: SocketAddr)
    -> impl Future<Output = Result<Load, UpstreamError>> + Send;

    /// Returns cache events from a sequence number on.
    fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, UpstreamError>> + Send;

    /// Sends a level-triggered order with the sender's fencing token.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        fencing_token: u64,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Returns the models that the engine has loaded or is loading, and its role.
    fn state(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineState, UpstreamError>> + Send;
}

/// Client interface of plain services, each identified by its address.
pub trait PlainServices: Send + Sync + 'static {
    /// Makes a call and waits for the complete response.
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
    ) -> impl Future<Output = Result<ServiceResponse, UpstreamError>> + Send;

    /// Returns whether the service accepts new calls.
    fn health(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<bool, UpstreamError>> + Send;
}
