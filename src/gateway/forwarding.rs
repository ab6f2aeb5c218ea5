//! The messages by which a node has a peer send a caller's request to an upstream.
//!
//! A node that does not reach a pool hands its callers' requests to a peer that does, since callers
//! keep its address for seconds. The request keeps its id, its deadline and its place in all counts;
//! the peer never forwards it again. `exchange::forward` sends these messages, `server` answers
//! them.

pub(super) mod server;

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};

use super::refusal::Refusal;
use super::streams::Origin;
use crate::keys::Incarnation;
use crate::peers::{Connections, FleetKey, Protocol, Settings};

/// Timeout for connecting to a peer. Peers answer within some milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Silence of a peer after which the answers that it sends end once no caller waits for one any
/// more. This bound frees what a lost node leaves behind.
const LOSS_TIMEOUT_MS: u64 = 30_000;

/// A caller's request that a peer sends to an upstream in place of the node that received it.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ForwardedRequest {
    /// Name of the node that received the request.
    pub node: String,
    pub method: String,
    /// Path and query.
    pub uri: String,
    pub headers: Vec<(String, Vec<u8>)>,
    /// The caller's API key.
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub time_left_ms: u64,
    /// Whether the node that received the request has counted it as one of its pool's requests.
    pub is_counted: bool,
    /// What the stream is bound to that the request takes up.
    pub begun: Option<Origin>,
}

/// The first message in response to a [`ForwardedRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ForwardReply {
    /// A complete response of an upstream.
    Whole(ForwardedHead, Vec<u8>),
    /// The head of an event stream or of a long response, which follows as [`ForwardItem`]s.
    Stream(ForwardedHead),
    /// The request has not run and will not run under this message.
    NotRun {
        reason: String,
        retry_after_ms: Option<u64>,
        /// Whether another node may serve the request.
        is_served_elsewhere: bool,
    },
    /// The request may have run.
    MayHaveRun { reason: String },
}

/// The head of an upstream's response.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct ForwardedHead {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
}

/// A part of a forwarded event stream or long response. One without its end was interrupted.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ForwardItem {
    Events(Vec<u8>),
    End,
}

/// The protocol of forwarded requests.
#[derive(Debug)]
pub(crate) struct Forwarding;

impl Protocol for Forwarding {
    type Request = ForwardedRequest;
    type Reply = ForwardReply;
    type Item = ForwardItem;

    fn kind(_request: &ForwardedRequest) -> &'static str {
        "forward"
    }

    fn time_left_ms(request: &ForwardedRequest) -> Option<u64> {
        Some(request.time_left_ms)
    }
}

impl ForwardedHead {
    /// Encodes the head of a response.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            status: status.as_u16(),
            headers: encode_headers(headers),
        }
    }

    /// Returns the status and the headers; `None` if they are not valid HTTP.
    pub fn decode(&self) -> Option<(StatusCode, HeaderMap)> {
        let status = StatusCode::from_u16(self.status).ok()?;
        Some((status, decode_headers(&self.headers)?))
    }
}

impl ForwardReply {
    /// Returns the reply for a request that ended without an upstream's response.
    pub fn refused(refusal: &Refusal) -> Self {
        let reason = refusal.reason().to_owned();
        if refusal.may_have_run() {
            return Self::MayHaveRun { reason };
        }
        Self::NotRun {
            reason,
            retry_after_ms: refusal.retry_after_ms(),
            is_served_elsewhere: refusal.is_served_elsewhere(),
        }
    }
}

/// Encodes headers as pairs of name and value.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Decodes pairs of name and value; `None` if one is not valid.
pub(crate) fn decode_headers(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Creates the connections over which a node of the installation with this store forwards requests.
pub(crate) fn connections(store: SocketAddr, incarnation: u64) -> Connections<Forwarding> {
    Connections::new(fleet_key(store), Incarnation(incarnation))
        .with_settings(connection_settings())
}

/// Returns the limits and timeouts of these connections, which are the same at both ends.
fn connection_settings() -> Settings {
    Settings::default()
        .with_connect_timeout_ms(CONNECT_TIMEOUT_MS)
        .with_loss_timeout_ms(LOSS_TIMEOUT_MS)
}

/// Returns the key that the nodes of the installation with this store share.
///
/// Callers do not reach the port of forwarded requests. The key keeps nodes of different
/// installations apart whose addresses are reassigned.
fn fleet_key(store: SocketAddr) -> FleetKey {
    let secret = format!("teaselline gateway of the store at {store}");
    FleetKey::try_from(secret.as_bytes()).expect("the text is longer than the shortest key")
}

#[cfg(test)]
mod tests;
