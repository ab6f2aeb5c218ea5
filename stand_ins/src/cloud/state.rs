//! Hosts, notices and purchases, with what they cost.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Reclaim;
use crate::number::float;

const HOUR_MS: f64 = 3_600_000.0;

/// A host, as it is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSpec {
    /// The host.
    pub host: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its class.
    pub host_class: String,
    /// Its pool.
    pub pool: String,
}

/// What a class of hosts costs in a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The class.
    pub host_class: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The price.
    pub price_per_hour: f64,
    /// Whether such a host may be reclaimed.
    pub reclaimable: bool,
}

/// Why a host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaveReason {
    /// The provider takes it.
    Reclaim,
    /// It is planned.
    Planned,
}

/// A notice that a host leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Notice {
    /// The notice's number.
    pub sequence: u64,
    /// The host.
    pub host: String,
    /// When it is gone.
    pub leave_at_ms: u64,
    /// Why.
    pub reason: LeaveReason,
}

/// A host and what it has cost.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    /// The host.
    pub spec: HostSpec,
    /// Where it listens, once it has started.
    pub address: Option<SocketAddr>,
    /// From when it costs money.
    pub held_ms: u64,
    /// When it was announced to leave.
    pub noticed_ms: Option<u64>,
    /// When it was gone.
    pub gone_ms: Option<u64>,
    /// What it has cost so far.
    pub cost: f64,
}

/// A purchase that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PurchaseRecord {
    /// The client's id.
    pub purchase: String,
    /// The host it gave.
    pub host: String,
    /// `starting`, `live` or `ended`.
    pub state: &'static str,
}

/// The body of a purchase.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PurchaseBody {
    pub purchase: String,
    pub host_class: String,
    pub failure_domain: String,
    pub pool: String,
}

/// An entry of the host list.
#[derive(Debug, Serialize)]
pub(super) struct ListedHost<'a> {
    host: &'a str,
    address: SocketAddr,
    failure_domain: &'a str,
    host_class: &'a str,
    pool: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    leave_at_ms: Option<u64>,
}

/// What the owner of the hosts has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Nothing,
    Start(HostSpec),
    Stop { host: String },
}

#[derive(Debug)]
struct Host {
    spec: HostSpec,
    started: Option<Started>,
    held_ms: u64,
    /// When it was noticed, and when it leaves.
    leaving: Option<(u64, u64)>,
    gone_ms: Option<u64>,
    /// Cost up to `priced_ms`, and the price from then on.
    cost: f64,
    priced_ms: u64,
    price_per_hour: f64,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    address: SocketAddr,
    at_ms: u64,
}

#[derive(Debug)]
pub(super) struct State {
    prices: Vec<Price>,
    hosts: Vec<Host>,
    notices: Vec<Notice>,
    purchases: Vec<(String, String)>,
}

impl Host {
    fn cost_at(&self, now_ms: u64) -> f64 {
        let until_ms = self.gone_ms.unwrap_or(now_ms).max(self.priced_ms);
        self.cost + float(until_ms - self.priced_ms) / HOUR_MS * self.price_per_hour
    }

    fn listed(&self, as_of_ms: u64) -> Option<ListedHost<'_>> {
        let started = self.started.filter(|started| started.at_ms <= as_of_ms)?;
        if self.gone_ms.is_some_and(|gone_ms| gone_ms <= as_of_ms) {
            return None;
        }
        let leaving = self
            .leaving
            .filter(|(noticed_ms, _)| *noticed_ms <= as_of_ms);
        Some(ListedHost {
            host: &self.spec.host,
            address: started.address,
            failure_domain: &self.spec.failure_domain,
            host_class: &self.spec.host_class,
            pool: &self.spec.pool,
            state: if leaving.is_some() { "leaving" } else { "live" },
            leave_at_ms: leaving.map(|(_, leave_at_ms)| leave_at_ms),
        })
    }
}

impl State {
    pub fn new(prices: Vec<Price>) -> Self {
        Self {
            prices,
            hosts: Vec::new(),
            notices: Vec::new(),
            purchases: Vec::new(),
        }
    }

    pub fn register(&mut self, spec: HostSpec, address: SocketAddr, now_ms: u64) {
        self.hold(spec, Some(Started { address, at_ms: 0 }), now_ms);
    }

    pub fn started(&mut self, host: &str, address: SocketAddr, at_ms: u64) {
        if let Some(host) = self.find(host) {
            host.started = Some(Started { address, at_ms });
        }
    }

    /// Whether a purchased host is still wanted.
    pub fn is_held(&self, host: &str) -> bool {
        self.hosts
            .iter()
            .any(|it| it.spec.host == host && it.gone_ms.is_none())
    }

    pub fn is_reclaimable(&self, host_class: &str, failure_domain: &str) -> bool {
        self.price(host_class, failure_domain)
            .is_some_and(|price| price.reclaimable)
    }

    pub fn prices(&self) -> &[Price] {
        &self.prices
    }

    pub fn set_price(&mut self, price: Price, now_ms: u64) {
        for host in &mut self.hosts {
            if host.spec.host_class == price.host_class
                && host.spec.failure_domain == price.failure_domain
            {
                host.cost = host.cost_at(now_ms);
                host.priced_ms = now_ms.max(host.priced_ms);
                host.price_per_hour = price.price_per_hour;
            }
        }
        self.prices.retain(|old| {
            old.host_class != price.host_class || old.failure_domain != price.failure_domain
        });
        self.prices.push(price);
    }

    /// The host that a known purchase gave.
    pub fn purchased(&self, purchase: &str) -> Option<&str> {
        let known = self.purchases.iter().find(|(known, _)| known == purchase);
        known.map(|(_, host)| host.as_str())
    }

    pub fn purchase(&mut self, body: PurchaseBody, now_ms: u64) -> HostSpec {
        let spec = HostSpec {
            host: format!("h-{}", self.hosts.len() + 1),
            failure_domain: body.failure_domain,
            host_class: body.host_class,
            pool: body.pool,
        };
        self.purchases.push((body.purchase, spec.host.clone()));
        self.hold(spec.clone(), None, now_ms);
        spec
    }

    pub fn purchases(&self) -> Vec<PurchaseRecord> {
        let record = |(purchase, name): &(String, String)| {
            let host = self.hosts.iter().find(|host| host.spec.host == *name);
            let state = match host {
                Some(host) if host.gone_ms.is_none() && host.started.is_some() => "live",
                Some(host) if host.gone_ms.is_none() => "starting",
                _ => "ended",
            };
            PurchaseRecord {
                purchase: purchase.clone(),
                host: name.clone(),
                state,
            }
        };
        self.purchases.iter().map(record).collect()
    }

    /// Marks hosts as leaving and gives notice of each; gives those hosts.
    pub fn notice(
        &mut self,
        reclaim: &Reclaim,
        leave_at_ms: u64,
        reason: LeaveReason,
        now_ms: u64,
    ) -> Vec<String> {
        let prices = &self.prices;
        let is_reclaimable = |spec: &HostSpec| {
            prices.iter().any(|price| {
                price.reclaimable
                    && price.host_class == spec.host_class
                    && price.failure_domain == spec.failure_domain
            })
        };
        let is_meant = |spec: &HostSpec| match reclaim {
            Reclaim::Domain(domain) => spec.failure_domain == *domain && is_reclaimable(spec),
            Reclaim::Hosts(hosts) => hosts.contains(&spec.host),
        };
        let mut noticed = Vec::new();
        for host in self.hosts.iter_mut().filter(|host| host.gone_ms.is_none()) {
            if !is_meant(&host.spec) {
                continue;
            }
            host.leaving = Some((now_ms, leave_at_ms));
            let sequence = self.notices.len() as u64;
            let name = host.spec.host.clone();
            self.notices.push(Notice {
                sequence,
                host: name.clone(),
                leave_at_ms,
                reason,
            });
            noticed.push(name);
        }
        noticed
    }

    /// Notices from a sequence number on.
    pub fn notices(&self, from: u64) -> &[Notice] {
        let from = usize::try_from(from)
            .unwrap_or(usize::MAX)
            .min(self.notices.len());
        &self.notices[from..]
    }

    /// Ends a host; nothing happens if it is gone already.
    pub fn end(&mut self, host: &str, now_ms: u64) -> Step {
        match self.find(host) {
            Some(found) if found.gone_ms.is_none() => {
                found.gone_ms = Some(now_ms);
                Step::Stop {
                    host: host.to_owned(),
                }
            }
            _ => Step::Nothing,
        }
    }

    /// The list as it was at `as_of_ms`.
    pub fn list(&self, as_of_ms: u64) -> Vec<ListedHost<'_>> {
        self.hosts
            .iter()
            .filter_map(|host| host.listed(as_of_ms))
            .collect()
    }

    pub fn records(&self, now_ms: u64) -> Vec<HostRecord> {
        let record = |host: &Host| HostRecord {
            spec: host.spec.clone(),
            address: host.started.map(|started| started.address),
            held_ms: host.held_ms,
            noticed_ms: host.leaving.map(|(noticed_ms, _)| noticed_ms),
            gone_ms: host.gone_ms,
            cost: host.cost_at(now_ms),
        };
        self.hosts.iter().map(record).collect()
    }

    fn hold(&mut self, spec: HostSpec, started: Option<Started>, now_ms: u64) {
        let price = self.price(&spec.host_class, &spec.failure_domain);
        let price_per_hour = price.map_or(0.0, |price| price.price_per_hour);
        self.hosts.push(Host {
            spec,
            started,
            held_ms: now_ms,
            leaving: None,
            gone_ms: None,
            cost: 0.0,
            priced_ms: now_ms,
            price_per_hour,
        });
    }

    fn price(&self, host_class: &str, failure_domain: &str) -> Option<&Price> {
        let mut prices = self.prices.iter();
        prices.find(|it| it.host_class == host_class && it.failure_domain == failure_domain)
    }

    fn find(&mut self, host: &str) -> Option<&mut Host> {
        self.hosts.iter_mut().find(|it| it.spec.host == host)
    }
}
