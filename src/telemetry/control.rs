//! Metrics of the HTTP calls to the platform and the upstreams: calls, bytes sent and received.
//!
//! The control traffic of a node has a bandwidth budget; these counters attribute it to calls.
//! Request and response heads are counted at their HTTP/1.1 encoded length.

use http::{HeaderMap, Request, Response};

/// Bytes of the HTTP version and line end in the first line, and of the empty line after the headers.
const FIRST_LINE_BYTES: usize = " HTTP/1.1\r\n".len() + "\r\n".len();

/// Bytes that separate a header's name and value and end its line.
const HEADER_BYTES: usize = ": \r\n".len();

/// Approximate bytes of the headers that the HTTP client adds.
const ADDED_BYTES: usize = "host: 10.10.10.10:10000\r\ncontent-length: 1000\r\n".len();

/// The remote end of a control call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The platform.
    Platform,
    /// A model engine.
    Engine,
}

impl Destination {
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Engine => "engine",
        }
    }
}

/// Counts a request with a body of `body_bytes` and returns the label of its call.
pub fn count_request<B>(
    side: Destination,
    request: &Request<B>,
    body_bytes: usize,
) -> &'static str {
    let call = call_label(request.uri().path());
    let line_bytes = request.method().as_str().len()
        + " ".len()
        + request
            .uri()
            .path_and_query()
            .map_or(1, |path| path.as_str().len())
        + FIRST_LINE_BYTES;
    let bytes = line_bytes + header_bytes(request.headers()) + ADDED_BYTES + body_bytes;
    metrics::counter!("teaselline_control_calls_total", "to" => side.name(), "call" => call)
        .increment(1);
    metrics::counter!("teaselline_control_sent_bytes_total", "to" => side.name(), "call" => call)
        .increment(bytes as u64);
    call
}

/// Encoded length of a response head, in bytes.
#[must_use]
pub fn head_bytes<B>(response: &Response<B>) -> usize {
    "200 OK".len() + FIRST_LINE_BYTES + header_bytes(response.headers())
}

/// Counts a response of `bytes` to a call.
pub fn count_response(side: Destination, call: &'static str, bytes: usize) {
    let side = side.name();
    metrics::counter!("teaselline_control_received_bytes_total", "to" => side, "call" => call)
        .increment(bytes as u64);
}

fn header_bytes(headers: &HeaderMap) -> usize {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    lengths.sum()
}

/// The `call` label of a path; identifiers in paths are left out, so the set of labels is bounded.
fn call_label(path: &str) -> &'static str {
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
