//! The platform's interface for duties that one node has at a time: usage and purchases.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde::Serialize;
use thiserror::Error;

use super::http::{Call, CallError, Client};
use crate::gateway::sizing::Order;
use crate::gateway::usage::UsageReport;

/// The platform answers in some milliseconds, when slow in some hundred.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Who makes a call, and by which right.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder<'a> {
    pub node: &'a str,
    /// Grows whenever another node takes over.
    pub fencing_token: u64,
}

/// What the platform said to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Accepted,
    /// A holder with a higher fencing token has acted.
    Fenced,
    /// Nothing of this kind is to be had now.
    Unavailable,
    /// Refused for another reason; nothing was done.
    Refused(StatusCode),
}

/// Why a call has no verdict.
#[derive(Debug, Error)]
pub(crate) enum CloudError {
    /// There is no answer; the call may take effect later.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The call cannot be encoded.
    #[error("the call cannot be encoded")]
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

/// The interface at its address.
#[derive(Debug)]
pub(crate) struct Cloud {
    client: Client,
}

impl Cloud {
    /// The interface at an address; nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
        }
    }

    /// Reports the usage of one window.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn report(
        &self,
        holder: Holder<'_>,
        report: &UsageReport,
    ) -> Result<Verdict, CloudError> {
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
            status if status.is_success() => Verdict::Accepted,
            StatusCode::CONFLICT => Verdict::Fenced,
            status => Verdict::Refused(status),
        })
    }

    /// Orders a number of upstreams of one kind in one failure domain.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn order(&self, holder: Holder<'_>, order: &Order) -> Result<Verdict, CloudError> {
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
            status if status.is_success() => Verdict::Accepted,
            // The platform answers alike to a stale token and to a kind that it has none of; only
            // reclaimable upstreams can be out of stock.
            StatusCode::CONFLICT if order.is_reclaimable => Verdict::Unavailable,
            StatusCode::CONFLICT => Verdict::Fenced,
            status => Verdict::Refused(status),
        })
    }

    async fn post(
        &self,
        path: &str,
        holder: Holder<'_>,
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
