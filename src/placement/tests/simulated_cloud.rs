//! A simulated cloud that executes orders, with configurable faults.

use super::super::*;
use crate::document::Document;
use crate::document::checked::{FailureDomain, HostClass, Measure, Model, Pool, PoolKind};
use crate::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};

pub(super) const NOW: TimeMs = TimeMs(1_000_000_000);
pub(super) const STEP_MS: u64 = 1_000;
pub(super) const KEEP_STEPS: usize = 300;
pub(super) const START_MS: u64 = 60_000;
pub(super) const LOAD_MS: u64 = 5_000;
pub(super) const MODEL: ModelKey = ModelKey(0);

// Classes of `document`, in key order.
pub(super) const ON_DEMAND: ClassKey = ClassKey(0);
pub(super) const SPOT: ClassKey = ClassKey(1);
pub(super) const SPOT_OF_B: ClassKey = ClassKey(2);

fn class(name: &str, reclaimable: bool, price_per_hour: f64) -> HostClass {
    HostClass {
        name: name.to_owned(),
        provider: name.to_owned(),
        reclaimable,
        price_per_hour,
        slots: 10,
        tokens_per_second: 1_000.0,
        prefill_tokens_per_second: 10_000.0,
        kv_tokens_capacity: 100_000,
        kv_bytes_per_second: 1e9,
    }
}

/// A document with four failure domains and one engine pool, initially on one provider's hosts.
pub(super) fn document() -> Document {
    let domains = ["a", "b", "c", "d"];
    Document {
        deployment: "test".to_owned(),
        measure: Measure {
            cost_weight: 0.5,
            recomputed_tokens_weight: 0.5,
        },
        failure_domains: domains
            .map(|name| FailureDomain {
                name: name.to_owned(),
                region: "r".to_owned(),
            })
            .to_vec(),
        host_classes: vec![
            class("a-on-demand", false, 3.0),
            class("a-spot", true, 1.0),
            class("b-spot", true, 1.0),
        ],
        models: vec![Model {
            name: "m".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            weights_bytes: 10_000_000_000,
            kv_bytes_per_token: 100_000,
        }],
        pools: vec![Pool {
            name: "models".to_owned(),
            kind: PoolKind::Engine {
                models: vec![MODEL],
                checks_orders: true,
            },
            hosts: (0..4).map(|domain| (DomainKey(domain), 3)).collect(),
            host_classes: vec![ON_DEMAND, SPOT],
        }],
        latency_classes: Vec::new(),
        teams: Vec::new(),
        operators: Vec::new(),
    }
}

/// The actual state of a host, which the lagging host list may not show yet.
#[derive(Clone, Debug)]
pub(super) struct SimulatedHost {
    pub(super) purchase: PurchaseId,
    pub(super) host: HostKey,
    pub(super) bought_at_ms: TimeMs,
    pub(super) leave_at_ms: Option<TimeMs>,
    pub(super) ended_at_ms: Option<TimeMs>,
    pub(super) models: Vec<(LoadedModel, TimeMs)>,
    pub(super) draining_since_ms: Option<TimeMs>,
    pub(super) failing_since_ms: Option<TimeMs>,
    pub(super) role: Role,
}

/// Injected faults of the cloud.
#[derive(Debug, Default)]
pub(super) struct Faults {
    /// Classes and failure domains whose starts are refused.
    pub(super) refused: Vec<(ClassKey, DomainKey)>,
    /// Every n-th response is lost after its purchase took effect.
    pub(super) lost_response_interval: Option<usize>,
    /// Delay of purchases on their way to the cloud; if set, no purchase gets a response.
    pub(super) request_delay_ms: u64,
    /// Delay of the host list.
    pub(super) list_lag_ms: u64,
    /// Whether the list of purchases is unavailable.
    pub(super) is_purchase_list_unavailable: bool,
}

/// A simulated cloud with one controller.
#[derive(Debug)]
pub(super) struct SimulatedCloud {
    pub(super) now: TimeMs,
    pub(super) step_ms: u64,
    pub(super) document: Document,
    pub(super) streams: f64,
    /// Number of streams at each past step.
    recent: Vec<f64>,
    pub(super) prices: Vec<Price>,
    pub(super) hosts: Vec<SimulatedHost>,
    pub(super) asks: Vec<PendingPurchase>,
    /// Purchases in flight to the cloud, with their arrival times.
    in_flight: Vec<(PurchaseId, TimeMs)>,
    pub(super) refusals: Vec<Refusal>,
    pub(super) faults: Faults,
    pub(super) lease: Lease,
    pub(super) requested_purchases: u32,
    pub(super) responses: usize,
    pub(super) refused_starts: u32,
    pub(super) orders: Vec<Order>,
    pub(super) batch_part: f64,
    pub(super) has_forecast: bool,
    pub(super) strangers: Vec<OrphanedHost>,
    pub(super) weights_bytes_per_second: f64,
}

impl SimulatedCloud {
    pub(super) fn new(streams: f64) -> Self {
        Self {
            now: NOW,
            step_ms: STEP_MS,
            document: document(),
            streams,
            recent: Vec::new(),
            prices: Vec::new(),
            hosts: Vec::new(),
            asks: Vec::new(),
            in_flight: Vec::new(),
            refusals: Vec::new(),
            faults: Faults::default(),
            lease: Lease {
                fencing: 7,
                since_ms: TimeMs(NOW.0 - 60_000),
                ends_at_ms: TimeMs(u64::MAX),
                is_log_reachable: true,
            },
            requested_purchases: 0,
            responses: 0,
            refused_starts: 0,
            orders: Vec::new(),
            batch_part: 0.0,
            has_forecast: true,
            strangers: Vec::new(),
            weights_bytes_per_second: 1e12,
        }
    }

    /// Runs the controller for a duration.
    pub(super) fn run(&mut self, duration_ms: u64) {
        self.run_with_check(duration_ms, |_| ());
    }

    /// Runs the controller for a duration and checks the state after each step.
    pub(super) fn run_with_check(&mut self, duration_ms: u64, mut check: impl FnMut(&Self)) {
        let end_ms = self.now.after(duration_ms);
        while self.now < end_ms {
            self.now = self.now.after(self.step_ms);
            self.end_hosts();
            self.deliver();
            self.recent.push(self.streams);
            self.orders = self.decide();
            self.execute_orders();
            check(self);
        }
    }

    /// Returns the hosts that have not ended, which are billed.
    pub(super) fn active_hosts(&self) -> Vec<&SimulatedHost> {
        let hosts = self.hosts.iter();
        hosts.filter(|host| host.ended_at_ms.is_none()).collect()
    }

    /// Returns the number of hosts of a class that have not ended.
    pub(super) fn active_hosts_of_class(&self, class: ClassKey) -> usize {
        let active_hosts = self.active_hosts();
        active_hosts
            .iter()
            .filter(|host| host.purchase.class == class)
            .count()
    }

    /// Returns the slots of the serving hosts after the loss of the largest failure domain.
    ///
    /// A serving host has loaded a model, is not draining and is not under notice.
    pub(super) fn slots_after_loss(&self) -> f64 {
        let serving = self.active_hosts().into_iter().filter(|host| {
            let mut models = host.models.iter();
            let loaded = models.any(|(_, loaded_at_ms)| *loaded_at_ms <= self.now);
            loaded && host.draining_since_ms.is_none() && host.leave_at_ms.is_none()
        });
        let capacity = serving.map(|host| (host.purchase.domain, 10.0));
        capacity.collect::<mix::Capacity>().after_worst_loss()
    }

    /// Sends a reclaim notice to all reclaimable hosts of a failure domain.
    pub(super) fn reclaim(&mut self, domain: DomainKey, notice_ms: u64) {
        let leave_at_ms = self.now.after(notice_ms);
        let document = &self.document;
        let hosts = self.hosts.iter_mut().filter(|host| {
            host.ended_at_ms.is_none()
                && host.purchase.domain == domain
                && document.host_class(host.purchase.class).reclaimable
        });
        hosts.for_each(|host| host.leave_at_ms = Some(leave_at_ms));
    }

    fn end_hosts(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            if host.leave_at_ms.is_some_and(|at_ms| at_ms <= now) {
                host.ended_at_ms = host.ended_at_ms.or(Some(now));
            }
        }
    }

    fn decide(&self) -> Vec<Order> {
        let demand = |streams| Demand {
            streams,
            ..Demand::default()
        };
        let newest = self.recent.iter().rev().take(KEEP_STEPS);
        let keep = newest.copied().fold(0.0, f64::max);
        let pools = [PoolDemand {
            pool: PoolKey(0),
            lead_time_peak: self.has_forecast.then(|| demand(self.streams)),
            retention_peak: self.has_forecast.then(|| demand(keep)),
            batch_share: self.batch_part,
        }];
        let domains: Vec<DomainKey> = (0..4).map(DomainKey).collect();
        let mut hosts: Vec<Host> = self
            .hosts
            .iter()
            .filter_map(|simulated| self.listed_host(simulated))
            .collect();
        hosts.sort_by_key(|host| host.host);
        let listed = self
            .hosts
            .iter()
            .filter(|_| !self.faults.is_purchase_list_unavailable);
        let purchases: Vec<Purchase> = listed.map(purchase).collect();
        let view = PlacementView {
            document: &self.document,
            lease: self.lease,
            purchases_requested: self.requested_purchases,
            domains: &domains,
            prices: &self.prices,
            hosts: &hosts,
            orphaned_hosts: &self.strangers,
            purchases: &purchases,
            purchases_listed_at_ms: (!self.faults.is_purchase_list_unavailable).then_some(self.now),
            pending_purchases: &self.asks,
            refusals: &self.refusals,
            pools: &pools,
            weight_store: WeightStore {
                bytes_per_second: self.weights_bytes_per_second,
                closed_until_ms: TimeMs(0),
            },
            settings: Settings::default(),
        };
        decide(&view, self.now)
    }

    /// Returns a host as shown by the lagging host list and the list of purchases.
    fn listed_host(&self, simulated: &SimulatedHost) -> Option<Host> {
        let listed_at_ms = TimeMs(self.now.0 - self.faults.list_lag_ms);
        let ended_long_ago = simulated
            .ended_at_ms
            .is_some_and(|at_ms| at_ms <= listed_at_ms);
        let is_up = self.now >= simulated.bought_at_ms.after(START_MS);
        let listed = simulated.bought_at_ms <= listed_at_ms && !ended_long_ago;
        let stage = match simulated {
            _ if simulated.ended_at_ms.is_some() => Stage::GivenBack,
            _ if simulated.leave_at_ms.is_some() => Stage::Leaving,
            _ if !is_up => Stage::Starting {
                since_ms: simulated.bought_at_ms,
            },
            SimulatedHost {
                draining_since_ms: Some(since_ms),
                ..
            } => Stage::Draining {
                since_ms: *since_ms,
            },
            _ => Stage::Live,
        };
        let models = simulated
            .models
            .iter()
            .map(|(model, loaded_at_ms)| LoadedModel {
                loading_since_ms: model.loading_since_ms.filter(|_| *loaded_at_ms > self.now),
                ..*model
            });
        listed.then(|| Host {
            host: simulated.host,
            domain: simulated.purchase.domain,
            class: simulated.purchase.class,
            pool: simulated.purchase.pool,
            stage,
            running: 0,
            load_as_of_ms: self.now,
            failing_since_ms: simulated.failing_since_ms,
            models: models.collect(),
            role: Some(simulated.role),
        })
    }

    fn execute_orders(&mut self) {
        let orders = self.orders.clone();
        for host in &mut self.hosts {
            let drain = Order::Drain { host: host.host };
            let given_back = Order::GiveBack { host: host.host };
            let drained = orders.contains(&drain)
                || host.draining_since_ms.is_some() && orders.contains(&given_back);
            let since_ms = host.draining_since_ms.unwrap_or(self.now);
            host.draining_since_ms = drained.then_some(since_ms);
        }
        for order in &orders {
            match order {
                Order::Buy { purchase } => self.buy(*purchase),
                Order::GiveBack { host } if self.is_orphaned(*host) => {}
                Order::GiveBack { host } => {
                    let now = self.now;
                    let simulated = self.host_mut(*host);
                    simulated.ended_at_ms = simulated.ended_at_ms.or(Some(now));
                }
                Order::Load { host, model } => self.load(*host, *model),
                Order::Unload { host, version } => {
                    let models = &mut self.host_mut(*host).models;
                    models.retain(|(held, _)| held.version != *version);
                }
                Order::SetRole { host, role } => self.host_mut(*host).role = *role,
                Order::Drain { .. } => {}
            }
        }
    }

    fn load(&mut self, host: HostKey, model: ModelKey) {
        let row = self.document.model(model);
        let loaded = LoadedModel {
            version: ModelVersion::of(&row.name, &row.version),
            model: Some(model),
            loading_since_ms: Some(self.now),
        };
        let loaded_at_ms = self.now.after(LOAD_MS);
        self.host_mut(host).models.push((loaded, loaded_at_ms));
    }

    fn buy(&mut self, id: PurchaseId) {
        if !self.asks.iter().any(|ask| ask.id == id) {
            self.requested_purchases += 1;
        }
        self.asks.retain(|ask| ask.id != id);
        self.responses += 1;
        let lost = self.faults.lost_response_interval;
        let lost = lost.is_some_and(|interval| self.responses.is_multiple_of(interval));
        if lost || self.faults.request_delay_ms > 0 {
            self.asks.push(PendingPurchase {
                id,
                requested_at_ms: self.now,
            });
        }
        let arrives_at_ms = self.now.after(self.faults.request_delay_ms);
        self.in_flight.push((id, arrives_at_ms));
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let arrived = self.in_flight.extract_if(.., |(_, at_ms)| *at_ms <= now);
        for (id, _) in arrived.collect::<Vec<_>>() {
            self.start(id);
        }
    }

    fn start(&mut self, id: PurchaseId) {
        let key = (id.class, id.domain);
        if self.faults.refused.contains(&key) {
            self.refuse(id);
            return;
        }
        self.refusals
            .retain(|refusal| (refusal.class, refusal.domain) != key);
        // A repeated id buys no second host.
        if !self.hosts.iter().any(|host| host.purchase == id) {
            let bought = self.hosts.len();
            self.hosts.push(SimulatedHost {
                purchase: id,
                host: HostKey::from_name(&bought.to_string()),
                bought_at_ms: self.now,
                leave_at_ms: None,
                ended_at_ms: None,
                models: Vec::new(),
                draining_since_ms: None,
                failing_since_ms: None,
                role: Role::Interactive,
            });
        }
    }

    fn refuse(&mut self, id: PurchaseId) {
        self.refused_starts += 1;
        let key = (id.class, id.domain);
        match self
            .refusals
            .binary_search_by_key(&key, |r| (r.class, r.domain))
        {
            Ok(index) => {
                self.refusals[index].consecutive_refusals += 1;
                self.refusals[index].last_at_ms = self.now;
            }
            Err(index) => {
                let refusal = Refusal {
                    class: id.class,
                    domain: id.domain,
                    consecutive_refusals: 1,
                    last_at_ms: self.now,
                };
                self.refusals.insert(index, refusal);
            }
        }
    }

    fn is_orphaned(&self, host: HostKey) -> bool {
        self.strangers.iter().any(|orphan| orphan.host == host)
    }

    fn host_mut(&mut self, host: HostKey) -> &mut SimulatedHost {
        let mut hosts = self.hosts.iter_mut();
        let found = hosts.find(|simulated| simulated.host == host);
        found.expect("orders are for known hosts")
    }
}

fn purchase(simulated: &SimulatedHost) -> Purchase {
    Purchase {
        id: simulated.purchase,
        host: simulated.host,
        state: if simulated.ended_at_ms.is_some() {
            PurchaseState::Ended
        } else {
            PurchaseState::Live
        },
    }
}
