//! Streams between nodes: typed requests, replies and items over `h2` with `bincode`.
//!
//! [`Connections`] is the calling side with one pooled connection per peer, [`Server`] the
//! answering side. Both are generic over a [`Protocol`]; neither knows what the messages mean.
//! Every request proves that its sender holds the fleet key, and every reply proves the same of
//! the peer that answers. The bytes themselves travel in clear text.

mod codec;
mod connections;
mod credentials;
mod error;
mod items;
mod keepalive;
mod key;
mod link;
mod sending;
mod server;
mod settings;
mod traffic;

#[cfg(test)]
mod tests;

use bincode::{Decode, Encode};

pub use codec::{CodecError, MAX_MESSAGE_BYTES};
pub use connections::Connections;
pub use error::{NotSent, PeerError, Refusal};
pub use items::Items;
pub use key::{FleetKey, KeyError, TAG_BYTES, Tag};
pub use server::{Answer, Handler, Server, serve};
pub use settings::Settings;
pub use traffic::{KindTraffic, Traffic};

/// The messages that two nodes exchange.
pub trait Protocol: Send + Sync + 'static {
    /// What the caller sends.
    type Request: Encode + Decode<()> + Send + 'static;
    /// What the peer answers first.
    type Reply: Encode + Decode<()> + Send + 'static;
    /// What follows the reply in a stream.
    type Item: Encode + Decode<()> + Send + 'static;

    /// A short name for the kind of request, used in paths, metrics and logs.
    ///
    /// It must consist of lower-case letters, digits and `_`.
    fn kind(request: &Self::Request) -> &'static str;
}
