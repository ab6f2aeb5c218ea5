//! Asynchronous admission to a pool under its limits.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::admission::{AdmissionState, WaitEnd};
use super::queue::Ticket;
use super::report::{DemandReport, ReportSource, TeamTag};
use super::{Admission, AdmissionRequest, Refusal, RefusalReason, TeamLimit};
use crate::keys::PoolKey;
use crate::time::{Clock, TimeMs};

/// Admits the requests of one pool and wakes the waiting ones.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: AdmissionState,
    // Sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<WaitEnd>)>,
}

/// Permission to run; dropping it releases the slot.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    team: TeamTag,
    priority: u8,
    started_ms: TimeMs,
}

impl Gate {
    /// Creates the gate of a pool without capacity and teams.
    #[must_use]
    pub fn new(pool: PoolKey, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                limits: AdmissionState::new(pool),
                waiting: Vec::new(),
            }),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal; nothing has been done for the request then.
    pub async fn acquire(self: &Arc<Self>, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let mut entry = match self.admit(request, now) {
            AdmitOutcome::Now(pass) => return Ok(pass),
            AdmitOutcome::Refused(refusal) => return Err(refusal),
            AdmitOutcome::Waiting(entry) => entry,
        };
        let wait_ms = now.until(request.latest_start_ms);
        match timeout(Duration::from_millis(wait_ms), &mut entry.woken).await {
            Ok(Ok(WaitEnd::Run(_))) => Ok(entry.into_permit()),
            Ok(Ok(WaitEnd::Refuse(_, refusal))) => Err(refusal),
            // The state sends a result to each waiting request before it drops the sender, so the
            // second case does not occur; a refusal is the safe answer if it does.
            Err(_) | Ok(Err(_)) => Err(Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: wait_ms.max(1),
            }),
        }
    }

    /// Changes the limits, then starts or refuses the waiting requests that the change affects.
    pub fn change(&self, change: impl FnOnce(&mut AdmissionState, TimeMs)) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        change(&mut state.limits, now);
        state.wake(now);
    }

    /// Sets the number of slots that the whole fleet has on the pool.
    pub fn set_capacity(&self, slots: f64) {
        self.change(|limits, now| limits.set_capacity(slots, now));
    }

    /// Sets the teams of a new revision; teams with a known tag keep their state.
    pub fn set_teams(&self, teams: &[TeamLimit]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let refused = state.limits.set_teams(teams, now);
        state.notify(refused);
        state.wake(now);
    }

    /// Stores the latest demand report of another node.
    pub fn merge(&self, from: ReportSource, report: DemandReport) {
        self.change(|limits, now| limits.merge(from, report, now));
    }

    /// Returns the demand report for the other nodes.
    #[must_use]
    pub fn report(&self) -> DemandReport {
        self.state.lock().limits.report()
    }

    /// Returns the numbers of running and of waiting requests at this node.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        self.state.lock().limits.counts()
    }

    fn admit(self: &Arc<Self>, request: AdmissionRequest, now: TimeMs) -> AdmitOutcome {
        let mut state = self.state.lock();
        match state.limits.admit(request, now) {
            Admission::Run(_) => AdmitOutcome::Now(Permit {
                gate: Arc::clone(self),
                team: request.team,
                priority: request.priority,
                started_ms: now,
            }),
            Admission::Refuse(refusal) => AdmitOutcome::Refused(refusal),
            Admission::Wait { ticket, .. } => {
                let (sender, woken) = oneshot::channel();
                // Ticket numbers increase, so the list stays sorted.
                state.waiting.push((ticket, sender));
                state.wake(now);
                AdmitOutcome::Waiting(QueueEntry {
                    gate: Arc::clone(self),
                    ticket,
                    team: request.team,
                    priority: request.priority,
                    woken,
                })
            }
        }
    }

    fn release(&self, team: TeamTag, priority: u8, held_ms: u64) {
        let held_ms = f64::from(u32::try_from(held_ms).unwrap_or(u32::MAX));
        self.change(|limits, _| limits.release(team, priority, held_ms));
    }
}

enum AdmitOutcome {
    Now(Permit),
    Refused(Refusal),
    Waiting(QueueEntry),
}

impl State {
    fn wake(&mut self, now: TimeMs) {
        let woken = self.limits.admit_waiting(now);
        self.notify(woken);
    }

    fn notify(&mut self, woken: Vec<WaitEnd>) {
        for wake in woken {
            let (WaitEnd::Run(ticket) | WaitEnd::Refuse(ticket, _)) = wake;
            if let Ok(index) = self
                .waiting
                .binary_search_by_key(&ticket, |waiter| waiter.0)
            {
                let (_, sender) = self.waiting.remove(index);
                // An entry leaves the list before its receiver is dropped, so the receiver still
                // exists.
                let _sent = sender.send(wake);
            }
        }
    }
}

/// A waiting request; dropping it removes the request from the queue.
struct QueueEntry {
    gate: Arc<Gate>,
    ticket: Ticket,
    team: TeamTag,
    priority: u8,
    woken: oneshot::Receiver<WaitEnd>,
}

impl QueueEntry {
    fn into_permit(self) -> Permit {
        Permit {
            gate: Arc::clone(&self.gate),
            team: self.team,
            priority: self.priority,
            started_ms: self.gate.clock.now(),
        }
    }
}

impl Drop for QueueEntry {
    /// Removes the request from the queue and releases a slot that was granted but not used.
    ///
    /// A caller can disconnect at the moment when its request is started. The slot would then stay
    /// taken for ever, and the node would serve fewer and fewer requests.
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.lock();
            if let Ok(index) = state
                .waiting
                .binary_search_by_key(&self.ticket, |waiter| waiter.0)
            {
                state.waiting.remove(index);
                state.limits.cancel(self.ticket);
            }
        }
        if let Ok(WaitEnd::Run(_)) = self.woken.try_recv() {
            self.gate.release(self.team, self.priority, 0);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held_ms = self.gate.clock.now().since(self.started_ms);
        self.gate.release(self.team, self.priority, held_ms);
    }
}

#[cfg(test)]
mod tests;
