//! The inventory of a pool: hosts it holds, purchases in flight and offers for more hosts.

use super::mix::{Need, Offer};
use super::view::{Demand, Host, PlacementView, PoolDemand, PurchaseState, Stage};
use crate::document::checked::{HostClass, Pool, PoolKind};
use crate::keys::{ClassKey, DomainKey, ModelKey, PoolKey};
use crate::time::TimeMs;

/// Least fraction of a failure domain's hosts failing at once that indicates a network partition.
const PARTITION_FAILING_SHARE_MIN: f64 = 0.5;

/// The number of hosts of one class in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostCount {
    pub(super) domain: DomainKey,
    pub(super) class: ClassKey,
    /// Number of hosts; held hosts include those bought but not listed yet.
    pub(super) hosts: u32,
}

/// The hosts of a pool, with the view that they are taken from.
#[derive(Debug)]
pub(super) struct PoolInventory<'a> {
    pub(super) view: &'a PlacementView<'a>,
    pub(super) demand: &'a PoolDemand,
    pub(super) pool: &'a Pool,
    /// Hosts of the pool, excluding leaving, released and unresponsive ones.
    pub(super) hosts: Vec<&'a Host>,
    /// Hosts of the pool that are to be replaced because they have been unresponsive too long.
    pub(super) unresponsive: Vec<&'a Host>,
    /// Host counts, sorted by failure domain and class.
    held: Vec<HostCount>,
    /// Failure domains and classes with hosts of any pool under notice, sorted.
    leaving: Vec<(DomainKey, ClassKey)>,
}

impl<'a> PoolInventory<'a> {
    pub(super) fn new(view: &'a PlacementView<'a>, demand: &'a PoolDemand, now: TimeMs) -> Self {
        let in_pool = view.hosts.iter().filter(|host| host.pool == demand.pool);
        let remaining = in_pool.filter(|h| !matches!(h.stage, Stage::Leaving | Stage::GivenBack));
        let (unresponsive, hosts) = remaining.partition(|host| is_unresponsive(view, host, now));
        let mut inventory = Self {
            view,
            demand,
            pool: view.document.pool(demand.pool),
            hosts,
            unresponsive,
            held: Vec::new(),
            leaving: leaving(view),
        };
        inventory.count_hosts();
        inventory
    }

    /// Returns the key of the pool.
    pub(super) fn key(&self) -> PoolKey {
        self.demand.pool
    }

    /// Returns the models of an engine pool; empty for other pools.
    pub(super) fn models(&self) -> &'a [ModelKey] {
        match &self.pool.kind {
            PoolKind::Engine { models, .. } => models,
            PoolKind::Service { .. } => &[],
        }
    }

    /// Returns the number of hosts of a class in a failure domain, including unlisted purchases.
    pub(super) fn held(&self, domain: DomainKey, class: ClassKey) -> u32 {
        let found = self
            .held
            .binary_search_by_key(&(domain, class), |held| (held.domain, held.class));
        found.map_or(0, |index| self.held[index].hosts)
    }

    /// Whether a host is live and has loaded some version of every model of the pool.
    pub(super) fn serves(&self, host: &Host) -> bool {
        let loaded = |model: &ModelKey| {
            let models = host.models.iter();
            let mut loaded = models.filter(|held| !held.is_loading());
            loaded.any(|held| held.model == Some(*model))
        };
        host.stage == Stage::Live
            && host.failing_since_ms.is_none()
            && self.models().iter().all(loaded)
    }

    /// Returns the offers of the pool's classes in its failure domains, relative to a demand.
    pub(super) fn offers(&self, demand: &Demand, now: TimeMs) -> Vec<Offer> {
        let domains = self.pool.hosts.iter().map(|(domain, _)| *domain);
        let offers = domains.flat_map(|domain| {
            let classes = self.pool.host_classes.iter();
            classes.map(move |class| self.offer(domain, *class, demand, now))
        });
        offers.collect()
    }

    fn offer(&self, domain: DomainKey, class: ClassKey, demand: &Demand, now: TimeMs) -> Offer {
        let row = self.view.document.host_class(class);
        let held = self.held(domain, class);
        let limit = held.saturating_add(self.additional_starts_max(domain, class, now));
        Offer {
            domain,
            class,
            price_per_hour: self.view.price_per_hour(class, domain),
            capacity: self.capacity(row, demand),
            reclaimable: row.reclaimable,
            held,
            limit,
        }
    }

    /// Returns the maximum number of additional starts of a class in a failure domain.
    ///
    /// A class that is being reclaimed in a failure domain is in short supply there. New starts
    /// would be refused or reclaimed next, so that starts and notices would alternate. The class
    /// gets no starts while its hosts leave, nor during the backoff after refusals. After the
    /// backoff one start is tried, so that the mix relies on more only once one has succeeded.
    fn additional_starts_max(&self, domain: DomainKey, class: ClassKey, now: TimeMs) -> u32 {
        let refusals = self.view.refusals;
        let refusal = refusals
            .binary_search_by_key(&(class, domain), |r| (r.class, r.domain))
            .map(|index| refusals[index]);
        let reclaimable = self.view.document.host_class(class).reclaimable;
        let leaving = self.leaving.binary_search(&(domain, class)).is_ok();
        match refusal {
            _ if reclaimable && leaving => 0,
            Ok(refusal) if now < refusal.retry_at_ms() => 0,
            Ok(refusal) if refusal.consecutive_refusals > 0 => 1,
            _ => u32::MAX,
        }
    }

    /// Returns the fraction of a demand that one host of a class serves within the latency target.
    fn capacity(&self, class: &HostClass, demand: &Demand) -> f64 {
        let fraction = |rate: f64, needed: f64| {
            if needed > 0.0 {
                rate * self.view.settings.utilisation_max / needed
            } else {
                f64::INFINITY
            }
        };
        let streams = fraction(f64::from(class.slots), demand.streams);
        let tokens = fraction(class.tokens_per_second, demand.tokens_per_second);
        let prefill = fraction(
            class.prefill_tokens_per_second,
            demand.prefill_tokens_per_second,
        );
        // The cap covers zero demand, for which a single host is sufficient.
        streams.min(tokens).min(prefill).min(1.0)
    }

    /// Returns the capacity requirements of the pool's mix.
    pub(super) fn need(&self) -> Need {
        let settings = &self.view.settings;
        let classes = self.pool.host_classes.iter();
        let mut rows = classes.map(|class| self.view.document.host_class(*class));
        let offers_on_demand = rows.any(|class| !class.reclaimable);
        Need {
            after_loss: 1.0,
            on_demand: if offers_on_demand {
                settings.on_demand_share_min
            } else {
                0.0
            },
            held_host_discount: settings.held_host_discount,
        }
    }

    /// Returns the fraction of a demand that one host serves.
    pub(super) fn capacity_of(&self, host: &Host, demand: &Demand) -> f64 {
        self.capacity(self.view.document.host_class(host.class), demand)
    }

    fn count_hosts(&mut self) {
        let hosts = self.hosts.iter().map(|host| (host.domain, host.class));
        let mut all: Vec<(DomainKey, ClassKey)> = hosts.chain(self.unlisted()).collect();
        all.sort_unstable();
        let groups = all.chunk_by(|a, b| a == b);
        let held = groups.map(|group| HostCount {
            domain: group[0].0,
            class: group[0].1,
            hosts: u32::try_from(group.len()).unwrap_or(u32::MAX),
        });
        self.held = held.collect();
    }

    /// Returns hosts that are, or may be, bought and are missing from the host list.
    ///
    /// The host list lags and responses get lost. If only listed hosts counted, each decision in
    /// the meantime would buy hosts for the same need again, several times those needed after
    /// every mass reclaim.
    fn unlisted(&self) -> impl Iterator<Item = (DomainKey, ClassKey)> + use<'a, '_> {
        let purchases = self.view.purchases.iter();
        let listed = purchases.filter(|purchase| {
            purchase.state != PurchaseState::Ended && self.view.host(purchase.host).is_none()
        });
        let asks = self.view.pending_purchases.iter().filter(|ask| {
            let mut purchases = self.view.purchases.iter();
            !purchases.any(|purchase| purchase.id == ask.id)
        });
        let ids = listed.map(|p| p.id).chain(asks.map(|ask| ask.id));
        let pool = self.key();
        ids.filter(move |id| id.pool == pool)
            .map(|id| (id.domain, id.class))
    }
}

/// Whether a host has been unresponsive for so long that it must be replaced.
///
/// If half of a failure domain is unresponsive, a network partition is the likely cause. Releasing
/// all its hosts would turn the partition into the loss of the failure domain, so they are kept.
fn is_unresponsive(view: &PlacementView<'_>, host: &Host, now: TimeMs) -> bool {
    let started_ms = match host.stage {
        Stage::Starting { since_ms } => Some(since_ms),
        _ => None,
    };
    let Some(silent_since_ms) = host.failing_since_ms.or(started_ms) else {
        return false;
    };
    now.since(silent_since_ms) >= view.settings.silent_max_ms
        && (started_ms.is_some() || !is_partitioned(view, host.domain))
}

fn is_partitioned(view: &PlacementView<'_>, domain: DomainKey) -> bool {
    let hosts = view.hosts.iter().filter(|host| host.domain == domain);
    let (failing, all) = hosts.fold((0_u32, 0_u32), |(failing, all), host| {
        let fails = u32::from(host.failing_since_ms.is_some());
        (failing + fails, all + 1)
    });
    all > 1 && f64::from(failing) >= PARTITION_FAILING_SHARE_MIN * f64::from(all)
}

fn leaving(view: &PlacementView<'_>) -> Vec<(DomainKey, ClassKey)> {
    let hosts = view.hosts.iter();
    let leaving = hosts.filter(|host| host.stage == Stage::Leaving);
    let mut leaving: Vec<_> = leaving.map(|host| (host.domain, host.class)).collect();
    leaving.sort_unstable();
    leaving.dedup();
    leaving
}
