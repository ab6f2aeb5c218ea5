//! The input of placement decisions: document, lease, hosts, purchases and demand.

use super::backoff::Refusal;
use super::order::{Order, Role};
use super::purchase::PurchaseId;
use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};
use crate::time::TimeMs;

/// Identifies a version of a model by the hash of both names.
///
/// A hash also identifies versions and models on a host that the document no longer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion(pub u64);

impl ModelVersion {
    /// Returns the identifier of the version `version` of the model `model`.
    #[must_use]
    pub fn of(model: &str, version: &str) -> Self {
        let text = [model, "\0", version].concat();
        Self(twox_hash::XxHash3_64::oneshot(text.as_bytes()))
    }
}

/// A model that a host has loaded or is loading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadedModel {
    /// The model and version.
    pub version: ModelVersion,
    /// The model, if the document contains one of that name.
    pub model: Option<ModelKey>,
    /// When the load started; `None` once it is complete.
    pub loading_since_ms: Option<TimeMs>,
}

impl LoadedModel {
    /// Whether the model is still being loaded.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        self.loading_since_ms.is_some()
    }
}

/// Lifecycle stage of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Bought, but not responding yet.
    Starting {
        /// When the stage began.
        since_ms: TimeMs,
    },
    /// Running and accepting work.
    Live,
    /// Running without accepting new work.
    Draining {
        /// When the stage began.
        since_ms: TimeMs,
    },
    /// Under reclaim notice.
    Leaving,
    /// Released, or ended according to the list of purchases, but still in the host list.
    GivenBack,
}

/// A host of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its class.
    pub class: ClassKey,
    /// Its pool.
    pub pool: PoolKey,
    /// Lifecycle stage of the host.
    pub stage: Stage,
    /// Streams of all nodes on the host.
    pub running: u32,
    /// When the host measured `running`.
    pub load_as_of_ms: TimeMs,
    /// Since when the host has not responded; `None` while it responds.
    pub failing_since_ms: Option<TimeMs>,
    /// Models on the host; empty for plain services.
    pub models: Vec<LoadedModel>,
    /// The assigned role; `None` for plain services.
    pub role: Option<Role>,
}

/// A host that this system bought for an entry that the document no longer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrphanedHost {
    /// The host.
    pub host: HostKey,
    /// Streams on the host.
    pub running: u32,
    /// When the host measured `running`.
    pub load_as_of_ms: TimeMs,
    /// When the drain started; `None` if the host is not draining.
    pub draining_since_ms: Option<TimeMs>,
}

/// State of a purchase, as reported by the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurchaseState {
    /// The host is starting.
    Starting,
    /// The host is running.
    Live,
    /// The host no longer exists.
    Ended,
}

/// A purchase in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purchase {
    /// The id chosen by the buyer.
    pub id: PurchaseId,
    /// The host.
    pub host: HostKey,
    /// State of the purchase.
    pub state: PurchaseState,
}

/// A purchase that was requested and has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPurchase {
    /// The id chosen by the buyer.
    pub id: PurchaseId,
    /// When the purchase was last requested.
    pub requested_at_ms: TimeMs,
}

/// The current price of a class in a failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price {
    /// The class.
    pub class: ClassKey,
    /// The failure domain.
    pub domain: DomainKey,
    /// The price of one host.
    pub price_per_hour: f64,
}

/// Concurrent work of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of concurrent streams.
    pub streams: f64,
    /// Generation rate.
    pub tokens_per_second: f64,
    /// Prefill rate for prompt tokens.
    pub prefill_tokens_per_second: f64,
}

impl Demand {
    /// Returns the sum of both demands.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, |a, b| a + b)
    }

    /// Returns the component-wise maximum of both demands.
    #[must_use]
    pub fn larger(&self, other: &Self) -> Self {
        self.combine(other, f64::max)
    }

    /// Returns the demand multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        self.combine(self, |amount, _| amount * factor)
    }

    fn combine(&self, other: &Self, operation: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            streams: operation(self.streams, other.streams),
            tokens_per_second: operation(self.tokens_per_second, other.tokens_per_second),
            prefill_tokens_per_second: operation(
                self.prefill_tokens_per_second,
                other.prefill_tokens_per_second,
            ),
        }
    }
}

/// Forecast demand of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolKey,
    /// Peak demand until a host bought now would serve; `None` selects the document's host counts.
    pub lead_time_peak: Option<Demand>,
    /// Peak demand in a longer window, past and future; hosts that it needs are not released.
    pub retention_peak: Option<Demand>,
    /// Fraction of the demand that is batch work, from 0 to 1.
    pub batch_share: f64,
}

/// The lease that authorizes a controller to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token, which is the offset of the lease in the log.
    pub fencing: u64,
    /// When the lease was acquired.
    pub since_ms: TimeMs,
    /// When the lease expires.
    pub ends_at_ms: TimeMs,
    /// Whether the log is reachable; during an outage no other controller can acquire the lease.
    pub is_log_reachable: bool,
}

/// The orders that a lease permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Authority {
    Full,
    /// Only orders that two controllers may give at the same time.
    IdempotentOnly,
    None,
}

/// Time before expiry at which the lease holder stops, since orders in flight take time to arrive.
const LEASE_MARGIN_MS: u64 = 1_000;

impl Lease {
    /// Returns the orders that the lease permits at the time of the decision.
    ///
    /// A holder paused beyond the expiry of its lease would give orders alongside its successor,
    /// and both would buy hosts for the same need. The holder therefore stops a margin before
    /// expiry. During an outage of the log no controller can renew the lease; idempotent orders,
    /// such as loads and retried purchases, continue then.
    pub(super) fn authority(&self, now: TimeMs) -> Authority {
        match self {
            _ if now.after(LEASE_MARGIN_MS) < self.ends_at_ms => Authority::Full,
            _ if !self.is_log_reachable => Authority::IdempotentOnly,
            _ => Authority::None,
        }
    }
}

/// Bandwidth and availability of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStore {
    /// Bandwidth shared by all hosts.
    pub bytes_per_second: f64,
    /// Time until which the store refuses tickets.
    pub closed_until_ms: TimeMs,
}

/// Placement parameters of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Highest utilisation of a host, as a fraction, that meets the latency target.
    pub utilisation_max: f64,
    /// Least fraction of the demand that hosts which cannot be reclaimed must be able to serve.
    pub on_demand_share_min: f64,
    /// Fraction by which the price of a held host is reduced, which avoids needless replacement.
    pub held_host_discount: f64,
    /// Drain timeout, after which the remaining streams are moved and the host is released.
    pub drain_max_ms: u64,
    /// How long a host may be starting or unresponsive before it is released.
    pub silent_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation_max: 0.85,
            on_demand_share_min: 0.3,
            held_host_discount: 0.15,
            drain_max_ms: 600_000,
            silent_max_ms: 600_000,
        }
    }
}

/// A snapshot of the state that placement decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The document in effect.
    pub document: &'a Document,
    /// The lease of the controller.
    pub lease: Lease,
    /// Number of purchases requested under this lease so far.
    pub purchases_requested: u32,
    /// Failure domains that this controller gives orders for, sorted; hosts of others are counted.
    pub domains: &'a [DomainKey],
    /// Current prices, sorted by class and failure domain; missing ones default to list prices.
    pub prices: &'a [Price],
    /// Hosts of all failure domains, sorted by host.
    pub hosts: &'a [Host],
    /// Hosts bought for entries that the document no longer contains.
    pub orphaned_hosts: &'a [OrphanedHost],
    /// Purchases of this system, as listed by the cloud.
    pub purchases: &'a [Purchase],
    /// When the purchases were listed; a list under this lease is required before buying.
    pub purchases_listed_at_ms: Option<TimeMs>,
    /// Purchases without a response.
    pub pending_purchases: &'a [PendingPurchase],
    /// Refused starts, sorted by class and failure domain.
    pub refusals: &'a [Refusal],
    /// Forecast demand of each pool.
    pub pools: &'a [PoolDemand],
    /// Bandwidth and availability of the weight store.
    pub weight_store: WeightStore,
    /// Placement parameters.
    pub settings: Settings,
}

impl PlacementView<'_> {
    /// Returns the price of one host of a class in a failure domain.
    #[must_use]
    pub fn price_per_hour(&self, class: ClassKey, domain: DomainKey) -> f64 {
        let found = self
            .prices
            .binary_search_by_key(&(class, domain), |price| (price.class, price.domain));
        found.map_or(self.document.host_class(class).price_per_hour, |index| {
            self.prices[index].price_per_hour
        })
    }

    /// Returns a host, if it is known.
    #[must_use]
    pub fn host(&self, host: HostKey) -> Option<&Host> {
        let found = self.hosts.binary_search_by_key(&host, |row| row.host);
        found.ok().map(|index| &self.hosts[index])
    }

    /// Whether the order is within the failure domains of this controller.
    ///
    /// Orders for hosts that `hosts` does not contain are within the scope of every controller.
    pub(super) fn is_in_scope(&self, order: &Order) -> bool {
        let domain = match order {
            Order::Buy { purchase } => Some(purchase.domain),
            Order::GiveBack { host }
            | Order::Drain { host }
            | Order::Load { host, .. }
            | Order::Unload { host, .. }
            | Order::SetRole { host, .. } => self.host(*host).map(|host| host.domain),
        };
        domain.is_none_or(|domain| self.domains.binary_search(&domain).is_ok())
    }
}
