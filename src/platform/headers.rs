//! Headers of the platform's protocol, decoded once into what they say.

use std::net::SocketAddr;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::gateway::backoff::StatedBackoff;
use crate::gateway::num;
use crate::gateway::request_head::{Malformed, Prompt, PromptPart, RequestHead};
use crate::gateway::throttle::StatedLimit;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Proof of the server that an answer is its own.
const ANSWER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const TEAM: HeaderName = HeaderName::from_static("tenant");
const EXPECTED_UPSTREAM: HeaderName = HeaderName::from_static("expect-instance");
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
const MODEL: HeaderName = HeaderName::from_static("model");
/// Prompt tokens and the most output tokens.
const TOKENS: HeaderName = HeaderName::from_static("token-count");
const URGENCY: HeaderName = HeaderName::from_static("request-urgency");
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
/// Another server, from whose memory a server first copies what it lacks of the prompt.
const COPY_FROM: HeaderName = HeaderName::from_static("kv-fetch");
/// Requests a second that a server in need takes from all machines together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// In all answers of a server that leaves.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one channel only.
const OF_CHANNEL: [HeaderName; 9] = [
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

/// Headers that this program alone sets towards servers; what callers send in them is dropped.
///
/// A caller could otherwise speak for another team or steer a server's memory.
const OF_SYSTEM: [HeaderName; 11] = [
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

/// Reads what a caller's request says of itself.
///
/// # Errors
///
/// If it has no id, or a header cannot be read.
pub(crate) fn read_call(headers: &HeaderMap) -> Result<RequestHead, Malformed> {
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
    })
}

/// The key of a caller, if it sent one in the form that is asked for.
fn read_key(headers: &HeaderMap) -> Option<String> {
    let given = text(headers, &AUTHORIZATION)?;
    let (scheme, key) = given.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn read_prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Malformed> {
    let Some(tokens) = text(headers, &TOKENS) else {
        return Ok(None);
    };
    let (input, output) = tokens.split_once(',').ok_or(Malformed::Tokens)?;
    let input_tokens = whole(input).ok_or(Malformed::Tokens)?;
    let max_output_tokens = whole(output).ok_or(Malformed::Tokens)?;
    let parts = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter(|part| !part.is_empty());
    Ok(Some(Prompt {
        model: text(headers, &MODEL).unwrap_or_default().to_owned(),
        input_tokens,
        max_output_tokens,
        expected_output_tokens: number(headers, &LENGTH_HINT)?,
        parts: parts.map(read_part).collect::<Result<_, _>>()?,
    }))
}

fn read_part(part: &str) -> Result<PromptPart, Malformed> {
    let (id, tokens) = part.trim().split_once(':').ok_or(Malformed::Parts)?;
    Ok(PromptPart {
        id: u64::from_str_radix(id, 16).map_err(|_not_hexadecimal| Malformed::Parts)?,
        tokens: whole(tokens).ok_or(Malformed::Parts)?,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A whole number; fractions are rounded.
fn whole(text: &str) -> Option<u64> {
    let text = text.trim();
    let parsed = text.parse().ok();
    parsed.or_else(|| {
        text.parse()
            .ok()
            .filter(|number| *number >= 0.0)
            .map(num::round_to_u64)
    })
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Malformed> {
    match text(headers, name) {
        None => Ok(None),
        Some(given) => match whole(given) {
            Some(number) => Ok(Some(number)),
            None => Err(Malformed::Number(name.clone())),
        },
    }
}

/// What is added to a request on its way to one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Added<'a> {
    pub upstream_id: &'a str,
    pub time_left_ms: u64,
    pub team: Option<&'a str>,
    /// 0 comes first, 9 last.
    pub urgency: Option<u8>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// Another upstream, from which this one copies what that has read of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// A caller's headers without those that go no further than this node.
#[must_use]
pub(crate) fn forwardable(headers: &HeaderMap, hides_key: bool) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let stays = OF_CHANNEL.contains(name)
            || OF_SYSTEM.contains(name)
            || named.iter().any(|other| other == name.as_str())
            || (hides_key && *name == AUTHORIZATION);
        if !stays {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Adds what one upstream is told beyond what the caller said.
pub(crate) fn add(headers: &mut HeaderMap, added: &Added<'_>) {
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
            log::error!(header:% = name, error:err = error; "a name cannot stand in a header");
        }
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let lines = headers.get_all(CONNECTION).iter();
    let texts = lines.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        // A caller must not strip its request of the id by naming it here.
        .filter(|name| *name != REQUEST_ID.as_str())
        .collect()
}

/// What an upstream's answer says of itself.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says whether one header is there"
)]
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AnswerHead {
    /// The request that it answers, where it says so.
    pub request_id: Option<String>,
    /// Whether it bears the upstream's proof.
    pub is_sealed: bool,
    /// The upstream says that it did not run the request.
    pub is_not_run: bool,
    /// The upstream closes the channel after this answer.
    pub closes: bool,
    /// The upstream closes the channel when it has been idle this long.
    pub idle_timeout_ms: Option<u64>,
    /// Its body is not what the upstream made.
    pub is_encoded: bool,
    /// What it says of how many requests the upstream takes.
    pub limit: StatedLimit,
    /// What it says of a rest of the upstream, if it is a refusal that may ask for one.
    pub rest: StatedBackoff,
    /// The upstream finishes what it has and goes.
    pub leaves: bool,
}

/// Reads the head of an upstream's answer.
#[must_use]
pub(crate) fn read_answer(headers: &HeaderMap) -> AnswerHead {
    let keep_alive = text(headers, &KEEP_ALIVE).unwrap_or_default();
    let timeout_s = keep_alive
        .split(',')
        .filter_map(|word| word.trim().strip_prefix("timeout="))
        .find_map(whole);
    AnswerHead {
        request_id: text(headers, &REQUEST_ID).map(str::to_owned),
        is_sealed: headers.contains_key(ANSWER_SEAL),
        is_not_run: headers.contains_key(NOT_RUN),
        closes: named_by_connection(headers)
            .iter()
            .any(|word| word == "close"),
        idle_timeout_ms: timeout_s.map(|seconds| seconds * 1_000),
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        limit: read_limit(headers),
        rest: read_rest(headers),
        leaves: read_leaving(headers),
    }
}

/// The limit that an answer names; the lowest, if it names several.
fn read_limit(headers: &HeaderMap) -> StatedLimit {
    let named = numbers(headers, &SERVER_LIMIT);
    if let Some(word) = named.unreadable {
        log::warn!(event = "upstream_limit_unreadable", limit = word; "an upstream names a limit that is no number");
    }
    match named.numbers.into_iter().reduce(f64::min) {
        Some(limit_per_s) => StatedLimit::PerS(limit_per_s),
        None if named.unreadable.is_some() => StatedLimit::Unreadable,
        None => StatedLimit::Unstated,
    }
}

/// The rest that an answer asks for; the longest, if it names several.
fn read_rest(headers: &HeaderMap) -> StatedBackoff {
    let named = numbers(headers, &RETRY_AFTER);
    if let Some(word) = named.unreadable {
        log::warn!(event = "upstream_rest_unreadable", rest = word; "an upstream asks for a rest that is no time in seconds");
    }
    match named.numbers.into_iter().reduce(f64::max) {
        Some(rest_s) => StatedBackoff::ForMs(num::round_to_u64((rest_s * 1_000.0).ceil())),
        None if named.unreadable.is_some() => StatedBackoff::Unreadable,
        None => StatedBackoff::Unstated,
    }
}

/// Whether an answer says that its upstream leaves.
///
/// What is neither yes nor no counts as yes: a request to an upstream that has left is lost, one that stays is only
/// passed over.
fn read_leaving(headers: &HeaderMap) -> bool {
    let lines = headers.get_all(SERVER_LEAVING).iter();
    let words = lines.map(|value| value.to_str().unwrap_or("?").trim());
    words.fold(false, |leaves, word| match word {
        "0" => leaves,
        "1" => true,
        word => {
            log::warn!(event = "upstream_leaving_unreadable", leaving = word; "an upstream says whether it leaves in words that are not known; it counts as leaving");
            true
        }
    })
}

/// What the lines of a header name that should be numbers.
#[derive(Debug, Default)]
struct Named<'a> {
    /// Finite, zero or more.
    numbers: Vec<f64>,
    /// The last word that is no such number.
    unreadable: Option<&'a str>,
}

fn numbers<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Named<'a> {
    let lines = headers.get_all(name).iter();
    let words = lines.flat_map(|value| value.to_str().unwrap_or("?").split(','));
    words.fold(Named::default(), |mut named, word| {
        let number = word.trim().parse().ok();
        match number.filter(|number: &f64| number.is_finite() && !number.is_sign_negative()) {
            Some(number) => named.numbers.push(number),
            None => named.unreadable = Some(word),
        }
        named
    })
}

impl AnswerHead {
    /// Whether it is the upstream's own answer to a request.
    #[must_use]
    pub(crate) fn is_of(&self, request_id: &str) -> bool {
        self.request_id.as_deref() == Some(request_id)
    }

    /// The rest that it asks of this node, as an answer with a status: only who is turned away is asked for one.
    #[must_use]
    pub(crate) fn asked_rest_ms(&self, status: StatusCode) -> Option<u64> {
        match self.rest {
            StatedBackoff::ForMs(rest_ms) if status == StatusCode::SERVICE_UNAVAILABLE => {
                (rest_ms > 0).then_some(rest_ms)
            }
            _ => None,
        }
    }

    /// What it says of a limit, as an answer to a request.
    ///
    /// A refusal made before the upstream proper, or a late answer to an earlier request of the channel, may
    /// lack the limit although the upstream names one.
    #[must_use]
    pub(crate) fn limit_for(&self, request_id: &str) -> Option<StatedLimit> {
        let is_proved = self.is_sealed && self.is_of(request_id);
        (is_proved || self.limit != StatedLimit::Unstated).then_some(self.limit)
    }
}

/// An upstream's headers as they go to the caller.
#[must_use]
pub(crate) fn returnable(headers: &HeaderMap) -> HeaderMap {
    forwardable(headers, false)
}

/// Headers of an answer of our own.
pub(crate) fn own_answer(
    headers: &mut HeaderMap,
    request_id: Option<&str>,
    retry_after_ms: Option<u64>,
) {
    if let Some(id) = request_id {
        set(headers, REQUEST_ID, id);
    }
    if let Some(after_ms) = retry_after_ms {
        let seconds = format!("{:.3}", num::to_f64(after_ms) / 1_000.0);
        set(headers, RETRY_AFTER, &seconds);
    }
}

#[cfg(test)]
mod tests;
