//! The weight store, which lets hosts load weights at a limited rate.

use serde::{Deserialize, Serialize};

use crate::coordination::http::{CallError, JsonClient};
use crate::time::TimeMs;

#[cfg(test)]
mod tests;

const TOO_MANY_REQUESTS: u16 = 429;
/// When to ask again if the store refuses and does not say.
const RETRY_AFTER_MS: u64 = 1_000;

/// A load that a host is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewLoad {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// The host that loads it.
    pub host: String,
}

/// Leave to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// What the host shows to the store.
    pub ticket: String,
    /// When the load may start.
    pub start_at_ms: TimeMs,
}

/// Why there is no ticket.
#[derive(Debug, thiserror::Error)]
pub enum TicketError {
    /// Too many loads were asked for.
    #[error("the weight store takes no more loads for {retry_after_ms} ms")]
    TooMany {
        /// When to ask again.
        retry_after_ms: u64,
    },
    /// The call failed; a ticket that was given is not used then and only costs a part of the rate.
    #[error(transparent)]
    Call(CallError),
}

impl TicketError {
    /// When to ask again, if the store said so.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::TooMany { retry_after_ms } => Some(*retry_after_ms),
            Self::Call(_) => None,
        }
    }
}

impl From<CallError> for TicketError {
    fn from(error: CallError) -> Self {
        match error.status() {
            Some(status) if status.as_u16() == TOO_MANY_REQUESTS => Self::TooMany {
                retry_after_ms: error.retry_after_ms().unwrap_or(RETRY_AFTER_MS),
            },
            _ => Self::Call(error),
        }
    }
}

/// The weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Asks for leave to load weights.
    fn ticket(&self, load: &NewLoad) -> impl Future<Output = Result<Ticket, TicketError>> + Send;
}

/// The weight store behind its HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: JsonClient,
}

impl HttpWeightStore {
    /// The store that `client` reaches.
    #[must_use]
    pub fn new(client: JsonClient) -> Self {
        Self { client }
    }
}

impl WeightStore for HttpWeightStore {
    async fn ticket(&self, load: &NewLoad) -> Result<Ticket, TicketError> {
        let url = self.client.url(&["v1", "tickets"]);
        Ok(self.client.post(&url, load).await?)
    }
}
