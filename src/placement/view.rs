//! What the controller decides from.

use super::backoff::Refusal;
use super::order::{Order, Role};
use super::purchase::PurchaseId;
use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};
use crate::time::TimeMs;

/// A version of a model, by the hash of both names.
///
/// A host may hold versions and models that the document no longer names; a hash names them too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion(pub u64);

impl ModelVersion {
    /// The version `version` of the model `model`.
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
    /// The model, if the document has one of that name.
    pub model: Option<ModelKey>,
    /// Since when it is being loaded; `None` once it is there.
    pub loading_since_ms: Option<TimeMs>,
}

impl LoadedModel {
    /// Whether it is still being loaded.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        self.loading_since_ms.is_some()
    }
}

/// Where a host stands between purchase and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Bought, but its engine does not answer yet.
    Starting {
        /// Since when.
        since_ms: TimeMs,
    },
    /// Up.
    Live,
    /// Up, and to get no new work.
    Draining {
        /// Since when.
        since_ms: TimeMs,
    },
    /// Under notice.
    Leaving,
    /// Given back, or ended by the purchases' list, though the host list still shows it.
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
    /// Where it stands.
    pub stage: Stage,
    /// Streams of all nodes on it.
    pub running: u32,
    /// When it measured `running`.
    pub load_as_of_ms: TimeMs,
    /// Since when it has not answered.
    pub failing_since_ms: Option<TimeMs>,
    /// Models on it; empty for plain services.
    pub models: Vec<LoadedModel>,
    /// What it is there for; `None` for plain services.
    pub role: Option<Role>,
}

/// A host that this system bought for something that the document no longer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stranger {
    /// The host.
    pub host: HostKey,
    /// Streams on it.
    pub running: u32,
    /// When it measured `running`.
    pub load_as_of_ms: TimeMs,
    /// Since when it gets no new work.
    pub draining_since_ms: Option<TimeMs>,
}

/// How far the cloud has come with a purchase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurchaseState {
    /// The host starts.
    Starting,
    /// The host is up.
    Live,
    /// The host is gone.
    Ended,
}

/// A purchase, as the cloud lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purchase {
    /// The buyer's name for it.
    pub id: PurchaseId,
    /// The host.
    pub host: HostKey,
    /// How far it has come.
    pub state: PurchaseState,
}

/// A purchase that was asked for and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The buyer's name for it.
    pub id: PurchaseId,
    /// When it was last asked for.
    pub asked_at_ms: TimeMs,
}

/// The present price of a class in a failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price {
    /// The class.
    pub class: ClassKey,
    /// The failure domain.
    pub domain: DomainKey,
    /// The price of one host.
    pub price_per_hour: f64,
}

/// Work that a pool has to do at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Streams open at once.
    pub streams: f64,
    /// Tokens generated.
    pub tokens_per_second: f64,
    /// Prompt tokens computed.
    pub prefill_tokens_per_second: f64,
}

impl Demand {
    /// Both demands together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, |a, b| a + b)
    }

    /// The larger of each amount.
    #[must_use]
    pub fn larger(&self, other: &Self) -> Self {
        self.zip(other, f64::max)
    }

    /// The demand times a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        self.zip(self, |amount, _| amount * factor)
    }

    fn zip(&self, other: &Self, join: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            streams: join(self.streams, other.streams),
            tokens_per_second: join(self.tokens_per_second, other.tokens_per_second),
            prefill_tokens_per_second: join(
                self.prefill_tokens_per_second,
                other.prefill_tokens_per_second,
            ),
        }
    }
}

/// What a pool is to be ready for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolKey,
    /// The highest demand until a host bought now would serve; `None` holds the document's counts.
    pub lead: Option<Demand>,
    /// The highest demand in a longer while, past and to come; nothing needed for it is given up.
    pub keep: Option<Demand>,
    /// Part of the demand that is batch work, from 0 to 1.
    pub batch_part: f64,
}

/// The lease that entitles to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its fencing number: its offset in the log.
    pub fencing: u64,
    /// When it was taken.
    pub since_ms: TimeMs,
    /// When it ends.
    pub ends_at_ms: TimeMs,
    /// Whether the log can be reached; while it is out nobody else takes the lease.
    pub log_reachable: bool,
}

/// What the lease entitles to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Authority {
    Full,
    /// Only what may be done by two controllers at once.
    Repeatable,
    None,
}

/// Before this much is left of a lease its holder stops, since an order takes time to arrive.
const LEASE_MARGIN_MS: u64 = 1_000;

impl Lease {
    /// What the lease entitles to.
    ///
    /// A holder that was paused past the lease's end would order side by side with its successor;
    /// one would see hosts bought for the same need by both. It therefore stops a margin before
    /// the end, by the time of the decision. While the log is out it can't be renewed by anybody,
    /// and loads and repeated asks go on, which do no harm when given twice.
    pub(super) fn authority(&self, now: TimeMs) -> Authority {
        match self {
            _ if now.after(LEASE_MARGIN_MS) < self.ends_at_ms => Authority::Full,
            _ if !self.log_reachable => Authority::Repeatable,
            _ => Authority::None,
        }
    }
}

/// How fast weights can be loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStore {
    /// Its rate for all hosts together.
    pub bytes_per_second: f64,
    /// Before this it refuses tickets.
    pub closed_until_ms: TimeMs,
}

/// What a deployment may tune.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Part of a host's rates that it may be loaded to within the latency target.
    pub utilisation_max: f64,
    /// Part of the demand that hosts which can't be reclaimed must be able to serve.
    pub on_demand_part_min: f64,
    /// Part of its price that a host saves by being there already.
    pub stay_discount: f64,
    /// How long a host may take to be drained; its streams are moved then.
    pub drain_max_ms: u64,
    /// How long a host may take to start, or fail to answer, before it is given back.
    pub silent_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation_max: 0.85,
            on_demand_part_min: 0.3,
            stay_discount: 0.15,
            drain_max_ms: 600_000,
            silent_max_ms: 600_000,
        }
    }
}

/// What the controller decides from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The document in force.
    pub document: &'a Document,
    /// The lease.
    pub lease: Lease,
    /// Purchases asked for under this lease so far.
    pub purchases_asked: u32,
    /// Failure domains that this controller orders for, sorted; it counts the others' hosts.
    pub domains: &'a [DomainKey],
    /// Present prices, sorted by class and failure domain; list prices hold where one is missing.
    pub prices: &'a [Price],
    /// Hosts of all failure domains, sorted by host.
    pub hosts: &'a [Host],
    /// Hosts for something that the document no longer names.
    pub strangers: &'a [Stranger],
    /// Purchases of this system, as the cloud lists them.
    pub purchases: &'a [Purchase],
    /// When they were listed; nothing is bought before they have been under this lease.
    pub purchases_listed_at_ms: Option<TimeMs>,
    /// Purchases not answered yet.
    pub asks: &'a [Ask],
    /// Starts that were refused, sorted by class and failure domain.
    pub refusals: &'a [Refusal],
    /// What each pool is to be ready for.
    pub pools: &'a [PoolDemand],
    /// How fast weights can be loaded.
    pub weight_store: WeightStore,
    /// What the deployment has tuned.
    pub settings: Settings,
}

impl PlacementView<'_> {
    /// The price of a class in a failure domain.
    #[must_use]
    pub fn price_per_hour(&self, class: ClassKey, domain: DomainKey) -> f64 {
        let found = self
            .prices
            .binary_search_by_key(&(class, domain), |price| (price.class, price.domain));
        found.map_or(self.document.host_class(class).price_per_hour, |index| {
            self.prices[index].price_per_hour
        })
    }

    /// The host, if it is known.
    #[must_use]
    pub fn host(&self, host: HostKey) -> Option<&Host> {
        let found = self.hosts.binary_search_by_key(&host, |row| row.host);
        found.ok().map(|index| &self.hosts[index])
    }

    /// Whether this controller gives the order; strangers are for any.
    pub(super) fn is_mine(&self, order: &Order) -> bool {
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
