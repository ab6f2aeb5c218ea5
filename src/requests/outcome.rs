//! Request outcomes, as recorded and as reported to callers.

use bincode::{Decode, Encode};

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Outcome {
    /// A model has completed its answer.
    Completed {
        /// Number of tokens of the answer.
        tokens: u64,
        /// Whether the model finished or reached `max_tokens`.
        finish: Finish,
    },
    /// A plain service answered.
    Answered {
        /// HTTP status of the service's response.
        status: u16,
        /// Body of the service's response.
        body: Vec<u8>,
    },
    /// The request did not run, and never will under this id.
    NotRun(NotRun),
    /// The request may have run; it is never run again.
    Unknown(UnknownReason),
    /// The request ran and failed.
    Failed(Failure),
    /// The caller cancelled the request.
    Cancelled,
}

/// Why a model stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Finish {
    /// The answer is complete.
    Stop,
    /// The answer reached `max_tokens`.
    Length,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NotRun {
    /// The reason.
    pub reason: Reason,
    /// Delay after which the caller may retry, under a new id.
    pub retry_after_ms: u64,
}

/// The reason for which a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reason {
    /// The team's share is in use, or the queue cannot meet the deadline.
    Overloaded,
    /// No upstream that can run the request is reachable.
    NoUpstream,
    /// The deadline passed before the request was dispatched.
    Deadline,
    /// The id has expired.
    IdExpired,
    /// The witness, which has to consent to the dispatch, does not answer.
    WitnessUnreachable,
    /// The witness settled that the request never runs, as its home was unreachable.
    Settled,
    /// The log that orders the claims of idempotency keys is unreachable.
    LogUnavailable,
    /// No configuration is active yet.
    NotConfigured,
    /// The caller cancelled the request before it was dispatched.
    Cancelled,
    /// The retry budget is exhausted.
    RetryBudget,
}

/// The reason for which it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum UnknownReason {
    /// The upstream was lost while it ran the request.
    UpstreamLost,
    /// The home is gone and had consent to dispatch the request.
    HomeGone,
    /// Neither the home nor the witness answers.
    NoAnswer,
    /// The id is so old that its record has been removed.
    RecordExpired,
    /// This node refused the request, and another one may have taken it over meanwhile.
    MayRunElsewhere,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Failure {
    /// Each upstream that ran the request was lost.
    CrashesUpstreams,
    /// The upstream reported an error.
    Upstream,
    /// The deadline passed while the request ran.
    Deadline,
    /// Every attempt was lost and the retry budget is exhausted.
    RetryBudget,
    /// The request was answered, and the answer is past its retention.
    AnswerExpired,
}

impl Outcome {
    /// Returns the outcome's name in refusals and logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed { .. } | Self::Answered { .. } => "answered",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the outcome that stays after the answer has been dropped.
    ///
    /// An answer's outcome without its tokens would read as an empty answer.
    #[must_use]
    pub fn without_answer(self) -> Self {
        if self.is_answer() {
            Self::Failed(Failure::AnswerExpired)
        } else {
            self
        }
    }

    /// Creates the outcome of a request that was refused before any work.
    #[must_use]
    pub fn not_run(reason: Reason, retry_after_ms: u64) -> Self {
        Self::NotRun(NotRun {
            reason,
            retry_after_ms,
        })
    }

    /// Returns whether the request was answered.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::Completed { .. } | Self::Answered { .. })
    }
}
