//! Which models to load and unload where, at the weight store's rate.

use super::order::Order;
use super::stock::Stock;
use super::view::{Host, ModelVersion, PlacementView, Stage};
use crate::keys::ModelKey;
use crate::reclaim::rates::float;
use crate::time::TimeMs;

/// How far ahead loads are handed to the weight store.
const AHEAD_SECONDS: f64 = 10.0;

/// Part of a pool's hosts that load another version at once, as one in so many.
const ROLLED_AT_ONCE_DIVISOR: usize = 4;

/// A load that a host lacks.
#[derive(Clone, Copy, Debug)]
struct Missing {
    host: usize,
    model: ModelKey,
    /// Whether it serves the model in another version meanwhile.
    rolls: bool,
    /// Bytes that the host lacks until it serves.
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
    // Closest to serving first: a host brings nothing until its last model is there.
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

/// Hosts of a pool that load another version of a model that they serve.
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

/// Versions on a host that can go: of no model of the pool, or followed by the present version.
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

/// The loads that the weight store has not got to yet.
struct Pace {
    closed: bool,
    bytes_per_second: f64,
    waiting_bytes: f64,
}

impl Pace {
    /// Works off the loads under way at the store's rate, in the order that they began.
    ///
    /// Loads beyond the rate would only wait there, each slowed by all others, and after a wave no
    /// host would serve until nearly all do. Handed over at the rate, they serve one by one.
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
            pace.waiting_bytes += float(bytes);
            at_ms = since_ms;
        }
        pace.work_off(now.since(at_ms));
        pace
    }

    fn work_off(&mut self, passed_ms: u64) {
        let done_bytes = self.bytes_per_second * float(passed_ms) / 1_000.0;
        self.waiting_bytes = (self.waiting_bytes - done_bytes).max(0.0);
    }

    /// Whether a load fits; one always does while none waits, however large.
    fn admits(&mut self, bytes: u64) -> bool {
        let with_it = self.waiting_bytes + float(bytes);
        let fits = with_it <= self.bytes_per_second * AHEAD_SECONDS || self.waiting_bytes <= 0.0;
        let admitted = fits && !self.closed;
        if admitted {
            self.waiting_bytes = with_it;
        }
        admitted
    }
}
