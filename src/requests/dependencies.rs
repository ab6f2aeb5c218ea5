//! Interfaces of the request core to engines, services and peers, so that tests can replace them.

use std::fmt::Debug;

use crate::keys::Incarnation;
use crate::node::messages::{Item, Reply, Request};
use crate::upstreams::{Engines, PlainServices};

/// The error of a request to a peer without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreachable {
    /// The incarnation is known to be gone for good.
    #[error("the peer is gone")]
    Gone,
    /// The connection was refused or broken; the peer may have received the request.
    #[error("the peer refuses or breaks connections")]
    Refusing,
    /// The peer did not reply; it may have received the request.
    #[error("the peer does not answer")]
    Silent,
}

/// A stream of items from a peer.
pub trait ItemStream: Send + Sync + 'static {
    /// Returns the next item, an error if the stream broke, or `None` after its end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Item, Unreachable>>> + Send;
}

/// The other nodes, each identified by its incarnation.
pub trait Peers: Send + Sync + 'static {
    /// The item stream of a response.
    type Items: ItemStream;

    /// Returns the live nodes, including this one.
    fn live(&self) -> Vec<Incarnation>;

    /// Returns whether a node is suspected of failure, gone or not a known member.
    fn is_unresponsive(&self, node: Incarnation) -> bool;

    /// Sends a request and returns its reply.
    fn call(
        &self,
        to: Incarnation,
        request: Request,
    ) -> impl Future<Output = Result<Reply, Unreachable>> + Send;

    /// Sends a request and returns its reply and the stream of items after it.
    fn open(
        &self,
        to: Incarnation,
        request: Request,
    ) -> impl Future<Output = Result<(Reply, Self::Items), Unreachable>> + Send;
}

/// External dependencies of the request core.
pub trait Dependencies: Debug + Send + Sync + 'static {
    /// Client of the model engines.
    type Engines: Engines + Debug;
    /// Client of the plain services.
    type Services: PlainServices + Debug;
    /// Client of the other nodes.
    type Peers: Peers + Debug;
}
