//! Errors that a node returns to a caller in place of an upstream's answer.

use http::StatusCode;
use thiserror::Error;

use super::crashes::Blame;
use super::limits::quota::Shortfall;
use super::num;
use super::request_head::Malformed;
use super::scheduling::{Reason, Refused};

/// Reason why a request ends without an upstream's answer.
///
/// The status shows whether the request may have run: a request that was answered with 4xx or 503
/// has not run and never will; after 502 and 504 it may have run.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum Refusal {
    #[error("malformed: {0}")]
    Malformed(#[from] Malformed),
    #[error("the body is longer than {max_bytes} bytes")]
    BodyTooLong { max_bytes: usize },
    #[error("the body did not come in time")]
    BodyTimeout,
    #[error("the body broke off")]
    BodyBroken,
    #[error("the memory for callers' requests is full")]
    NoMemory,
    #[error("no configuration is known yet")]
    NoConfiguration,
    #[error("the configuration may have changed unseen")]
    StaleConfiguration,
    #[error("no route")]
    NoRoute,
    #[error("unknown key")]
    UnknownKey,
    #[error("the team is over its limit")]
    OverLimit(Shortfall),
    #[error("this node is stopping")]
    Stopping,
    #[error("no upstream takes the request")]
    NoUpstream { retry_after_ms: u64 },
    #[error("the pool's upstreams take {limited_per_s} requests a second, and no more now")]
    AtUpstreamLimit { limited_per_s: f64 },
    #[error("the pool's upstreams rest, the first of them for {left_ms} ms more")]
    UpstreamsResting { left_ms: u64 },
    #[error("a peer that reaches the pool refused the request")]
    RefusedByPeer { retry_after_ms: Option<u64> },
    #[error("it cannot be answered in time")]
    Saturated { retry_after_ms: u64 },
    #[error("the pool is short of room")]
    ShortOfRoom(Refused),
    #[error("it was not sent in time")]
    NotSentInTime,
    #[error("it has broken several upstreams")]
    Breaking,
    #[error("a part of its prompt has broken several upstreams")]
    BreakingPart,
    #[error("no upstream is left of the software version that began the stream")]
    StreamVersionGone { may_have_run: bool },
    #[error("it is not known which software version began the stream")]
    StreamUnknown { retry_after_ms: Option<u64> },
    #[error("an upstream gave no usable answer")]
    NoAnswer,
    #[error("an upstream did not answer in time")]
    AnswerTimeout,
}

/// Retry delay for conditions that clear within moments.
const TRANSIENT_RETRY_MS: u64 = 250;

/// Bounds of the retry delay for upstreams at their limit; the lower one also applies to upstreams
/// that back off.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 3_000;

/// Retry delay for a caller of a node that stops; the other nodes accept the request at once.
const STOPPING_RETRY_MS: u64 = 20;

impl From<Blame> for Refusal {
    fn from(blame: Blame) -> Self {
        match blame {
            Blame::Content => Self::Breaking,
            Blame::Part => Self::BreakingPart,
        }
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        match refused.reason {
            Reason::Stopping => Self::Stopping,
            Reason::OverShare | Reason::TooLate | Reason::QueueFull => Self::ShortOfRoom(refused),
        }
    }
}

impl Refusal {
    /// Returns the HTTP status for the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoMemory
            | Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::Stopping
            | Self::NoUpstream { .. }
            | Self::AtUpstreamLimit { .. }
            | Self::UpstreamsResting { .. }
            | Self::RefusedByPeer { .. }
            | Self::Saturated { .. }
            | Self::ShortOfRoom(_)
            | Self::StreamUnknown { .. }
            | Self::StreamVersionGone {
                may_have_run: false,
            }
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            // A request of its content or part has run, and another run would do harm.
            Self::Breaking | Self::BreakingPart => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NoAnswer | Self::StreamVersionGone { may_have_run: true } => {
                StatusCode::BAD_GATEWAY
            }
            Self::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the retry delay for the caller; `None` if a retry does not help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::OverLimit(shortfall) => Some(shortfall.retry_after_ms),
            Self::NoUpstream { retry_after_ms } | Self::Saturated { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            Self::ShortOfRoom(refused) => Some(refused.retry_after_ms),
            // The average time until the upstreams accept the next request of any node.
            Self::AtUpstreamLimit { limited_per_s } => {
                let wait_ms = num::round_to_u64(1_000.0 / limited_per_s.max(f64::MIN_POSITIVE));
                Some(wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS))
            }
            Self::RefusedByPeer { retry_after_ms } | Self::StreamUnknown { retry_after_ms } => {
                *retry_after_ms
            }
            Self::UpstreamsResting { left_ms } => Some(MIN_RETRY_MS.max(*left_ms)),
            Self::NoMemory
            | Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::NotSentInTime => Some(TRANSIENT_RETRY_MS),
            Self::Stopping => Some(STOPPING_RETRY_MS),
            _ => None,
        }
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::Breaking
                | Self::BreakingPart
                | Self::NoAnswer
                | Self::AnswerTimeout
                | Self::StreamVersionGone { may_have_run: true }
        )
    }

    /// Whether the reason holds at this node only, so that another one may serve the request.
    pub fn is_served_elsewhere(&self) -> bool {
        matches!(
            self,
            Self::NoMemory
                | Self::NoConfiguration
                | Self::StaleConfiguration
                | Self::NoRoute
                | Self::UnknownKey
                | Self::Stopping
                | Self::NoUpstream { .. }
        )
    }

    /// Returns the values behind a decision by the team's limit.
    pub fn shortfall(&self) -> Option<&Shortfall> {
        match self {
            Self::OverLimit(shortfall) => Some(shortfall),
            _ => None,
        }
    }

    /// Returns the reason as it appears in logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::BodyTooLong { .. } => "body_too_long",
            Self::BodyTimeout => "body_timeout",
            Self::BodyBroken => "body_broken",
            Self::NoMemory => "no_memory",
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverLimit(_) => "over_limit",
            Self::Stopping => "stopping",
            Self::NoUpstream { .. } => "no_upstream",
            Self::AtUpstreamLimit { .. } => "at_upstream_limit",
            Self::UpstreamsResting { .. } => "upstreams_resting",
            Self::RefusedByPeer { .. } => "refused_by_peer",
            Self::Saturated { .. } => "saturated",
            Self::ShortOfRoom(refused) => refused.reason.as_str(),
            Self::NotSentInTime => "not_sent_in_time",
            Self::Breaking => "breaking",
            Self::BreakingPart => "breaking_part",
            Self::StreamVersionGone { .. } => "stream_version_gone",
            Self::StreamUnknown { .. } => "stream_unknown",
            Self::NoAnswer => "no_answer",
            Self::AnswerTimeout => "answer_timeout",
        }
    }
}
