//! Client of the platform API that only the lease holder calls: usage reports and purchases.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde::Serialize;
use thiserror::Error;

use super::http::{Call, CallError, Client};
use crate::gateway::sizing::Order;
use crate::gateway::usage::UsageReport;

/// The platform responds within a few milliseconds, and within a few hundred when slow.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// The node that makes a call and the fencing token of its lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseHolder<'a> {
    pub node: &'a str,
    /// Increases each time that another node acquires the lease.
    pub fencing_token: u64,
}

/// Outcome of a call that the platform responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    Accepted,
    /// A lease holder with a higher fencing token has already called.
    Fenced,
    /// The cloud has no capacity of the ordered kind at present.
    Unavailable,
    /// Rejected for another reason; the call had no effect.
    Refused(StatusCode),
}

/// Reason why a call has no [`CallOutcome`].
#[derive(Debug, Error)]
pub(crate) enum CloudError {
    /// No response arrived; the call may still take effect later.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request body cannot be encoded as JSON.
    #[error("cannot encode the request body as JSON")]
    Encode(#[from] serde_json::Error),
}

#[derive(Serialize)]
struct RawReport<'a> {
    window: u64,
    counts: std::collections::BTreeMap<&'a str, u64>,
}

#[derive(Serialize)]
struct RawOrder<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

/// HTTP client of the platform's usage and scaling API.
#[derive(Debug)]
pub(crate) struct Cloud {
    client: Client,
}

impl Cloud {
    /// Creates a client for an address without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
        }
    }

    /// Reports the usage of each team in one window.
    ///
    /// # Errors
    ///
    /// If the body cannot be encoded or no response arrives.
    pub async fn report_usage(
        &self,
        holder: LeaseHolder<'_>,
        report: &UsageReport,
    ) -> Result<CallOutcome, CloudError> {
        let counts = report.counts.iter();
        let raw = RawReport {
            window: report.window,
            counts: counts
                .map(|(team, count)| (team.as_str(), *count))
                .collect(),
        };
        let status = self
            .post("/usage", holder, serde_json::to_vec(&raw)?)
            .await?;
        Ok(match status {
            status if status.is_success() => CallOutcome::Accepted,
            StatusCode::CONFLICT => CallOutcome::Fenced,
            status => CallOutcome::Refused(status),
        })
    }

    /// Orders a number of upstreams of one pool in one failure domain.
    ///
    /// # Errors
    ///
    /// If the body cannot be encoded or no response arrives.
    pub async fn order_upstreams(
        &self,
        holder: LeaseHolder<'_>,
        order: &Order,
    ) -> Result<CallOutcome, CloudError> {
        let raw = RawOrder {
            service: &order.pool,
            zone: &order.failure_domain,
            desired: order.wanted,
            spot: order.is_reclaimable,
        };
        let status = self
            .post("/scale", holder, serde_json::to_vec(&raw)?)
            .await?;
        Ok(match status {
            status if status.is_success() => CallOutcome::Accepted,
            // The platform responds with 409 both to a stale fencing token and to missing
            // capacity; only reclaimable upstreams can be out of stock.
            StatusCode::CONFLICT if order.is_reclaimable => CallOutcome::Unavailable,
            StatusCode::CONFLICT => CallOutcome::Fenced,
            status => CallOutcome::Refused(status),
        })
    }

    async fn post(
        &self,
        path: &str,
        holder: LeaseHolder<'_>,
        body: Vec<u8>,
    ) -> Result<StatusCode, CloudError> {
        let call = Call {
            method: Method::POST,
            path,
            headers: vec![
                ("duty-holder", holder.node.to_owned()),
                ("fencing-token", holder.fencing_token.to_string()),
            ],
            body: body.into(),
            timeout_ms: CALL_TIMEOUT_MS,
        };
        Ok(self.client.call(call).await?.status)
    }
}
