//! The HTTP client of model engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::error::{LostCause, NotRunReason, UpstreamError};
use super::http::{HttpClient, request};
use super::wire::{CacheEvents, EngineState, Export, Import, Load, Order, StartStream};
use super::{Delivery, Engines, Events, Patience};

/// Calls model engines over HTTP.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

#[derive(Deserialize)]
struct Refusal<'a> {
    #[serde(default, borrow)]
    outcome: Option<&'a str>,
    #[serde(default, borrow)]
    error: Option<&'a str>,
    #[serde(default)]
    newest: u64,
}

#[derive(serde::Serialize)]
struct OrderBody<'a> {
    order: &'a Order,
    fencing: u64,
}

#[derive(Deserialize)]
struct ImportAnswer {
    handle: String,
}

impl EngineClient {
    /// A client with its own pool of connections.
    #[must_use]
    pub fn new(patience: Patience) -> Self {
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
        let patience = self.http.patience;
        let sent = self
            .http
            .send(address, request, delivery, patience.answer_ms);
        let response = sent.await?;
        if response.status() == StatusCode::OK {
            return Ok(Events::new(response.into_body(), attempt, patience));
        }
        Err(self.refusal(response).await)
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, UpstreamError> {
        let request = request(method, address, path, body)?;
        let patience = self.http.patience;
        let sent = self
            .http
            .send(address, request, Delivery::Repeatable, patience.answer_ms);
        let response = sent.await?;
        if response.status().is_success() {
            return self.http.collect(response).await.map(|(_, body)| body);
        }
        Err(self.refusal(response).await)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, UpstreamError> {
        let body = self.exchange(Method::GET, address, path, Bytes::new());
        decode(&body.await?)
    }

    async fn refusal(&self, response: Response<Incoming>) -> UpstreamError {
        match self.http.collect(response).await {
            Ok((status, body)) => refusal(status, &body),
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
        let answer = self.exchange(Method::DELETE, address, &path, Bytes::new());
        answer.await.map(|_| ())
    }

    async fn export(&self, address: SocketAddr, attempt: &str) -> Result<Export, UpstreamError> {
        let path = format!("/v1/kv/{attempt}/export");
        let answer = self.exchange(Method::POST, address, &path, Bytes::new());
        decode(&answer.await?)
    }

    async fn import(&self, address: SocketAddr, import: &Import) -> Result<String, UpstreamError> {
        let answer = self.exchange(Method::POST, address, "/v1/kv/import", encode(import));
        decode(&answer.await?).map(|answer: ImportAnswer| answer.handle)
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
        order: &Order,
        fencing: u64,
    ) -> Result<(), UpstreamError> {
        let body = encode(&OrderBody { order, fencing });
        let answer = self.exchange(Method::POST, address, "/v1/orders", body);
        answer.await.map(|_| ())
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, UpstreamError> {
        self.read(address, "/v1/state").await
    }
}

/// What an answer that is not a success says.
///
/// Only the engine's own `not_run`, read whole, proves that nothing started; any other status may
/// come from a proxy in between or from an engine that failed half-way.
fn refusal(status: StatusCode, body: &[u8]) -> UpstreamError {
    let Ok(said) = serde_json::from_slice::<Refusal<'_>>(body) else {
        return UpstreamError::Rejected { status };
    };
    match (status, said.outcome, said.error) {
        (StatusCode::SERVICE_UNAVAILABLE, Some("not_run"), reason) => {
            UpstreamError::NotRun(NotRunReason::of(reason.unwrap_or_default()))
        }
        (StatusCode::NOT_FOUND, _, Some("unknown_attempt")) => UpstreamError::UnknownAttempt,
        (StatusCode::CONFLICT, _, Some("stale_fencing")) => UpstreamError::StaleFencing {
            newest: said.newest,
        },
        _ => UpstreamError::Rejected { status },
    }
}

fn encode<T: serde::Serialize>(body: &T) -> Bytes {
    let json = serde_json::to_vec(body).expect("bodies hold no maps with keys that JSON lacks");
    Bytes::from(json)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, UpstreamError> {
    serde_json::from_slice(body).map_err(|error| UpstreamError::Lost(LostCause::Protocol(error)))
}

#[cfg(test)]
mod tests;
