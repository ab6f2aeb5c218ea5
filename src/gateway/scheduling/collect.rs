//! Collects what this node knows of the room of each pool.

use super::PoolView;
use super::allocation::{TeamWeight, Weights};
use super::room::{EngineLoad, Room};
use crate::gateway::catalog::{Catalog, Pool, Unit};
use crate::gateway::speed::need;
use crate::gateway::state::Gateway;
use crate::limits::TeamTag;
use crate::time::TimeMs;

/// Computes anew, for each pool of engines, what it can take, and ends waits.
pub(super) fn refresh_all(node: &Gateway, now: TimeMs) {
    let catalog = node.catalog();
    for pool in catalog.pools.iter().filter(|pool| pool.engine.is_some()) {
        if let Some(view) = pool_view(node, &catalog, &pool.name, now) {
            (node.scheduling.lock()).refresh(&pool.name, &view, now);
        }
    }
    let is_known = |pool: &str| {
        let is_engine = |pool: &Pool| pool.engine.is_some();
        catalog.pool(pool).is_some_and(is_engine) && need::targets(&catalog, pool).is_some()
    };
    node.scheduling.lock().retain(is_known, now);
}

/// Returns what this node knows of a pool; `None` if no route to it has a target.
fn pool_view(node: &Gateway, catalog: &Catalog, pool: &str, now: TimeMs) -> Option<PoolView> {
    let targets = need::targets(catalog, pool)?;
    let pace = node.pace(pool, now);
    let room = {
        let upstreams = node.upstreams.lock();
        let open = (upstreams.iter()).filter(|(_key, upstream)| {
            upstream.announcement.pool == pool
                && upstream.accepts_requests(now)
                && upstream.closed_reason(now).is_none()
                && !upstream.health.is_paused(now)
                && !upstream.is_unresponsive(now)
        });
        Room::of(open.map(|(_key, upstream)| EngineLoad {
            read_tokens_per_ms: pace.read_tokens_per_ms / upstream.speed.factor(),
            unread_tokens: upstream.unread_tokens(),
            running: upstream.running(),
            slots: upstream.announcement.slots,
        }))
    };
    Some(PoolView {
        room,
        target_ms: targets.first_ms,
        known_nodes: node.peers.lock().known_nodes(),
        weights: weights(catalog),
    })
}

/// Returns the weights of teams: their limits in tokens; a team without one gets the mean.
fn weights(catalog: &Catalog) -> Weights {
    Weights::new(catalog.teams.iter().filter_map(|team| match team.unit {
        Unit::Tokens { .. } => Some(TeamWeight {
            team: TeamTag::of(&team.name),
            weight: team.rate_per_s?,
        }),
        Unit::Requests => None,
    }))
}
