//! Builds the input of `placement` from the blackboard and the controller's state.

use std::net::SocketAddr;

use super::controller_state::ControllerState;
use super::demand::{is_leaving, reports_load};
use super::placement_state::{PlacementState, UpstreamState};
use crate::blackboard::HostRow;
use crate::coordination::cloud;
use crate::document::Document;
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::placement::{
    Host, LoadedModel, ModelVersion, OrphanedHost, Price, Purchase, PurchaseId, PurchaseState,
    Refusal, Role, Stage,
};
use crate::time::TimeMs;
use crate::upstreams::{self, Loaded};

/// The platform's name, address and model versions of a host, as orders need them.
#[derive(Clone, Debug)]
pub(super) struct NamedHost {
    pub(super) host: HostKey,
    /// The platform's name of the host.
    pub(super) name: String,
    /// Address of its upstream, if the host list contains it.
    pub(super) address: Option<SocketAddr>,
    /// Model versions that the host reports as loaded or loading.
    pub(super) versions: Vec<Loaded>,
}

/// Current hosts and purchases, in the document's keys.
#[derive(Debug, Default)]
pub(super) struct PlacementInput {
    /// Sorted by host.
    pub(super) hosts: Vec<Host>,
    /// Sorted by host.
    pub(super) names: Vec<NamedHost>,
    pub(super) orphaned_hosts: Vec<OrphanedHost>,
    pub(super) purchases: Vec<Purchase>,
}

impl PlacementInput {
    /// Builds the input for a document; `rows` are its hosts.
    pub(super) fn new(
        document: &Document,
        rows: &[HostRow],
        known: &PlacementState,
        controller: &ControllerState,
        now: TimeMs,
    ) -> Self {
        let mut input = Self::default();
        for row in rows {
            let stage = stage(row, known, controller, now);
            let upstream = known.upstream(row.key);
            input.hosts.push(host(document, row, upstream, stage, now));
            input.names.push(NamedHost {
                host: row.key,
                name: row.name.clone(),
                address: Some(row.address),
                versions: upstream.map(versions).unwrap_or_default(),
            });
        }
        for listed in &controller.purchases {
            input.add_purchase(document, listed, controller, known, now);
        }
        input.hosts.sort_unstable_by_key(|host| host.host);
        input.names.sort_by_key(|named| named.host);
        input
    }

    /// The platform's name, address and model versions of a host, as orders need them.
    pub(super) fn named(&self, host: HostKey) -> Option<&NamedHost> {
        let found = self.names.binary_search_by_key(&host, |named| named.host);
        found.ok().map(|index| &self.names[index])
    }

    fn add_purchase(
        &mut self,
        document: &Document,
        listed: &cloud::Purchase,
        controller: &ControllerState,
        known: &PlacementState,
        now: TimeMs,
    ) {
        let host = HostKey::from_name(&listed.host);
        let state = state(listed.state);
        let is_listed = self.hosts.iter().any(|known| known.host == host);
        match PurchaseId::parse(&listed.purchase, document) {
            Ok(id) => {
                self.purchases.push(Purchase { id, host, state });
                if !is_listed && state != PurchaseState::Ended {
                    self.hosts.push(unlisted(id, host, controller, now));
                    self.add_name(listed);
                }
            }
            Err(error) if error.is_orphaned() && !is_listed && state != PurchaseState::Ended => {
                let (running, load_as_of_ms) = controller.orphaned_host_load(host);
                self.orphaned_hosts.push(OrphanedHost {
                    host,
                    running,
                    load_as_of_ms,
                    draining_since_ms: known.draining_since(host, now),
                });
                self.add_name(listed);
            }
            Err(_) => {}
        }
    }

    fn add_name(&mut self, listed: &cloud::Purchase) {
        self.names.push(NamedHost {
            host: HostKey::from_name(&listed.host),
            name: listed.host.clone(),
            address: None,
            versions: Vec::new(),
        });
    }
}

/// Returns a host that was bought and that the host list does not contain yet.
fn unlisted(id: PurchaseId, host: HostKey, controller: &ControllerState, now: TimeMs) -> Host {
    Host {
        host,
        domain: id.domain,
        class: id.class,
        pool: id.pool,
        stage: if controller.is_given_back(host) {
            Stage::GivenBack
        } else {
            Stage::Starting {
                since_ms: controller.first_seen(host).unwrap_or(now),
            }
        },
        running: 0,
        load_as_of_ms: TimeMs(0),
        failing_since_ms: None,
        models: Vec::new(),
        role: None,
    }
}

fn stage(
    row: &HostRow,
    known: &PlacementState,
    controller: &ControllerState,
    now: TimeMs,
) -> Stage {
    match known.draining_since(row.key, now) {
        _ if controller.is_given_back(row.key) || controller.has_ended(row.key) => Stage::GivenBack,
        _ if is_leaving(row) => Stage::Leaving,
        Some(since_ms) => Stage::Draining { since_ms },
        // A host that has not answered yet is not `Starting`: callers may already have streams on
        // it.
        None => Stage::Live,
    }
}

fn host(
    document: &Document,
    row: &HostRow,
    upstream: Option<&UpstreamState>,
    stage: Stage,
    now: TimeMs,
) -> Host {
    let pool = document.pool(row.pool);
    let reported = upstream.and_then(|upstream| upstream.reported.as_ref());
    // A plain service reports no load; calls older than its timeout have ended.
    let load_as_of_ms = match pool.kind {
        PoolKind::Engine { .. } => row.load.as_of_ms,
        PoolKind::Service { timeout_ms, .. } => TimeMs(now.0.saturating_sub(timeout_ms)),
    };
    let streams = row.load.running.saturating_add(row.load.queued);
    Host {
        host: row.key,
        domain: row.domain,
        class: row.class,
        pool: row.pool,
        stage,
        running: streams.max(row.own_open_streams),
        load_as_of_ms,
        failing_since_ms: match upstream {
            Some(upstream) => upstream.failing_since_ms,
            None => Some(now),
        },
        models: upstream
            .map(|upstream| models(document, upstream, now))
            .unwrap_or_default(),
        role: reported
            .filter(|_| reports_load(pool))
            .map(|reported| match reported.role {
                upstreams::Role::Interactive => Role::Interactive,
                upstreams::Role::Batch => Role::Batch,
            }),
    }
}

fn versions(upstream: &UpstreamState) -> Vec<Loaded> {
    let reported = upstream.reported.iter();
    reported
        .flat_map(|reported| reported.models.iter().chain(&reported.loading).cloned())
        .collect()
}

/// Returns an engine's loaded and loading models.
///
/// A load in progress counts as begun now for as long as it continues, which paces loads more than
/// necessary.
fn models(document: &Document, upstream: &UpstreamState, now: TimeMs) -> Vec<LoadedModel> {
    let Some(reported) = &upstream.reported else {
        return Vec::new();
    };
    let known = |held: &Loaded, loading_since_ms| LoadedModel {
        version: ModelVersion::of(&held.model, &held.version),
        model: document.find_model(&held.model),
        loading_since_ms,
    };
    let loaded = reported.models.iter().map(|held| known(held, None));
    let loading = reported.loading.iter().map(|held| known(held, Some(now)));
    loaded.chain(loading).collect()
}

fn state(listed: cloud::PurchaseState) -> PurchaseState {
    match listed {
        cloud::PurchaseState::Starting => PurchaseState::Starting,
        cloud::PurchaseState::Live => PurchaseState::Live,
        cloud::PurchaseState::Ended => PurchaseState::Ended,
    }
}

/// Returns the listed prices in the document's keys, sorted.
pub(super) fn prices(document: &Document, listed: &[cloud::Price]) -> Vec<Price> {
    let known = listed.iter().filter_map(|price| {
        Some(Price {
            class: document.find_host_class(&price.host_class)?,
            domain: document.find_failure_domain(&price.failure_domain)?,
            price_per_hour: price.price_per_hour,
        })
    });
    let mut prices: Vec<_> = known.collect();
    prices.sort_unstable_by_key(|price| (price.class, price.domain));
    prices.dedup_by_key(|price| (price.class, price.domain));
    prices
}

/// Returns all known refused starts in the document's keys, sorted.
pub(super) fn refusals(document: &Document, known: &PlacementState, now: TimeMs) -> Vec<Refusal> {
    let known = known.refusals(now).flat_map(|report| {
        let domain = document.find_failure_domain(&report.domain);
        report.refusals.iter().filter_map(move |refused| {
            Some(Refusal {
                class: document.find_host_class(&refused.host_class)?,
                domain: domain?,
                consecutive_refusals: refused.consecutive_refusals,
                last_at_ms: refused.last_at_ms,
            })
        })
    });
    let mut refusals: Vec<_> = known.collect();
    refusals.sort_unstable_by_key(|refusal| (refusal.class, refusal.domain));
    refusals
}
