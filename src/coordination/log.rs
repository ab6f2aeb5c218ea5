//! The platform's log: named streams of records, each with an offset.
//!
//! The log does not deduplicate: a repeated append is a second record. What an append that lost
//! its answer did can only be found out by reading (see `writer`).

use serde::{Deserialize, Serialize};

use crate::coordination::http::{CallError, LostCause};
use crate::time::TimeMs;

mod http;

pub use http::HttpLog;

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRecord {
    /// Who appends: one incarnation of a node, and the role that it writes in.
    pub writer: String,
    /// The writer's own count of its records on this stream.
    pub sequence: u64,
    /// What it says.
    pub payload: String,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the stream, from 1.
    pub offset: u64,
    /// When the log took it, by the log's clock.
    pub at_ms: TimeMs,
    /// Who appended it.
    pub writer: String,
    /// The writer's own count.
    pub sequence: u64,
    /// What it says.
    pub payload: String,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that the log still keeps.
    pub first: u64,
    /// The offset to go on from.
    pub next: u64,
    /// The records, by offset.
    pub records: Vec<Record>,
}

/// Why an append failed.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// No record was made.
    #[error("the log took no record")]
    NotTaken {
        /// What went wrong.
        #[source]
        source: CallError,
        /// When to try again, if the log said so.
        retry_after_ms: Option<u64>,
    },
    /// A record may have been made, or may still appear.
    #[error("it is not known whether the log took the record")]
    Unknown {
        /// What went wrong.
        #[source]
        source: CallError,
    },
}

impl AppendError {
    /// Whether a record may have been made.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

impl From<CallError> for AppendError {
    fn from(source: CallError) -> Self {
        let retry_after_ms = source.retry_after_ms();
        if source.is_unknown() {
            return Self::Unknown { source };
        }
        Self::NotTaken {
            source,
            retry_after_ms,
        }
    }
}

/// Why a stream could not be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ReadError(#[from] pub CallError);

impl ReadError {
    /// Whether the page was longer than this node reads; a smaller one may not be.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        let Self(error) = self;
        matches!(
            error,
            CallError::Lost {
                source: LostCause::TooLong { .. },
                ..
            }
        )
    }
}

/// The platform's log.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and tells its offset.
    fn append(
        &self,
        stream: &str,
        record: &NewRecord,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads up to `limit` records from offset `from`.
    ///
    /// If there are none, the log holds the answer back for up to `wait_ms`.
    fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}
