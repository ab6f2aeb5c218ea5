//! Answers of our own: why a request gets no answer of an upstream.

use http::StatusCode;
use thiserror::Error;

use super::call::Malformed;
use super::num;
use super::quota::Shortfall;

/// Why a request ends without an upstream's answer.
///
/// The status says whether it may have run: 4xx and 503 are given only where it has not and never
/// will, 502 and 504 promise nothing.
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
    #[error("it cannot be answered in time")]
    Saturated { retry_after_ms: u64 },
    #[error("it was not sent in time")]
    NotSentInTime,
    #[error("it has broken several upstreams")]
    Breaking,
    #[error("an upstream gave no usable answer")]
    NoAnswer,
    #[error("an upstream did not answer in time")]
    AnswerTimeout,
}

/// When a caller is told to come back after what passes by itself in a moment.
const MOMENT_MS: u64 = 250;

/// Shortest and longest time after which a caller is told to come back to upstreams that take no more now.
const SHORTEST_WAIT_MS: u64 = 50;
const LONGEST_WAIT_MS: u64 = 3_000;

/// When a caller is told to come back that only has to take another node.
const ELSEWHERE_MS: u64 = 20;

impl Refusal {
    /// The status that the caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::Stopping
            | Self::NoUpstream { .. }
            | Self::AtUpstreamLimit { .. }
            | Self::UpstreamsResting { .. }
            | Self::Saturated { .. }
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            // It has run, and running it again would do harm.
            Self::Breaking => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
            Self::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller should come back, if that helps.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::OverLimit(shortfall) => Some(shortfall.retry_after_ms),
            Self::NoUpstream { retry_after_ms } | Self::Saturated { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            // When they take the next request of any node.
            Self::AtUpstreamLimit { limited_per_s } => {
                let wait_ms = num::whole(1_000.0 / limited_per_s.max(f64::MIN_POSITIVE));
                Some(wait_ms.clamp(SHORTEST_WAIT_MS, LONGEST_WAIT_MS))
            }
            Self::UpstreamsResting { left_ms } => Some(SHORTEST_WAIT_MS.max(*left_ms)),
            Self::NoConfiguration | Self::StaleConfiguration | Self::NotSentInTime => {
                Some(MOMENT_MS)
            }
            // Another node takes it at once.
            Self::Stopping => Some(ELSEWHERE_MS),
            _ => None,
        }
    }

    /// What the team's limit was judged by, if that decided.
    pub fn shortfall(&self) -> Option<&Shortfall> {
        match self {
            Self::OverLimit(shortfall) => Some(shortfall),
            _ => None,
        }
    }

    /// The reason as one word for logs and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::BodyTooLong { .. } => "body_too_long",
            Self::BodyTimeout => "body_timeout",
            Self::BodyBroken => "body_broken",
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverLimit(_) => "over_limit",
            Self::Stopping => "stopping",
            Self::NoUpstream { .. } => "no_upstream",
            Self::AtUpstreamLimit { .. } => "at_upstream_limit",
            Self::UpstreamsResting { .. } => "upstreams_resting",
            Self::Saturated { .. } => "saturated",
            Self::NotSentInTime => "not_sent_in_time",
            Self::Breaking => "breaking",
            Self::NoAnswer => "no_answer",
            Self::AnswerTimeout => "answer_timeout",
        }
    }
}
