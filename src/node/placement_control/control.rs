//! The controller's loop: leases, what the cloud lists, a decision for each lease, its acts.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use super::acts::{Act, Done, Under, carry_out};
use super::memory::{Memory, Tenure};
use super::orders::Translation;
use super::scene::{self, Scene};
use super::strangers;
use crate::blackboard::{ActiveConfiguration, HostRow};
use crate::coordination::cloud::Cloud;
use crate::coordination::leases::FencingToken;
use crate::coordination::rendezvous;
use crate::document::Document;
use crate::keys::{DomainKey, HostKey};
use crate::membership::Member;
use crate::node::Node;
use crate::node::messages::{HostNotice, PlacementNews, RefusedStart};
use crate::placement::{
    Lease, Order, PlacementView, Settings, WeightStore as WeightStoreRate, decide,
};
use crate::requests::core::Phase;
use crate::time::TimeMs;

/// Between two rounds.
const INTERVAL_MS: u64 = 1_000;

/// Nodes that want the lease of a failure domain; the others only follow.
const CANDIDATES: usize = 3;

/// Between two looks at the prices.
const PRICES_INTERVAL_MS: u64 = 5_000;

/// Acts carried out at once.
const AT_ONCE: usize = 16;

/// How long a decision may count on the lease; each act asks for it again.
const DECISION_MS: u64 = 3_000;

/// Rate at which loads are handed to the weight store, whose tickets pace them further.
const WEIGHTS_BYTES_PER_SECOND: f64 = 10e9;

/// The lease on placement in a failure domain.
#[must_use]
pub fn lease_name(domain: &str) -> String {
    format!("placement/{domain}")
}

/// Decides and carries out wherever this node holds the lease, until `shutdown`.
pub(in crate::node) async fn control(node: Arc<Node>, shutdown: CancellationToken) {
    let mut controller = Controller {
        node,
        memory: Memory::default(),
        wanted: Vec::new(),
    };
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = controller.round() => {}
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(INTERVAL_MS)) => {}
        }
    }
}

struct Controller {
    node: Arc<Node>,
    memory: Memory,
    /// Failure domains whose leases this node wants.
    wanted: Vec<String>,
}

impl Controller {
    async fn round(&mut self) {
        let Some(in_force) = self.node.core.blackboard.active_configuration() else {
            return;
        };
        let document = &in_force.document;
        self.want_leases(document);
        let now = self.node.core.clock.now();
        self.observe(&in_force, now);
        self.hold(document, now);
        self.memory.expire(now);
        if self.memory.tenures.is_empty() {
            return;
        }
        self.read_cloud().await;
        strangers::look(&self.node, &mut self.memory, document).await;
        for domain in 0..document.failure_domains.len() {
            self.act(&in_force, domain.into()).await;
        }
    }

    /// Wants the leases for which this node is among the first of the live ones.
    fn want_leases(&mut self, document: &Document) {
        let serves = self.node.core.phase() == Phase::Serving;
        let members = self.node.directory.members().into_iter();
        let live: Vec<_> = members
            .filter(Member::is_live)
            .map(|member| member.incarnation)
            .collect();
        let leases = &self.node.leases;
        let mut wanted = Vec::new();
        for domain in &document.failure_domains {
            let name = lease_name(&domain.name);
            let rank = rendezvous::rank_of(name.as_bytes(), &live, self.node.core.own);
            if serves && rank < CANDIDATES.min(live.len()) {
                leases.compete_for(&name, rank);
                wanted.push(domain.name.clone());
            }
        }
        let given_up = self.wanted.iter().filter(|name| !wanted.contains(name));
        for domain in given_up {
            leases.release(&lease_name(domain));
        }
        self.wanted = wanted;
    }

    /// Watches the demand on every node, so that a successor knows it from the start.
    fn observe(&mut self, in_force: &ActiveConfiguration, now: TimeMs) {
        let Some(rows) = rows(&self.node, in_force) else {
            return;
        };
        let members = self.node.directory.members();
        let live = members.iter().filter(|member| member.is_live());
        let waiting = live.map(|member| member.load.waiting).sum();
        self.memory
            .demands
            .observe(&in_force.document, &rows, waiting, now);
    }

    fn hold(&mut self, document: &Document, now: TimeMs) {
        let domains = document.failure_domains.iter();
        let held = domains.filter_map(|domain| {
            let lease = lease_name(&domain.name);
            let fencing = self.node.leases.held_token(&lease, now)?;
            Some((domain.name.clone(), lease, fencing))
        });
        let held: Vec<(String, String, FencingToken)> = held.collect();
        self.memory.hold(&held, now);
    }

    /// Reads purchases and prices; what cannot be read stays as it was.
    async fn read_cloud(&mut self) {
        let now = self.node.core.clock.now();
        let listed_at = self.memory.prices_listed_at_ms;
        let wants_prices = listed_at.is_none_or(|at| now.since(at) >= PRICES_INTERVAL_MS);
        let prices = async {
            if wants_prices {
                self.node.cloud.prices().await.ok()
            } else {
                None
            }
        };
        let (purchases, prices) = tokio::join!(self.node.cloud.purchases(), prices);
        match purchases {
            Ok(purchases) => self.memory.list_purchases(purchases, now),
            Err(error) => log::info!(error:% = error; "purchases cannot be read"),
        }
        if let Some(prices) = prices {
            self.memory.prices = prices;
            self.memory.prices_listed_at_ms = Some(now);
        }
    }

    /// Decides for one failure domain and carries the decision out.
    async fn act(&mut self, in_force: &ActiveConfiguration, domain: DomainKey) {
        let document = &in_force.document;
        let name = &document.failure_domain(domain).name;
        let tenures = self.memory.tenures.iter();
        let Some(tenure) = tenures.clone().find(|t| t.domain == *name).cloned() else {
            return;
        };
        let Some(rows) = rows(&self.node, in_force) else {
            return;
        };
        let now = self.node.core.clock.now();
        let scene = {
            let book = self.node.placement.lock();
            Scene::new(document, &rows, &book, &self.memory, now)
        };
        let listed: Vec<_> = scene.purchases.iter().map(|held| held.id).collect();
        self.memory.drop_answered(&listed);
        let orders = self.decide(document, &scene, &tenure, domain, now);
        let mut translation = Translation::new(document, &scene, &rows, &mut self.memory, now);
        translation.translate_all(&tenure, &orders);
        translation.add_departures(domain);
        let (acts, departures) = translation.finish();
        for departure in departures {
            self.node.announce_departure(departure);
        }
        let done = carry_out_all(&self.node, &Under::from(&tenure), acts).await;
        self.conclude(document, &tenure, &orders, &done, &scene);
    }

    fn decide(
        &self,
        document: &Document,
        scene: &Scene,
        tenure: &Tenure,
        domain: DomainKey,
        now: TimeMs,
    ) -> Vec<Order> {
        let settings = Settings::default();
        let prices = scene::prices(document, &self.memory.prices);
        let refusals = scene::refusals(document, &self.node.placement.lock(), now);
        let demands = &self.memory.demands;
        let pools = demands.pools(document, &refusals, &settings, now);
        let view = PlacementView {
            document,
            lease: Lease {
                fencing: tenure.fencing.0,
                since_ms: tenure.since_ms,
                ends_at_ms: now.after(DECISION_MS),
                is_log_reachable: true,
            },
            purchases_requested: tenure.purchases_asked,
            domains: &[domain],
            prices: &prices,
            hosts: &scene.hosts,
            orphaned_hosts: &scene.strangers,
            purchases: &scene.purchases,
            purchases_listed_at_ms: self.memory.purchases_listed_at_ms,
            pending_purchases: &self.memory.asks(),
            refusals: &refusals,
            pools: &pools,
            weight_store: WeightStoreRate {
                bytes_per_second: WEIGHTS_BYTES_PER_SECOND,
                closed_until_ms: self.memory.store_closed_until_ms,
            },
            settings,
        };
        decide(&view, now)
    }

    /// Takes in what came of the acts and tells all nodes what they have to know.
    fn conclude(
        &mut self,
        document: &Document,
        tenure: &Tenure,
        orders: &[Order],
        done: &[Done],
        scene: &Scene,
    ) {
        let now = self.node.core.clock.now();
        let mut refusals = self.known_refusals(&tenure.domain, now);
        let mut sold_out = Vec::new();
        for done in done {
            match *done {
                Done::Bought { id } => {
                    let class = &document.host_class(id.class).name;
                    refusals.retain(|refused| refused.host_class != *class);
                }
                Done::SoldOut { id } => {
                    self.memory.drop_ask(id);
                    sold_out.push(&document.host_class(id.class).name);
                }
                Done::GivenBack { host } => {
                    self.memory.note_given_back(host, now);
                    self.announce_gone(scene, host, now);
                }
                Done::Ticket {
                    host,
                    version,
                    start_at_ms,
                } => self.memory.note_ticket(host, version, start_at_ms),
                Done::StoreClosed { until_ms } => self.memory.store_closed_until_ms = until_ms,
                _ => {}
            }
        }
        // Several starts refused in one round are one refusal: they were asked for at once.
        sold_out.sort_unstable();
        sold_out.dedup();
        for class in sold_out {
            note_refusal(&mut refusals, class, now);
        }
        if self.node.leases.held_token(&tenure.lease, now) == Some(tenure.fencing) {
            let news = PlacementNews {
                domain: tenure.domain.clone(),
                fencing: tenure.fencing.0,
                drains: self.drains(orders, now),
                refusals,
            };
            self.node.tell_placement_news(&news);
        }
    }

    fn known_refusals(&self, domain: &str, now: TimeMs) -> Vec<RefusedStart> {
        let book = self.node.placement.lock();
        let mut known = book.refusals(now).filter(|news| news.domain == domain);
        known
            .next()
            .map(|news| news.refusals.clone())
            .unwrap_or_default()
    }

    /// Hosts that are to get no new work, those about to be given back among them.
    fn drains(&self, orders: &[Order], now: TimeMs) -> Vec<(HostKey, TimeMs)> {
        let book = self.node.placement.lock();
        let hosts = orders.iter().filter_map(|order| match order {
            Order::Drain { host } | Order::GiveBack { host } => Some(*host),
            _ => None,
        });
        hosts
            .map(|host| (host, book.draining_since(host, now).unwrap_or(now)))
            .collect()
    }

    /// Keeps all nodes from using a host that the lagging host list goes on showing.
    fn announce_gone(&self, scene: &Scene, host: HostKey, now: TimeMs) {
        if let Some(named) = scene.named(host).filter(|named| named.address.is_some()) {
            self.node.announce_departure(HostNotice {
                host: named.name.clone(),
                leave_at_ms: now,
            });
        }
    }
}

fn note_refusal(refusals: &mut Vec<RefusedStart>, class: &str, now: TimeMs) {
    match refusals.iter_mut().find(|known| known.host_class == class) {
        Some(known) => {
            known.in_a_row = known.in_a_row.saturating_add(1);
            known.last_at_ms = now;
        }
        None => refusals.push(RefusedStart {
            host_class: class.to_owned(),
            in_a_row: 1,
            last_at_ms: now,
        }),
    }
}

async fn carry_out_all(node: &Node, under: &Under, acts: Vec<Act>) -> Vec<Done> {
    futures::stream::iter(acts)
        .map(|act| carry_out(node, under, act))
        .buffer_unordered(AT_ONCE)
        .collect()
        .await
}

/// The hosts in the document's keys; `None` while they are not known under this revision.
///
/// Before the first host list, or on a new revision, a deployment looks as if it held no hosts, and
/// a controller that took that for true would buy all of them a second time.
fn rows(node: &Node, in_force: &ActiveConfiguration) -> Option<Vec<HostRow>> {
    if node.placement.lock().listed_revision() != Some(in_force.revision) {
        return None;
    }
    let mut rows = Vec::new();
    node.core
        .blackboard
        .for_each_host(|row| rows.push(row.clone()));
    let newest = node.core.blackboard.active_configuration()?;
    (newest.revision == in_force.revision).then_some(rows)
}
