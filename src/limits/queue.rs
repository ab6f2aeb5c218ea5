//! The queue of one team's waiting requests at this node, for any kind of request.

use std::collections::VecDeque;

use super::AdmissionRequest;
use crate::time::TimeMs;

/// Number of priorities, 0 to 9.
const PRIORITIES: usize = 10;

/// Identifies a request that runs or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that can wait in a [`Queue`].
pub trait Queueable {
    /// Returns the priority from 0 to 9, higher first.
    fn priority(&self) -> u8;

    /// Returns the latest start with which the request is still of use to its caller.
    fn latest_start(&self) -> TimeMs;
}

impl Queueable for AdmissionRequest {
    fn priority(&self) -> u8 {
        self.priority
    }

    fn latest_start(&self) -> TimeMs {
        self.latest_start_ms
    }
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<R = AdmissionRequest> {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The request to be admitted.
    pub request: R,
}

/// Waiting requests, ordered by descending priority, then by age.
#[derive(Clone, Debug)]
pub struct Queue<R = AdmissionRequest> {
    by_priority: [VecDeque<Waiting<R>>; PRIORITIES],
    length: u32,
}

impl<R> Default for Queue<R> {
    fn default() -> Self {
        Self {
            by_priority: std::array::from_fn(|_priority| VecDeque::new()),
            length: 0,
        }
    }
}

impl<R: Queueable> Queue<R> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.length
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of requests that would start before a new one of this priority.
    #[must_use]
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let queues = &self.by_priority[priority_index(priority)..];
        let ahead: usize = queues.iter().map(VecDeque::len).sum();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Adds a request after the others of its priority.
    pub fn push(&mut self, waiting: Waiting<R>) {
        self.by_priority[priority_index(waiting.request.priority())].push_back(waiting);
        self.length += 1;
    }

    /// Returns the request that starts next.
    #[must_use]
    pub fn head(&self) -> Option<&Waiting<R>> {
        self.by_priority.iter().rev().find_map(VecDeque::front)
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self) -> Option<Waiting<R>> {
        let mut queues = self.by_priority.iter_mut().rev();
        let taken = queues.find_map(VecDeque::pop_front)?;
        self.length -= 1;
        Some(taken)
    }

    /// Removes a request whose caller has disconnected; returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in &mut self.by_priority {
            // Ticket numbers increase, so each queue is sorted by them.
            if let Ok(index) = queue.binary_search_by_key(&ticket, |waiting| waiting.ticket) {
                queue.remove(index);
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// Removes the requests that are past their latest start and passes each to `on_expired`.
    pub fn drain_expired(&mut self, now: TimeMs, mut on_expired: impl FnMut(&Waiting<R>)) {
        for queue in &mut self.by_priority {
            queue.retain(|waiting| {
                let in_time = waiting.request.latest_start() >= now;
                if !in_time {
                    on_expired(waiting);
                    self.length -= 1;
                }
                in_time
            });
        }
    }
}

fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
