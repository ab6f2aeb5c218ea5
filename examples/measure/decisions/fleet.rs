//! A fleet of servers in 18 failure domains.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::document::Document;
use teaselline::document::checked::HostClass;
use teaselline::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};
use teaselline::placement::{
    Demand, Host, Lease, LoadedModel, ModelVersion, Order, PlacementView, PoolDemand, Price,
    Purchase, PurchaseState, Role, Settings, Stage, WeightStore, decide,
};
use teaselline::time::TimeMs;

use super::super::one_pool;

const DOMAINS: u16 = 18;
const CLASSES: u16 = 8;
const NOW: TimeMs = TimeMs(1_000_000_000);

/// What the fleet is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing is to be done.
    Settled,
    /// The reclaimable hosts of a failure domain have notice.
    Wave,
    /// A fifth of the demand is gone.
    Surplus,
}

/// A fleet that holds what an earlier demand asked for.
#[derive(Debug)]
pub struct Fleet {
    document: Document,
    prices: Vec<Price>,
    hosts: Vec<Host>,
    purchases: Vec<Purchase>,
    streams: f64,
}

impl Fleet {
    pub fn new(servers: u32, state: State, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let document = document();
        let prices = prices(&mut rng, &document);
        let mut fleet = Self {
            // Twelve slots a host in the mean; one of 18 failure domains may be lost.
            streams: f64::from(servers) * 12.0 * 0.85 * 17.0 / 18.0,
            document,
            prices,
            hosts: Vec::new(),
            purchases: Vec::new(),
        };
        while fleet.buy() {}
        match state {
            State::Settled => {}
            State::Wave => fleet.reclaim(DomainKey(0)),
            State::Surplus => fleet.streams *= 0.8,
        }
        fleet
    }

    /// One decision; the number of its orders.
    pub fn decide(&self) -> usize {
        self.orders().len()
    }

    fn orders(&self) -> Vec<Order> {
        let demand = Demand {
            streams: self.streams,
            ..Demand::default()
        };
        let pools = [PoolDemand {
            pool: PoolKey(0),
            lead_time_peak: Some(demand),
            retention_peak: Some(demand.scaled(1.02)),
            batch_share: 0.2,
        }];
        let domains: Vec<DomainKey> = (0..DOMAINS).map(DomainKey).collect();
        let view = PlacementView {
            document: &self.document,
            lease: Lease {
                fencing: 1,
                since_ms: TimeMs(0),
                ends_at_ms: NOW.after(60_000),
                is_log_reachable: true,
            },
            purchases_requested: u32::try_from(self.purchases.len()).unwrap_or(u32::MAX),
            domains: &domains,
            prices: &self.prices,
            hosts: &self.hosts,
            orphaned_hosts: &[],
            purchases: &self.purchases,
            purchases_listed_at_ms: Some(NOW),
            pending_purchases: &[],
            refusals: &[],
            pools: &pools,
            weight_store: WeightStore {
                bytes_per_second: 50e9,
                closed_until_ms: TimeMs(0),
            },
            settings: Settings::default(),
        };
        decide(&view, NOW)
    }

    /// Buys what is lacking, live at once; tells whether anything was.
    fn buy(&mut self) -> bool {
        let before = self.hosts.len();
        for order in self.orders() {
            let Order::Buy { purchase } = order else {
                continue;
            };
            let host = HostKey(u64::try_from(self.purchases.len()).expect("few hosts"));
            self.purchases.push(Purchase {
                id: purchase,
                host,
                state: PurchaseState::Live,
            });
            self.hosts.push(Host {
                host,
                domain: purchase.domain,
                class: purchase.class,
                pool: purchase.pool,
                stage: Stage::Live,
                running: 5,
                load_as_of_ms: NOW,
                failing_since_ms: None,
                models: vec![LoadedModel {
                    version: ModelVersion::of("model", "1"),
                    model: Some(ModelKey(0)),
                    loading_since_ms: None,
                }],
                role: Some(Role::Interactive),
            });
        }
        self.hosts.len() > before
    }

    fn reclaim(&mut self, domain: DomainKey) {
        let document = &self.document;
        let hosts = self
            .hosts
            .iter_mut()
            .filter(|host| host.domain == domain && document.host_class(host.class).reclaimable);
        hosts.for_each(|host| host.stage = Stage::Leaving);
    }
}

fn document() -> Document {
    let class = |index: u16| HostClass {
        name: format!("class-{index}"),
        provider: format!("provider-{}", index % 2),
        reclaimable: !index.is_multiple_of(4),
        price_per_hour: if index.is_multiple_of(4) { 3.0 } else { 1.0 },
        slots: 8 + 2 * u32::from(index % 5),
        tokens_per_second: 1_000.0,
        prefill_tokens_per_second: 20_000.0,
        kv_tokens_capacity: 200_000,
        kv_bytes_per_second: 1e9,
    };
    one_pool::document(DOMAINS, (0..CLASSES).map(class).collect())
}

fn prices(rng: &mut SmallRng, document: &Document) -> Vec<Price> {
    let offers = (0..CLASSES).flat_map(|class| (0..DOMAINS).map(move |domain| (class, domain)));
    let prices = offers.map(|(class, domain)| Price {
        class: ClassKey(class),
        domain: DomainKey(domain),
        price_per_hour: document.host_class(ClassKey(class)).price_per_hour
            * rng.random_range(0.7..1.3),
    });
    prices.collect()
}
