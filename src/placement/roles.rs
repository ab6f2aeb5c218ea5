//! Which hosts of a pool are there for batch work.

use super::order::{Order, Role};
use super::stock::Stock;
use super::view::Host;
use crate::reclaim::rates::{float, whole};

/// Hosts from which on a pool is divided; below, each host does both.
const DIVIDED_MIN: usize = 8;

/// Part of a role's hosts by which the batch part must change before a host changes over.
const CHANGE_SLACK: f64 = 0.5;

/// Gives each host of an engine pool its role.
pub(super) fn decide(stock: &Stock<'_>, orders: &mut Vec<Order>) {
    let mut hosts: Vec<&Host> = stock.hosts.clone();
    hosts.retain(|host| host.role.is_some() && stock.serves(host));
    let wanted = batch_hosts(stock, &hosts);
    // Hosts with the role first, so that as few as possible change over.
    hosts.sort_by_key(|host| (host.role != Some(Role::Batch), host.host));
    let roles = hosts.iter().enumerate().map(|(position, host)| {
        let batch = position < wanted;
        (
            host,
            if batch {
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

/// Hosts for batch work: its part, but none while the pool is short.
fn batch_hosts(stock: &Stock<'_>, hosts: &[&Host]) -> usize {
    let demand = stock.demand.lead.unwrap_or_default();
    let served: f64 = hosts
        .iter()
        .map(|host| stock.capacity_of(host, &demand))
        .sum();
    if hosts.len() < DIVIDED_MIN || served < 1.0 {
        return 0;
    }
    let exact = float(u64::try_from(hosts.len()).unwrap_or(u64::MAX)) * stock.demand.batch_part;
    let has_role = |host: &&&Host| host.role == Some(Role::Batch);
    let present = hosts.iter().filter(has_role).count();
    let differs = (float(u64::try_from(present).unwrap_or(u64::MAX)) - exact).abs();
    if differs <= 1.0 + CHANGE_SLACK && present > 0 {
        present
    } else {
        usize::try_from(whole(exact.floor())).unwrap_or(usize::MAX)
    }
}
