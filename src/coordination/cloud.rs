//! The host list and the cloud API for buying hosts.
//!
//! The list lags behind the actual state; notices are prompt. See `docs/design/protocols.md`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::http::CallError;
use crate::time::TimeMs;

pub mod buying;
mod http;

pub use http::HttpCloud;

/// Whether the platform intends to keep a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host stays.
    Live,
    /// The host is being removed.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The platform's name of the host.
    pub host: String,
    /// The address on which the host listens.
    pub address: SocketAddr,
    /// The host's failure domain.
    pub failure_domain: String,
    /// The host's class.
    pub host_class: String,
    /// The host's pool.
    pub pool: String,
    /// Whether the host stays.
    pub state: ListedState,
    /// The time of removal, if the host is leaving.
    #[serde(default)]
    pub leave_at_ms: Option<TimeMs>,
}

/// The host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The time at which the list was current.
    pub as_of_ms: TimeMs,
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}

/// The reason why a host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The provider reclaims the host.
    Reclaim,
    /// The removal was planned.
    Planned,
}

/// The announcement that a host leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The sequence number of the notice.
    pub sequence: u64,
    /// The host.
    pub host: String,
    /// The time of removal.
    pub leave_at_ms: TimeMs,
    /// The reason for the removal.
    pub reason: LeaveReason,
}

/// Notices sorted by sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// The sequence number to continue from.
    pub next: u64,
    /// The notices.
    pub notices: Vec<Notice>,
}

/// An order for a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewPurchase {
    /// The buyer's id of the purchase, by which the cloud recognises a repeated order.
    pub purchase: String,
    /// The requested host class.
    pub host_class: String,
    /// The requested failure domain.
    pub failure_domain: String,
    /// The pool that the host will join.
    pub pool: String,
}

/// The state of a purchase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PurchaseState {
    /// The host is starting.
    Starting,
    /// The host is running.
    Live,
    /// The host has been removed.
    Ended,
}

/// A purchase as listed by the cloud.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The buyer's id of the purchase.
    pub purchase: String,
    /// The purchased host.
    pub host: String,
    /// The state of the purchase.
    pub state: PurchaseState,
}

/// The price of a host class in a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The class.
    pub host_class: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The current price per hour.
    pub price_per_hour: f64,
    /// Whether the provider may reclaim such a host.
    pub reclaimable: bool,
}

/// The reason why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud currently has no capacity for the requested host.
    #[error("the cloud has no capacity for this class in this failure domain")]
    NoCapacity,
    /// The call failed.
    #[error(transparent)]
    Call(CallError),
}

impl CloudError {
    /// Whether the call may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::NoCapacity => false,
            Self::Call(error) => error.may_have_taken_effect(),
        }
    }

    /// Whether the cloud has no capacity for the requested host.
    #[must_use]
    pub fn is_no_capacity(&self) -> bool {
        matches!(self, Self::NoCapacity)
    }
}

impl From<CallError> for CloudError {
    fn from(error: CallError) -> Self {
        match error.status() {
            Some(::http::StatusCode::CONFLICT) => Self::NoCapacity,
            _ => Self::Call(error),
        }
    }
}

/// A client of the host list and the cloud API.
pub trait Cloud: Send + Sync + 'static {
    /// Reads the host list.
    fn hosts(&self) -> impl Future<Output = Result<HostList, CloudError>> + Send;

    /// Reads notices from sequence number `from`; without any the response is delayed by up to
    /// `wait_ms`.
    fn notices(
        &self,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Notices, CloudError>> + Send;

    /// Buys a host and returns its name; a known id gets the same response as before.
    fn buy(&self, order: &NewPurchase) -> impl Future<Output = Result<String, CloudError>> + Send;

    /// Lists the purchases.
    fn purchases(&self) -> impl Future<Output = Result<Vec<Purchase>, CloudError>> + Send;

    /// Returns a host to the cloud; idempotent.
    fn return_host(&self, host: &str) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Lists the prices.
    fn prices(&self) -> impl Future<Output = Result<Vec<Price>, CloudError>> + Send;
}
