//! Executes single acts, each under the lease of its failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use super::controller_state::HeldLease;
use crate::audit::{self, Actor, Entry, Outcome};
use crate::coordination::cloud::{Cloud, NewPurchase};
use crate::coordination::leases::FencingToken;
use crate::coordination::weight_store::{NewLoad, WeightStore};
use crate::keys::HostKey;
use crate::node::Node;
use crate::placement::{ModelVersion, PurchaseId};
use crate::time::TimeMs;
use crate::upstreams::{EngineOrder, Engines, UpstreamError};

/// Timeout of one act; a round must end before its report expires.
const ACT_TIMEOUT_MS: u64 = 4_000;

/// The lease under which an act is executed.
#[derive(Clone, Debug)]
pub(super) struct ActingLease {
    /// Name of the lease.
    pub(super) name: String,
    /// Fencing token of the lease.
    pub(super) fencing: FencingToken,
}

impl From<&HeldLease> for ActingLease {
    fn from(held_lease: &HeldLease) -> Self {
        Self {
            name: held_lease.lease.clone(),
            fencing: held_lease.fencing,
        }
    }
}

/// An act to execute, in the platform's names.
#[derive(Clone, Debug)]
pub(super) enum Act {
    Buy {
        id: PurchaseId,
        purchase: NewPurchase,
    },
    GiveBack {
        host: HostKey,
        name: String,
        /// Engine whose load is checked again before the give-back; `None` skips the check.
        look_at: Option<SocketAddr>,
    },
    Order {
        name: String,
        address: SocketAddr,
        order: EngineOrder,
    },
    Ticket {
        host: HostKey,
        version: ModelVersion,
        load: NewLoad,
    },
}

impl Act {
    fn kind(&self) -> &'static str {
        match self {
            Self::Buy { .. } => "buy",
            Self::GiveBack { .. } => "give_back",
            Self::Order { order, .. } => match order {
                EngineOrder::LoadModel { .. } => "load_model",
                EngineOrder::UnloadModel { .. } => "unload_model",
                EngineOrder::LoadAdapter { .. } => "load_adapter",
                EngineOrder::SetRole { .. } => "set_role",
            },
            Self::Ticket { .. } => "ticket",
        }
    }
}

/// The result of an act.
#[derive(Clone, Copy, Debug)]
pub(super) enum ActOutcome {
    /// The act took effect.
    Applied,
    /// A host was bought under this id.
    Bought { id: PurchaseId },
    /// The platform has no capacity for this purchase.
    SoldOut { id: PurchaseId },
    /// A host was returned to the platform.
    GivenBack { host: HostKey },
    /// The weight store issued a ticket for a load.
    Ticket {
        host: HostKey,
        version: ModelVersion,
        start_at_ms: TimeMs,
    },
    /// The weight store issues no tickets until `until_ms`.
    StoreClosed { until_ms: TimeMs },
    /// The host still has streams and was not given back.
    Busy,
    /// The lease was lost before the act began.
    LeaseOver,
    /// The engine rejected the fencing token because a later holder has sent orders.
    Stale,
    /// The act failed or its response was lost; a later round orders it again if still needed.
    Failed,
}

impl ActOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Bought { .. } => "bought",
            Self::SoldOut { .. } => "sold_out",
            Self::GivenBack { .. } => "given_back",
            Self::Ticket { .. } => "ticket",
            Self::StoreClosed { .. } => "store_closed",
            Self::Busy => "busy",
            Self::LeaseOver => "lease_over",
            Self::Stale => "stale_fencing",
            Self::Failed => "failed",
        }
    }
}

/// Executes an act if this node still holds the lease.
///
/// The lease is checked immediately before each act: a holder that is paused between its decision
/// and a later act, say the tenth, may lose its lease, and would issue orders concurrently with its
/// successor.
pub(super) async fn execute(node: &Node, lease: &ActingLease, act: Act) -> ActOutcome {
    let may_act = node.leases.held_token(&lease.name, node.core.clock.now());
    let outcome = if may_act == Some(lease.fencing) {
        let timeout = Duration::from_millis(ACT_TIMEOUT_MS);
        let attempt = tokio::time::timeout(timeout, attempt(node, lease.fencing, &act));
        attempt.await.unwrap_or(ActOutcome::Failed)
    } else {
        ActOutcome::LeaseOver
    };
    let (kind, outcome_name) = (act.kind(), outcome.name());
    metrics::counter!("teaselline_placement_acts_total", "act" => kind, "outcome" => outcome_name)
        .increment(1);
    record(node, lease, &act, outcome);
    log::info!(
        lease = lease.name.as_str(), fencing = lease.fencing.0, act:? = act, outcome = outcome_name;
        "a placement act ended"
    );
    outcome
}

/// Records the act in the audit trail, unless it did not begin.
fn record(node: &Node, lease: &ActingLease, act: &Act, outcome: ActOutcome) {
    let (what, target) = match act {
        Act::Buy { purchase, .. } => (audit::Act::BuyHost, &purchase.purchase),
        Act::GiveBack { name, .. } => (audit::Act::GiveBackHost, name),
        Act::Order { name, order, .. } => match order {
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => {
                (audit::Act::Load, name)
            }
            EngineOrder::UnloadModel { .. } => (audit::Act::Unload, name),
            EngineOrder::SetRole { .. } => (audit::Act::SetRole, name),
        },
        Act::Ticket { .. } => return,
    };
    let audit_outcome = match outcome {
        ActOutcome::LeaseOver | ActOutcome::Busy => return,
        ActOutcome::SoldOut { .. } | ActOutcome::Stale => Outcome::Refused,
        ActOutcome::Failed => Outcome::Unknown,
        _ => Outcome::Done,
    };
    let actor = Actor::Controller(lease.name.clone());
    let now = node.core.clock.now();
    let entry = Entry::new(now, node.core.own, actor, what, target, audit_outcome);
    let entry = entry.revision(node.revision()).fencing(lease.fencing);
    node.audit.record(entry.detail(outcome.name()));
}

async fn attempt(node: &Node, fencing: FencingToken, act: &Act) -> ActOutcome {
    match act {
        Act::Buy { id, purchase } => buy(node, *id, purchase).await,
        Act::GiveBack {
            host,
            name,
            look_at,
        } => give_back(node, *host, name, *look_at).await,
        Act::Order { address, order, .. } => give_order(node, *address, order, fencing).await,
        Act::Ticket {
            host,
            version,
            load,
        } => ticket(node, *host, *version, load).await,
    }
}

async fn buy(node: &Node, id: PurchaseId, purchase: &NewPurchase) -> ActOutcome {
    match node.cloud.buy(purchase).await {
        Ok(_host) => ActOutcome::Bought { id },
        Err(error) if error.is_no_capacity() => ActOutcome::SoldOut { id },
        // The purchase stays open and is repeated under the same name until it is listed or
        // refused.
        Err(_) => ActOutcome::Failed,
    }
}

async fn give_back(
    node: &Node,
    host: HostKey,
    name: &str,
    look_at: Option<SocketAddr>,
) -> ActOutcome {
    if let Some(address) = look_at {
        let load = node.core.engines.load(address).await;
        if load.is_ok_and(|load| load.running + load.queued > 0) {
            return ActOutcome::Busy;
        }
    }
    match node.cloud.return_host(name).await {
        Ok(()) => ActOutcome::GivenBack { host },
        Err(_) => ActOutcome::Failed,
    }
}

async fn give_order(
    node: &Node,
    address: SocketAddr,
    order: &EngineOrder,
    fencing: FencingToken,
) -> ActOutcome {
    match node.core.engines.order(address, order, fencing.0).await {
        Ok(()) => ActOutcome::Applied,
        Err(UpstreamError::StaleFencing { .. }) => ActOutcome::Stale,
        Err(_) => ActOutcome::Failed,
    }
}

async fn ticket(node: &Node, host: HostKey, version: ModelVersion, load: &NewLoad) -> ActOutcome {
    match node.weights.ticket(load).await {
        Ok(ticket) => ActOutcome::Ticket {
            host,
            version,
            start_at_ms: ticket.start_at_ms,
        },
        Err(error) => match error.retry_after_ms() {
            Some(retry_after_ms) => ActOutcome::StoreClosed {
                until_ms: node.core.clock.now().after(retry_after_ms),
            },
            None => ActOutcome::Failed,
        },
    }
}
