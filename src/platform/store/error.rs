//! Reasons why a call to the store failed, and what each shows of the store.

use http::StatusCode;
use thiserror::Error;

use crate::gateway::log_position::LogPosition;
use crate::platform::http::CallError;

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    /// No response arrived.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The requested records have been deleted.
    #[error("records before offset {first} have been deleted")]
    Deleted {
        /// Offset of the first retained record.
        first: u64,
    },
    /// The end of the partition differs from the position that the append expected.
    #[error("the partition ends at {end}")]
    EndMismatch {
        /// Current end of the partition.
        end: LogPosition,
    },
    /// The response belongs to another era than the request, or to one that has ended since.
    ///
    /// The store was restored from a backup in between.
    #[error("the store responded in era {era}, which differs from the era of the call")]
    EraMismatch {
        /// Era of the response.
        era: u64,
    },
    /// The response or a record does not have the expected format.
    #[error("malformed store data: {problem}")]
    Malformed {
        /// Description of the problem.
        problem: &'static str,
    },
}

impl StoreError {
    /// Whether the call certainly had no effect and will not have one later.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::EndMismatch { .. }
                | Self::Deleted { .. }
                | Self::Call(CallError::Connect { .. })
        )
    }
}

/// Whether the outcome of a call shows that the store processes calls of this node.
pub(crate) fn shows_store_available<T>(called: &Result<T, StoreError>) -> bool {
    match called {
        Ok(_) => true,
        Err(error) => matches!(
            error,
            StoreError::Deleted { .. }
                | StoreError::EndMismatch { .. }
                | StoreError::EraMismatch { .. }
        ),
    }
}
