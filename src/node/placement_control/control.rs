//! The controller's loop: reads leases, purchases and prices, then decides and acts per lease.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use super::acts::{Act, ActOutcome, ActingLease, execute};
use super::controller_state::{ControllerState, HeldLease};
use super::order_translation::OrderTranslation;
use super::orphaned_hosts;
use super::placement_input::{self, PlacementInput};
use crate::blackboard::{ActiveConfiguration, HostRow};
use crate::coordination::cloud::Cloud;
use crate::coordination::leases::FencingToken;
use crate::coordination::rendezvous;
use crate::document::Document;
use crate::keys::{DomainKey, HostKey};
use crate::membership::Member;
use crate::node::Node;
use crate::node::messages::{HostNotice, PlacementReport, RefusedStart};
use crate::placement::{
    Lease, Order, PlacementView, Settings, WeightStore as WeightStoreRate, decide,
};
use crate::requests::core::Phase;
use crate::time::TimeMs;

/// Interval between rounds.
const ROUND_INTERVAL_MS: u64 = 1_000;

/// Nodes that try to acquire the lease of a failure domain; the others only follow its reports.
const CANDIDATES: usize = 3;

/// Interval between reads of the prices.
const PRICES_INTERVAL_MS: u64 = 5_000;

/// Acts executed concurrently.
const MAX_CONCURRENT_ACTS: usize = 16;

/// How long a decision assumes that the lease is held; each act checks the lease again.
const DECISION_VALIDITY_MS: u64 = 3_000;

/// Rate at which loads are submitted to the weight store, whose tickets pace them further.
const WEIGHT_STORE_BYTES_PER_SECOND: f64 = 10e9;

/// Returns the name of a failure domain's placement lease.
#[must_use]
pub fn lease_name(domain: &str) -> String {
    format!("placement/{domain}")
}

/// Controls placement in each failure domain whose lease this node holds, until `shutdown`.
pub(in crate::node) async fn control(node: Arc<Node>, shutdown: CancellationToken) {
    let mut controller = Controller {
        node,
        state: ControllerState::default(),
        wanted: Vec::new(),
    };
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = controller.round() => {}
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL_MS)) => {}
        }
    }
}

struct Controller {
    node: Arc<Node>,
    state: ControllerState,
    /// Failure domains whose leases this node tries to acquire.
    wanted: Vec<String>,
}

impl Controller {
    async fn round(&mut self) {
        let Some(in_force) = self.node.core.blackboard.active_configuration() else {
            return;
        };
        let document = &in_force.document;
        self.compete_for_leases(document);
        let now = self.node.core.clock.now();
        self.record_demand(&in_force, now);
        self.update_held_leases(document, now);
        self.state.expire(now);
        if self.state.leases.is_empty() {
            return;
        }
        self.read_cloud().await;
        orphaned_hosts::poll_loads(&self.node, &mut self.state, document).await;
        for domain in 0..document.failure_domains.len() {
            self.control_domain(&in_force, domain.into()).await;
        }
    }

    /// Competes for the leases for which this node ranks among the first live nodes.
    ///
    /// Releases the leases for which it no longer does.
    fn compete_for_leases(&mut self, document: &Document) {
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

    /// Records the demand on every node, so that a new lease holder has its history.
    fn record_demand(&mut self, in_force: &ActiveConfiguration, now: TimeMs) {
        let Some(rows) = rows(&self.node, in_force) else {
            return;
        };
        let members = self.node.directory.members();
        let live = members.iter().filter(|member| member.is_live());
        let waiting = live.map(|member| member.load.waiting).sum();
        self.state
            .demands
            .observe(&in_force.document, &rows, waiting, now);
    }

    fn update_held_leases(&mut self, document: &Document, now: TimeMs) {
        let domains = document.failure_domains.iter();
        let held = domains.filter_map(|domain| {
            let lease = lease_name(&domain.name);
            let fencing = self.node.leases.held_token(&lease, now)?;
            Some((domain.name.clone(), lease, fencing))
        });
        let held: Vec<(String, String, FencingToken)> = held.collect();
        self.state.update_held_leases(&held, now);
    }

    /// Reads purchases and prices; keeps the previous values of those that cannot be read.
    async fn read_cloud(&mut self) {
        let now = self.node.core.clock.now();
        let listed_at = self.state.prices_listed_at_ms;
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
            Ok(purchases) => self.state.list_purchases(purchases, now),
            Err(error) => log::info!(error:% = error; "purchases cannot be read"),
        }
        if let Some(prices) = prices {
            self.state.prices = prices;
            self.state.prices_listed_at_ms = Some(now);
        }
    }

    /// Makes and executes the decision for one failure domain.
    async fn control_domain(&mut self, in_force: &ActiveConfiguration, domain: DomainKey) {
        let document = &in_force.document;
        let name = &document.failure_domain(domain).name;
        let leases = self.state.leases.iter();
        let Some(held_lease) = leases.clone().find(|t| t.domain == *name).cloned() else {
            return;
        };
        let Some(rows) = rows(&self.node, in_force) else {
            return;
        };
        let now = self.node.core.clock.now();
        let input = {
            let placement = self.node.placement.lock();
            PlacementInput::new(document, &rows, &placement, &self.state, now)
        };
        let listed: Vec<_> = input.purchases.iter().map(|held| held.id).collect();
        self.state.drop_listed_purchases(&listed);
        let orders = self.decide(document, &input, &held_lease, domain, now);
        let mut translation = OrderTranslation::new(document, &input, &rows, &mut self.state, now);
        translation.translate_all(&held_lease, &orders);
        translation.add_departures(domain);
        let (acts, departures) = translation.finish();
        for departure in departures {
            self.node.announce_departure(departure);
        }
        let outcomes = execute_all(&self.node, &ActingLease::from(&held_lease), acts).await;
        self.apply_outcomes(document, &held_lease, &orders, &outcomes, &input);
    }

    fn decide(
        &self,
        document: &Document,
        input: &PlacementInput,
        held_lease: &HeldLease,
        domain: DomainKey,
        now: TimeMs,
    ) -> Vec<Order> {
        let settings = Settings::default();
        let prices = placement_input::prices(document, &self.state.prices);
        let refusals = placement_input::refusals(document, &self.node.placement.lock(), now);
        let demands = &self.state.demands;
        let pools = demands.pools(document, &refusals, &settings, now);
        let view = PlacementView {
            document,
            lease: Lease {
                fencing: held_lease.fencing.0,
                since_ms: held_lease.since_ms,
                ends_at_ms: now.after(DECISION_VALIDITY_MS),
                is_log_reachable: true,
            },
            purchases_requested: held_lease.purchases_requested,
            domains: &[domain],
            prices: &prices,
            hosts: &input.hosts,
            orphaned_hosts: &input.orphaned_hosts,
            purchases: &input.purchases,
            purchases_listed_at_ms: self.state.purchases_listed_at_ms,
            pending_purchases: &self.state.pending_purchases(),
            refusals: &refusals,
            pools: &pools,
            weight_store: WeightStoreRate {
                bytes_per_second: WEIGHT_STORE_BYTES_PER_SECOND,
                closed_until_ms: self.state.store_closed_until_ms,
            },
            settings,
        };
        decide(&view, now)
    }

    /// Applies the results of the acts and reports drains and refused starts to all nodes.
    fn apply_outcomes(
        &mut self,
        document: &Document,
        held_lease: &HeldLease,
        orders: &[Order],
        outcomes: &[ActOutcome],
        input: &PlacementInput,
    ) {
        let now = self.node.core.clock.now();
        let mut refusals = self.known_refusals(&held_lease.domain, now);
        let mut sold_out = Vec::new();
        for outcome in outcomes {
            match *outcome {
                ActOutcome::Bought { id } => {
                    let class = &document.host_class(id.class).name;
                    refusals.retain(|refused| refused.host_class != *class);
                }
                ActOutcome::SoldOut { id } => {
                    self.state.drop_pending_purchase(id);
                    sold_out.push(&document.host_class(id.class).name);
                }
                ActOutcome::GivenBack { host } => {
                    self.state.record_given_back(host, now);
                    self.announce_given_back(input, host, now);
                }
                ActOutcome::Ticket {
                    host,
                    version,
                    start_at_ms,
                } => self.state.record_ticket(host, version, start_at_ms),
                ActOutcome::StoreClosed { until_ms } => self.state.store_closed_until_ms = until_ms,
                _ => {}
            }
        }
        // Several starts refused in one round count as one refusal, because they were requested at
        // once.
        sold_out.sort_unstable();
        sold_out.dedup();
        for class in sold_out {
            record_refusal(&mut refusals, class, now);
        }
        if self.node.leases.held_token(&held_lease.lease, now) == Some(held_lease.fencing) {
            let report = PlacementReport {
                domain: held_lease.domain.clone(),
                fencing: held_lease.fencing.0,
                draining: self.draining_hosts(orders, now),
                refusals,
            };
            self.node.broadcast_placement_report(&report);
        }
    }

    fn known_refusals(&self, domain: &str, now: TimeMs) -> Vec<RefusedStart> {
        let placement = self.node.placement.lock();
        let mut known = placement
            .refusals(now)
            .filter(|report| report.domain == domain);
        known
            .next()
            .map(|report| report.refusals.clone())
            .unwrap_or_default()
    }

    /// Returns the draining hosts, including those about to be given back.
    fn draining_hosts(&self, orders: &[Order], now: TimeMs) -> Vec<(HostKey, TimeMs)> {
        let placement = self.node.placement.lock();
        let hosts = orders.iter().filter_map(|order| match order {
            Order::Drain { host } | Order::GiveBack { host } => Some(*host),
            _ => None,
        });
        hosts
            .map(|host| (host, placement.draining_since(host, now).unwrap_or(now)))
            .collect()
    }

    /// Announces a host that was given back, since the lagging host list still shows it as live.
    fn announce_given_back(&self, input: &PlacementInput, host: HostKey, now: TimeMs) {
        if let Some(named) = input.named(host).filter(|named| named.address.is_some()) {
            self.node.announce_departure(HostNotice {
                host: named.name.clone(),
                leave_at_ms: now,
            });
        }
    }
}

fn record_refusal(refusals: &mut Vec<RefusedStart>, class: &str, now: TimeMs) {
    match refusals.iter_mut().find(|known| known.host_class == class) {
        Some(known) => {
            known.consecutive_refusals = known.consecutive_refusals.saturating_add(1);
            known.last_at_ms = now;
        }
        None => refusals.push(RefusedStart {
            host_class: class.to_owned(),
            consecutive_refusals: 1,
            last_at_ms: now,
        }),
    }
}

async fn execute_all(node: &Node, lease: &ActingLease, acts: Vec<Act>) -> Vec<ActOutcome> {
    futures::stream::iter(acts)
        .map(|act| execute(node, lease, act))
        .buffer_unordered(MAX_CONCURRENT_ACTS)
        .collect()
        .await
}

/// Returns the host rows in the document's keys, `None` if they belong to another revision.
///
/// Before the first host list, or right after a new revision, a deployment appears to have no
/// hosts. A controller that acted on this would buy all of them a second time.
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
