//! What the controller remembers between its rounds.

use super::demand::Demands;
use crate::coordination::cloud::{Price, Purchase, PurchaseState};
use crate::coordination::leases::FencingToken;
use crate::keys::HostKey;
use crate::placement::{ModelVersion, PendingPurchase, PurchaseId};
use crate::time::TimeMs;

/// How long a host that was given back is not given back once more.
const GIVEN_BACK_MS: u64 = 30_000;

/// How long a ticket of the weight store that came to nothing is kept.
const TICKET_MS: u64 = 60_000;

/// How long it is remembered that a departure was announced; the host is gone long before.
const DEPARTING_MS: u64 = 120_000;

/// One holding of a failure domain's lease by this node.
#[derive(Clone, Debug)]
pub(super) struct Tenure {
    /// The failure domain.
    pub(super) domain: String,
    /// The lease.
    pub(super) lease: String,
    /// Its fencing number.
    pub(super) fencing: FencingToken,
    /// When this node first saw that it holds it.
    pub(super) since_ms: TimeMs,
    /// Purchases asked for so far.
    pub(super) purchases_asked: u32,
    /// Purchases that neither were refused nor are listed yet.
    pub(super) asks: Vec<PendingPurchase>,
}

/// Leave to load a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) host: HostKey,
    pub(super) version: ModelVersion,
    pub(super) start_at_ms: TimeMs,
}

/// What the controller remembers between its rounds.
#[derive(Debug, Default)]
pub(super) struct Memory {
    /// Sorted by failure domain.
    pub(super) tenures: Vec<Tenure>,
    pub(super) demands: Demands,
    pub(super) purchases: Vec<Purchase>,
    pub(super) purchases_listed_at_ms: Option<TimeMs>,
    pub(super) prices: Vec<Price>,
    pub(super) prices_listed_at_ms: Option<TimeMs>,
    tickets: Vec<Ticket>,
    pub(super) store_closed_until_ms: TimeMs,
    /// When each purchased host was first listed as bought.
    first_seen: Vec<(HostKey, TimeMs)>,
    given_back: Vec<(HostKey, TimeMs)>,
    strangers: Vec<(HostKey, u32, TimeMs)>,
    /// Hosts whose departure this node announced, with when.
    departing: Vec<(HostKey, TimeMs)>,
}

impl Memory {
    /// Notes which leases this node holds now; what belonged to an earlier holding is forgotten.
    pub(super) fn hold(&mut self, held: &[(String, String, FencingToken)], now: TimeMs) {
        let is_held = |tenure: &Tenure| {
            let same = |(domain, _, fencing): &(String, String, FencingToken)| {
                *domain == tenure.domain && *fencing == tenure.fencing
            };
            held.iter().any(same)
        };
        self.tenures.retain(is_held);
        for (domain, lease, fencing) in held {
            let found = self
                .tenures
                .binary_search_by(|tenure| tenure.domain.cmp(domain));
            if let Err(index) = found {
                let tenure = Tenure {
                    domain: domain.clone(),
                    lease: lease.clone(),
                    fencing: *fencing,
                    since_ms: now,
                    purchases_asked: 0,
                    asks: Vec::new(),
                };
                self.tenures.insert(index, tenure);
            }
        }
    }

    /// Takes in what the cloud listed when asked at `requested_at_ms`.
    pub(super) fn list_purchases(&mut self, listed: Vec<Purchase>, asked_at_ms: TimeMs) {
        let first_seen = listed.iter().map(|purchase| {
            let host = HostKey::from_name(&purchase.host);
            (host, self.first_seen(host).unwrap_or(asked_at_ms))
        });
        let mut first_seen: Vec<_> = first_seen.collect();
        first_seen.sort_unstable();
        self.first_seen = first_seen;
        self.purchases = listed;
        self.purchases_listed_at_ms = Some(asked_at_ms);
    }

    /// Drops asks that the newest list answers.
    pub(super) fn drop_answered(&mut self, listed: &[PurchaseId]) {
        for tenure in &mut self.tenures {
            tenure.asks.retain(|ask| !listed.contains(&ask.id));
        }
    }

    /// Notes that a purchase is about to be asked for.
    pub(super) fn note_ask(&mut self, domain: &str, id: PurchaseId, now: TimeMs) {
        let found = self
            .tenures
            .binary_search_by(|tenure| tenure.domain.as_str().cmp(domain));
        let Ok(index) = found else { return };
        let tenure = &mut self.tenures[index];
        if let Some(ask) = tenure.asks.iter_mut().find(|ask| ask.id == id) {
            ask.requested_at_ms = now;
            return;
        }
        tenure.purchases_asked = tenure.purchases_asked.max(id.counter + 1);
        tenure.asks.push(PendingPurchase {
            id,
            requested_at_ms: now,
        });
    }

    /// Notes that a purchase was refused; its name is not used again.
    pub(super) fn drop_ask(&mut self, id: PurchaseId) {
        for tenure in &mut self.tenures {
            tenure.asks.retain(|ask| ask.id != id);
        }
    }

    /// All asks that are open, of all failure domains.
    pub(super) fn asks(&self) -> Vec<PendingPurchase> {
        let tenures = self.tenures.iter();
        tenures.flat_map(|tenure| tenure.asks.clone()).collect()
    }

    /// Notes that a host was given back.
    pub(super) fn note_given_back(&mut self, host: HostKey, now: TimeMs) {
        self.given_back.push((host, now));
    }

    /// Whether a host was given back lately.
    pub(super) fn is_given_back(&self, host: HostKey) -> bool {
        self.given_back.iter().any(|(known, _)| *known == host)
    }

    /// Whether the cloud lists the purchase of a host as ended.
    pub(super) fn has_ended(&self, host: HostKey) -> bool {
        let mut ended = self.purchases.iter();
        ended.any(|p| p.state == PurchaseState::Ended && HostKey::from_name(&p.host) == host)
    }

    /// When a purchased host was first listed as bought.
    pub(super) fn first_seen(&self, host: HostKey) -> Option<TimeMs> {
        let found = self.first_seen.binary_search_by_key(&host, |row| row.0);
        found.ok().map(|index| self.first_seen[index].1)
    }

    /// Notes the load of a host that the document no longer names.
    pub(super) fn note_stranger(&mut self, host: HostKey, running: u32, as_of_ms: TimeMs) {
        self.strangers.retain(|(known, ..)| *known != host);
        self.strangers.push((host, running, as_of_ms));
    }

    /// Streams on such a host, and when they were counted; never, if it was not asked.
    pub(super) fn stranger_load(&self, host: HostKey) -> (u32, TimeMs) {
        let found = self.strangers.iter().find(|(known, ..)| *known == host);
        found.map_or((0, TimeMs(0)), |(_, running, at_ms)| (*running, *at_ms))
    }

    /// The leave to load a model on a host, if there is one.
    pub(super) fn ticket(&self, host: HostKey, version: ModelVersion) -> Option<Ticket> {
        let mut tickets = self.tickets.iter().copied();
        tickets.find(|ticket| (ticket.host, ticket.version) == (host, version))
    }

    /// Notes leave to load a model.
    pub(super) fn note_ticket(
        &mut self,
        host: HostKey,
        version: ModelVersion,
        start_at_ms: TimeMs,
    ) {
        self.tickets.push(Ticket {
            host,
            version,
            start_at_ms,
        });
    }

    /// Forgets leave that is used.
    pub(super) fn drop_ticket(&mut self, host: HostKey, version: ModelVersion) {
        self.tickets
            .retain(|ticket| (ticket.host, ticket.version) != (host, version));
    }

    /// Notes that the departure of a host is announced.
    pub(super) fn note_departing(&mut self, host: HostKey, now: TimeMs) {
        self.departing.push((host, now));
    }

    /// Whether this node announced that a host departs.
    pub(super) fn is_departing(&self, host: HostKey) -> bool {
        self.departing.iter().any(|(known, _)| *known == host)
    }

    /// Forgets what has expired.
    pub(super) fn expire(&mut self, now: TimeMs) {
        self.given_back
            .retain(|(_, at_ms)| now.since(*at_ms) < GIVEN_BACK_MS);
        self.departing
            .retain(|(_, at_ms)| now.since(*at_ms) < DEPARTING_MS);
        self.tickets
            .retain(|ticket| now.since(ticket.start_at_ms) < TICKET_MS);
        let listed = &self.first_seen;
        self.strangers
            .retain(|(host, ..)| listed.binary_search_by_key(host, |row| row.0).is_ok());
    }
}
