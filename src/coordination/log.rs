//! The platform's log: named streams of records, each with an offset.
//!
//! The log does not deduplicate: a repeated append creates a second record. The effect of an append
//! whose response was lost can only be determined by reading the stream (see `writer`).

use serde::{Deserialize, Serialize};

use crate::coordination::http::{CallError, LostCause};
use crate::time::TimeMs;

mod http;

pub use http::HttpLog;

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRecord {
    /// The writer's name: an incarnation of a node and the role in which it appends.
    pub writer: String,
    /// The writer's sequence number of the record in this stream.
    pub sequence: u64,
    /// The content.
    pub payload: String,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The position in the stream, from 1.
    pub offset: u64,
    /// The time of the append, by the log's clock.
    pub at_ms: TimeMs,
    /// The writer's name.
    pub writer: String,
    /// The writer's sequence number.
    pub sequence: u64,
    /// The content.
    pub payload: String,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that the log retains.
    pub first: u64,
    /// The offset to continue from.
    pub next: u64,
    /// The records, sorted by offset.
    pub records: Vec<Record>,
}

/// The reason why an append failed.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// No record was created.
    #[error("the log did not append the record")]
    NotAppended {
        /// The cause.
        #[source]
        source: CallError,
        /// The delay before a retry in milliseconds, if the log specified one.
        retry_after_ms: Option<u64>,
    },
    /// A record may have been created, or may still appear.
    #[error("the log may have appended the record")]
    Unknown {
        /// The cause.
        #[source]
        source: CallError,
    },
}

impl AppendError {
    /// Whether a record may have been created.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

impl From<CallError> for AppendError {
    fn from(source: CallError) -> Self {
        let retry_after_ms = source.retry_after_ms();
        if source.may_have_taken_effect() {
            return Self::Unknown { source };
        }
        Self::NotAppended {
            source,
            retry_after_ms,
        }
    }
}

/// The reason why a stream could not be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ReadError(#[from] pub CallError);

impl ReadError {
    /// Whether the page exceeded the size limit; a smaller page may fit.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        let Self(error) = self;
        matches!(
            error,
            CallError::ResponseLost {
                source: LostCause::TooLong { .. },
                ..
            }
        )
    }
}

/// A client of the platform's log.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    fn append(
        &self,
        stream: &str,
        record: &NewRecord,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads up to `limit` records from offset `from`.
    ///
    /// If there are none, the log delays the response by up to `wait_ms`.
    fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}
