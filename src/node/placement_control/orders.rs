//! Puts the orders of a decision into acts, in the platform's names.

use super::acts::Act;
use super::demand::reports_load;
use super::memory::{Memory, Tenure};
use super::scene::Scene;
use crate::blackboard::{HostRow, HostState};
use crate::coordination::cloud::NewPurchase;
use crate::coordination::weights::NewLoad;
use crate::document::Document;
use crate::keys::{DomainKey, HostKey, ModelKey};
use crate::node::messages::HostNotice;
use crate::placement::{Host, ModelVersion, Order, PurchaseId, Role, Stage};
use crate::time::TimeMs;
use crate::upstreams::{self, Loaded};

/// How long the streams of a host that is drained for too long have to be moved.
const DEPARTURE_MS: u64 = 20_000;

/// After this a host whose announced time is over is given back by whoever holds the lease.
///
/// The node that announced it may be gone, and the host would be paid for and used by nobody.
const OVERDUE_MS: u64 = 30_000;

/// Acts in the making.
pub(super) struct Translation<'a> {
    document: &'a Document,
    scene: &'a Scene,
    rows: &'a [HostRow],
    memory: &'a mut Memory,
    now: TimeMs,
    acts: Vec<Act>,
    departures: Vec<HostNotice>,
}

impl<'a> Translation<'a> {
    pub(super) fn new(
        document: &'a Document,
        scene: &'a Scene,
        rows: &'a [HostRow],
        memory: &'a mut Memory,
        now: TimeMs,
    ) -> Self {
        Self {
            document,
            scene,
            rows,
            memory,
            now,
            acts: Vec::new(),
            departures: Vec::new(),
        }
    }

    /// What is to be done, and the hosts whose departure is to be announced.
    pub(super) fn finish(self) -> (Vec<Act>, Vec<HostNotice>) {
        (self.acts, self.departures)
    }

    pub(super) fn translate_all(&mut self, tenure: &Tenure, orders: &[Order]) {
        for order in orders {
            match *order {
                Order::Buy { purchase } => self.buy(tenure, purchase),
                Order::GiveBack { host } => self.give_back(host),
                // Told to all nodes with each round's news.
                Order::Drain { .. } => {}
                Order::Load { host, model } => self.load(host, model),
                Order::Unload { host, version } => self.unload(host, version),
                Order::SetRole { host, role } => {
                    let role = match role {
                        Role::Interactive => upstreams::Role::Interactive,
                        Role::Batch => upstreams::Role::Batch,
                    };
                    self.order(host, upstreams::Order::SetRole { role });
                }
            }
        }
    }

    /// Gives back hosts that were told to go and have become empty or have run out of time.
    pub(super) fn add_departures(&mut self, domain: DomainKey) {
        for row in self.rows.iter().filter(|row| row.domain == domain) {
            let HostState::Leaving { leave_at_ms } = row.state else {
                continue;
            };
            let is_gone = self.memory.is_given_back(row.key) || self.memory.has_ended(row.key);
            let announced = self.memory.is_departing(row.key);
            let is_due = announced || self.now >= leave_at_ms.after(OVERDUE_MS);
            if is_due && !is_gone {
                let has_time = !announced || self.now < leave_at_ms;
                self.acts.push(Act::GiveBack {
                    host: row.key,
                    name: row.name.clone(),
                    look_at: has_time.then_some(row.address),
                });
            }
        }
    }

    fn buy(&mut self, tenure: &Tenure, id: PurchaseId) {
        let document = self.document;
        self.memory.note_ask(&tenure.domain, id, self.now);
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

    /// Gives a host back if it is empty; one that still has streams gets time to have them moved.
    fn give_back(&mut self, key: HostKey) {
        let Some(named) = self.scene.named(key) else {
            return;
        };
        if self.memory.is_given_back(key) {
            return;
        }
        let hosts = &self.scene.hosts;
        let found = hosts.binary_search_by_key(&key, |host| host.host);
        let host = found.ok().map(|index| &hosts[index]);
        let answers = |host: &&Host| host.failing_since_ms.is_none();
        let up = host.filter(answers).filter(|host| {
            matches!(host.stage, Stage::Draining { .. } | Stage::Live) && named.address.is_some()
        });
        match up {
            Some(host) if host.running > 0 => {
                self.memory.note_departing(key, self.now);
                self.departures.push(HostNotice {
                    host: named.name.clone(),
                    leave_at_ms: self.now.after(DEPARTURE_MS),
                });
            }
            up => {
                let is_engine = |host: &&Host| reports_load(self.document.pool(host.pool));
                let engine = up.filter(is_engine);
                self.acts.push(Act::GiveBack {
                    host: key,
                    name: named.name.clone(),
                    look_at: engine.and(named.address),
                });
            }
        }
    }

    fn load(&mut self, host: HostKey, model: ModelKey) {
        let Some(named) = self.scene.named(host) else {
            return;
        };
        let model = self.document.model(model);
        let version = ModelVersion::of(&model.name, &model.version);
        match self.memory.ticket(host, version) {
            Some(ticket) if ticket.start_at_ms <= self.now => {
                self.memory.drop_ticket(host, version);
                let (model, version) = (model.name.clone(), model.version.clone());
                self.order(host, upstreams::Order::LoadModel { model, version });
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
        let named = self.scene.named(host);
        let versions = named.map(|named| &named.versions);
        let is_meant = |held: &&Loaded| ModelVersion::of(&held.model, &held.version) == version;
        if let Some(held) = versions.and_then(|held| held.iter().find(is_meant)) {
            let order = upstreams::Order::UnloadModel {
                model: held.model.clone(),
                version: held.version.clone(),
            };
            self.order(host, order);
        }
    }

    fn order(&mut self, host: HostKey, order: upstreams::Order) {
        let Some(named) = self.scene.named(host) else {
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
