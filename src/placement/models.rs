//! Orders loads and unloads of models, paced to the bandwidth of the weight store.

use super::order::Order;
use super::stock::Stock;
use super::view::{Host, ModelVersion, PlacementView, Stage};
use crate::keys::ModelKey;
use crate::reclaim::rates::to_f64;
use crate::time::TimeMs;

/// Backlog of the weight store up to which new loads are ordered.
const AHEAD_SECONDS: f64 = 10.0;

/// Divisor of a pool's host count that limits concurrent loads of another version.
const ROLLED_AT_ONCE_DIVISOR: usize = 4;

/// A model that a host has to load.
#[derive(Clone, Copy, Debug)]
struct Missing {
    host: usize,
    model: ModelKey,
    /// Whether the host currently serves the model in another version.
    rolls: bool,
    /// Bytes that the host has to load before it serves all models of its pool.
    until_serving_bytes: u64,
}

/// Orders loads and unloads for all pools.
pub(super) fn decide(
    view: &PlacementView<'_>,
    stocks: &[Stock<'_>],
    now: TimeMs,
    orders: &mut Vec<Order>,
) {
    let models = view.document.models.iter();
    let present: Vec<ModelVersion> = models
        .map(|model| ModelVersion::of(&model.name, &model.version))
        .collect();
    let engines = stocks.iter().filter(|stock| !stock.models().is_empty());
    let hosts: Vec<(&Stock<'_>, &Host)> = engines
        .flat_map(|stock| stock.hosts.iter().map(move |host| (stock, *host)))
        .filter(|(_, host)| host.stage == Stage::Live && host.failing_since_ms.is_none())
        .collect();
    orders.extend(
        hosts
            .iter()
            .flat_map(|(stock, host)| needless(stock, host, &present)),
    );
    let mut missing: Vec<Missing> = hosts
        .iter()
        .enumerate()
        .flat_map(|(index, (stock, host))| missing_on(index, stock, host, &present))
        .collect();
    // Hosts closest to serving come first: a host adds no capacity until its last model is loaded.
    missing.sort_by_key(|load| {
        let host = hosts[load.host].1.host;
        (load.rolls, load.until_serving_bytes, host, load.model)
    });
    let mut pace = Pace::new(view, &hosts, now);
    let mut rolling: Vec<usize> = Vec::new();
    for load in missing {
        let (stock, host) = hosts[load.host];
        let rolled_max = stock.hosts.len().div_ceil(ROLLED_AT_ONCE_DIVISOR);
        let same_pool = |index: &&usize| hosts[**index].0.key() == stock.key();
        let in_hand = rolling_now(stock) + rolling.iter().filter(same_pool).count();
        if load.rolls && in_hand >= rolled_max {
            continue;
        }
        if !pace.admits(view.document.model(load.model).weights_bytes) {
            break;
        }
        rolling.extend(load.rolls.then_some(load.host));
        orders.push(Order::Load {
            host: host.host,
            model: load.model,
        });
    }
}

/// Returns how many hosts of a pool are loading another version of a model that they serve.
fn rolling_now(stock: &Stock<'_>) -> usize {
    let rolls = |host: &&&Host| {
        let mut loading = host.models.iter().filter(|model| model.is_loading());
        loading.any(|model| {
            let mut others = host.models.iter().filter(|other| !other.is_loading());
            others.any(|other| other.model == model.model)
        })
    };
    stock.hosts.iter().filter(rolls).count()
}

/// Orders the unload of versions that a host no longer needs.
///
/// A version is not needed if its model is not in the pool, or if the current version is loaded.
fn needless(stock: &Stock<'_>, host: &Host, present: &[ModelVersion]) -> Vec<Order> {
    let wanted = |model: &Option<ModelKey>| model.filter(|m| stock.models().contains(m));
    let loaded = host.models.iter().filter(|held| !held.is_loading());
    let needless = loaded.filter(|held| match wanted(&held.model) {
        None => true,
        Some(model) => {
            let present = present[model.index()];
            let mut others = host.models.iter();
            held.version != present && others.any(|o| !o.is_loading() && o.version == present)
        }
    });
    let orders = needless.map(|held| Order::Unload {
        host: host.host,
        version: held.version,
    });
    orders.collect()
}

fn missing_on(
    index: usize,
    stock: &Stock<'_>,
    host: &Host,
    present: &[ModelVersion],
) -> Vec<Missing> {
    let document = stock.view.document;
    let holds = |version: ModelVersion| host.models.iter().any(|held| held.version == version);
    let serves = |model: ModelKey| {
        let mut loaded = host.models.iter().filter(|held| !held.is_loading());
        loaded.any(|held| held.model == Some(model))
    };
    let models = stock.models().iter().copied();
    let to_load = models.filter(|model| !holds(present[model.index()]));
    let to_load: Vec<ModelKey> = to_load.collect();
    let lacking = to_load.iter().filter(|model| !serves(**model));
    let until_serving_bytes = lacking
        .map(|model| document.model(*model).weights_bytes)
        .sum();
    let missing = to_load.into_iter().map(|model| Missing {
        host: index,
        model,
        rolls: serves(model),
        until_serving_bytes,
    });
    missing.collect()
}

/// Limits new loads by the estimated backlog of the weight store.
struct Pace {
    closed: bool,
    bytes_per_second: f64,
    waiting_bytes: f64,
}

impl Pace {
    /// Estimates the backlog of started loads, in start order, at the bandwidth of the store.
    ///
    /// Loads beyond the bandwidth compete for it, so that after a mass reclaim no host would serve
    /// until nearly all loads are complete. Paced loads let the hosts start serving one by one.
    fn new(view: &PlacementView<'_>, hosts: &[(&Stock<'_>, &Host)], now: TimeMs) -> Self {
        let bytes_per_second = view.weight_store.bytes_per_second;
        let loads = hosts.iter().flat_map(|(_, host)| &host.models);
        let loads = loads.filter_map(|held| {
            let bytes = view.document.model(held.model?).weights_bytes;
            Some((held.loading_since_ms?, bytes))
        });
        let mut loads: Vec<(TimeMs, u64)> = loads.collect();
        loads.sort_unstable();
        let mut pace = Self {
            closed: now < view.weight_store.closed_until_ms,
            bytes_per_second,
            waiting_bytes: 0.0,
        };
        let mut at_ms = TimeMs(0);
        for (since_ms, bytes) in loads {
            pace.work_off(since_ms.since(at_ms));
            pace.waiting_bytes += to_f64(bytes);
            at_ms = since_ms;
        }
        pace.work_off(now.since(at_ms));
        pace
    }

    fn work_off(&mut self, passed_ms: u64) {
        let done_bytes = self.bytes_per_second * to_f64(passed_ms) / 1_000.0;
        self.waiting_bytes = (self.waiting_bytes - done_bytes).max(0.0);
    }

    /// Admits a load if it fits; an empty backlog admits a load of any size.
    fn admits(&mut self, bytes: u64) -> bool {
        let with_it = self.waiting_bytes + to_f64(bytes);
        let fits = with_it <= self.bytes_per_second * AHEAD_SECONDS || self.waiting_bytes <= 0.0;
        let admitted = fits && !self.closed;
        if admitted {
            self.waiting_bytes = with_it;
        }
        admitted
    }
}
