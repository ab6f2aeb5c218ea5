//! JSON responses for refusals and outcomes, each with a typed `outcome`.

use gotham::helpers::http::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::requests::outcome::{Failure, Finish, Reason, UnknownReason};
use crate::requests::{Outcome, RequestId};

/// Suggested delay before a caller asks again for the outcome of a request.
const RETRY_DELAY_MS: u64 = 1_000;

/// A request that was refused before it was accepted as a call of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Refusal {
    #[error("the bearer token names no team or operator of the configuration")]
    NoToken,
    #[error("there is no such request")]
    NoSuchRequest,
    #[error("the id is in use for another call")]
    OtherCall,
    #[error("the body is larger than this node takes")]
    BodyTooLarge,
    #[error("the body ended before it was whole")]
    BodyTruncated,
    #[error("the body did not arrive in time")]
    BodyTimeout,
    #[error("the memory for callers' requests is full")]
    NoMemory,
    #[error("the body is not valid JSON of the expected form, in UTF-8")]
    BodyMalformed,
    #[error("a header has a value that is not understood")]
    InvalidHeader,
    #[error("the configuration has no such model, service or latency class")]
    NoSuchTarget,
    #[error("the prompt is empty or max_tokens is out of range")]
    OutOfRange,
    #[error("no configuration is in force")]
    NotConfigured,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a str>,
    reason: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::NoToken => StatusCode::UNAUTHORIZED,
            Self::NoSuchRequest | Self::NoSuchTarget => StatusCode::NOT_FOUND,
            Self::OtherCall => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTruncated | Self::BodyMalformed | Self::InvalidHeader | Self::OutOfRange => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotConfigured | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::NoToken => "no_token",
            Self::NoSuchRequest => "no_such_request",
            Self::OtherCall => "id_in_use",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTruncated => "body_cut",
            Self::BodyTimeout => "body_timeout",
            Self::NoMemory => "no_memory",
            Self::BodyMalformed => "body_malformed",
            Self::InvalidHeader => "header",
            Self::NoSuchTarget => "no_such_target",
            Self::OutOfRange => "out_of_range",
            Self::NotConfigured => "not_configured",
        }
    }

    /// Returns the outcome in the response to a request with or without an id or key.
    ///
    /// A request with an id or key may have reached another node before, which has another document
    /// or other limits and runs it. `not_run` would make its caller send it again under a new id,
    /// and it would run twice. Only a call that no node of the fleet accepts has certainly not run.
    /// For an id that is unknown or in use the response has no outcome: a delayed copy may still
    /// reach its home.
    fn outcome(self, is_named: bool) -> Option<&'static str> {
        match self {
            Self::NoSuchRequest | Self::OtherCall => None,
            Self::NoToken
            | Self::BodyTooLarge
            | Self::BodyTruncated
            | Self::BodyTimeout
            | Self::NoMemory
            | Self::NoSuchTarget
            | Self::NotConfigured
                if is_named =>
            {
                Some("unknown")
            }
            _ => Some("not_run"),
        }
    }

    /// Returns the response to a request that has an id or key.
    pub fn response_to_named(self) -> Response<Body> {
        self.response_with(self.outcome(true))
    }

    /// Returns the response to a request without an id or key.
    ///
    /// Only this node can have received such a request.
    pub fn response(self) -> Response<Body> {
        self.response_with(self.outcome(false))
    }

    fn response_with(self, outcome: Option<&'static str>) -> Response<Body> {
        let body = RefusalBody {
            outcome,
            reason: self.reason(),
            message: self.to_string(),
            retry_after_ms: self.retry_after_ms(),
        };
        json(self.status(), &body)
    }

    /// Returns the retry delay for the caller; `None` if a retry does not help.
    fn retry_after_ms(self) -> Option<u64> {
        matches!(self, Self::NotConfigured | Self::NoMemory).then_some(RETRY_DELAY_MS)
    }
}

/// Returns a JSON response.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a body from complete bytes.
pub(super) fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Body of the response for an outcome other than an answer.
#[derive(Debug, Serialize)]
pub(super) struct OutcomeBody {
    id: String,
    outcome: &'static str,
    reason: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl OutcomeBody {
    pub fn new(id: &RequestId, outcome: &Outcome) -> Self {
        let retry_after_ms = match outcome {
            Outcome::NotRun(not_run) => Some(not_run.retry_after_ms),
            Outcome::Unknown(_) => Some(RETRY_DELAY_MS),
            _ => None,
        };
        Self {
            id: id.to_string(),
            outcome: outcome.name(),
            reason: reason(outcome),
            retry_after_ms,
        }
    }
}

/// Returns the response for an outcome other than an answer.
pub(super) fn outcome(id: &RequestId, outcome: &Outcome) -> Response<Body> {
    let body = OutcomeBody::new(id, outcome);
    let mut response = json(status(outcome), &body);
    if let Some(retry_after_ms) = body.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Completed { .. } | Outcome::Answered { .. } => StatusCode::OK,
        Outcome::NotRun(not_run) if not_run.reason == Reason::Overloaded => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Failed(_) => StatusCode::BAD_GATEWAY,
        Outcome::Cancelled => StatusCode::CONFLICT,
    }
}

fn reason(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Completed { .. } | Outcome::Answered { .. } => "answered",
        Outcome::NotRun(not_run) => not_run_reason(not_run.reason),
        Outcome::Unknown(UnknownReason::UpstreamLost) => "upstream_lost",
        Outcome::Unknown(UnknownReason::HomeGone) => "home_gone",
        Outcome::Unknown(UnknownReason::NoAnswer) => "nobody_answers",
        Outcome::Unknown(UnknownReason::RecordExpired) => "record_expired",
        Outcome::Unknown(UnknownReason::MayRunElsewhere) => "may_run_elsewhere",
        Outcome::Failed(Failure::CrashesUpstreams) => "kills_upstreams",
        Outcome::Failed(Failure::Upstream) => "upstream",
        Outcome::Failed(Failure::Deadline) => "deadline",
        Outcome::Failed(Failure::RetryBudget) => "retry_budget",
        Outcome::Failed(Failure::AnswerExpired) => "answer_expired",
        Outcome::Cancelled => "cancelled",
    }
}

fn not_run_reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Overloaded => "overloaded",
        Reason::NoUpstream => "no_upstream",
        Reason::Deadline => "deadline",
        Reason::IdExpired => "id_expired",
        Reason::WitnessUnreachable => "witness_unreachable",
        Reason::Settled => "settled",
        Reason::LogUnavailable => "log_unavailable",
        Reason::NotConfigured => "not_configured",
        Reason::Cancelled => "cancelled",
        Reason::RetryBudget => "retry_budget",
    }
}

/// Returns the wire name of a model's reason to stop.
pub(super) fn finish(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
    }
}
