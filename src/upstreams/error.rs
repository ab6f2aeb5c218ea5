//! Errors of calls to upstreams, classified by whether the call may have started.

use std::fmt;
use std::net::SocketAddr;

use http::StatusCode;
use miette::Diagnostic;
use thiserror::Error;

/// Error of a call to an upstream.
///
/// At-most-once execution relies on [`UpstreamError::is_not_started`], which is true only if the
/// call provably did not start.
#[derive(Debug, Error, Diagnostic)]
pub enum UpstreamError {
    /// No connection was established, so no byte of the call was sent.
    #[error("cannot connect to {address}")]
    Unreachable {
        /// Address of the upstream.
        address: SocketAddr,
        /// The connect error.
        #[source]
        cause: hyper_util::client::legacy::Error,
    },
    /// The HTTP request cannot be built, so nothing was sent.
    #[error("cannot build an HTTP request for the call")]
    Malformed(#[from] http::Error),
    /// The upstream stated that it did not start the call and will not start it later.
    #[error("the upstream did not run the call: {0}")]
    NotRun(NotRunReason),
    /// The upstream responded with another status; it may have started the call.
    #[error("the upstream responded with status {status}")]
    Rejected {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The engine has no record of the attempt.
    #[error("the engine has no record of this attempt")]
    UnknownAttempt,
    /// The engine has accepted an order with a higher fencing token.
    #[error("the fencing token is lower than {newest}, the highest that the engine has accepted")]
    StaleFencing {
        /// Highest fencing token that the engine has accepted.
        newest: u64,
    },
    /// The call may have been sent, and its outcome is unknown.
    #[error("the outcome of the call is unknown")]
    Lost(#[source] LostCause),
}

/// Reason why the outcome of a call is unknown.
#[derive(Debug, Error)]
pub enum LostCause {
    /// The connection failed after the call may have been sent.
    #[error("the connection failed")]
    Connection(#[source] hyper_util::client::legacy::Error),
    /// The connection failed while the response was read.
    #[error("the connection failed while the response was read")]
    Body(#[source] hyper::Error),
    /// The response ended before its last event.
    #[error("the response ended before its last event")]
    Truncated,
    /// No data arrived before the timeout.
    #[error("no data arrived within {waited_ms} ms")]
    TimedOut {
        /// The timeout that elapsed.
        waited_ms: u64,
    },
    /// The response or one of its events exceeds the size limit.
    #[error("the response or one of its events exceeds {limit_bytes} bytes")]
    TooLarge {
        /// The size limit.
        limit_bytes: usize,
    },
    /// The response cannot be decoded.
    #[error("the response does not follow the protocol")]
    Protocol(#[from] serde_json::Error),
}

/// Reason why an upstream did not start a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The upstream is draining.
    Draining,
    /// The queue of the upstream is full.
    QueueFull,
    /// The upstream has not loaded the model.
    ModelNotLoaded,
    /// The upstream gave another reason or none.
    Other,
}

impl NotRunReason {
    /// Returns the reason for its name in the response, or `Other` for an unknown name.
    #[must_use]
    pub fn from_name(text: &str) -> Self {
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
    /// Whether the call provably did not start, so that even a non-idempotent call may be retried.
    #[must_use]
    pub fn is_not_started(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Malformed(_) | Self::NotRun(_)
        )
    }

    /// Whether the call may have started and its outcome is unknown.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Lost(_))
    }

    /// Whether the upstream responded and rejected the call.
    #[must_use]
    pub fn is_rejected(&self) -> bool {
        matches!(
            self,
            Self::NotRun(_)
                | Self::Rejected { .. }
                | Self::UnknownAttempt
                | Self::StaleFencing { .. }
        )
    }

    /// Whether the error indicates a failure of the host rather than of the call.
    #[must_use]
    pub fn is_host_failure(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Lost(_) => true,
            Self::Rejected { status } => status.is_server_error(),
            _ => false,
        }
    }
}
