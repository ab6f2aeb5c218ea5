//! Translates the orders of a decision into acts, in the platform's names.

use super::acts::Act;
use super::controller_state::{ControllerState, HeldLease};
use super::demand::reports_load;
use super::placement_input::PlacementInput;
use crate::blackboard::{HostRow, HostState};
use crate::coordination::cloud::NewPurchase;
use crate::coordination::weight_store::NewLoad;
use crate::document::Document;
use crate::keys::{DomainKey, HostKey, ModelKey};
use crate::node::messages::HostNotice;
use crate::placement::{Host, ModelVersion, Order, PurchaseId, Role, Stage};
use crate::time::TimeMs;
use crate::upstreams::{self, Loaded};

/// Time to move the streams off a host whose drain takes too long.
const DEPARTURE_NOTICE_MS: u64 = 20_000;

/// Time after a host's announced end at which any holder of the lease gives it back.
///
/// The node that announced the end may be gone; without this limit the host would be paid for and
/// unused.
const OVERDUE_GRACE_MS: u64 = 30_000;

/// The translation of one decision: its inputs and the acts so far.
pub(super) struct OrderTranslation<'a> {
    document: &'a Document,
    input: &'a PlacementInput,
    rows: &'a [HostRow],
    state: &'a mut ControllerState,
    now: TimeMs,
    acts: Vec<Act>,
    departures: Vec<HostNotice>,
}

impl<'a> OrderTranslation<'a> {
    pub(super) fn new(
        document: &'a Document,
        input: &'a PlacementInput,
        rows: &'a [HostRow],
        state: &'a mut ControllerState,
        now: TimeMs,
    ) -> Self {
        Self {
            document,
            input,
            rows,
            state,
            now,
            acts: Vec::new(),
            departures: Vec::new(),
        }
    }

    /// Returns the acts and the hosts whose departure is to be announced.
    pub(super) fn finish(self) -> (Vec<Act>, Vec<HostNotice>) {
        (self.acts, self.departures)
    }

    pub(super) fn translate_all(&mut self, lease: &HeldLease, orders: &[Order]) {
        for order in orders {
            match *order {
                Order::Buy { purchase } => self.buy(lease, purchase),
                Order::GiveBack { host } => self.give_back(host),
                // Drains are sent to all nodes with each round's report.
                Order::Drain { .. } => {}
                Order::Load { host, model } => self.load(host, model),
                Order::Unload { host, version } => self.unload(host, version),
                Order::SetRole { host, role } => {
                    let role = match role {
                        Role::Interactive => upstreams::Role::Interactive,
                        Role::Batch => upstreams::Role::Batch,
                    };
                    self.order(host, upstreams::EngineOrder::SetRole { role });
                }
            }
        }
    }

    /// Gives back announced hosts that have become empty or whose time is over.
    pub(super) fn add_departures(&mut self, domain: DomainKey) {
        for row in self.rows.iter().filter(|row| row.domain == domain) {
            let HostState::Leaving { leave_at_ms } = row.state else {
                continue;
            };
            let is_ended = self.state.is_given_back(row.key) || self.state.has_ended(row.key);
            let announced = self.state.is_departing(row.key);
            let is_due = announced || self.now >= leave_at_ms.after(OVERDUE_GRACE_MS);
            if is_due && !is_ended {
                let has_time = !announced || self.now < leave_at_ms;
                self.acts.push(Act::GiveBack {
                    host: row.key,
                    name: row.name.clone(),
                    look_at: has_time.then_some(row.address),
                });
            }
        }
    }

    fn buy(&mut self, lease: &HeldLease, id: PurchaseId) {
        let document = self.document;
        self.state
            .record_pending_purchase(&lease.domain, id, self.now);
        self.acts.push(Act::Buy {
            id,
            purchase: NewPurchase {
                purchase: id.text(document),
                host_class: document.host_class(id.class).name.clone(),
                failure_domain: document.failure_domain(id.domain).name.clone(),
                pool: document.pool(id.pool).name.clone(),
            },
        });
    }

    /// Gives back an empty host; announces the departure of one that has streams to be moved.
    fn give_back(&mut self, key: HostKey) {
        let Some(named) = self.input.named(key) else {
            return;
        };
        if self.state.is_given_back(key) {
            return;
        }
        let hosts = &self.input.hosts;
        let found = hosts.binary_search_by_key(&key, |host| host.host);
        let host = found.ok().map(|index| &hosts[index]);
        let answers = |host: &&Host| host.failing_since_ms.is_none();
        let reachable = host.filter(answers).filter(|host| {
            matches!(host.stage, Stage::Draining { .. } | Stage::Live) && named.address.is_some()
        });
        match reachable {
            Some(host) if host.running > 0 => {
                self.state.record_departing(key, self.now);
                self.departures.push(HostNotice {
                    host: named.name.clone(),
                    leave_at_ms: self.now.after(DEPARTURE_NOTICE_MS),
                });
            }
            reachable => {
                let is_engine = |host: &&Host| reports_load(self.document.pool(host.pool));
                let engine = reachable.filter(is_engine);
                self.acts.push(Act::GiveBack {
                    host: key,
                    name: named.name.clone(),
                    look_at: engine.and(named.address),
                });
            }
        }
    }

    fn load(&mut self, host: HostKey, model: ModelKey) {
        let Some(named) = self.input.named(host) else {
            return;
        };
        let model = self.document.model(model);
        let version = ModelVersion::of(&model.name, &model.version);
        match self.state.ticket(host, version) {
            Some(ticket) if ticket.start_at_ms <= self.now => {
                self.state.drop_ticket(host, version);
                let (model, version) = (model.name.clone(), model.version.clone());
                self.order(host, upstreams::EngineOrder::LoadModel { model, version });
            }
            Some(_) => {}
            None => self.acts.push(Act::Ticket {
                host,
                version,
                load: NewLoad {
                    model: model.name.clone(),
                    version: model.version.clone(),
                    host: named.name.clone(),
                },
            }),
        }
    }

    fn unload(&mut self, host: HostKey, version: ModelVersion) {
        let named = self.input.named(host);
        let versions = named.map(|named| &named.versions);
        let is_meant = |held: &&Loaded| ModelVersion::of(&held.model, &held.version) == version;
        if let Some(held) = versions.and_then(|held| held.iter().find(is_meant)) {
            let order = upstreams::EngineOrder::UnloadModel {
                model: held.model.clone(),
                version: held.version.clone(),
            };
            self.order(host, order);
        }
    }

    fn order(&mut self, host: HostKey, order: upstreams::EngineOrder) {
        let Some(named) = self.input.named(host) else {
            return;
        };
        if let Some(address) = named.address {
            self.acts.push(Act::Order {
                name: named.name.clone(),
                address,
                order,
            });
        }
    }
}
