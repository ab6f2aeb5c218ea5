//! Builds what a node states to its peers: its heartbeat, the report on its group and the accounts.

use rand::Rng;

use super::heartbeat_interval_ms;
use crate::gateway::clock;
use crate::gateway::demand::DemandTracker;
use crate::gateway::messages::{Account, Heartbeat, Member, Status};
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::gateway::usage::UsageCounts;
use crate::time::TimeMs;

/// Builds this node's heartbeat, without engine speeds.
pub(super) fn build_heartbeat(node: &Gateway, now: TimeMs) -> Heartbeat {
    let member = node.peers.lock().own().clone();
    let (era, era_age_ms) = node.era(now);
    Heartbeat {
        member,
        introduced: random_live_member(node, now),
        status: build_status(node, now),
        era,
        era_age_ms,
        time_of_day_ms: clock::time_of_day().0,
        interval_ms: heartbeat_interval_ms(node),
        usage: node.usage.lock().own_rows(),
        paces: Vec::new(),
        demand: node.demands.lock().own_rates(now),
        speeds: Vec::new(),
    }
}

fn random_live_member(node: &Gateway, now: TimeMs) -> Option<Member> {
    let peers = node.peers.lock();
    let known: Vec<&Member> = peers.live(now).map(|peer| &peer.member).collect();
    match known.len() {
        0 => None,
        count => Some(known[rand::rng().random_range(0..count)].clone()),
    }
}

/// Builds this node's status, with the next sequence number.
pub(super) fn build_status(node: &Gateway, now: TimeMs) -> Status {
    let lease = node.lease.lock().announced(now);
    let rollouts = node.rollouts.lock();
    let observed = rollouts.observations(None);
    let decided = lease.map(|_lease| rollouts.decisions()).unwrap_or_default();
    drop(rollouts);
    let upstreams = node.upstreams.lock();
    let loads = upstreams.own_loads();
    let limits = upstreams.limit_reports(now);
    let leaving = upstreams.leaving_unannounced();
    drop(upstreams);
    Status {
        incarnation: node.incarnation,
        sequence: node.next_status_sequence(),
        is_ready: node.is_ready(now),
        is_stopping: node.is_stopping(),
        store: node.store_reach(now),
        configuration_version: node.catalog().version,
        loads,
        admitted: node.quotas.lock().recent_totals(now),
        lease,
        observed,
        decided,
        blocks: node.crashes.lock().reported_blocks(now),
        limits,
        leaving,
        unreached: node
            .unreached_pools()
            .iter()
            .map(|pool| tag(pool))
            .collect(),
    }
}

/// Builds the accounts of the nodes of this group, for the nodes that may perform the duties.
pub(super) fn build_accounts(node: &Gateway, now: TimeMs) -> Vec<Account> {
    let heard: Vec<u64> = node.relay.lock().heard_incarnations().collect();
    accounts(
        &heard,
        &node.usage.lock(),
        &node.demands.lock(),
        node.incarnation,
        now,
    )
}

/// Returns the accounts of the nodes heard, this one included.
///
/// Idle nodes are included: the load of the fleet is extrapolated from the nodes that report any. So
/// are nodes that have just died: a node that takes over the duties reports what they served too.
fn accounts(
    heard: &[u64],
    usage: &UsageCounts,
    demands: &DemandTracker,
    own: u64,
    now: TimeMs,
) -> Vec<Account> {
    let demand_of = |incarnation: u64| match incarnation {
        _ if incarnation == own => demands.own_rates(now),
        _ => demands.current_rates_of(incarnation, now).to_vec(),
    };
    (heard.iter())
        .map(|incarnation| Account {
            incarnation: *incarnation,
            usage: usage.rows_of(*incarnation),
            demand: demand_of(*incarnation),
        })
        .collect()
}

#[cfg(test)]
mod tests;
