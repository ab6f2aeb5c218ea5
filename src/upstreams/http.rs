//! HTTP exchanges with upstreams; errors state whether the request may have been sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use super::Delivery;
use super::error::{LostCause, UpstreamError};
use crate::head_limit::PooledClient;

/// Maximum number of idle pooled connections per upstream.
const IDLE_CONNECTIONS_PER_UPSTREAM: usize = 16;
/// Below the usual idle timeouts of servers, so that servers rarely close a connection in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// TCP keepalive of idle connections; with three retries it detects a lost peer in about 8 s.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// Largest accepted body of a response that is buffered completely.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Timeouts of the phases of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// Timeout for the response head after the call was sent, and for reading a buffered body.
    pub response_timeout_ms: u64,
    /// Timeout for the next data of a stream.
    pub data_timeout_ms: u64,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            response_timeout_ms: 10_000,
            data_timeout_ms: 10_000,
        }
    }
}

/// Sends requests over pooled or new connections.
#[derive(Clone, Debug)]
pub(super) struct HttpClient {
    pooled: PooledClient,
    unpooled: PooledClient,
    pub(super) timeouts: CallTimeouts,
}

impl HttpClient {
    pub(super) fn new(patience: CallTimeouts) -> Self {
        Self {
            pooled: client(patience, IDLE_CONNECTIONS_PER_UPSTREAM),
            unpooled: client(patience, 0),
            timeouts: patience,
        }
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        delivery: Delivery,
        answer_ms: u64,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let client = match delivery {
            Delivery::Repeatable => &self.pooled,
            Delivery::AtMostOnce => &self.unpooled,
        };
        // The connect timeout elapses before this one, so a timeout here means that the request may
        // have been sent.
        let waited_ms = self.timeouts.connect_timeout_ms.saturating_add(answer_ms);
        match timeout(Duration::from_millis(waited_ms), client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(cause)) if cause.is_connect() => {
                Err(UpstreamError::Unreachable { address, cause })
            }
            Ok(Err(cause)) => Err(UpstreamError::Lost(LostCause::Connection(cause))),
            Err(_elapsed) => Err(UpstreamError::Lost(LostCause::TimedOut { waited_ms })),
        }
    }

    /// Reads a complete response body of bounded size and returns it with the status.
    pub(super) async fn collect(
        &self,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, Bytes), UpstreamError> {
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES).collect();
        let waited_ms = self.timeouts.response_timeout_ms;
        let read = timeout(Duration::from_millis(waited_ms), body)
            .await
            .map_err(|_elapsed| LostCause::TimedOut { waited_ms })
            .map_err(UpstreamError::Lost)?;
        match read {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(cause) if cause.is::<LengthLimitError>() => {
                Err(UpstreamError::Lost(LostCause::TooLarge {
                    limit_bytes: RESPONSE_LIMIT_BYTES,
                }))
            }
            Err(cause) => Err(UpstreamError::Lost(
                cause
                    .downcast::<hyper::Error>()
                    .map_or(LostCause::Truncated, |cause| LostCause::Body(*cause)),
            )),
        }
    }
}

/// Builds a request for a path at an upstream.
pub(super) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()?;
    let request = Request::builder().method(method).uri(uri);
    Ok(request.body(Full::new(body))?)
}

fn client(patience: CallTimeouts, idle_connections: usize) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(patience.connect_timeout_ms)));
    connector.set_keepalive(Some(KEEPALIVE_TIME));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections)
        // By default the client resends a request when a reused connection closes. Only the request
        // core may decide to run a request again.
        .retry_canceled_requests(false);
    PooledClient::new(&mut builder, connector)
}

#[cfg(test)]
mod tests;
