//! The asynchronous shell around a pool's limits.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::admission::{Limits, Wake};
use super::queue::Ticket;
use super::report::{ShareReport, Source, TeamTag};
use super::{Admission, AdmitAsk, Refusal, RefusalReason, TeamLimit};
use crate::keys::PoolKey;
use crate::time::{Clock, TimeMs};

/// Lets requests of one pool through as its limits say.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    // Sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<Wake>)>,
}

/// Leave to run; dropping it gives the slot back.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
    team: TeamTag,
    priority: u8,
    started_ms: TimeMs,
}

impl Gate {
    /// A gate for a pool without capacity and teams.
    #[must_use]
    pub fn new(pool: PoolKey, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                limits: Limits::new(pool),
                waiting: Vec::new(),
            }),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// If the request is refused; nothing has been done for it then.
    pub async fn enter(self: &Arc<Self>, ask: AdmitAsk) -> Result<Pass, Refusal> {
        let now = self.clock.now();
        let mut place = match self.admit(ask, now) {
            Entered::Now(pass) => return Ok(pass),
            Entered::Refused(refusal) => return Err(refusal),
            Entered::Waits(place) => place,
        };
        let wait_ms = now.until(ask.latest_start_ms);
        match timeout(Duration::from_millis(wait_ms), &mut place.woken).await {
            Ok(Ok(Wake::Run(_))) => Ok(place.into_pass()),
            Ok(Ok(Wake::Refuse(_, refusal))) => Err(refusal),
            // The gate tells each that waits before it drops the sender, so the second case does
            // not come about; a refusal is the safe answer if it does.
            Err(_) | Ok(Err(_)) => Err(Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: wait_ms.max(1),
            }),
        }
    }

    /// Changes the limits and lets through whom the change concerns.
    pub fn change(&self, change: impl FnOnce(&mut Limits, TimeMs)) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        change(&mut state.limits, now);
        state.wake(now);
    }

    /// Sets what the whole fleet may run on the pool at once.
    pub fn set_capacity(&self, slots: f64) {
        self.change(|limits, now| limits.set_capacity(slots, now));
    }

    /// Sets the teams of a new revision, by their tags.
    pub fn set_teams(&self, teams: &[TeamLimit]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let gone = state.limits.set_teams(teams, now);
        state.tell(gone);
        state.wake(now);
    }

    /// Takes in what another node tells.
    pub fn merge(&self, from: Source, report: ShareReport) {
        self.change(|limits, now| limits.merge(from, report, now));
    }

    /// What this node tells the others.
    #[must_use]
    pub fn report(&self) -> ShareReport {
        self.state.lock().limits.report()
    }

    /// Requests that run and that wait here.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        self.state.lock().limits.counts()
    }

    fn admit(self: &Arc<Self>, ask: AdmitAsk, now: TimeMs) -> Entered {
        let mut state = self.state.lock();
        match state.limits.admit(ask, now) {
            Admission::Run(_) => Entered::Now(Pass {
                gate: Arc::clone(self),
                team: ask.team,
                priority: ask.priority,
                started_ms: now,
            }),
            Admission::Refuse(refusal) => Entered::Refused(refusal),
            Admission::Wait { ticket, .. } => {
                let (waker, woken) = oneshot::channel();
                // Tickets grow, so the list stays sorted.
                state.waiting.push((ticket, waker));
                state.wake(now);
                Entered::Waits(Place {
                    gate: Arc::clone(self),
                    ticket,
                    team: ask.team,
                    priority: ask.priority,
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

enum Entered {
    Now(Pass),
    Refused(Refusal),
    Waits(Place),
}

impl State {
    fn wake(&mut self, now: TimeMs) {
        let woken = self.limits.wake(now);
        self.tell(woken);
    }

    fn tell(&mut self, woken: Vec<Wake>) {
        for wake in woken {
            let (Wake::Run(ticket) | Wake::Refuse(ticket, _)) = wake;
            if let Ok(index) = self.waiting.binary_search_by_key(&ticket, |held| held.0) {
                let (_, waker) = self.waiting.remove(index);
                // A place leaves the list before it is dropped, so there is one to tell.
                let _sent = waker.send(wake);
            }
        }
    }
}

/// A place in the queue; dropping it leaves the queue.
struct Place {
    gate: Arc<Gate>,
    ticket: Ticket,
    team: TeamTag,
    priority: u8,
    woken: oneshot::Receiver<Wake>,
}

impl Place {
    fn into_pass(self) -> Pass {
        Pass {
            gate: Arc::clone(&self.gate),
            team: self.team,
            priority: self.priority,
            started_ms: self.gate.clock.now(),
        }
    }
}

impl Drop for Place {
    /// Leaves the queue, and gives back a slot that came too late to be taken.
    ///
    /// A caller can go away in the moment in which its request is let through. The slot would stay
    /// taken for ever, and the node would answer fewer and fewer requests.
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.lock();
            if let Ok(index) = state
                .waiting
                .binary_search_by_key(&self.ticket, |held| held.0)
            {
                state.waiting.remove(index);
                state.limits.cancel(self.ticket);
            }
        }
        if let Ok(Wake::Run(_)) = self.woken.try_recv() {
            self.gate.release(self.team, self.priority, 0);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let held_ms = self.gate.clock.now().since(self.started_ms);
        self.gate.release(self.team, self.priority, held_ms);
    }
}

#[cfg(test)]
mod tests;
