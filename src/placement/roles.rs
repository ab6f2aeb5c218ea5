//! Assigns interactive and batch roles to the hosts of a pool.

use super::inventory::PoolInventory;
use super::order::{Order, Role};
use super::view::Host;
use crate::reclaim::num::{ceil_to_u64, to_f64};

/// Least number of hosts for a division by role; in a smaller pool each host serves both kinds.
const DIVIDED_POOL_HOSTS_MIN: usize = 8;

/// Hysteresis beyond one host, in hosts, before the number of batch hosts changes.
const CHANGE_HYSTERESIS_HOSTS: f64 = 0.5;

/// Orders role changes for the serving hosts of an engine pool.
pub(super) fn decide(inventory: &PoolInventory<'_>, orders: &mut Vec<Order>) {
    let mut hosts: Vec<&Host> = inventory.hosts.clone();
    hosts.retain(|host| host.role.is_some() && inventory.serves(host));
    let batch_count = batch_hosts(inventory, &hosts);
    // Batch hosts come first, so that as few hosts as possible change their role.
    hosts.sort_by_key(|host| (host.role != Some(Role::Batch), host.host));
    let roles = hosts.iter().enumerate().map(|(position, host)| {
        let is_batch = position < batch_count;
        (
            host,
            if is_batch {
                Role::Batch
            } else {
                Role::Interactive
            },
        )
    });
    let changes = roles.filter(|(host, role)| host.role != Some(*role));
    orders.extend(changes.map(|(host, role)| Order::SetRole {
        host: host.host,
        role,
    }));
}

/// Returns the number of batch hosts, which is zero while the pool lacks capacity.
fn batch_hosts(inventory: &PoolInventory<'_>, hosts: &[&Host]) -> usize {
    let demand = inventory.demand.lead_time_peak.unwrap_or_default();
    let served: f64 = hosts
        .iter()
        .map(|host| inventory.capacity_of(host, &demand))
        .sum();
    if hosts.len() < DIVIDED_POOL_HOSTS_MIN || served < 1.0 {
        return 0;
    }
    let exact =
        to_f64(u64::try_from(hosts.len()).unwrap_or(u64::MAX)) * inventory.demand.batch_share;
    let has_role = |host: &&&Host| host.role == Some(Role::Batch);
    let current = hosts.iter().filter(has_role).count();
    let difference = (to_f64(u64::try_from(current).unwrap_or(u64::MAX)) - exact).abs();
    if difference <= 1.0 + CHANGE_HYSTERESIS_HOSTS && current > 0 {
        current
    } else {
        usize::try_from(ceil_to_u64(exact.floor())).unwrap_or(usize::MAX)
    }
}
