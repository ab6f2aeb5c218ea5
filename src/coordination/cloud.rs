//! The host list and the cloud that hosts are bought from.
//!
//! The list lags behind what happens; notices are prompt. See `docs/design/protocols.md`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::http::CallError;
use crate::time::TimeMs;

pub mod buying;
mod http;

pub use http::HttpCloud;

/// Whether the platform still means to keep a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It does.
    Live,
    /// It takes the host away.
    Leaving,
}

/// A host as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The platform's name for it.
    pub host: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its class.
    pub host_class: String,
    /// Its pool.
    pub pool: String,
    /// Whether it is to stay.
    pub state: ListedState,
    /// When it is gone, if it leaves.
    #[serde(default)]
    pub leave_at_ms: Option<TimeMs>,
}

/// The host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// When it was true.
    pub as_of_ms: TimeMs,
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}

/// Why a host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The provider takes it back.
    Reclaim,
    /// It was planned.
    Planned,
}

/// The announcement that a host leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Its number.
    pub sequence: u64,
    /// The host.
    pub host: String,
    /// When it is gone.
    pub leave_at_ms: TimeMs,
    /// Why it leaves.
    pub reason: LeaveReason,
}

/// Notices in the order of their numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// The number to go on from.
    pub next: u64,
    /// The notices.
    pub notices: Vec<Notice>,
}

/// A host to buy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewPurchase {
    /// The buyer's id, by which the cloud knows a repeated order.
    pub purchase: String,
    /// The class wanted.
    pub host_class: String,
    /// The failure domain wanted.
    pub failure_domain: String,
    /// The pool that the host is for.
    pub pool: String,
}

/// How far a purchase has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PurchaseState {
    /// The host starts.
    Starting,
    /// The host runs.
    Live,
    /// The host is gone.
    Ended,
}

/// A purchase that the cloud knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The buyer's id.
    pub purchase: String,
    /// The host.
    pub host: String,
    /// How far it has come.
    pub state: PurchaseState,
}

/// What a class costs in a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The class.
    pub host_class: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The price now.
    pub price_per_hour: f64,
    /// Whether the provider may take such a host back.
    pub reclaimable: bool,
}

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// There is no such host to be had now.
    #[error("the cloud has no capacity for this class in this failure domain")]
    NoCapacity,
    /// The call failed.
    #[error(transparent)]
    Call(CallError),
}

impl CloudError {
    /// Whether the call may have taken effect.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::NoCapacity => false,
            Self::Call(error) => error.is_unknown(),
        }
    }

    /// Whether the cloud has no such host.
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

/// The host list and the cloud.
pub trait Cloud: Send + Sync + 'static {
    /// Reads the host list.
    fn hosts(&self) -> impl Future<Output = Result<HostList, CloudError>> + Send;

    /// Reads notices from number `from`; holds the answer back for up to `wait_ms` if there are
    /// none.
    fn notices(
        &self,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Notices, CloudError>> + Send;

    /// Buys a host and tells its name; a known id gets the answer that it got before.
    fn buy(&self, order: &NewPurchase) -> impl Future<Output = Result<String, CloudError>> + Send;

    /// Lists the purchases.
    fn purchases(&self) -> impl Future<Output = Result<Vec<Purchase>, CloudError>> + Send;

    /// Gives a host back; harmless if done twice.
    fn give_back(&self, host: &str) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Lists the prices.
    fn prices(&self) -> impl Future<Output = Result<Vec<Price>, CloudError>> + Send;
}
