//! Changes that still travel on heartbeats.

use crate::keys::Incarnation;

/// Changes that one datagram carries at most.
const PER_DATAGRAM: usize = 24;

/// How often a node passes a change on, times the logarithm of the fleet's size.
const SPREAD: u32 = 3;

/// Changes that still travel on heartbeats, those least passed on first.
#[derive(Debug, Default)]
pub(super) struct Updates {
    queue: Vec<Queued>,
}

#[derive(Debug)]
struct Queued {
    incarnation: Incarnation,
    left: u32,
}

impl Updates {
    /// Takes up a change of this node's row, to be passed on in a fleet of `members`.
    pub(super) fn push(&mut self, incarnation: Incarnation, members: usize) {
        self.queue
            .retain(|queued| queued.incarnation != incarnation);
        let left = SPREAD * (members + 1).next_power_of_two().ilog2().max(1);
        self.queue.push(Queued { incarnation, left });
    }

    /// The changes that go on the next datagram.
    pub(super) fn next(&mut self) -> Vec<Incarnation> {
        self.queue
            .sort_by_key(|queued| std::cmp::Reverse(queued.left));
        let count = self.queue.len().min(PER_DATAGRAM);
        let next = self.queue[..count]
            .iter_mut()
            .map(|queued| {
                queued.left -= 1;
                queued.incarnation
            })
            .collect();
        self.queue.retain(|queued| queued.left > 0);
        next
    }
}
