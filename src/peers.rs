//! RPC between nodes: typed requests, replies and item streams over HTTP/2 (`h2`), encoded with
//! `bincode`.
//!
//! [`Connections`] is the client with one pooled connection per peer, [`Server`] the server. Both
//! are generic over a [`Protocol`] and independent of the meaning of its messages. Requests and
//! replies are authenticated with the fleet key, which proves that their senders hold it. The
//! payload is not encrypted.

mod codec;
mod connections;
mod credentials;
mod deadlines;
mod error;
mod goaway;
mod items;
mod keepalive;
mod key;
mod liveness;
mod sending;
mod server;
mod settings;
mod traffic;

#[cfg(test)]
pub(crate) mod tests;

use bincode::{Decode, Encode};

pub use codec::{CodecError, MAX_MESSAGE_BYTES};
pub use connections::Connections;
pub use error::{NotSent, PeerError, Refusal};
pub use items::Items;
pub use key::{FleetKey, KeyError, TAG_BYTES, Tag};
pub use server::{Handler, HandlerResponse, Server, serve};
pub use settings::Settings;
pub use traffic::{KindTraffic, Traffic};

/// The messages that two nodes exchange.
pub trait Protocol: Send + Sync + 'static {
    /// The message that the caller sends.
    type Request: Encode + Decode<()> + Send + 'static;
    /// The first message that the peer returns.
    type Reply: Encode + Decode<()> + Send + 'static;
    /// The messages that follow the reply in a stream.
    type Item: Encode + Decode<()> + Send + 'static;

    /// Returns the name of the request's kind, used in paths, metrics and logs.
    ///
    /// The name must consist of lower-case letters, digits and `_`.
    fn kind(request: &Self::Request) -> &'static str;

    /// Returns the time for which the caller waits for the last item; `None` if it has no bound.
    ///
    /// A silent connection is kept for as long as a caller waits for one of its streams.
    fn time_left_ms(_request: &Self::Request) -> Option<u64> {
        None
    }
}
