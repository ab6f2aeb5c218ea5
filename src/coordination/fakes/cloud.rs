//! An in-memory cloud with rejected orders and lost responses.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use super::{lost, refused};
use crate::coordination::cloud::{
    Cloud, CloudError, HostList, NewPurchase, Notice, Notices, Price, Purchase, PurchaseState,
};
use crate::time::TimeMs;

/// The fault of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order takes effect, and its response is lost.
    LostResponse,
    /// The order takes no effect, and its response is lost.
    LostRequest,
    /// The cloud has no capacity.
    NoCapacity,
    /// The order is rejected.
    Rejected,
}

#[derive(Debug, Default)]
struct State {
    hosts: Option<HostList>,
    notices: Vec<Notice>,
    purchases: Vec<Purchase>,
    prices: Vec<Price>,
    faults: VecDeque<OrderFault>,
    orders: u64,
}

impl State {
    fn buy(&mut self, order: &NewPurchase) -> String {
        let known = |held: &&Purchase| held.purchase == order.purchase;
        if let Some(held) = self.purchases.iter().find(known) {
            return held.host.clone();
        }
        let host = format!("h-{}", self.purchases.len() + 1);
        self.purchases.push(Purchase {
            purchase: order.purchase.clone(),
            host: host.clone(),
            state: PurchaseState::Starting,
        });
        host
    }
}

/// An in-memory cloud; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct FakeCloud {
    state: Arc<Mutex<State>>,
}

impl FakeCloud {
    /// Creates a cloud without hosts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: HostList) {
        self.state.lock().hosts = Some(hosts);
    }

    /// Sets the prices.
    pub fn set_prices(&self, prices: Vec<Price>) {
        self.state.lock().prices = prices;
    }

    /// Adds a notice that a host leaves.
    pub fn add_notice(&self, notice: Notice) {
        self.state.lock().notices.push(notice);
    }

    /// Applies these faults to the next orders, one each.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = OrderFault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Returns the number of orders that reached the cloud.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.state.lock().orders
    }
}

impl Cloud for FakeCloud {
    async fn hosts(&self) -> Result<HostList, CloudError> {
        let hosts = self.state.lock().hosts.clone();
        Ok(hosts.unwrap_or(HostList {
            as_of_ms: TimeMs(0),
            hosts: Vec::new(),
        }))
    }

    async fn notices(&self, from: u64, _wait_ms: u64) -> Result<Notices, CloudError> {
        let state = self.state.lock();
        let newer = state
            .notices
            .iter()
            .filter(|notice| notice.sequence >= from);
        let notices: Vec<Notice> = newer.cloned().collect();
        let next = notices.last().map_or(from, |notice| notice.sequence + 1);
        Ok(Notices { next, notices })
    }

    async fn buy(&self, order: &NewPurchase) -> Result<String, CloudError> {
        let mut state = self.state.lock();
        state.orders += 1;
        match state.faults.pop_front() {
            None => Ok(state.buy(order)),
            Some(OrderFault::LostResponse) => {
                state.buy(order);
                Err(lost().into())
            }
            Some(OrderFault::LostRequest) => Err(lost().into()),
            Some(OrderFault::NoCapacity) => Err(CloudError::NoCapacity),
            Some(OrderFault::Rejected) => Err(refused().into()),
        }
    }

    async fn purchases(&self) -> Result<Vec<Purchase>, CloudError> {
        Ok(self.state.lock().purchases.clone())
    }

    async fn return_host(&self, host: &str) -> Result<(), CloudError> {
        let mut state = self.state.lock();
        for purchase in state.purchases.iter_mut().filter(|held| held.host == host) {
            purchase.state = PurchaseState::Ended;
        }
        Ok(())
    }

    async fn prices(&self) -> Result<Vec<Price>, CloudError> {
        Ok(self.state.lock().prices.clone())
    }
}
