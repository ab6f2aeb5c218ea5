//! Decodes and sets the headers of the platform's protocol.

use std::net::SocketAddr;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::gateway::limits::backoff::StatedBackoff;
use crate::gateway::limits::refusal_allowance::StatedBrittleness;
use crate::gateway::limits::throttle::StatedLimit;
use crate::gateway::num;
use crate::gateway::request_head::{Malformed, Prompt, PromptPart, RequestHead};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the request that brought the first event of a stream that the caller resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Seal with which a server proves that it produced the response.
const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const TEAM: HeaderName = HeaderName::from_static("tenant");
const EXPECTED_UPSTREAM: HeaderName = HeaderName::from_static("expect-instance");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const MODEL: HeaderName = HeaderName::from_static("model");
/// Number of prompt tokens and maximum number of output tokens.
const TOKENS: HeaderName = HeaderName::from_static("token-count");
const URGENCY: HeaderName = HeaderName::from_static("request-urgency");
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
/// Server from whose KV cache the receiving server first copies its missing prompt blocks.
const COPY_FROM: HeaderName = HeaderName::from_static("kv-fetch");
/// Requests per second that an overloaded server accepts from all nodes together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Refusals in a second for want of room with which a brittle server falls over.
const SERVER_BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Present in all responses of a server that is shutting down.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that only this program sets on requests to servers; values from callers are dropped.
///
/// A caller could otherwise act as another team or control a server's KV cache.
const SYSTEM_HEADERS: [HeaderName; 11] = [
    DEADLINE,
    TEAM,
    EXPECTED_UPSTREAM,
    URGENCY,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    COPY_FROM,
    HeaderName::from_static("expect-version"),
    HeaderName::from_static("proxy-authorization"),
];

/// Most tokens that a prompt, an answer or a part may state. Sums over the parts of a prompt and over all
/// requests at an upstream stay representable.
const MAX_TOKENS: u64 = 1 << 32;

/// Decodes the headers of a caller's request.
///
/// # Errors
///
/// If the request id or the host is missing, or a header has an invalid value.
pub(crate) fn read_request_head(headers: &HeaderMap) -> Result<RequestHead, Malformed> {
    let id = text(headers, &REQUEST_ID).ok_or(Malformed::NoId)?;
    let host = text(headers, &HOST).ok_or(Malformed::NoHost)?;
    let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    Ok(RequestHead {
        id: id.to_owned(),
        host: host.to_ascii_lowercase(),
        time_left_ms: number(headers, &DEADLINE)?,
        key: read_key(headers),
        prompt: read_prompt(headers)?,
        resume_after: number(headers, &LAST_EVENT_ID)?,
        resumes: text(headers, &RESUMES).map(str::to_owned),
    })
}

/// Returns the API key of the caller if the request has a bearer token.
fn read_key(headers: &HeaderMap) -> Option<String> {
    let value = text(headers, &AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn read_prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Malformed> {
    let Some(tokens) = text(headers, &TOKENS) else {
        return Ok(None);
    };
    let (input, output) = tokens.split_once(',').ok_or(Malformed::Tokens)?;
    let input_tokens = token_count(input).ok_or(Malformed::Tokens)?;
    let max_output_tokens = token_count(output).ok_or(Malformed::Tokens)?;
    let parts = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter(|part| !part.is_empty());
    Ok(Some(Prompt {
        model: text(headers, &MODEL).unwrap_or_default().to_owned(),
        input_tokens,
        max_output_tokens,
        expected_output_tokens: number(headers, &LENGTH_HINT)?.map(|tokens| tokens.min(MAX_TOKENS)),
        parts: parts.map(read_part).collect::<Result<_, _>>()?,
    }))
}

fn read_part(part: &str) -> Result<PromptPart, Malformed> {
    let (id, tokens) = part.trim().split_once(':').ok_or(Malformed::Parts)?;
    Ok(PromptPart {
        id: u64::from_str_radix(id, 16).map_err(|_not_hexadecimal| Malformed::Parts)?,
        tokens: token_count(tokens).ok_or(Malformed::Parts)?,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a non-negative number and rounds a fraction to the nearest integer.
fn rounded_number(text: &str) -> Option<u64> {
    let text = text.trim();
    let parsed = text.parse().ok();
    parsed.or_else(|| {
        text.parse()
            .ok()
            .filter(|number| *number >= 0.0)
            .map(num::round_to_u64)
    })
}

/// Parses a number of tokens that is not excessive.
fn token_count(text: &str) -> Option<u64> {
    rounded_number(text).filter(|tokens| *tokens <= MAX_TOKENS)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Malformed> {
    match text(headers, name) {
        None => Ok(None),
        Some(value) => match rounded_number(value) {
            Some(number) => Ok(Some(number)),
            None => Err(Malformed::Number(name.clone())),
        },
    }
}

/// Values of the headers that are set on a request to one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamHeaders<'a> {
    pub upstream_id: &'a str,
    pub time_left_ms: u64,
    pub team: Option<&'a str>,
    /// From 0, the most urgent, to 9, the least urgent.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// Upstream from which the receiving upstream copies cached prompt blocks.
    pub copy_from: Option<SocketAddr>,
}

/// Returns the headers that may be forwarded; `hides_key` drops the authorization header.
#[must_use]
pub(crate) fn forwardable_headers(headers: &HeaderMap, hides_key: bool) -> HeaderMap {
    let connection_options = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP_HEADERS.contains(name)
            || SYSTEM_HEADERS.contains(name)
            || connection_options
                .iter()
                .any(|option| option == name.as_str())
            || (hides_key && *name == AUTHORIZATION);
        if !is_dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Restores the caller's headers that are not forwarded to upstreams: its API key and the time that
/// is left to it.
pub(crate) fn restore_caller_headers(
    headers: &mut HeaderMap,
    key: Option<&str>,
    time_left_ms: u64,
) {
    if let Some(key) = key {
        set(headers, AUTHORIZATION, &format!("Bearer {key}"));
    }
    headers.insert(DEADLINE, HeaderValue::from(time_left_ms));
}

/// Sets the headers that are specific to one upstream.
pub(crate) fn set_upstream_headers(headers: &mut HeaderMap, added: &UpstreamHeaders<'_>) {
    set(headers, EXPECTED_UPSTREAM, added.upstream_id);
    headers.insert(DEADLINE, HeaderValue::from(added.time_left_ms));
    if let Some(team) = added.team {
        set(headers, TEAM, team);
    }
    if let Some(urgency) = added.urgency {
        headers.insert(URGENCY, HeaderValue::from(u16::from(urgency)));
    }
    if let Some(event) = added.resume_after {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
    }
    if let Some(address) = added.copy_from {
        set(headers, COPY_FROM, &address.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => {
            log::error!(header:% = name, error:err = error; "a value contains characters that a header does not allow; the header is omitted");
        }
    }
}

/// Returns the options of the `Connection` headers in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let lines = headers.get_all(CONNECTION).iter();
    let texts = lines.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        // A caller must not remove the id of its request by naming the header here.
        .filter(|name| *name != REQUEST_ID.as_str())
        .collect()
}

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

/// Returns the headers of an upstream's response that are forwarded to the caller.
#[must_use]
pub(crate) fn forwardable_response_headers(headers: &HeaderMap) -> HeaderMap {
    forwardable_headers(headers, false)
}

/// Sets the headers of a response that this node generates.
pub(crate) fn set_local_response_headers(
    headers: &mut HeaderMap,
    request_id: Option<&str>,
    retry_after_ms: Option<u64>,
) {
    if let Some(id) = request_id {
        set(headers, REQUEST_ID, id);
    }
    if let Some(delay_ms) = retry_after_ms {
        let seconds = format!("{:.3}", num::to_f64(delay_ms) / 1_000.0);
        set(headers, RETRY_AFTER, &seconds);
    }
}

#[cfg(test)]
mod tests;
