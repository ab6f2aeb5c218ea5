//! Hosts, notices and purchases, with what they cost.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{HostEvent, Reclaim};
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
    /// When it leaves, as announced.
    pub leave_at_ms: Option<u64>,
    /// What it has cost so far.
    pub cost: f64,
    /// From when the list shows it.
    live_ms: u64,
    /// Up to when `cost` counts, and the price from then on.
    priced_ms: u64,
    price_per_hour: f64,
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

#[derive(Debug)]
pub(super) struct State {
    prices: Vec<Price>,
    hosts: Vec<HostRecord>,
    notices: Vec<Notice>,
    purchases: Vec<(String, String)>,
}

impl HostRecord {
    fn cost_at(&self, now_ms: u64) -> f64 {
        let until_ms = self.gone_ms.unwrap_or(now_ms).max(self.priced_ms);
        self.cost + float(until_ms - self.priced_ms) / HOUR_MS * self.price_per_hour
    }

    fn listed(&self, as_of_ms: u64) -> Option<serde_json::Value> {
        let address = self.address?;
        if self.live_ms > as_of_ms || self.gone_ms.is_some_and(|gone_ms| gone_ms <= as_of_ms) {
            return None;
        }
        let mut listed = json!({
            "host": self.spec.host,
            "address": address,
            "failure_domain": self.spec.failure_domain,
            "host_class": self.spec.host_class,
            "pool": self.spec.pool,
            "state": "live",
        });
        if self
            .noticed_ms
            .is_some_and(|noticed_ms| noticed_ms <= as_of_ms)
        {
            listed["state"] = "leaving".into();
            listed["leave_at_ms"] = self.leave_at_ms.into();
        }
        Some(listed)
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
        let host = self.hold(spec, now_ms);
        (host.address, host.live_ms) = (Some(address), 0);
    }

    pub fn started(&mut self, host: &str, address: SocketAddr, at_ms: u64) {
        if let Some(host) = self.find(host) {
            (host.address, host.live_ms) = (Some(address), at_ms);
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
        self.hold(spec.clone(), now_ms);
        spec
    }

    pub fn purchases(&self) -> Vec<PurchaseRecord> {
        let record = |(purchase, name): &(String, String)| {
            let host = self.hosts.iter().find(|host| host.spec.host == *name);
            let state = match host {
                Some(host) if host.gone_ms.is_none() && host.address.is_some() => "live",
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
        let Self {
            prices,
            hosts,
            notices,
            ..
        } = self;
        let is_reclaimable = |spec: &HostSpec| {
            find_price(prices, &spec.host_class, &spec.failure_domain)
                .is_some_and(|it| it.reclaimable)
        };
        let is_meant = |spec: &HostSpec| match reclaim {
            Reclaim::Domain(domain) => spec.failure_domain == *domain && is_reclaimable(spec),
            Reclaim::Hosts(hosts) => hosts.contains(&spec.host),
        };
        let mut noticed = Vec::new();
        for host in hosts.iter_mut().filter(|host| host.gone_ms.is_none()) {
            if !is_meant(&host.spec) {
                continue;
            }
            (host.noticed_ms, host.leave_at_ms) = (Some(now_ms), Some(leave_at_ms));
            let sequence = notices.len() as u64;
            let name = host.spec.host.clone();
            notices.push(Notice {
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
    pub fn end(&mut self, host: &str, now_ms: u64) -> Option<HostEvent> {
        let found = self.find(host).filter(|found| found.gone_ms.is_none())?;
        found.gone_ms = Some(now_ms);
        Some(HostEvent::Stop {
            host: host.to_owned(),
        })
    }

    /// The list as it was at `as_of_ms`.
    pub fn list(&self, as_of_ms: u64) -> Vec<serde_json::Value> {
        self.hosts
            .iter()
            .filter_map(|host| host.listed(as_of_ms))
            .collect()
    }

    pub fn records(&self, now_ms: u64) -> Vec<HostRecord> {
        let record = |host: &HostRecord| HostRecord {
            cost: host.cost_at(now_ms),
            ..host.clone()
        };
        self.hosts.iter().map(record).collect()
    }

    fn hold(&mut self, spec: HostSpec, now_ms: u64) -> &mut HostRecord {
        let price = self.price(&spec.host_class, &spec.failure_domain);
        let price_per_hour = price.map_or(0.0, |price| price.price_per_hour);
        self.hosts.push_mut(HostRecord {
            spec,
            address: None,
            held_ms: now_ms,
            noticed_ms: None,
            gone_ms: None,
            leave_at_ms: None,
            cost: 0.0,
            live_ms: now_ms,
            priced_ms: now_ms,
            price_per_hour,
        })
    }

    fn price(&self, host_class: &str, failure_domain: &str) -> Option<&Price> {
        find_price(&self.prices, host_class, failure_domain)
    }

    fn find(&mut self, host: &str) -> Option<&mut HostRecord> {
        self.hosts.iter_mut().find(|it| it.spec.host == host)
    }
}

fn find_price<'a>(
    prices: &'a [Price],
    host_class: &str,
    failure_domain: &str,
) -> Option<&'a Price> {
    let mut prices = prices.iter();
    prices.find(|it| it.host_class == host_class && it.failure_domain == failure_domain)
}
