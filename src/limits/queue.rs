//! The requests of one team that wait at this node.

use std::collections::VecDeque;

use super::AdmitAsk;
use crate::time::TimeMs;

/// Priorities, 0 to 9.
const PRIORITIES: usize = 10;

/// Names a request that runs or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Names it.
    pub ticket: Ticket,
    /// What it asked for.
    pub ask: AdmitAsk,
}

/// Waiting requests: highest priority first, then the oldest.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    by_priority: [VecDeque<Waiting>; PRIORITIES],
    length: u32,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.length
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Requests that would go before a new one of this priority.
    #[must_use]
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let queues = &self.by_priority[class(priority)..];
        let ahead: usize = queues.iter().map(VecDeque::len).sum();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Adds a request behind those of its priority.
    pub fn push(&mut self, waiting: Waiting) {
        self.by_priority[class(waiting.ask.priority)].push_back(waiting);
        self.length += 1;
    }

    /// The request that goes next.
    #[must_use]
    pub fn head(&self) -> Option<&Waiting> {
        self.by_priority.iter().rev().find_map(VecDeque::front)
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let mut queues = self.by_priority.iter_mut().rev();
        let taken = queues.find_map(VecDeque::pop_front)?;
        self.length -= 1;
        Some(taken)
    }

    /// Takes a request whose caller has gone; tells whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in &mut self.by_priority {
            // Tickets grow, so each queue is sorted by them.
            if let Ok(index) = queue.binary_search_by_key(&ticket, |held| held.ticket) {
                queue.remove(index);
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// Takes those that can no longer end in time.
    pub fn take_late(&mut self, now: TimeMs, mut late: impl FnMut(Waiting)) {
        for queue in &mut self.by_priority {
            queue.retain(|held| {
                let in_time = held.ask.latest_start_ms >= now;
                if !in_time {
                    late(*held);
                    self.length -= 1;
                }
                in_time
            });
        }
    }
}

fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
