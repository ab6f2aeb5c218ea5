//! Decides which hosts to hold and which models to load on them.
//!
//! [`decide`] compares the hosts of a deployment with the cheapest mix that serves the forecast
//! demand after the loss of any one failure domain, and returns the orders that close the gap.
//! It is a pure function of [`PlacementView`]; orders describe a target state and are idempotent.
//! `docs/design/cost.md` explains the design.

mod backoff;
mod forecast;
mod hosts;
mod inventory;
pub mod mix;
mod models;
mod order;
mod purchase;
mod roles;
#[cfg(test)]
mod tests;
mod view;

pub use backoff::Refusal;
pub use forecast::Forecast;
pub use order::{Order, Role};
pub use purchase::{PurchaseId, PurchaseIdError};
pub use view::{
    Demand, Host, Lease, LoadedModel, ModelVersion, OrphanedHost, PendingPurchase, PlacementView,
    PoolDemand, Price, Purchase, PurchaseState, Settings, Stage, WeightStore,
};

use crate::time::TimeMs;
use inventory::PoolInventory;
use view::Authority;

/// Returns the orders to buy, drain and release hosts and to load and unload models.
///
/// A host without an [`Order::Drain`] in the latest result accepts new work, even if an earlier
/// result drained it.
#[must_use]
pub fn decide(view: &PlacementView<'_>, now: TimeMs) -> Vec<Order> {
    let authority = view.lease.authority(now);
    if authority == Authority::None {
        return Vec::new();
    }
    let inventories: Vec<PoolInventory<'_>> = view
        .pools
        .iter()
        .map(|demand| PoolInventory::new(view, demand, now))
        .collect();
    let mut orders = Vec::new();
    if authority == Authority::Full {
        let is_all_served = hosts::decide(view, &inventories, now, &mut orders);
        if is_all_served {
            hosts::drain_orphaned_hosts(view, now, &mut orders);
        }
    } else {
        hosts::retry_purchases(view, now, &mut orders);
    }
    for inventory in &inventories {
        roles::decide(inventory, &mut orders);
    }
    models::decide(view, &inventories, now, &mut orders);
    orders.retain(|order| view.is_in_scope(order));
    orders
}
