//! Gauges of a node's state, set at each scrape of its metrics.
//!
//! Gauges are computed at scrapes only, so that a node without scrapes spends no time on them.

use metrics::gauge;

use super::num;
use super::reach;
use super::state::Gateway;
use super::store_contact::StoreAvailability;
use super::upstreams::{Phase, Upstream};
use crate::limits::TeamTag;
use crate::time::TimeMs;

/// Quantiles of the speeds of a pool's upstreams, in percent, with their labels.
const SPEED_QUANTILES: [(&str, usize); 3] = [("0.1", 10), ("0.5", 50), ("0.9", 90)];

/// The state of an upstream as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    /// It failed or was unreachable and gets no requests for a while.
    Paused,
    /// It has been silent for longer than a response should take.
    Silent,
    Leaving,
    /// Its announcement was removed; requests are still in progress there.
    Removed,
}

impl State {
    const ALL: [Self; 5] = [
        Self::Ready,
        Self::Paused,
        Self::Silent,
        Self::Leaving,
        Self::Removed,
    ];

    fn of(upstream: &Upstream, now: TimeMs) -> Self {
        match upstream.announcement.phase {
            _ if upstream.is_removed => Self::Removed,
            Phase::Leaving => Self::Leaving,
            Phase::Ready if upstream.send_gate.is_leaving() => Self::Leaving,
            Phase::Ready if upstream.health.is_paused(now) => Self::Paused,
            Phase::Ready if upstream.is_unresponsive(now) => Self::Silent,
            Phase::Ready => Self::Ready,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Paused => "paused",
            Self::Silent => "silent",
            Self::Leaving => "leaving",
            Self::Removed => "removed",
        }
    }
}

/// Sets all gauges to the node's present state.
pub(crate) fn publish(node: &Gateway, now: TimeMs) {
    publish_views(node, now);
    publish_peers(node, now);
    publish_upstreams(node, now);
    publish_limits(node, now);
    publish_scheduling(node);
}

fn publish_views(node: &Gateway, now: TimeMs) {
    let (version, configuration_age_ms) = {
        let in_force = node.in_force.read();
        (in_force.catalog.version, now.since(in_force.confirmed_at))
    };
    let upstreams_age_ms = now.since(node.upstreams_view.lock().read_at);
    let token = node.lease.lock().token(now);
    gauge!("teaselline_configuration_version").set(num::to_f64(version));
    gauge!("teaselline_configuration_age_ms").set(num::to_f64(configuration_age_ms));
    gauge!("teaselline_upstreams_age_ms").set(num::to_f64(upstreams_age_ms));
    gauge!("teaselline_store_era").set(num::to_f64(node.store.era()));
    gauge!("teaselline_ready").set(flag(node.is_ready(now)));
    gauge!("teaselline_store_answers")
        .set(flag(node.store_reach(now) != StoreAvailability::Failing));
    gauge!("teaselline_lease_held").set(flag(token.is_some()));
    gauge!("teaselline_fencing_token").set(token.map_or(0.0, |token| num::to_f64(token.number())));
    let in_flight = node.in_flight.load(std::sync::atomic::Ordering::Relaxed);
    gauge!("teaselline_requests_in_flight").set(num::to_f64(in_flight as u64));
    let (connections, bytes) = node.callers.held();
    gauge!("teaselline_callers_connections").set(num::to_f64(connections as u64));
    gauge!("teaselline_callers_bytes").set(num::to_f64(bytes as u64));
}

fn publish_peers(node: &Gateway, now: TimeMs) {
    let audience = node.peers.lock().visibility(now);
    gauge!("teaselline_nodes", "state" => "known").set(f64::from(audience.known));
    gauge!("teaselline_nodes", "state" => "heard").set(f64::from(audience.heard));
}

fn publish_upstreams(node: &Gateway, now: TimeMs) {
    let catalog = node.catalog();
    let upstreams = node.upstreams.lock();
    for pool in &catalog.pools {
        let of_pool = || {
            let upstreams = upstreams.iter().map(|(_key, upstream)| upstream);
            upstreams.filter(|upstream| upstream.announcement.pool == pool.name)
        };
        for state in State::ALL {
            let count = of_pool()
                .filter(|upstream| State::of(upstream, now) == state)
                .count();
            gauge!("teaselline_upstreams", "pool" => pool.name.clone(), "state" => state.label())
                .set(num::to_f64(count as u64));
        }
        gauge!("teaselline_pool_reached", "pool" => pool.name.clone())
            .set(reach::level(node.reach.lock().get(&pool.name)));
        let limited = of_pool()
            .filter(|upstream| upstream.send_gate.throttle.limit_per_s().is_some())
            .count();
        gauge!("teaselline_upstreams_limited", "pool" => pool.name.clone())
            .set(num::to_f64(limited as u64));
        let resting = of_pool()
            .filter(|upstream| upstream.send_gate.backoff.remaining_ms(now).is_some())
            .count();
        gauge!("teaselline_upstreams_resting", "pool" => pool.name.clone())
            .set(num::to_f64(resting as u64));
        let mut time_factors: Vec<f64> =
            of_pool().map(|upstream| upstream.speed.factor()).collect();
        time_factors.sort_by(f64::total_cmp);
        for (label, quantile) in SPEED_QUANTILES {
            let factor = quantile_of(&time_factors, quantile);
            gauge!("teaselline_upstream_speed", "pool" => pool.name.clone(), "quantile" => label)
                .set(factor);
        }
        let running: u32 = of_pool().map(|upstream| upstream.own_load.running).sum();
        gauge!("teaselline_requests_at_upstreams", "pool" => pool.name.clone())
            .set(f64::from(running));
    }
}

fn publish_limits(node: &Gateway, now: TimeMs) {
    let catalog = node.catalog();
    let budget = node.repeat_budget();
    gauge!("teaselline_repeat_budget_nodes").set(f64::from(budget.nodes));
    let mut repeats = node.repeats.lock();
    for pool in &catalog.pools {
        let left = repeats.get_or_default(&pool.name).remaining(&budget, now);
        gauge!("teaselline_repeats_left", "pool" => pool.name.clone()).set(left);
    }
    drop(repeats);
    let quotas = node.quotas.lock();
    for team in &catalog.teams {
        if let Some(part) = quotas.remaining_fraction(team) {
            gauge!("teaselline_limit_left_part", "team" => team.name.clone()).set(part);
        }
    }
    drop(quotas);
    publish_credit(node, now);
    let (blocked, crashes, dropped) = {
        let crashes = node.crashes.lock();
        (crashes.blocked_count(now), crashes.len(), crashes.dropped())
    };
    let streams = node.stream_origins.lock().len();
    gauge!("teaselline_streams_known").set(num::to_f64(streams as u64));
    gauge!("teaselline_contents_blocked").set(num::to_f64(blocked as u64));
    gauge!("teaselline_crashes_known").set(num::to_f64(crashes as u64));
    gauge!("teaselline_crashes_dropped").set(num::to_f64(dropped));
}

fn publish_credit(node: &Gateway, now: TimeMs) {
    let catalog = node.catalog();
    let credit = node.credit.lock();
    for team in &catalog.teams {
        let Some(standing) = credit.leases.standing(team.tag, now) else {
            continue;
        };
        gauge!("teaselline_credit_held", "team" => team.name.clone()).set(standing.held);
        gauge!("teaselline_credit_outstanding", "team" => team.name.clone())
            .set(standing.outstanding.unwrap_or(0.0));
    }
}

/// Returns a quantile of sorted time factors, in percent; that of the mean upstream without any.
fn quantile_of(sorted: &[f64], percent: usize) -> f64 {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted.get(index).copied().unwrap_or(1.0)
}

/// Sets what shows who waits for room, and how much there is.
fn publish_scheduling(node: &Gateway) {
    let catalog = node.catalog();
    let scheduling = node.scheduling.lock();
    for state in scheduling.iter() {
        let label = || state.pool.to_owned();
        let scheduler = state.scheduler;
        gauge!("teaselline_pool_short", "pool" => label()).set(flag(scheduler.is_short()));
        gauge!("teaselline_startable_tokens_per_s", "pool" => label())
            .set(scheduler.startable_tokens_per_s());
        gauge!("teaselline_asked_tokens_per_s", "pool" => label())
            .set(scheduler.demand_tokens_per_s());
        for team in &catalog.teams {
            let waiting = scheduler.queue().waiting_of(TeamTag::of(&team.name));
            gauge!("teaselline_queue_length", "pool" => label(), "team" => team.name.clone())
                .set(f64::from(waiting));
        }
    }
}

fn flag(is_set: bool) -> f64 {
    f64::from(u8::from(is_set))
}

#[cfg(test)]
mod tests;
