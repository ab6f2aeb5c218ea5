//! Counts what whole HTTP exchanges with the platform and the upstreams carry.
//!
//! Each node may spend only so much of the network on control; these counts show what it spends it
//! on. Heads are counted as HTTP/1.1 writes them.

use http::{HeaderMap, Request, Response};

/// Bytes of a head's first line beyond its method and path or its status, and of the empty line at
/// the head's end.
const FIRST_LINE_BYTES: usize = " HTTP/1.1\r\n".len() + "\r\n".len();

/// Bytes around a header's name and value.
const HEADER_BYTES: usize = ": \r\n".len();

/// The headers that the client adds by itself, about.
const ADDED_BYTES: usize = "host: 10.10.10.10:10000\r\ncontent-length: 1000\r\n".len();

/// Whom an exchange is with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The platform.
    Platform,
    /// A model engine.
    Engine,
}

impl Side {
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Engine => "engine",
        }
    }
}

/// Counts a request with a body of this length; gives the name of the call.
pub fn count_request<B>(side: Side, request: &Request<B>, body_bytes: usize) -> &'static str {
    let call = call(request.uri().path());
    let line = request.method().as_str().len()
        + " ".len()
        + request
            .uri()
            .path_and_query()
            .map_or(1, |path| path.as_str().len())
        + FIRST_LINE_BYTES;
    let bytes = line + headers(request.headers()) + ADDED_BYTES + body_bytes;
    metrics::counter!("teaselline_control_calls_total", "to" => side.name(), "call" => call)
        .increment(1);
    metrics::counter!("teaselline_control_sent_bytes_total", "to" => side.name(), "call" => call)
        .increment(bytes as u64);
    call
}

/// Bytes of an answer's head.
#[must_use]
pub fn head_bytes<B>(answer: &Response<B>) -> usize {
    "200 OK".len() + FIRST_LINE_BYTES + headers(answer.headers())
}

/// Counts an answer of this length to a call.
pub fn count_answer(side: Side, call: &'static str, bytes: usize) {
    let side = side.name();
    metrics::counter!("teaselline_control_received_bytes_total", "to" => side, "call" => call)
        .increment(bytes as u64);
}

fn headers(headers: &HeaderMap) -> usize {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    lengths.sum()
}

/// A short name of the call to a path, as few as there are calls.
fn call(path: &str) -> &'static str {
    let segments: Vec<_> = path.split('/').skip(1).collect();
    match segments.as_slice() {
        ["v1", "streams", "configuration", ..] => "log_configuration",
        ["v1", "streams", "leases", ..] => "log_leases",
        ["v1", "streams", "audit", ..] => "log_audit",
        ["v1", "streams", claims, "records"] if claims.starts_with("claims-") => "log_claims",
        ["v1", "streams", ..] => "stream",
        ["v1", "hosts", ..] => "hosts",
        ["v1", "notices"] => "notices",
        ["v1", "purchases"] => "purchases",
        ["v1", "prices"] => "prices",
        ["v1", "tickets"] => "tickets",
        ["v1", "load"] => "load",
        ["v1", "cache", ..] => "cache_events",
        ["v1", "orders"] => "orders",
        ["v1", "state"] => "state",
        ["v1", "kv", ..] => "kv",
        _ => "other",
    }
}

#[cfg(test)]
mod tests;
