//! Decodes and sets the headers of the platform's protocol.

mod response;

use std::net::SocketAddr;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

pub(crate) use self::response::{NamedRequest, ResponseHead, read_response_head};
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
