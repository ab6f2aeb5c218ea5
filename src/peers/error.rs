//! Errors of calls between nodes and what they imply for the request.

use std::io;
use std::sync::Arc;

use thiserror::Error;

use super::codec::CodecError;

/// The reason why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No byte of the request left this node.
    #[error("the request was not sent")]
    NotSent(#[source] NotSent),
    /// The peer refused the request before its handler saw it.
    #[error("the peer refused the request")]
    Refused(#[source] Refusal),
    /// The call timed out after the request may have been sent.
    #[error("the call took longer than {timeout_ms} ms")]
    TimedOut {
        /// The timeout of the call.
        timeout_ms: u64,
    },
    /// The peer stopped responding: it is paused, partitioned or gone.
    #[error("the peer stopped responding")]
    Silent,
    /// The stream or its connection failed after the request may have been sent.
    #[error("the stream or its connection failed")]
    Broken(#[source] h2::Error),
    /// The stream ended before the reply or within an item.
    #[error("the stream ended before the reply or within an item")]
    EndedEarly,
    /// The peer sent bytes that are not a message of the protocol.
    #[error("decoding the peer's message failed")]
    Malformed(#[source] CodecError),
    /// The response lacks a valid proof that its sender holds the fleet key.
    #[error("the response lacks a valid proof of the fleet key")]
    Unauthenticated,
}

/// The reason why a request was not sent.
#[derive(Clone, Debug, Error)]
pub enum NotSent {
    /// Connecting failed.
    #[error("connecting to the peer failed: {0}")]
    Connect(io::ErrorKind),
    /// Connecting timed out.
    #[error("connecting took longer than {timeout_ms} ms")]
    ConnectTimedOut {
        /// The timeout for connecting.
        timeout_ms: u64,
    },
    /// The HTTP/2 handshake failed.
    #[error("the HTTP/2 handshake with the peer failed")]
    Handshake(#[source] Arc<h2::Error>),
    /// The connection did not answer a ping.
    #[error("the connection to the peer did not answer a ping")]
    Unresponsive,
    /// The connection began to close before the request was sent.
    #[error("the connection is closing")]
    Closing,
    /// The limit of open streams to this peer is reached.
    #[error("the limit of open streams to the peer is reached")]
    TooManyStreams,
    /// Encoding the request failed, or the request is too large.
    #[error("encoding the request failed")]
    Encode(#[source] Arc<CodecError>),
}

/// The reason why a peer refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The credentials are invalid: the fleet keys, the clocks or the addresses differ.
    #[error(
        "the peer rejected this node's credentials; compare fleet keys, clocks and advertised addresses"
    )]
    Credentials,
    /// The peer's limit of open streams is reached.
    #[error("the peer's limit of open streams is reached")]
    Overloaded,
    /// The peer rejected the request as unreadable; it may run another version.
    #[error("the peer rejected the request as unreadable; compare the versions")]
    Unreadable,
    /// The peer's HTTP/2 layer refused the stream.
    #[error("the peer's HTTP/2 layer refused the stream")]
    StreamRefused,
    /// The peer ended the connection and said that it had not read the request.
    #[error("the peer ended the connection before it read the request")]
    Unread,
}

impl PeerError {
    /// Returns whether it is certain that no byte of the request was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Returns whether it is certain that the peer's handler did not receive the request.
    #[must_use]
    pub fn is_not_handled(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }

    /// Returns whether the call timed out after the request may have been sent.
    #[must_use]
    pub fn is_timed_out(&self) -> bool {
        matches!(self, Self::TimedOut { .. })
    }

    /// Returns whether the peer ended the connection before it read the request, which another
    /// connection may carry.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        matches!(self, Self::Refused(Refusal::Unread))
    }

    /// Returns whether nothing was heard from the peer, rather than a refusal or the end of a connection.
    #[must_use]
    pub fn is_silence(&self) -> bool {
        match self {
            Self::TimedOut { .. } | Self::Silent => true,
            Self::NotSent(NotSent::Connect(kind)) => *kind != io::ErrorKind::ConnectionRefused,
            Self::NotSent(not_sent) => matches!(
                not_sent,
                NotSent::ConnectTimedOut { .. } | NotSent::Unresponsive | NotSent::TooManyStreams
            ),
            _ => false,
        }
    }

    /// Returns whether the peer rejected this node's credentials, so that retries are futile.
    #[must_use]
    pub fn is_refused_credentials(&self) -> bool {
        matches!(self, Self::Refused(Refusal::Credentials))
    }
}

impl From<h2::Error> for PeerError {
    /// Maps a remote `REFUSED_STREAM`, which guarantees an unprocessed stream, to a refusal.
    ///
    /// `GOAWAY` gives no such guarantee here: `h2` also reports it for streams that the peer had
    /// accepted before the connection closed. The connection's [`Liveness`] tells them apart.
    ///
    /// [`Liveness`]: super::liveness::Liveness
    fn from(error: h2::Error) -> Self {
        let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
        if refused && error.is_remote() && error.is_reset() {
            Self::Refused(Refusal::StreamRefused)
        } else {
            Self::Broken(error)
        }
    }
}
