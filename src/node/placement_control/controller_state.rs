//! State that the controller keeps between rounds.

use super::demand::DemandHistory;
use crate::coordination::cloud::{Price, Purchase, PurchaseState};
use crate::coordination::leases::FencingToken;
use crate::keys::HostKey;
use crate::placement::{ModelVersion, PendingPurchase, PurchaseId};
use crate::time::TimeMs;

/// How long a host that was given back is not given back again.
const GIVEN_BACK_RETENTION_MS: u64 = 30_000;

/// How long an unused ticket of the weight store is kept after its start time.
const TICKET_RETENTION_MS: u64 = 60_000;

/// How long an announced departure is kept; the host is gone long before.
const DEPARTURE_RETENTION_MS: u64 = 120_000;

/// A failure domain's lease while this node holds it under one fencing token.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    /// The failure domain.
    pub(super) domain: String,
    /// Name of the lease.
    pub(super) lease: String,
    /// Fencing token of the lease.
    pub(super) fencing: FencingToken,
    /// When this node first found that it holds the lease.
    pub(super) since_ms: TimeMs,
    /// Purchases requested so far.
    pub(super) purchases_requested: u32,
    /// Requested purchases that were neither refused nor listed yet.
    pub(super) pending_purchases: Vec<PendingPurchase>,
}

/// A ticket of the weight store to load a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) host: HostKey,
    pub(super) version: ModelVersion,
    pub(super) start_at_ms: TimeMs,
}

/// State that the controller keeps between rounds.
#[derive(Debug, Default)]
pub(super) struct ControllerState {
    /// Sorted by failure domain.
    pub(super) leases: Vec<HeldLease>,
    pub(super) demands: DemandHistory,
    pub(super) purchases: Vec<Purchase>,
    pub(super) purchases_listed_at_ms: Option<TimeMs>,
    pub(super) prices: Vec<Price>,
    pub(super) prices_listed_at_ms: Option<TimeMs>,
    tickets: Vec<Ticket>,
    pub(super) store_closed_until_ms: TimeMs,
    /// When each purchased host was first listed as bought.
    first_seen: Vec<(HostKey, TimeMs)>,
    given_back: Vec<(HostKey, TimeMs)>,
    orphaned_hosts: Vec<(HostKey, u32, TimeMs)>,
    /// Hosts whose departure this node announced, with the time of the announcement.
    departing: Vec<(HostKey, TimeMs)>,
}

impl ControllerState {
    /// Updates the leases that this node holds; drops state of earlier fencing tokens.
    pub(super) fn update_held_leases(
        &mut self,
        held: &[(String, String, FencingToken)],
        now: TimeMs,
    ) {
        let is_held = |lease: &HeldLease| {
            let same = |(domain, _, fencing): &(String, String, FencingToken)| {
                *domain == lease.domain && *fencing == lease.fencing
            };
            held.iter().any(same)
        };
        self.leases.retain(is_held);
        for (domain, name, fencing) in held {
            let found = self
                .leases
                .binary_search_by(|lease| lease.domain.cmp(domain));
            if let Err(index) = found {
                let lease = HeldLease {
                    domain: domain.clone(),
                    lease: name.clone(),
                    fencing: *fencing,
                    since_ms: now,
                    purchases_requested: 0,
                    pending_purchases: Vec::new(),
                };
                self.leases.insert(index, lease);
            }
        }
    }

    /// Stores the purchases that the cloud listed in response to a call at `requested_at_ms`.
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

    /// Drops open purchases that the newest list contains.
    pub(super) fn drop_listed_purchases(&mut self, listed: &[PurchaseId]) {
        for lease in &mut self.leases {
            lease
                .pending_purchases
                .retain(|pending| !listed.contains(&pending.id));
        }
    }

    /// Records that a purchase is about to be requested.
    pub(super) fn record_pending_purchase(&mut self, domain: &str, id: PurchaseId, now: TimeMs) {
        let found = self
            .leases
            .binary_search_by(|lease| lease.domain.as_str().cmp(domain));
        let Ok(index) = found else { return };
        let lease = &mut self.leases[index];
        if let Some(pending) = lease
            .pending_purchases
            .iter_mut()
            .find(|pending| pending.id == id)
        {
            pending.requested_at_ms = now;
            return;
        }
        lease.purchases_requested = lease.purchases_requested.max(id.counter + 1);
        lease.pending_purchases.push(PendingPurchase {
            id,
            requested_at_ms: now,
        });
    }

    /// Drops a refused purchase; its name is not used again.
    pub(super) fn drop_pending_purchase(&mut self, id: PurchaseId) {
        for lease in &mut self.leases {
            lease.pending_purchases.retain(|pending| pending.id != id);
        }
    }

    /// Returns the open purchases of all failure domains.
    pub(super) fn pending_purchases(&self) -> Vec<PendingPurchase> {
        let leases = self.leases.iter();
        leases
            .flat_map(|lease| lease.pending_purchases.clone())
            .collect()
    }

    /// Records that a host was given back.
    pub(super) fn record_given_back(&mut self, host: HostKey, now: TimeMs) {
        self.given_back.push((host, now));
    }

    /// Returns whether a host was given back recently.
    pub(super) fn is_given_back(&self, host: HostKey) -> bool {
        self.given_back.iter().any(|(known, _)| *known == host)
    }

    /// Returns whether the cloud lists the purchase of a host as ended.
    pub(super) fn has_ended(&self, host: HostKey) -> bool {
        let mut ended = self.purchases.iter();
        ended.any(|p| p.state == PurchaseState::Ended && HostKey::from_name(&p.host) == host)
    }

    /// When each purchased host was first listed as bought.
    pub(super) fn first_seen(&self, host: HostKey) -> Option<TimeMs> {
        let found = self.first_seen.binary_search_by_key(&host, |row| row.0);
        found.ok().map(|index| self.first_seen[index].1)
    }

    /// Records the load of a host bought for something that the document no longer contains.
    pub(super) fn record_orphaned_host(&mut self, host: HostKey, running: u32, as_of_ms: TimeMs) {
        self.orphaned_hosts.retain(|(known, ..)| *known != host);
        self.orphaned_hosts.push((host, running, as_of_ms));
    }

    /// Returns the streams on such a host and the time of the count, 0 if it was never polled.
    pub(super) fn orphaned_host_load(&self, host: HostKey) -> (u32, TimeMs) {
        let found = self
            .orphaned_hosts
            .iter()
            .find(|(known, ..)| *known == host);
        found.map_or((0, TimeMs(0)), |(_, running, at_ms)| (*running, *at_ms))
    }

    /// Returns the ticket to load a model on a host, if there is one.
    pub(super) fn ticket(&self, host: HostKey, version: ModelVersion) -> Option<Ticket> {
        let mut tickets = self.tickets.iter().copied();
        tickets.find(|ticket| (ticket.host, ticket.version) == (host, version))
    }

    /// Records a ticket to load a model.
    pub(super) fn record_ticket(
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

    /// Removes a ticket that was used.
    pub(super) fn drop_ticket(&mut self, host: HostKey, version: ModelVersion) {
        self.tickets
            .retain(|ticket| (ticket.host, ticket.version) != (host, version));
    }

    /// Records that the departure of a host was announced.
    pub(super) fn record_departing(&mut self, host: HostKey, now: TimeMs) {
        self.departing.push((host, now));
    }

    /// Returns whether this node announced the departure of a host.
    pub(super) fn is_departing(&self, host: HostKey) -> bool {
        self.departing.iter().any(|(known, _)| *known == host)
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: TimeMs) {
        self.given_back
            .retain(|(_, at_ms)| now.since(*at_ms) < GIVEN_BACK_RETENTION_MS);
        self.departing
            .retain(|(_, at_ms)| now.since(*at_ms) < DEPARTURE_RETENTION_MS);
        self.tickets
            .retain(|ticket| now.since(ticket.start_at_ms) < TICKET_RETENTION_MS);
        let listed = &self.first_seen;
        self.orphaned_hosts
            .retain(|(host, ..)| listed.binary_search_by_key(host, |row| row.0).is_ok());
    }
}
