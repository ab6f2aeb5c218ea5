//! Carries out single orders, each under the lease of its failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use super::memory::Tenure;
use crate::audit::{self, Actor, Entry, Outcome};
use crate::coordination::cloud::{Cloud, NewPurchase};
use crate::coordination::leases::FencingToken;
use crate::coordination::weights::{NewLoad, WeightStore};
use crate::keys::HostKey;
use crate::node::Node;
use crate::placement::{ModelVersion, PurchaseId};
use crate::time::TimeMs;
use crate::upstreams::{Engines, Order, UpstreamError};

/// How long one act may take; a round must end before its news lapses.
const PATIENCE_MS: u64 = 4_000;

/// Under which lease an act is done.
#[derive(Clone, Debug)]
pub(super) struct Under {
    /// The lease.
    pub(super) lease: String,
    /// Its fencing number.
    pub(super) fencing: FencingToken,
}

impl From<&Tenure> for Under {
    fn from(tenure: &Tenure) -> Self {
        Self {
            lease: tenure.lease.clone(),
            fencing: tenure.fencing,
        }
    }
}

/// What is to be done, in the platform's names.
#[derive(Clone, Debug)]
pub(super) enum Act {
    Buy {
        id: PurchaseId,
        purchase: NewPurchase,
    },
    GiveBack {
        host: HostKey,
        name: String,
        /// Where to look once more whether it is empty; `None` if that does not matter.
        look_at: Option<SocketAddr>,
    },
    Order {
        name: String,
        address: SocketAddr,
        order: Order,
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
                Order::LoadModel { .. } => "load_model",
                Order::UnloadModel { .. } => "unload_model",
                Order::LoadAdapter { .. } => "load_adapter",
                Order::SetRole { .. } => "set_role",
            },
            Self::Ticket { .. } => "ticket",
        }
    }
}

/// What came of an act.
#[derive(Clone, Copy, Debug)]
pub(super) enum Done {
    /// It took effect.
    Applied,
    /// A host was bought.
    Bought { id: PurchaseId },
    /// There is no such host to be had.
    SoldOut { id: PurchaseId },
    /// A host was given back.
    GivenBack { host: HostKey },
    /// The weight store gave leave.
    Ticket {
        host: HostKey,
        version: ModelVersion,
        start_at_ms: TimeMs,
    },
    /// The weight store takes no more for now.
    StoreClosed { until_ms: TimeMs },
    /// The host has streams after all.
    Busy,
    /// The lease was over before it was begun.
    LeaseOver,
    /// A later holder has given orders already.
    Stale,
    /// It failed or its answer was lost; the level is still wanted and is ordered again.
    Failed,
}

impl Done {
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

/// Carries an act out if the lease still entitles to it.
///
/// The lease is asked for here, right before each act: between the decision and its tenth order a
/// holder may have been paused past its lease, and would order side by side with its successor.
pub(super) async fn carry_out(node: &Node, under: &Under, act: Act) -> Done {
    let may_act = node.leases.held_token(&under.lease, node.core.clock.now());
    let done = if may_act == Some(under.fencing) {
        let patience = Duration::from_millis(PATIENCE_MS);
        let attempt = tokio::time::timeout(patience, attempt(node, under.fencing, &act));
        attempt.await.unwrap_or(Done::Failed)
    } else {
        Done::LeaseOver
    };
    let (kind, outcome) = (act.kind(), done.name());
    metrics::counter!("teaselline_placement_acts_total", "act" => kind, "outcome" => outcome)
        .increment(1);
    record(node, under, &act, done);
    log::info!(
        lease = under.lease.as_str(), fencing = under.fencing.0, act:? = act, outcome = outcome;
        "an act of placement"
    );
    done
}

/// Puts what was done into the audit trail; what was not begun leaves no trace.
fn record(node: &Node, under: &Under, act: &Act, done: Done) {
    let (what, target) = match act {
        Act::Buy { purchase, .. } => (audit::Act::BuyHost, &purchase.purchase),
        Act::GiveBack { name, .. } => (audit::Act::GiveBackHost, name),
        Act::Order { name, order, .. } => match order {
            Order::LoadModel { .. } | Order::LoadAdapter { .. } => (audit::Act::Load, name),
            Order::UnloadModel { .. } => (audit::Act::Unload, name),
            Order::SetRole { .. } => (audit::Act::SetRole, name),
        },
        Act::Ticket { .. } => return,
    };
    let outcome = match done {
        Done::LeaseOver | Done::Busy => return,
        Done::SoldOut { .. } | Done::Stale => Outcome::Refused,
        Done::Failed => Outcome::Unknown,
        _ => Outcome::Done,
    };
    let actor = Actor::Controller(under.lease.clone());
    let now = node.core.clock.now();
    let entry = Entry::new(now, node.core.own, actor, what, target, outcome);
    let entry = entry.revision(node.revision()).fencing(under.fencing);
    node.audit.record(entry.detail(done.name()));
}

async fn attempt(node: &Node, fencing: FencingToken, act: &Act) -> Done {
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

async fn buy(node: &Node, id: PurchaseId, purchase: &NewPurchase) -> Done {
    match node.cloud.buy(purchase).await {
        Ok(_host) => Done::Bought { id },
        Err(error) if error.is_no_capacity() => Done::SoldOut { id },
        // The ask stays: the same name is asked for again until it is listed or refused.
        Err(_) => Done::Failed,
    }
}

async fn give_back(node: &Node, host: HostKey, name: &str, look_at: Option<SocketAddr>) -> Done {
    if let Some(address) = look_at {
        let load = node.core.engines.load(address).await;
        if load.is_ok_and(|load| load.running + load.queued > 0) {
            return Done::Busy;
        }
    }
    match node.cloud.return_host(name).await {
        Ok(()) => Done::GivenBack { host },
        Err(_) => Done::Failed,
    }
}

async fn give_order(
    node: &Node,
    address: SocketAddr,
    order: &Order,
    fencing: FencingToken,
) -> Done {
    match node.core.engines.order(address, order, fencing.0).await {
        Ok(()) => Done::Applied,
        Err(UpstreamError::StaleFencing { .. }) => Done::Stale,
        Err(_) => Done::Failed,
    }
}

async fn ticket(node: &Node, host: HostKey, version: ModelVersion, load: &NewLoad) -> Done {
    match node.weights.ticket(load).await {
        Ok(ticket) => Done::Ticket {
            host,
            version,
            start_at_ms: ticket.start_at_ms,
        },
        Err(error) => match error.retry_after_ms() {
            Some(retry_after_ms) => Done::StoreClosed {
                until_ms: node.core.clock.now().after(retry_after_ms),
            },
            None => Done::Failed,
        },
    }
}
