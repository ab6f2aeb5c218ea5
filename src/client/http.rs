//! HTTP requests to nodes, with a bound on every wait and every answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// How long connecting may take; nodes are a few milliseconds away.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The longest whole answer that is read.
const MOST_ANSWER_BYTES: usize = 64 << 20;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection came about, so nothing of the request has been sent.
    #[error("cannot connect")]
    Connect(#[source] legacy::Error),
    /// The connection broke; the request may have arrived.
    #[error("the connection broke")]
    Broken(#[source] legacy::Error),
    /// The answer broke off.
    #[error("the answer broke off")]
    BrokenBody(#[from] BodyError),
    /// Nothing came for too long; the request may have arrived.
    #[error("nothing came for {waited_ms} ms")]
    Silent {
        /// How long nothing came.
        waited_ms: u64,
    },
    /// The request itself cannot be written.
    #[error("the request cannot be written")]
    Unwritable(#[from] http::Error),
}

/// Why a whole answer could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than any answer of a node.
    #[error("it is longer than {MOST_ANSWER_BYTES} bytes")]
    TooLong,
    /// Its connection broke.
    #[error("its connection broke: {reason}")]
    Broken {
        /// What the HTTP library says.
        reason: String,
    },
}

impl HttpError {
    /// Whether nothing of the request has been sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unwritable(_))
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Connections to nodes, kept open between requests.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// No connections yet.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If no head comes within `patience_ms`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        patience_ms: u64,
    ) -> Result<Response<Incoming>, HttpError> {
        let answer = self.client.request(request);
        match tokio::time::timeout(Duration::from_millis(patience_ms), answer).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::Connect(error)),
            Ok(Err(error)) => Err(HttpError::Broken(error)),
            Err(_) => Err(HttpError::Silent {
                waited_ms: patience_ms,
            }),
        }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// If the answer does not come whole; head and body have `patience_ms` each.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        patience_ms: u64,
    ) -> Result<Answer, HttpError> {
        let response = self.send(request, patience_ms).await?;
        read_whole(response, patience_ms).await
    }
}

/// Reads the body of an answer whose head has come.
///
/// # Errors
///
/// If the body breaks off, is too long, or is not there within `patience_ms`.
pub async fn read_whole(
    response: Response<Incoming>,
    patience_ms: u64,
) -> Result<Answer, HttpError> {
    let (head, body) = response.into_parts();
    let whole = Limited::new(body, MOST_ANSWER_BYTES).collect();
    match tokio::time::timeout(Duration::from_millis(patience_ms), whole).await {
        Ok(Ok(collected)) => Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: collected.to_bytes(),
        }),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong.into()),
        Ok(Err(error)) => {
            let reason = error.to_string();
            Err(BodyError::Broken { reason }.into())
        }
        Err(_) => Err(HttpError::Silent {
            waited_ms: patience_ms,
        }),
    }
}
