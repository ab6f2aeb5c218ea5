//! Operators' client: reads status, configuration and audit trail, and applies documents.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use url::Url;

use super::http::{BufferedResponse, HttpClient, HttpError};
use super::wire::{
    Accepted, Change, Configuration, Invalid, InvalidFault, LogUnavailable, RefusalOutcome, Stale,
};
use crate::options::{ClientSettings, Secret};

/// Timeout for the response of a node; head and body have as much each.
const TIMEOUT_MS: u64 = 10_000;
/// Number of reads of the configuration to find out whether a change without response took effect.
const MAX_CONFIRMATION_READS: u32 = 5;
/// Delay before each of these reads.
const CONFIRMATION_READ_DELAY_MS: u64 = 500;
/// Maximum number of characters of an unexpected response in an error message.
const MAX_SHOWN_CHARS: usize = 300;

/// Why an operator's request failed.
#[derive(Debug, Error, Diagnostic)]
pub enum OperatorError {
    /// No node responded.
    #[error("no node responded at {urls}")]
    #[diagnostic(help("Give the URL of a node that runs with --node-url."))]
    NoAnswer {
        /// URLs of the nodes that were tried.
        urls: String,
        /// Error of the last attempt.
        #[source]
        cause: HttpError,
    },
    /// The token is missing, or not that of an operator.
    #[error("the node rejected the token")]
    #[diagnostic(help("Set TEASELLINE_TOKEN to the bearer token of an operator of the document."))]
    Forbidden,
    /// The base revision is no longer active.
    #[error("revision {base} has been replaced; revision {in_force} is active")]
    #[diagnostic(help(
        "Another change was accepted first. Read it with `config show`, merge both, and apply with --base {in_force}."
    ))]
    Stale {
        /// The base revision of the change.
        base: u64,
        /// The active revision.
        in_force: u64,
    },
    /// The node rejected the document as invalid.
    #[error("the node found {} fault(s) in the document", faults.len())]
    Invalid {
        /// The faults.
        #[related]
        faults: Vec<NodeFault>,
    },
    /// The log is unavailable, and the change has not been accepted.
    #[error("the log is unavailable; the change has not been accepted")]
    #[diagnostic(help("Apply the document again later; the base revision is still active."))]
    NotAccepted,
    /// The change may or may not have been accepted.
    #[error("the change may or may not have been accepted")]
    #[diagnostic(help(
        "Run `config show`: if it prints your document, the change has been accepted. Otherwise apply it again with the same base; the log accepts only one change per base."
    ))]
    Unknown,
    /// The node sent an unexpected response.
    #[error("unexpected response of the node with status {status}: {body}")]
    Unexpected {
        /// Status code.
        status: StatusCode,
        /// The first characters of the body.
        body: String,
    },
}

/// A fault of the document found by the node.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{path}: {message}")]
pub struct NodeFault {
    /// Path of the faulty field.
    pub path: String,
    /// Description of the fault.
    pub message: String,
}

impl From<InvalidFault> for NodeFault {
    fn from(fault: InvalidFault) -> Self {
        Self {
            path: fault.path,
            message: fault.message,
        }
    }
}

impl OperatorError {
    /// Whether the node rejected the document as invalid.
    #[must_use]
    pub fn is_invalid_document(&self) -> bool {
        matches!(self, Self::Invalid { .. })
    }
}

/// Client with an operator's token.
#[derive(Debug)]
pub struct Operator {
    http: HttpClient,
    node_urls: Vec<Url>,
    token: Option<Secret>,
}

impl Operator {
    /// A client for the nodes and the token of the settings.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            http: HttpClient::new(),
            node_urls: settings.node_urls,
            token: settings.token,
        }
    }

    /// Reads the active configuration from the first node that responds.
    ///
    /// # Errors
    ///
    /// If no node responds, or the response is not a configuration.
    pub async fn configuration(&self) -> Result<Configuration, OperatorError> {
        self.get("/v1/configuration").await
    }

    /// Reads the status of nodes, upstreams and leases from the first node that responds.
    ///
    /// # Errors
    ///
    /// If no node responds, or the response is an error.
    pub async fn status(&self) -> Result<Value, OperatorError> {
        self.get("/v1/status").await
    }

    /// Reads a page of the audit trail, starting at the offset `from`.
    ///
    /// # Errors
    ///
    /// If no node responds, or the response is an error.
    pub async fn audit(&self, from: u64) -> Result<Value, OperatorError> {
        self.get(&format!("/v1/audit?from={from}")).await
    }

    /// Applies a document based on `base_revision` and returns the new revision.
    ///
    /// # Errors
    ///
    /// If the change is not accepted, or it cannot be determined whether it is.
    pub async fn apply(&self, base_revision: u64, document: Value) -> Result<u64, OperatorError> {
        let change = Change {
            base_revision,
            document,
        };
        match self.send_change(&change).await {
            Ok(response) => match change_result(base_revision, &response) {
                Err(OperatorError::Unknown) => self.confirm_change(&change).await,
                result => result,
            },
            Err(OperatorError::NoAnswer { cause, .. }) if !cause.is_unsent() => {
                self.confirm_change(&change).await
            }
            Err(error) => Err(error),
        }
    }

    /// Sends a change to the first node that accepts a connection.
    ///
    /// Once a node may have received the change, no other node is tried: two copies would race on
    /// one base revision, and the losing copy would report a conflict with another change.
    async fn send_change(&self, change: &Change) -> Result<BufferedResponse, OperatorError> {
        let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
        let mut last_error = None;
        for url in &self.node_urls {
            match self
                .send(Method::POST, url, "/v1/configuration", body.clone())
                .await
            {
                Ok(response) => return Ok(response),
                Err(error) if error.is_unsent() => last_error = Some(error),
                Err(error) => return Err(self.no_answer(error)),
            }
        }
        Err(self.no_answer(last_error.unwrap_or(HttpError::TimedOut { waited_ms: 0 })))
    }

    /// Reads the configuration to find out whether a change without response took effect.
    async fn confirm_change(&self, change: &Change) -> Result<u64, OperatorError> {
        for _ in 0..MAX_CONFIRMATION_READS {
            tokio::time::sleep(Duration::from_millis(CONFIRMATION_READ_DELAY_MS)).await;
            match self.configuration().await {
                Ok(found) if found.revision <= change.base_revision => {}
                Ok(found) if found.document == change.document => return Ok(found.revision),
                Ok(_) => return Err(OperatorError::Unknown),
                Err(_) => {}
            }
        }
        Err(OperatorError::Unknown)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let mut last_error = HttpError::TimedOut { waited_ms: 0 };
        for url in &self.node_urls {
            match self.send(Method::GET, url, path, Bytes::new()).await {
                Ok(response) => return read(&response),
                Err(error) => last_error = error,
            }
        }
        Err(self.no_answer(last_error))
    }

    async fn send(
        &self,
        method: Method,
        node: &Url,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, HttpError> {
        let node = node.as_str().trim_end_matches('/');
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{node}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = self.token.as_ref().and_then(Secret::expose_text) {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        self.http
            .fetch(request.body(Full::new(body))?, TIMEOUT_MS)
            .await
    }

    fn no_answer(&self, cause: HttpError) -> OperatorError {
        let urls: Vec<&str> = self.node_urls.iter().map(Url::as_str).collect();
        OperatorError::NoAnswer {
            urls: urls.join(", "),
            cause,
        }
    }
}

fn read<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, OperatorError> {
    match response.status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(OperatorError::Forbidden),
        status if status.is_success() => {
            serde_json::from_slice(&response.body).map_err(|_not_json| unexpected(response))
        }
        _ => Err(unexpected(response)),
    }
}

fn change_result(base: u64, response: &BufferedResponse) -> Result<u64, OperatorError> {
    match response.status {
        StatusCode::CONFLICT => {
            let stale: Stale = parse(response)?;
            let in_force = stale.in_force;
            Err(OperatorError::Stale { base, in_force })
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let invalid: Invalid = parse(response)?;
            let faults = invalid.faults.into_iter().map(NodeFault::from).collect();
            Err(OperatorError::Invalid { faults })
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let unavailable: LogUnavailable = parse(response)?;
            Err(match unavailable.outcome {
                RefusalOutcome::NotRun => OperatorError::NotAccepted,
                _ => OperatorError::Unknown,
            })
        }
        _ => read::<Accepted>(response).map(|accepted| accepted.revision),
    }
}

fn parse<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, OperatorError> {
    serde_json::from_slice(&response.body).map_err(|_not_json| unexpected(response))
}

fn unexpected(response: &BufferedResponse) -> OperatorError {
    let body = String::from_utf8_lossy(&response.body);
    OperatorError::Unexpected {
        status: response.status,
        body: body.chars().take(MAX_SHOWN_CHARS).collect(),
    }
}

#[cfg(test)]
mod tests;
