//! HTTP client of model engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::error::{LostCause, NotRunReason, UpstreamError};
use super::http::{HttpClient, request};
use super::wire::{CacheEvents, EngineOrder, EngineState, Export, Import, Load, StartStream};
use super::{CallTimeouts, Delivery, Engines, Events};
use crate::telemetry::control::{self, Destination};

/// HTTP client of model engines; implements [`Engines`].
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

#[derive(Deserialize)]
struct RejectionBody<'a> {
    #[serde(default, borrow)]
    outcome: Option<&'a str>,
    #[serde(default, borrow)]
    error: Option<&'a str>,
    #[serde(default)]
    newest: u64,
}

#[derive(serde::Serialize)]
struct OrderBody<'a> {
    order: &'a EngineOrder,
    fencing: u64,
}

#[derive(Deserialize)]
struct ImportResponse {
    handle: String,
}

impl EngineClient {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new(patience: CallTimeouts) -> Self {
        Self {
            http: HttpClient::new(patience),
        }
    }

    async fn open(
        &self,
        address: SocketAddr,
        attempt: &str,
        request: http::Request<http_body_util::Full<Bytes>>,
        delivery: Delivery,
    ) -> Result<Events, UpstreamError> {
        let patience = self.http.timeouts;
        let sent = self
            .http
            .send(address, request, delivery, patience.response_timeout_ms);
        let response = sent.await?;
        if response.status() == StatusCode::OK {
            return Ok(Events::new(response.into_body(), attempt, patience));
        }
        Err(self.rejection(response).await)
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, UpstreamError> {
        let body_bytes = body.len();
        let request = request(method, address, path, body)?;
        let call = control::count_request(Destination::Engine, &request, body_bytes);
        let patience = self.http.timeouts;
        let sent = self.http.send(
            address,
            request,
            Delivery::Repeatable,
            patience.response_timeout_ms,
        );
        let response = sent.await?;
        if response.status().is_success() {
            let head_bytes = control::head_bytes(&response);
            let (_, body) = self.http.collect(response).await?;
            control::count_response(Destination::Engine, call, head_bytes + body.len());
            return Ok(body);
        }
        Err(self.rejection(response).await)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, UpstreamError> {
        let body = self.exchange(Method::GET, address, path, Bytes::new());
        decode(&body.await?)
    }

    async fn rejection(&self, response: Response<Incoming>) -> UpstreamError {
        match self.http.collect(response).await {
            Ok((status, body)) => decode_rejection(status, &body),
            Err(error) => error,
        }
    }
}

impl Engines for EngineClient {
    type Events = Events;

    async fn start(
        &self,
        address: SocketAddr,
        start: &StartStream<'_>,
    ) -> Result<Events, UpstreamError> {
        let request = request(Method::POST, address, "/v1/streams", encode(start))?;
        self.open(address, start.attempt, request, start.delivery)
            .await
    }

    async fn attach(
        &self,
        address: SocketAddr,
        attempt: &str,
        from: u64,
    ) -> Result<Events, UpstreamError> {
        let path = format!("/v1/streams/{attempt}?from={from}");
        let request = request(Method::GET, address, &path, Bytes::new())?;
        self.open(address, attempt, request, Delivery::Repeatable)
            .await
    }

    async fn cancel(&self, address: SocketAddr, attempt: &str) -> Result<(), UpstreamError> {
        let path = format!("/v1/streams/{attempt}");
        let response = self.exchange(Method::DELETE, address, &path, Bytes::new());
        response.await.map(|_| ())
    }

    async fn export(&self, address: SocketAddr, attempt: &str) -> Result<Export, UpstreamError> {
        let path = format!("/v1/kv/{attempt}/export");
        let response = self.exchange(Method::POST, address, &path, Bytes::new());
        decode(&response.await?)
    }

    async fn import(&self, address: SocketAddr, import: &Import) -> Result<String, UpstreamError> {
        let response = self.exchange(Method::POST, address, "/v1/kv/import", encode(import));
        decode(&response.await?).map(|response: ImportResponse| response.handle)
    }

    async fn load(&self, address: SocketAddr) -> Result<Load, UpstreamError> {
        self.read(address, "/v1/load").await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, UpstreamError> {
        let path = format!("/v1/cache/events?from={from}");
        self.read(address, &path).await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        fencing_token: u64,
    ) -> Result<(), UpstreamError> {
        let body = encode(&OrderBody {
            order,
            fencing: fencing_token,
        });
        let response = self.exchange(Method::POST, address, "/v1/orders", body);
        response.await.map(|_| ())
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, UpstreamError> {
        self.read(address, "/v1/state").await
    }
}

/// Converts a response with an error status to an error.
///
/// Only a completely read `not_run` body proves that the call did not start. Any other response
/// may come from an intermediate proxy or from an engine that failed during the call.
fn decode_rejection(status: StatusCode, body: &[u8]) -> UpstreamError {
    let Ok(rejection) = serde_json::from_slice::<RejectionBody<'_>>(body) else {
        return UpstreamError::Rejected { status };
    };
    match (status, rejection.outcome, rejection.error) {
        (StatusCode::SERVICE_UNAVAILABLE, Some("not_run"), reason) => {
            UpstreamError::NotRun(NotRunReason::from_name(reason.unwrap_or_default()))
        }
        (StatusCode::NOT_FOUND, _, Some("unknown_attempt")) => UpstreamError::UnknownAttempt,
        (StatusCode::CONFLICT, _, Some("stale_fencing")) => UpstreamError::StaleFencing {
            newest: rejection.newest,
        },
        _ => UpstreamError::Rejected { status },
    }
}

fn encode<T: serde::Serialize>(body: &T) -> Bytes {
    let json = serde_json::to_vec(body).expect("all map keys of the request bodies are strings");
    Bytes::from(json)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, UpstreamError> {
    serde_json::from_slice(body).map_err(|error| UpstreamError::Lost(LostCause::Protocol(error)))
}

#[cfg(test)]
mod tests;
