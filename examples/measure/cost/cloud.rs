//! A site that goes through a day with one policy.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::document::Document;
use teaselline::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};
use teaselline::placement::mix::Capacity;
use teaselline::placement::{
    Demand, Forecast, Host, Lease, LoadedModel, ModelVersion, Order, PlacementView, PoolDemand,
    Price, Purchase, PurchaseId, PurchaseState, Refusal, Role, Settings, Stage, WeightStore,
    decide,
};
use teaselline::time::TimeMs;

use super::Side;
use super::baselines::{self, Wanted};
use super::day::{Day, STEP_SECONDS, all_steps, counts};

const MINUTE_MS: u64 = 60_000;

/// From purchase until the engine answers.
const START_MS: u64 = 3 * MINUTE_MS;

/// To load the model.
const LOAD_MS: u64 = MINUTE_MS;

/// From a notice until the host is gone.
const NOTICE_MS: u64 = 30_000;

/// Until a draining host has ended its streams.
const DRAIN_MS: u64 = 2 * MINUTE_MS;

/// How often a policy decides.
const DECIDE_MS: u64 = 15_000;

/// Until a host bought now serves, and two decisions.
const LEAD_MS: u64 = START_MS + LOAD_MS + 2 * DECIDE_MS;

/// How long a policy looks back and ahead before it gives a host back.
const KEEP_MS: u64 = 5 * MINUTE_MS;

const WEIGHTS_BYTES_PER_SECOND: f64 = 50e9;

#[derive(Clone, Debug)]
struct Machine {
    host: HostKey,
    purchase: PurchaseId,
    slots: f64,
    reclaimable: bool,
    bought_at_ms: TimeMs,
    load_at_ms: Option<TimeMs>,
    leave_at_ms: Option<TimeMs>,
    drain_at_ms: Option<TimeMs>,
    role: Role,
}

impl Machine {
    fn is_loaded(&self, now: TimeMs) -> bool {
        self.load_at_ms
            .is_some_and(|at_ms| at_ms.after(LOAD_MS) <= now)
    }

    fn serves(&self, now: TimeMs) -> bool {
        self.is_loaded(now) && self.leave_at_ms.is_none() && self.drain_at_ms.is_none()
    }
}

/// What a day came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub cost: f64,
    /// Part of the streams that ran within the latency target.
    pub within_target_part: f64,
    /// Part of the day during which any one failure domain could have been lost.
    pub after_any_loss_part: f64,
    pub hosts_bought: f64,
    pub starts_refused: f64,
}

/// A site under one policy.
#[derive(Debug)]
pub struct Site<'a> {
    document: &'a Document,
    day: &'a Day,
    side: Side,
    rng: SmallRng,
    machines: Vec<Machine>,
    refusals: Vec<Refusal>,
    forecast: Forecast,
    next_host: u64,
    asked: u32,
    outcome: Outcome,
    streams_in_all: f64,
    steps: f64,
}

impl<'a> Site<'a> {
    pub fn new(document: &'a Document, day: &'a Day, side: Side) -> Self {
        Self {
            document,
            day,
            side,
            rng: SmallRng::seed_from_u64(day.seed),
            machines: Vec::new(),
            refusals: Vec::new(),
            forecast: Forecast::default(),
            next_host: 0,
            asked: 0,
            outcome: Outcome::default(),
            streams_in_all: 0.0,
            steps: 0.0,
        }
    }

    /// Goes through both days and tells what the second came to.
    pub fn run(mut self) -> Outcome {
        for now in all_steps() {
            self.take_away(now);
            if now.0.is_multiple_of(MINUTE_MS) {
                self.forecast.observe(demand(self.day.streams(now)), now);
            }
            if now.0.is_multiple_of(DECIDE_MS) {
                match self.side {
                    Side::Teaselline => self.follow_controller(now),
                    Side::OnDemandOnly | Side::CheapestFirst => self.follow_baseline(now),
                }
            }
            if counts(now) {
                self.account(now);
            }
        }
        self.outcome.within_target_part /= self.streams_in_all;
        self.outcome.after_any_loss_part /= self.steps;
        self.outcome
    }

    fn take_away(&mut self, now: TimeMs) {
        let wave = self.day.waves.iter().find(|wave| wave.at_ms == now);
        for machine in &mut self.machines {
            let in_wave = wave.is_some_and(|wave| wave.domain == machine.purchase.domain);
            let alone = self
                .rng
                .random_bool(Day::loss_per_step(machine.reclaimable));
            if machine.reclaimable && in_wave || alone {
                let gone_at_ms = now.after(NOTICE_MS);
                machine.leave_at_ms = Some(machine.leave_at_ms.unwrap_or(gone_at_ms));
            }
        }
        self.machines
            .retain(|machine| machine.leave_at_ms.is_none_or(|at_ms| now < at_ms));
    }

    fn account(&mut self, now: TimeMs) {
        let utilisation_max = Settings::default().utilisation_max;
        let prices = self.day.prices(now);
        let paid = self.machines.iter().map(|machine| {
            let id = machine.purchase;
            let index =
                prices.binary_search_by_key(&(id.class, id.domain), |p| (p.class, p.domain));
            prices[index.expect("every offer has a price")].price_per_hour
        });
        self.outcome.cost += paid.sum::<f64>() * STEP_SECONDS / 3_600.0;
        let streams = self.day.streams(now);
        let serving = self.machines.iter().filter(|machine| machine.serves(now));
        let by_domain = serving.map(|machine| {
            let streams = machine.slots * utilisation_max;
            (machine.purchase.domain, streams)
        });
        let capacity: Capacity = by_domain.collect();
        self.outcome.within_target_part += streams.min(capacity.total());
        self.streams_in_all += streams;
        let survives = capacity.after_worst_loss() >= streams;
        self.outcome.after_any_loss_part += f64::from(u8::from(survives));
        self.steps += 1.0;
    }

    fn follow_controller(&mut self, now: TimeMs) {
        for order in self.decide(now) {
            match order {
                Order::Buy { purchase } => {
                    self.asked += 1;
                    self.buy(purchase, now);
                }
                Order::GiveBack { host } => self.machines.retain(|machine| machine.host != host),
                Order::Drain { host } => {
                    // Marked below for all hosts at once, since an absent order ends a drain.
                    debug_assert!(self.machines.iter().any(|machine| machine.host == host));
                }
                Order::Load { host, .. } => {
                    self.machine(host).load_at_ms = Some(now);
                }
                Order::SetRole { host, role } => self.machine(host).role = role,
                Order::Unload { .. } => {}
            }
        }
    }

    fn decide(&mut self, now: TimeMs) -> Vec<Order> {
        let version = ModelVersion::of("model", "1");
        let hosts: Vec<Host> = self
            .machines
            .iter()
            .map(|machine| seen(machine, version, now))
            .collect();
        let purchases: Vec<Purchase> = self
            .machines
            .iter()
            .map(|machine| Purchase {
                id: machine.purchase,
                host: machine.host,
                state: PurchaseState::Live,
            })
            .collect();
        let domains: Vec<DomainKey> = (0..self.document.failure_domains.len())
            .map(DomainKey::from)
            .collect();
        let pools = [PoolDemand {
            pool: PoolKey(0),
            lead_time_peak: self.forecast.peak(0, LEAD_MS, now),
            retention_peak: self.forecast.peak(KEEP_MS, KEEP_MS, now),
            batch_share: 0.0,
        }];
        let view = PlacementView {
            document: self.document,
            lease: Lease {
                fencing: 1,
                since_ms: TimeMs(0),
                ends_at_ms: now.after(60_000),
                is_log_reachable: true,
            },
            purchases_requested: self.asked,
            domains: &domains,
            prices: self.day.prices(now),
            hosts: &hosts,
            orphaned_hosts: &[],
            purchases: &purchases,
            purchases_listed_at_ms: Some(now),
            pending_purchases: &[],
            refusals: &self.refusals,
            pools: &pools,
            weight_store: WeightStore {
                bytes_per_second: WEIGHTS_BYTES_PER_SECOND,
                closed_until_ms: TimeMs(0),
            },
            settings: Settings::default(),
        };
        let orders = decide(&view, now);
        self.mark_drained(&orders, now);
        orders
    }

    fn mark_drained(&mut self, orders: &[Order], now: TimeMs) {
        let drained = orders.iter().filter_map(|order| match order {
            Order::Drain { host } => Some(*host),
            _ => None,
        });
        let mut drained: Vec<HostKey> = drained.collect();
        drained.sort_unstable();
        for machine in &mut self.machines {
            let is_drained = drained.binary_search(&machine.host).is_ok();
            let since_ms = machine.drain_at_ms.unwrap_or(now);
            machine.drain_at_ms = is_drained.then_some(since_ms);
        }
    }

    /// Buys and gives back to match a simple policy's counts; its hosts load by themselves.
    fn follow_baseline(&mut self, now: TimeMs) {
        let ago = (0..=KEEP_MS / MINUTE_MS)
            .map(|minutes| TimeMs(now.0.saturating_sub(minutes * MINUTE_MS)));
        let most = ago.map(|at| self.day.streams(at)).fold(0.0, f64::max);
        let prices = self.day.prices(now);
        let is_short = |price: &Price| {
            self.document.host_class(price.class).reclaimable
                && self.day.is_short(price.domain, now)
        };
        let wanted = match self.side {
            Side::CheapestFirst => baselines::cheapest_first(self.document, prices, is_short, most),
            Side::OnDemandOnly | Side::Teaselline => {
                baselines::on_demand_only(self.document, prices, most)
            }
        };
        self.match_counts(&wanted, now);
        for machine in &mut self.machines {
            if machine.load_at_ms.is_none() && now >= machine.bought_at_ms.after(START_MS) {
                machine.load_at_ms = Some(now);
            }
        }
    }

    fn match_counts(&mut self, wanted: &Wanted, now: TimeMs) {
        for (class, domain, hosts) in wanted {
            let held = self.held(*class, *domain);
            for _ in held..*hosts {
                let purchase = PurchaseId {
                    pool: PoolKey(0),
                    class: *class,
                    domain: *domain,
                    fencing: 0,
                    counter: 0,
                };
                self.buy(purchase, now);
            }
        }
        // Others go once those that are wanted serve.
        let lacking = wanted.iter().any(|(class, domain, hosts)| {
            let serving = self.machines.iter().filter(|machine| {
                (machine.purchase.class, machine.purchase.domain) == (*class, *domain)
                    && machine.serves(now)
            });
            serving.count() < usize::try_from(*hosts).unwrap_or(usize::MAX)
        });
        if lacking {
            return;
        }
        let mut left: Wanted = wanted.clone();
        self.machines.retain(|machine| {
            let key = (machine.purchase.class, machine.purchase.domain);
            let row = left
                .iter_mut()
                .find(|row| (row.0, row.1) == key && row.2 > 0);
            let is_wanted = row.is_some();
            if let Some(row) = row {
                row.2 -= 1;
            }
            is_wanted
        });
    }

    fn held(&self, class: ClassKey, domain: DomainKey) -> u32 {
        let held = self.machines.iter().filter(|machine| {
            (machine.purchase.class, machine.purchase.domain) == (class, domain)
                && machine.leave_at_ms.is_none()
        });
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    fn buy(&mut self, purchase: PurchaseId, now: TimeMs) {
        let class = self.document.host_class(purchase.class);
        let key = (purchase.class, purchase.domain);
        let counted = f64::from(u8::from(counts(now)));
        let refusal = self
            .refusals
            .binary_search_by_key(&key, |refusal| (refusal.class, refusal.domain));
        if class.reclaimable && self.day.is_short(purchase.domain, now) {
            self.outcome.starts_refused += counted;
            let in_a_row = refusal.map_or(0, |index| self.refusals[index].consecutive_refusals);
            let refused = Refusal {
                class: purchase.class,
                domain: purchase.domain,
                consecutive_refusals: in_a_row + 1,
                last_at_ms: now,
            };
            match refusal {
                Ok(index) => self.refusals[index] = refused,
                Err(index) => self.refusals.insert(index, refused),
            }
            return;
        }
        if let Ok(index) = refusal {
            self.refusals.remove(index);
        }
        self.outcome.hosts_bought += counted;
        self.machines.push(Machine {
            host: HostKey(self.next_host),
            purchase,
            slots: f64::from(class.slots),
            reclaimable: class.reclaimable,
            bought_at_ms: now,
            load_at_ms: None,
            leave_at_ms: None,
            drain_at_ms: None,
            role: Role::Interactive,
        });
        self.next_host += 1;
    }

    fn machine(&mut self, host: HostKey) -> &mut Machine {
        let found = self
            .machines
            .binary_search_by_key(&host, |machine| machine.host);
        &mut self.machines[found.expect("orders name known hosts")]
    }
}

fn demand(streams: f64) -> Demand {
    Demand {
        streams,
        ..Demand::default()
    }
}

fn seen(machine: &Machine, version: ModelVersion, now: TimeMs) -> Host {
    let stage = match machine {
        _ if machine.leave_at_ms.is_some() => Stage::Leaving,
        _ if now < machine.bought_at_ms.after(START_MS) => Stage::Starting {
            since_ms: machine.bought_at_ms,
        },
        Machine {
            drain_at_ms: Some(since_ms),
            ..
        } => Stage::Draining {
            since_ms: *since_ms,
        },
        _ => Stage::Live,
    };
    let drained = machine
        .drain_at_ms
        .is_some_and(|at_ms| now.since(at_ms) >= DRAIN_MS);
    let model = machine.load_at_ms.map(|_| LoadedModel {
        version,
        model: Some(ModelKey(0)),
        loading_since_ms: machine.load_at_ms.filter(|_| !machine.is_loaded(now)),
    });
    Host {
        host: machine.host,
        domain: machine.purchase.domain,
        class: machine.purchase.class,
        pool: machine.purchase.pool,
        stage,
        running: u32::from(!drained),
        load_as_of_ms: now,
        failing_since_ms: None,
        models: model.into_iter().collect(),
        role: Some(machine.role),
    }
}
