//! The queue of state changes that are piggybacked on heartbeats.

use crate::keys::Incarnation;

/// Maximum number of queued changes in one datagram.
const MAX_CHANGES_PER_DATAGRAM: usize = 24;

/// Number of datagrams that carry a change, per binary logarithm of the fleet size.
const SENDS_PER_LOG2_MEMBERS: u32 = 3;

/// The changes that remain to be sent; those with the most remaining sends go first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queue: Vec<Queued>,
}

#[derive(Debug)]
struct Queued {
    incarnation: Incarnation,
    remaining_sends: u32,
}

impl UpdateQueue {
    /// Queues a change of the row of `incarnation` for dissemination in a fleet of `members` nodes.
    pub(super) fn push(&mut self, incarnation: Incarnation, members: usize) {
        self.queue
            .retain(|queued| queued.incarnation != incarnation);
        let remaining_sends =
            SENDS_PER_LOG2_MEMBERS * (members + 1).next_power_of_two().ilog2().max(1);
        self.queue.push(Queued {
            incarnation,
            remaining_sends,
        });
    }

    /// Returns the incarnations whose changes the next datagram carries.
    pub(super) fn next_batch(&mut self) -> Vec<Incarnation> {
        self.queue
            .sort_by_key(|queued| std::cmp::Reverse(queued.remaining_sends));
        let count = self.queue.len().min(MAX_CHANGES_PER_DATAGRAM);
        let batch = self.queue[..count]
            .iter_mut()
            .map(|queued| {
                queued.remaining_sends -= 1;
                queued.incarnation
            })
            .collect();
        self.queue.retain(|queued| queued.remaining_sends > 0);
        batch
    }
}
