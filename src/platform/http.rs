//! Calls to the platform's own addresses over kept channels.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

/// Most channels kept to one address: a waiting read, a paced read and a write at once.
const KEPT_CHANNELS: usize = 3;

/// Time for a new channel; the store answers within 4 ms, a lost opening packet is sent again
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest answer that is read; a page of records has at most a few megabytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a call to the platform has no answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// Nothing was sent.
    #[error("no channel to {address}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// Why; none if time ran out.
        #[source]
        source: Option<std::io::Error>,
    },
    /// The channel failed; the call may have been carried out.
    #[error("the channel to {address} failed")]
    Channel {
        /// The address.
        address: SocketAddr,
        /// How.
        #[source]
        source: hyper::Error,
    },
    /// The answer is too long or broke off; the call may have been carried out.
    #[error("the answer from {address} is not whole")]
    Body {
        /// The address.
        address: SocketAddr,
    },
    /// No answer in time; the call may have been carried out, or may yet be.
    #[error("{address} did not answer within {timeout_ms} ms")]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The time allowed.
        timeout_ms: u64,
    },
    /// The request cannot be built.
    #[error("the request cannot be built")]
    Request(#[from] http::Error),
}

impl CallError {
    /// What went wrong, as one word for metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "unreachable",
            Self::Timeout { .. } => "timeout",
            Self::Channel { .. } => "channel_broken",
            Self::Body { .. } => "answer_broken",
            Self::Request(_) => "unsendable",
        }
    }
}

/// An answer of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// One call to the platform.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
    pub timeout_ms: u64,
}

/// Calls one address of the platform.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    kept: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// A client without channels yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: Mutex::default(),
        }
    }

    /// Makes a call and reads its whole answer.
    ///
    /// A channel on which anything failed is not used again: after a lost answer it would return
    /// nothing further, or the answer to another call.
    ///
    /// # Errors
    ///
    /// If there is no whole answer in time.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let timeout_ms = call.timeout_ms;
        let timeout = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(answered) => answered,
            Err(_elapsed) => Err(CallError::Timeout {
                address: self.address,
                timeout_ms,
            }),
        }
    }

    async fn exchange(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let request = self.request(call)?;
        let mut channel = match self.take_kept() {
            Some(channel) => channel,
            None => self.connect().await?,
        };
        let sent = channel.send_request(request).await;
        let response = sent.map_err(|source| self.failed(source))?;
        let answer = self.read(response).await?;
        self.keep(channel);
        Ok(answer)
    }

    fn request(&self, call: Call<'_>) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        Ok(request.body(Full::new(call.body))?)
    }

    fn failed(&self, source: hyper::Error) -> CallError {
        CallError::Channel {
            address: self.address,
            source,
        }
    }

    async fn read(&self, response: Response<hyper::body::Incoming>) -> Result<Answer, CallError> {
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = whole.map_err(|error| {
            log::debug!(address:% = self.address, error:% = error; "an answer broke off");
            CallError::Body {
                address: self.address,
            }
        })?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    fn take_kept(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut kept = self.kept.lock();
        kept.retain(|channel| !channel.is_closed());
        let ready = kept.iter().rposition(SendRequest::is_ready)?;
        Some(kept.swap_remove(ready))
    }

    fn keep(&self, channel: SendRequest<Full<Bytes>>) {
        let mut kept = self.kept.lock();
        if kept.len() < KEPT_CHANNELS {
            kept.push(channel);
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let address = self.address;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let socket = match connecting.await {
            Ok(Ok(socket)) => socket,
            Ok(Err(source)) => {
                let source = Some(source);
                return Err(CallError::Connect { address, source });
            }
            Err(_elapsed) => {
                let source = None;
                return Err(CallError::Connect { address, source });
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!(error:err = error; "a socket keeps its delay");
        }
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (channel, connection) = handshake.map_err(|source| self.failed(source))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:err = error; "a channel to the platform ended");
            }
        });
        Ok(channel)
    }
}
