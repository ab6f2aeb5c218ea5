//! How a request ended, as recorded and as told to callers.

use bincode::{Decode, Encode};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Outcome {
    /// A model's answer is whole.
    Completed {
        /// Tokens of the answer.
        tokens: u64,
        /// Whether the model stopped by itself or at `max_tokens`.
        finish: Finish,
    },
    /// A plain service answered.
    Answered {
        /// The HTTP status that it gave.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// It did not run, and never will under this id.
    NotRun(NotRun),
    /// It may have run; it is never run again.
    Unknown(Doubt),
    /// It ran and failed.
    Failed(Failure),
    /// The caller cancelled it.
    Cancelled,
}

/// Why a model stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Finish {
    /// The answer is complete.
    Stop,
    /// It reached `max_tokens`.
    Length,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NotRun {
    /// The reason.
    pub reason: Reason,
    /// When the caller may try again, under a new id.
    pub retry_after_ms: u64,
}

/// A reason for not running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reason {
    /// The team has its share in use, or the queue cannot meet the deadline.
    Overloaded,
    /// No upstream that could run it can be reached.
    NoUpstream,
    /// The deadline passed before it was dispatched.
    Deadline,
    /// The id is past its validity.
    IdExpired,
    /// The node that has to consent to the dispatch does not answer.
    WitnessUnreachable,
    /// The witness settled that it never runs, as its home could not be reached.
    Settled,
    /// The log that decides between equal keys cannot be reached.
    LogUnavailable,
    /// No configuration is in force yet.
    NotConfigured,
    /// The caller cancelled it before it was dispatched.
    Cancelled,
    /// The retry budget is used up.
    RetryBudget,
}

/// Why it cannot be told whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Doubt {
    /// The upstream was lost while it ran.
    UpstreamLost,
    /// The home is gone and had consent to dispatch.
    HomeGone,
    /// Neither the home nor the witness answers.
    NobodyAnswers,
    /// The id is so old that its record is gone.
    RecordExpired,
    /// It is refused here, and another node may have taken it over meanwhile.
    MayRunElsewhere,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Failure {
    /// Upstreams died whenever they ran it.
    KillsUpstreams,
    /// The upstream reported an error.
    Upstream,
    /// The deadline passed while it ran.
    Deadline,
    /// Every attempt was lost and the retry budget is used up.
    RetryBudget,
    /// It was answered, and the answer is no longer kept.
    AnswerExpired,
}

impl Outcome {
    /// The word for it in refusals and logs.
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

    /// The outcome once the answer itself is dropped.
    ///
    /// An answer's outcome without its tokens would read as an empty answer.
    #[must_use]
    pub fn shed(self) -> Self {
        if self.is_answer() {
            Self::Failed(Failure::AnswerExpired)
        } else {
            self
        }
    }

    /// A refusal before work.
    #[must_use]
    pub fn not_run(reason: Reason, retry_after_ms: u64) -> Self {
        Self::NotRun(NotRun {
            reason,
            retry_after_ms,
        })
    }

    /// Whether the request has its answer.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::Completed { .. } | Self::Answered { .. })
    }
}
