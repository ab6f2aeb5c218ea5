//! The client of the weight store, which rate-limits the loading of model weights.

use serde::{Deserialize, Serialize};

use crate::coordination::http::{CallError, JsonClient};
use crate::time::TimeMs;

#[cfg(test)]
mod tests;

const TOO_MANY_REQUESTS: u16 = 429;
/// The retry delay if the store rejects a load without specifying one.
const RETRY_AFTER_MS: u64 = 1_000;

/// A planned load of model weights by a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewLoad {
    /// The model.
    pub model: String,
    /// The version of the model.
    pub version: String,
    /// The host that loads the model.
    pub host: String,
}

/// The permission to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The token that the host presents to the store.
    pub ticket: String,
    /// The earliest start of the load.
    pub start_at_ms: TimeMs,
}

/// The reason why the store issued no ticket.
#[derive(Debug, thiserror::Error)]
pub enum TicketError {
    /// The rate limit of the store is exceeded.
    #[error("the rate limit of the weight store is exceeded; retry in {retry_after_ms} ms")]
    TooMany {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The call failed; a ticket that was issued stays unused and only costs a part of the rate.
    #[error(transparent)]
    Call(CallError),
}

impl TicketError {
    /// Returns the delay before a retry in milliseconds, if the rate limit is exceeded.
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

/// A client of the weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Requests a ticket to load weights.
    fn ticket(&self, load: &NewLoad) -> impl Future<Output = Result<Ticket, TicketError>> + Send;
}

/// A [`WeightStore`] that calls the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: JsonClient,
}

impl HttpWeightStore {
    /// Creates a weight store client on top of `client`.
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
