//! What the request core needs from outside, so that tests can put fakes in its place.

use std::fmt::Debug;

use crate::keys::Incarnation;
use crate::node::messages::{Item, Reply, Request};
use crate::upstreams::{Engines, PlainServices};

/// A peer that cannot be asked, or whose answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreachable {
    /// The incarnation is known to be gone for good.
    #[error("the peer is gone")]
    Gone,
    /// Nothing is known about what became of the request.
    #[error("the peer does not answer")]
    Silent,
}

/// Items that a peer streams.
pub trait ItemStream: Send + Sync + 'static {
    /// The next item, an error if the stream broke, or `None` after its end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Item, Unreachable>>> + Send;
}

/// The other nodes, each named by its incarnation.
pub trait Peers: Send + Sync + 'static {
    /// What a stream is read from.
    type Items: ItemStream;

    /// The live nodes, this one included.
    fn live(&self) -> Vec<Incarnation>;

    /// Whether nothing has been heard of a node lately.
    fn is_silent(&self, node: Incarnation) -> bool;

    /// One request and its reply.
    fn call(
        &self,
        to: Incarnation,
        request: Request,
    ) -> impl Future<Output = Result<Reply, Unreachable>> + Send;

    /// One request, its reply, and what follows it.
    fn open(
        &self,
        to: Incarnation,
        request: Request,
    ) -> impl Future<Output = Result<(Reply, Self::Items), Unreachable>> + Send;
}

/// Everything outside the request core.
pub trait Links: Debug + Send + Sync + 'static {
    /// Model engines.
    type Engines: Engines + Debug;
    /// Plain services.
    type Services: PlainServices + Debug;
    /// The other nodes.
    type Peers: Peers + Debug;
}
