//! Orders to the task that runs a request.

use super::Record;
use crate::keys::HostKey;

/// An order to the task that runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Stop the request and end it as cancelled.
    Cancel,
    /// Continue on the target, which recomputes the prompt and the tokens so far.
    Recompute {
        /// The target.
        target: HostKey,
    },
    /// Stop the stream first, then continue on the target, which recomputes the prompt and the
    /// tokens so far.
    Resume {
        /// The target.
        target: HostKey,
    },
    /// Compute the prompt and the tokens so far into the target's prefix cache, and stay on the
    /// host.
    Warm {
        /// The target.
        target: HostKey,
    },
    /// Move to another host together with the KV cache.
    Export {
        /// The target.
        target: HostKey,
        /// Whether the stream continues on its host meanwhile, from the exported cache.
        is_live: bool,
    },
    /// Stop the task so that another node can take over; the record stays.
    HandOver,
}

impl Record {
    /// Sends an order to the task that runs the request; a newer order replaces a pending one other
    /// than `Cancel`.
    pub fn order(&self, order: Order) {
        let mut state = self.state.lock();
        state.order = match state.order {
            Some(Order::Cancel) => Some(Order::Cancel),
            _ => Some(order),
        };
        drop(state);
        self.ordered.notify_one();
    }

    /// Waits for an order; called only by the task that runs the request.
    pub async fn next_order(&self) -> Order {
        loop {
            if let Some(order) = self.state.lock().order.take() {
                return order;
            }
            self.ordered.notified().await;
        }
    }
}
