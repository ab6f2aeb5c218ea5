//! Orders loads and unloads of models, paced to the bandwidth of the weight store.

use super::inventory::PoolInventory;
use super::order::Order;
use super::view::{Host, ModelVersion, PlacementView, Stage};
use crate::keys::ModelKey;
use crate::reclaim::num::to_f64;
use crate::time::TimeMs;

/// Backlog of the weight store up to which new loads are ordered.
const BACKLOG_SECONDS_MAX: f64 = 10.0;

/// Divisor of a pool's host count that limits concurrent loads of another version.
const CONCURRENT_ROLLING_DIVISOR: usize = 4;

/// A model that a host has to load.
#[derive(Clone, Copy, Debug)]
struct MissingLoad {
    host: usize,
    model: ModelKey,
    /// Whether the host currently serves the model in another version.
    is_rolling: bool,
    /// Bytes that the host has to load before it serves all models of its pool.
    bytes_until_serving: u64,
}

/// Orders loads and unloads for all pools.
pub(super) fn decide(
    view: &PlacementView<'_>,
    inventories: &[PoolInventory<'_>],
    now: TimeMs,
    orders: &mut Vec<Order>,
) {
    let models = view.document.models.iter();
    let current: Vec<ModelVersion> = models
        .map(|model| ModelVersion::of(&model.name, &model.version))
        .collect();
    let engine_pools = inventories
        .iter()
        .filter(|inventory| !inventory.models().is_empty());
    let hosts: Vec<(&PoolInventory<'_>, &Host)> = engine_pools
        .flat_map(|inventory| inventory.hosts.iter().map(move |host| (inventory, *host)))
        .filter(|(_, host)| host.stage == Stage::Live && host.failing_since_ms.is_none())
        .collect();
    orders.extend(
        hosts
            .iter()
            .flat_map(|(inventory, host)| unneeded_versions(inventory, host, &current)),
    );
    let mut missing: Vec<MissingLoad> = hosts
        .iter()
        .enumerate()
        .flat_map(|(index, (inventory, host))| missing_loads(index, inventory, host, &current))
        .collect();
    // Hosts closest to serving come first: a host adds no capacity until its last model is loaded.
    missing.sort_by_key(|load| {
        let host = hosts[load.host].1.host;
        (load.is_rolling, load.bytes_until_serving, host, load.model)
    });
    let mut pacer = LoadPacer::new(view, &hosts, now);
    let mut rolling: Vec<usize> = Vec::new();
    for load in missing {
        let (inventory, host) = hosts[load.host];
        let rolling_max = inventory.hosts.len().div_ceil(CONCURRENT_ROLLING_DIVISOR);
        let same_pool = |index: &&usize| hosts[**index].0.key() == inventory.key();
        let rolling_count = rolling_hosts(inventory) + rolling.iter().filter(same_pool).count();
        if load.is_rolling && rolling_count >= rolling_max {
            continue;
        }
        if !pacer.try_admit(view.document.model(load.model).weights_bytes) {
            break;
        }
        rolling.extend(load.is_rolling.then_some(load.host));
        orders.push(Order::Load {
            host: host.host,
            model: load.model,
        });
    }
}

/// Returns how many hosts of a pool are loading another version of a model that they serve.
fn rolling_hosts(inventory: &PoolInventory<'_>) -> usize {
    let is_rolling = |host: &&&Host| {
        let mut loading = host.models.iter().filter(|model| model.is_loading());
        loading.any(|model| {
            let mut others = host.models.iter().filter(|other| !other.is_loading());
            others.any(|other| other.model == model.model)
        })
    };
    inventory.hosts.iter().filter(is_rolling).count()
}

/// Returns orders to unload the versions that a host no longer needs.
///
/// A version is not needed if its model is not in the pool, or if the current version is loaded.
fn unneeded_versions(
    inventory: &PoolInventory<'_>,
    host: &Host,
    current: &[ModelVersion],
) -> Vec<Order> {
    let pool_model = |model: &Option<ModelKey>| model.filter(|m| inventory.models().contains(m));
    let loaded = host.models.iter().filter(|held| !held.is_loading());
    let unneeded_versions = loaded.filter(|held| match pool_model(&held.model) {
        None => true,
        Some(model) => {
            let current = current[model.index()];
            let mut others = host.models.iter();
            held.version != current && others.any(|o| !o.is_loading() && o.version == current)
        }
    });
    let orders = unneeded_versions.map(|held| Order::Unload {
        host: host.host,
        version: held.version,
    });
    orders.collect()
}

fn missing_loads(
    index: usize,
    inventory: &PoolInventory<'_>,
    host: &Host,
    current: &[ModelVersion],
) -> Vec<MissingLoad> {
    let document = inventory.view.document;
    let holds = |version: ModelVersion| host.models.iter().any(|held| held.version == version);
    let serves = |model: ModelKey| {
        let mut loaded = host.models.iter().filter(|held| !held.is_loading());
        loaded.any(|held| held.model == Some(model))
    };
    let models = inventory.models().iter().copied();
    let to_load = models.filter(|model| !holds(current[model.index()]));
    let to_load: Vec<ModelKey> = to_load.collect();
    let unserved = to_load.iter().filter(|model| !serves(**model));
    let bytes_until_serving = unserved
        .map(|model| document.model(*model).weights_bytes)
        .sum();
    let missing = to_load.into_iter().map(|model| MissingLoad {
        host: index,
        model,
        is_rolling: serves(model),
        bytes_until_serving,
    });
    missing.collect()
}

/// Limits new loads by the estimated backlog of the weight store.
struct LoadPacer {
    is_closed: bool,
    bytes_per_second: f64,
    backlog_bytes: f64,
}

impl LoadPacer {
    /// Estimates the backlog of started loads, in start order, at the bandwidth of the store.
    ///
    /// Loads beyond the bandwidth compete for it, so that after a mass reclaim no host would serve
    /// until nearly all loads are complete. Paced loads let the hosts start serving one by one.
    fn new(view: &PlacementView<'_>, hosts: &[(&PoolInventory<'_>, &Host)], now: TimeMs) -> Self {
        let bytes_per_second = view.weight_store.bytes_per_second;
        let loads = hosts.iter().flat_map(|(_, host)| &host.models);
        let loads = loads.filter_map(|held| {
            let bytes = view.document.model(held.model?).weights_bytes;
            Some((held.loading_since_ms?, bytes))
        });
        let mut loads: Vec<(TimeMs, u64)> = loads.collect();
        loads.sort_unstable();
        let mut pacer = Self {
            is_closed: now < view.weight_store.closed_until_ms,
            bytes_per_second,
            backlog_bytes: 0.0,
        };
        let mut at_ms = TimeMs(0);
        for (since_ms, bytes) in loads {
            pacer.drain_backlog(since_ms.since(at_ms));
            pacer.backlog_bytes += to_f64(bytes);
            at_ms = since_ms;
        }
        pacer.drain_backlog(now.since(at_ms));
        pacer
    }

    fn drain_backlog(&mut self, elapsed_ms: u64) {
        let done_bytes = self.bytes_per_second * to_f64(elapsed_ms) / 1_000.0;
        self.backlog_bytes = (self.backlog_bytes - done_bytes).max(0.0);
    }

    /// Admits a load if it fits; an empty backlog admits a load of any size.
    fn try_admit(&mut self, bytes: u64) -> bool {
        let backlog_with_load = self.backlog_bytes + to_f64(bytes);
        let fits = backlog_with_load <= self.bytes_per_second * BACKLOG_SECONDS_MAX
            || self.backlog_bytes <= 0.0;
        let admitted = fits && !self.is_closed;
        if admitted {
            self.backlog_bytes = backlog_with_load;
        }
        admitted
    }
}
