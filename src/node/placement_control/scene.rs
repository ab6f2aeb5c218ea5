//! Reads what `placement` decides from off the blackboard and the controller's memory.

use std::net::SocketAddr;

use super::book::{Asked, PlacementBook};
use super::demand::{is_leaving, reports_load};
use super::memory::Memory;
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

/// What orders call a host.
#[derive(Clone, Debug)]
pub(super) struct Named {
    pub(super) host: HostKey,
    /// The platform's name for it.
    pub(super) name: String,
    /// Where it listens, if the host list shows it.
    pub(super) address: Option<SocketAddr>,
    /// Versions of models that it reports, loaded or loading.
    pub(super) versions: Vec<Loaded>,
}

/// What is held, in the document's keys.
#[derive(Debug, Default)]
pub(super) struct Scene {
    /// Sorted by host.
    pub(super) hosts: Vec<Host>,
    /// Sorted by host.
    pub(super) names: Vec<Named>,
    pub(super) strangers: Vec<OrphanedHost>,
    pub(super) purchases: Vec<Purchase>,
}

impl Scene {
    /// The scene of a document; `rows` are its hosts.
    pub(super) fn new(
        document: &Document,
        rows: &[HostRow],
        book: &PlacementBook,
        memory: &Memory,
        now: TimeMs,
    ) -> Self {
        let mut scene = Self::default();
        for row in rows {
            let stage = stage(row, book, memory, now);
            let asked = book.asked(row.key);
            scene.hosts.push(host(document, row, asked, stage, now));
            scene.names.push(Named {
                host: row.key,
                name: row.name.clone(),
                address: Some(row.address),
                versions: asked.map(versions).unwrap_or_default(),
            });
        }
        for listed in &memory.purchases {
            scene.take_purchase(document, listed, memory, book, now);
        }
        scene.hosts.sort_unstable_by_key(|host| host.host);
        scene.names.sort_by_key(|named| named.host);
        scene
    }

    /// What orders call a host.
    pub(super) fn named(&self, host: HostKey) -> Option<&Named> {
        let found = self.names.binary_search_by_key(&host, |named| named.host);
        found.ok().map(|index| &self.names[index])
    }

    fn take_purchase(
        &mut self,
        document: &Document,
        listed: &cloud::Purchase,
        memory: &Memory,
        book: &PlacementBook,
        now: TimeMs,
    ) {
        let host = HostKey::from_name(&listed.host);
        let state = state(listed.state);
        let is_listed = self.hosts.iter().any(|known| known.host == host);
        match PurchaseId::parse(&listed.purchase, document) {
            Ok(id) => {
                self.purchases.push(Purchase { id, host, state });
                if !is_listed && state != PurchaseState::Ended {
                    self.hosts.push(unlisted(id, host, memory, now));
                    self.name(listed);
                }
            }
            Err(error) if error.is_orphaned() && !is_listed && state != PurchaseState::Ended => {
                let (running, load_as_of_ms) = memory.stranger_load(host);
                self.strangers.push(OrphanedHost {
                    host,
                    running,
                    load_as_of_ms,
                    draining_since_ms: book.draining_since(host, now),
                });
                self.name(listed);
            }
            Err(_) => {}
        }
    }

    fn name(&mut self, listed: &cloud::Purchase) {
        self.names.push(Named {
            host: HostKey::from_name(&listed.host),
            name: listed.host.clone(),
            address: None,
            versions: Vec::new(),
        });
    }
}

/// A host that was bought and that the host list does not show yet.
fn unlisted(id: PurchaseId, host: HostKey, memory: &Memory, now: TimeMs) -> Host {
    Host {
        host,
        domain: id.domain,
        class: id.class,
        pool: id.pool,
        stage: if memory.is_given_back(host) {
            Stage::GivenBack
        } else {
            Stage::Starting {
                since_ms: memory.first_seen(host).unwrap_or(now),
            }
        },
        running: 0,
        load_as_of_ms: TimeMs(0),
        failing_since_ms: None,
        models: Vec::new(),
        role: None,
    }
}

fn stage(row: &HostRow, book: &PlacementBook, memory: &Memory, now: TimeMs) -> Stage {
    match book.draining_since(row.key, now) {
        _ if memory.is_given_back(row.key) || memory.has_ended(row.key) => Stage::GivenBack,
        _ if is_leaving(row) => Stage::Leaving,
        Some(since_ms) => Stage::Draining { since_ms },
        // One that has not answered yet is not `Starting`: callers may have streams on it already.
        None => Stage::Live,
    }
}

fn host(
    document: &Document,
    row: &HostRow,
    asked: Option<&Asked>,
    stage: Stage,
    now: TimeMs,
) -> Host {
    let pool = document.pool(row.pool);
    let said = asked.and_then(|asked| asked.said.as_ref());
    // A plain service reports no load: its calls have ended once their time is over.
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
        failing_since_ms: match asked {
            Some(asked) => asked.failing_since_ms,
            None => Some(now),
        },
        models: asked
            .map(|asked| models(document, asked, now))
            .unwrap_or_default(),
        role: said
            .filter(|_| reports_load(pool))
            .map(|said| match said.role {
                upstreams::Role::Interactive => Role::Interactive,
                upstreams::Role::Batch => Role::Batch,
            }),
    }
}

fn versions(asked: &Asked) -> Vec<Loaded> {
    let said = asked.said.iter();
    said.flat_map(|said| said.models.iter().chain(&said.loading).cloned())
        .collect()
}

/// A load counts as begun now for as long as it goes on, which paces loads more than is needed.
fn models(document: &Document, asked: &Asked, now: TimeMs) -> Vec<LoadedModel> {
    let Some(said) = &asked.said else {
        return Vec::new();
    };
    let known = |held: &Loaded, loading_since_ms| LoadedModel {
        version: ModelVersion::of(&held.model, &held.version),
        model: document.find_model(&held.model),
        loading_since_ms,
    };
    let loaded = said.models.iter().map(|held| known(held, None));
    let loading = said.loading.iter().map(|held| known(held, Some(now)));
    loaded.chain(loading).collect()
}

fn state(listed: cloud::PurchaseState) -> PurchaseState {
    match listed {
        cloud::PurchaseState::Starting => PurchaseState::Starting,
        cloud::PurchaseState::Live => PurchaseState::Live,
        cloud::PurchaseState::Ended => PurchaseState::Ended,
    }
}

/// The listed prices in the document's keys, sorted.
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

/// All refused starts that are remembered, in the document's keys, sorted.
pub(super) fn refusals(document: &Document, book: &PlacementBook, now: TimeMs) -> Vec<Refusal> {
    let known = book.refusals(now).flat_map(|news| {
        let domain = document.find_failure_domain(&news.domain);
        news.refusals.iter().filter_map(move |refused| {
            Some(Refusal {
                class: document.find_host_class(&refused.host_class)?,
                domain: domain?,
                consecutive_refusals: refused.in_a_row,
                last_at_ms: refused.last_at_ms,
            })
        })
    });
    let mut refusals: Vec<_> = known.collect();
    refusals.sort_unstable_by_key(|refusal| (refusal.class, refusal.domain));
    refusals
}
