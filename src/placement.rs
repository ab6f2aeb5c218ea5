//! Which hosts to hold and which models to load.
//!
//! [`decide`] compares what a deployment holds with the cheapest mix of hosts that serves the
//! forecast demand after the loss of any one failure domain, and gives the orders that lead there.
//! It is a pure function of [`PlacementView`]; orders are levels, so giving one twice is harmless.
//! `docs/design/cost.md` gives the reasons.

mod backoff;
mod forecast;
mod hosts;
pub mod mix;
mod models;
mod order;
mod purchase;
mod roles;
mod stock;
#[cfg(test)]
mod tests;
mod view;

pub use backoff::Refusal;
pub use forecast::Forecast;
pub use order::{Order, Role};
pub use purchase::{PurchaseId, PurchaseIdError};
pub use view::{
    Ask, Demand, Host, Lease, LoadedModel, ModelVersion, PlacementView, PoolDemand, Price,
    Purchase, PurchaseState, Settings, Stage, Stranger, WeightStore,
};

use crate::time::TimeMs;
use stock::Stock;
use view::Authority;

/// Decides which hosts to buy, drain and give back, and which models to load where.
///
/// A host without a [`Order::Drain`] in the newest answer is to take work, also if an earlier one
/// drained it.
#[must_use]
pub fn decide(view: &PlacementView<'_>, now: TimeMs) -> Vec<Order> {
    let authority = view.lease.authority(now);
    if authority == Authority::None {
        return Vec::new();
    }
    let stocks: Vec<Stock<'_>> = view
        .pools
        .iter()
        .map(|demand| Stock::new(view, demand, now))
        .collect();
    let mut orders = Vec::new();
    if authority == Authority::Full {
        let has_all = hosts::decide(view, &stocks, now, &mut orders);
        if has_all {
            hosts::drain_strangers(view, now, &mut orders);
        }
    } else {
        hosts::repeat(view, now, &mut orders);
    }
    for stock in &stocks {
        roles::decide(stock, &mut orders);
    }
    models::decide(view, &stocks, now, &mut orders);
    orders.retain(|order| view.is_mine(order));
    orders
}
