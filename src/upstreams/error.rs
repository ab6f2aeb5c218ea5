//! What a failed call says about whether the upstream started it.

use std::fmt;
use std::net::SocketAddr;

use http::StatusCode;
use miette::Diagnostic;
use thiserror::Error;

/// A call to an upstream that gave no result.
///
/// [`UpstreamError::is_not_started`] decides at-most-once: it holds only where the call provably
/// did not start.
#[derive(Debug, Error, Diagnostic)]
pub enum UpstreamError {
    /// No connection came about, so not a byte of the call was sent.
    #[error("{address} cannot be reached")]
    Unreachable {
        /// Where the upstream should listen.
        address: SocketAddr,
        /// Why no connection came about.
        #[source]
        cause: hyper_util::client::legacy::Error,
    },
    /// The call could not be put into an HTTP request, so nothing was sent.
    #[error("the call is not a valid HTTP request")]
    Malformed(#[from] http::Error),
    /// The upstream said that it did not start the call and will not.
    #[error("the upstream did not run the call: {0}")]
    NotRun(NotRunReason),
    /// The upstream answered with another status; it may have started the call.
    #[error("the upstream answered {status}")]
    Rejected {
        /// Its status.
        status: StatusCode,
    },
    /// The engine does not know the attempt.
    #[error("the engine does not know this attempt")]
    UnknownAttempt,
    /// The engine has taken an order with a newer fencing number.
    #[error("the fencing number is older than {newest}")]
    StaleFencing {
        /// The newest fencing number that it has taken.
        newest: u64,
    },
    /// The call was sent and its outcome is not known.
    #[error("the outcome of the call was lost")]
    Lost(#[source] LostCause),
}

/// How the outcome of a call was lost.
#[derive(Debug, Error)]
pub enum LostCause {
    /// The connection failed after the call may have been sent.
    #[error("the connection failed")]
    Connection(#[source] hyper_util::client::legacy::Error),
    /// The connection failed while the answer was read.
    #[error("the answer broke off")]
    Body(#[source] hyper::Error),
    /// The answer ended before its last event.
    #[error("the answer ended early")]
    Truncated,
    /// Nothing came for as long as the caller was willing to wait.
    #[error("nothing came for {waited_ms} ms")]
    Silent {
        /// How long it was waited for.
        waited_ms: u64,
    },
    /// The answer was larger than allowed.
    #[error("the answer exceeds {limit_bytes} bytes")]
    TooLarge {
        /// The largest answer taken.
        limit_bytes: usize,
    },
    /// The answer does not follow the protocol.
    #[error("the answer does not follow the protocol")]
    Protocol(#[from] serde_json::Error),
}

/// Why an upstream did not start a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// It is leaving.
    Draining,
    /// It has no room to queue the call.
    QueueFull,
    /// It does not have the model.
    ModelNotLoaded,
    /// It gave another reason or none.
    Other,
}

impl NotRunReason {
    /// The reason that the upstream names in its answer.
    #[must_use]
    pub fn of(text: &str) -> Self {
        match text {
            "draining" => Self::Draining,
            "queue_full" => Self::QueueFull,
            "model_not_loaded" => Self::ModelNotLoaded,
            _ => Self::Other,
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "it is leaving",
            Self::QueueFull => "its queue is full",
            Self::ModelNotLoaded => "it has not loaded the model",
            Self::Other => "it gave no known reason",
        })
    }
}

impl UpstreamError {
    /// Whether the call provably did not start, so that even a non-idempotent one may go elsewhere.
    #[must_use]
    pub fn is_not_started(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Malformed(_) | Self::NotRun(_)
        )
    }

    /// Whether the call may have started and its outcome is not known.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Lost(_))
    }

    /// Whether the upstream is alive and turned the call down.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(
            self,
            Self::NotRun(_)
                | Self::Rejected { .. }
                | Self::UnknownAttempt
                | Self::StaleFencing { .. }
        )
    }

    /// Whether this speaks against the host itself, rather than against the call.
    #[must_use]
    pub fn is_host_failure(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Lost(_) => true,
            Self::Rejected { status } => status.is_server_error(),
            _ => false,
        }
    }
}
