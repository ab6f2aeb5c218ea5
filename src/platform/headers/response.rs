//! Decodes the head of an upstream's response and answers what it proves.

use http::header::{CONTENT_ENCODING, RETRY_AFTER};
use http::{HeaderMap, HeaderName, StatusCode};

use super::{
    KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID, SERVER_BRITTLE, SERVER_LEAVING, SERVER_LIMIT,
    SERVER_SEAL, connection_options, rounded_number, text,
};
use crate::gateway::limits::backoff::StatedBackoff;
use crate::gateway::limits::refusal_allowance::StatedBrittleness;
use crate::gateway::limits::throttle::StatedLimit;
use crate::gateway::num;

/// Id of the answered request as a response states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EchoedId {
    Missing,
    Stated(String),
    /// Different ids, or one that is not text.
    Ambiguous,
}

/// Which request a response names, as seen by a request that was sent on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NamedRequest {
    Own,
    Unnamed,
    Other,
}

impl NamedRequest {
    /// Returns the value as it appears in logs.
    #[must_use]
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Unnamed => "none",
            Self::Other => "other",
        }
    }
}

/// Decoded head of an upstream's response.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each field records the presence of one header"
)]
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ResponseHead {
    /// Id of the answered request.
    pub request_id: EchoedId,
    /// Whether the response has the upstream's seal.
    pub is_sealed: bool,
    /// Whether the upstream states that it did not execute the request.
    pub is_not_executed: bool,
    /// Whether the upstream closes the connection after this response.
    pub is_closing: bool,
    /// Idle time after which the upstream closes the connection.
    pub idle_timeout_ms: Option<u64>,
    /// Whether the body has a content encoding, so that it is not the upstream's unmodified output.
    pub is_encoded: bool,
    /// Request rate limit that the response states.
    pub limit: StatedLimit,
    /// Brittleness that the response states.
    pub brittleness: StatedBrittleness,
    /// Backoff that the response states; it applies only to rejections that may request one.
    pub backoff: StatedBackoff,
    /// Whether the upstream is draining and about to shut down.
    pub is_leaving: bool,
}

/// Decodes the head of an upstream's response.
#[must_use]
pub(crate) fn read_response_head(headers: &HeaderMap) -> ResponseHead {
    let keep_alive = text(headers, &KEEP_ALIVE).unwrap_or_default();
    let timeout_s = keep_alive
        .split(',')
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(rounded_number);
    ResponseHead {
        request_id: read_echoed_id(headers),
        is_sealed: headers.contains_key(SERVER_SEAL),
        is_not_executed: headers.contains_key(NOT_EXECUTED),
        is_closing: connection_options(headers)
            .iter()
            .any(|option| option == "close"),
        idle_timeout_ms: timeout_s.map(|seconds| seconds.saturating_mul(1_000)),
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        limit: read_limit(headers),
        brittleness: read_brittleness(headers),
        backoff: read_backoff(headers),
        is_leaving: read_leaving(headers),
    }
}

/// Returns the id of the answered request; equal ones count as one.
fn read_echoed_id(headers: &HeaderMap) -> EchoedId {
    let mut ids = headers.get_all(REQUEST_ID).iter();
    let Some(first) = ids.next() else {
        return EchoedId::Missing;
    };
    match first.to_str() {
        Ok(id) if ids.all(|other| other == first) => EchoedId::Stated(id.to_owned()),
        _ => EchoedId::Ambiguous,
    }
}

/// Returns the stated rate limit; of several values the lowest applies.
fn read_limit(headers: &HeaderMap) -> StatedLimit {
    let parsed = numbers(headers, &SERVER_LIMIT);
    if let Some(value) = parsed.unreadable {
        log::warn!(event = "upstream_limit_unreadable", limit = value; "the rate limit header of an upstream contains an invalid number; the value is ignored");
    }
    match parsed.numbers.into_iter().reduce(f64::min) {
        Some(limit_per_s) => StatedLimit::PerS(limit_per_s),
        None if parsed.unreadable.is_some() => StatedLimit::Unreadable,
        None => StatedLimit::Unstated,
    }
}

/// Returns the stated brittleness; of several values the lowest applies.
///
/// An invalid value counts as zero: a server that falls over serves nobody, whereas one that is
/// spared only loses what it would have refused.
fn read_brittleness(headers: &HeaderMap) -> StatedBrittleness {
    let parsed = numbers(headers, &SERVER_BRITTLE);
    if let Some(value) = parsed.unreadable {
        log::warn!(event = "upstream_brittle_unreadable", brittle = value; "the brittleness header of an upstream contains an invalid number; the upstream counts as bearing no refusals");
        return StatedBrittleness::RefusalsPerS(0.0);
    }
    let lowest = parsed.numbers.into_iter().reduce(f64::min);
    lowest.map_or(StatedBrittleness::Unstated, StatedBrittleness::RefusalsPerS)
}

/// Returns the requested backoff; of several values the longest applies.
fn read_backoff(headers: &HeaderMap) -> StatedBackoff {
    let parsed = numbers(headers, &RETRY_AFTER);
    if let Some(value) = parsed.unreadable {
        log::warn!(event = "upstream_rest_unreadable", rest = value; "the retry-after header of an upstream is not a number of seconds; the value is ignored");
    }
    match parsed.numbers.into_iter().reduce(f64::max) {
        Some(backoff_s) => StatedBackoff::ForMs(num::round_to_u64((backoff_s * 1_000.0).ceil())),
        None if parsed.unreadable.is_some() => StatedBackoff::Unreadable,
        None => StatedBackoff::Unstated,
    }
}

/// Returns whether the response announces that its upstream is shutting down.
///
/// An unknown value counts as an announcement: a request to an upstream that has shut down is lost, whereas
/// skipping an available upstream only loses capacity.
fn read_leaving(headers: &HeaderMap) -> bool {
    let lines = headers.get_all(SERVER_LEAVING).iter();
    let words = lines.map(|value| value.to_str().unwrap_or("?").trim());
    words.fold(false, |is_leaving, value| match value {
        "0" => is_leaving,
        "1" => true,
        value => {
            log::warn!(event = "upstream_leaving_unreadable", leaving = value; "the leaving header of an upstream has an unknown value; the upstream counts as leaving");
            true
        }
    })
}

/// Parsed values of a header whose lines should contain numbers.
#[derive(Debug, Default)]
struct ParsedNumbers<'a> {
    /// Valid values: finite and not negative.
    numbers: Vec<f64>,
    /// The last value that is not a valid number.
    unreadable: Option<&'a str>,
}

fn numbers<'a>(headers: &'a HeaderMap, name: &HeaderName) -> ParsedNumbers<'a> {
    let lines = headers.get_all(name).iter();
    let words = lines.flat_map(|value| value.to_str().unwrap_or("?").split(','));
    words.fold(ParsedNumbers::default(), |mut parsed, value| {
        let number = value.trim().parse().ok();
        match number.filter(|number: &f64| number.is_finite() && !number.is_sign_negative()) {
            Some(number) => parsed.numbers.push(number),
            None => parsed.unreadable = Some(value),
        }
        parsed
    })
}

impl ResponseHead {
    /// Returns which request the response names, as seen by the request with this id.
    #[must_use]
    pub(crate) fn named_request(&self, request_id: &str) -> NamedRequest {
        match &self.request_id {
            EchoedId::Missing => NamedRequest::Unnamed,
            EchoedId::Stated(id) if id == request_id => NamedRequest::Own,
            EchoedId::Stated(_) | EchoedId::Ambiguous => NamedRequest::Other,
        }
    }

    /// Whether the response names this request id.
    #[must_use]
    pub(crate) fn is_response_to(&self, request_id: &str) -> bool {
        self.named_request(request_id) == NamedRequest::Own
    }

    /// Returns the requested backoff in milliseconds, if the status is 503.
    ///
    /// Only a rejection requests a backoff; a value of zero counts as none.
    #[must_use]
    pub(crate) fn requested_backoff_ms(&self, status: StatusCode) -> Option<u64> {
        match self.backoff {
            StatedBackoff::ForMs(backoff_ms) if status == StatusCode::SERVICE_UNAVAILABLE => {
                (backoff_ms > 0).then_some(backoff_ms)
            }
            _ => None,
        }
    }

    /// Returns the stated rate limit, or `None` if the response proves nothing about the limit.
    ///
    /// A rejection by a component in front of the upstream, or a late response to an earlier request on the
    /// connection, may lack the limit although the upstream states one.
    #[must_use]
    pub(crate) fn proven_limit(&self, request_id: &str) -> Option<StatedLimit> {
        let is_proven = self.is_sealed && self.is_response_to(request_id);
        (is_proven || self.limit != StatedLimit::Unstated).then_some(self.limit)
    }

    /// Returns the stated brittleness, or `None` if the response proves nothing about it.
    #[must_use]
    pub(crate) fn proven_brittleness(&self, request_id: &str) -> Option<StatedBrittleness> {
        let is_proven = self.is_sealed && self.is_response_to(request_id);
        let is_stated = self.brittleness != StatedBrittleness::Unstated;
        (is_proven || is_stated).then_some(self.brittleness)
    }
}
