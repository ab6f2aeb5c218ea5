//! What can go wrong between two nodes, and what is known of the request then.

use std::io;
use std::sync::Arc;

use thiserror::Error;

use super::codec::CodecError;

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No byte of the request left this node.
    #[error("the request was not sent")]
    NotSent(#[source] NotSent),
    /// The peer refused the request before its handler saw it.
    #[error("the peer refused the request")]
    Refused(#[source] Refusal),
    /// The time for the call ran out after the request may have left.
    #[error("the call took longer than {timeout_ms} ms")]
    TimedOut {
        /// The time that the caller gave.
        timeout_ms: u64,
    },
    /// The peer went silent: it is paused, cut off or gone.
    #[error("the peer went silent")]
    Silent,
    /// The stream or its connection broke after the request may have left.
    #[error("the stream broke")]
    Broken(#[source] h2::Error),
    /// The stream ended where a reply or the rest of an item was due.
    #[error("the stream ended early")]
    EndedEarly,
    /// The peer sent something that isn't a message of the protocol.
    #[error("the peer's message can't be read")]
    Malformed(#[source] CodecError),
    /// Whoever answered didn't prove that it holds the fleet key.
    #[error("the answer doesn't come from a node of this fleet")]
    Unproved,
}

/// Why a request was not sent.
#[derive(Clone, Debug, Error)]
pub enum NotSent {
    /// The connection was not made.
    #[error("the peer can't be connected to: {0}")]
    Connect(io::ErrorKind),
    /// The connection was not made in time.
    #[error("connecting took longer than {timeout_ms} ms")]
    ConnectTimedOut {
        /// The time that there was.
        timeout_ms: u64,
    },
    /// The peer doesn't speak the protocol.
    #[error("the connection can't be set up")]
    Handshake(#[source] Arc<h2::Error>),
    /// The idle connection doesn't answer any more.
    #[error("the idle connection to the peer is dead")]
    Dead,
    /// The connection closed while the request waited for it.
    #[error("the connection is closing")]
    Closing,
    /// As many streams to this peer are open as may be.
    #[error("too many streams to the peer are open")]
    TooManyStreams,
    /// The request can't be encoded or is too large.
    #[error("the request can't be encoded")]
    Encode(#[source] Arc<CodecError>),
}

/// Why a peer refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The fleet keys, the clocks or the addresses differ.
    #[error("the peer doesn't accept this node's credentials; compare fleet keys and clocks")]
    Credentials,
    /// The peer has as many streams open as it takes.
    #[error("the peer has too many streams open")]
    Overloaded,
    /// The peer can't read the request; it may run another version.
    #[error("the peer can't read the request")]
    Unreadable,
    /// The peer's HTTP/2 layer turned the stream away.
    #[error("the peer turned the stream away")]
    StreamRefused,
}

impl PeerError {
    /// Whether provably no byte of the request left this node.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Whether the peer's handler provably never saw the request.
    #[must_use]
    pub fn is_not_handled(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }

    /// Whether the time that the caller gave ran out.
    #[must_use]
    pub fn is_timed_out(&self) -> bool {
        matches!(self, Self::TimedOut { .. })
    }

    /// Whether the peer doesn't accept this node's credentials, which no retry mends.
    #[must_use]
    pub fn is_refused_credentials(&self) -> bool {
        matches!(self, Self::Refused(Refusal::Credentials))
    }
}

impl From<h2::Error> for PeerError {
    /// Sorts out the one error by which HTTP/2 promises that a stream was not processed.
    ///
    /// `GOAWAY` is not taken as such a promise: the library reports it also for streams that the
    /// peer had accepted before its connection closed.
    fn from(error: h2::Error) -> Self {
        let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
        if refused && error.is_remote() && error.is_reset() {
            Self::Refused(Refusal::StreamRefused)
        } else {
            Self::Broken(error)
        }
    }
}
