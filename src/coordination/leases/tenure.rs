//! One node's own part in one lease: when it may act, and what it should say next.

use super::{DURATION_MS, Fencing, Lease, LeaseEntry, LeaseRequest, LeaseTable, SAFETY_MS};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// After this it says again what had no effect, and renews what holds.
const AGAIN_MS: u64 = DURATION_MS / 3;
/// How far the log's clock may be behind this node's before acquiring is a waste.
const CLOCK_MARGIN_MS: u64 = 500;
/// How much longer each further candidate waits before it acquires.
const RANK_STEP_MS: u64 = 1_000;
/// A table that is older does not show whether a lease is free.
const STALE_MS: u64 = 10_000;
/// When to look again if nothing is in sight.
const LOOK_AGAIN_MS: u64 = 1_000;
/// Sends whose times are remembered.
const SENDS_KEPT: usize = 16;

/// What a decision is made from, besides the table.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The present time.
    pub now: TimeMs,
    /// How old the table may be; `None` if the log was not read yet.
    pub stale_ms: Option<u64>,
    /// This node's place among those that may take the lease, from 0.
    pub rank: usize,
    /// Whether it wants the lease at all.
    pub wanted: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing until then, unless the table changes.
    Wait {
        /// When to decide again.
        until_ms: TimeMs,
    },
    /// Append this.
    Send(LeaseEntry),
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    send: u64,
    sent_ms: TimeMs,
}

/// One node's own part in one lease.
#[derive(Debug)]
pub struct Tenure {
    name: String,
    me: Incarnation,
    sends: Vec<Sent>,
    next_send: u64,
    /// Until then the outcome of what was sent last may still show.
    quiet_until_ms: TimeMs,
    released: Option<Fencing>,
}

impl Tenure {
    /// A node's part in the lease on `name`, before it said anything.
    #[must_use]
    pub fn new(name: &str, me: Incarnation) -> Self {
        Self {
            name: name.to_owned(),
            me,
            sends: Vec::new(),
            next_send: 1,
            quiet_until_ms: TimeMs(0),
            released: None,
        }
    }

    /// The name that the lease is on.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The fencing number under which the node may act now, if it may.
    ///
    /// It is asked before each act, not once for many. A holder that was paused finds its time up
    /// by its own clock, although the table it has read may still call it the holder.
    #[must_use]
    pub fn may_act(&self, table: &LeaseTable, now: TimeMs) -> Option<Fencing> {
        let (lease, sent_ms) = self.own_lease(table)?;
        let stop_ms = sent_ms.after(DURATION_MS - SAFETY_MS);
        (now < stop_ms).then_some(lease.fencing)
    }

    /// Decides what to say next; what it returns counts as sent now.
    pub fn next_action(&mut self, table: &LeaseTable, view: View) -> Action {
        let now = view.now;
        let own = self
            .own_lease(table)
            .filter(|(_, sent_ms)| now < sent_ms.after(DURATION_MS))
            .map(|(lease, sent_ms)| (lease.fencing, lease.ends_ms, sent_ms));
        match own {
            Some((fencing, ..)) if !view.wanted => {
                self.released = Some(fencing);
                self.send(LeaseRequest::Release { fencing }, now)
            }
            Some((fencing, ends_ms, sent_ms)) => {
                let due_ms = sent_ms.after(AGAIN_MS);
                let renewal = LeaseRequest::Renew {
                    fencing,
                    duration_ms: DURATION_MS,
                    ends_ms,
                };
                self.send_from(due_ms, renewal, now)
            }
            None if !view.wanted || view.stale_ms.is_none_or(|stale_ms| stale_ms > STALE_MS) => {
                let until_ms = now.after(LOOK_AGAIN_MS);
                Action::Wait { until_ms }
            }
            None => {
                let patience_ms = RANK_STEP_MS.saturating_mul(view.rank as u64);
                let free_ms = table.free_from_ms(&self.name).after(CLOCK_MARGIN_MS);
                let duration_ms = DURATION_MS;
                let acquisition = LeaseRequest::Acquire { duration_ms };
                self.send_from(free_ms.after(patience_ms), acquisition, now)
            }
        }
    }

    /// The lease, if this node holds it by the table and has not given it up, and when it sent the
    /// record that the lease stands on.
    fn own_lease<'a>(&self, table: &'a LeaseTable) -> Option<(&'a Lease, TimeMs)> {
        let lease = table.lease(&self.name)?;
        if lease.holder != Some(self.me) || self.released == Some(lease.fencing) {
            return None;
        }
        let sent = self.sends.iter().find(|sent| sent.send == lease.send)?;
        Some((lease, sent.sent_ms))
    }

    fn send_from(&mut self, due_ms: TimeMs, request: LeaseRequest, now: TimeMs) -> Action {
        let due_ms = due_ms.max(self.quiet_until_ms);
        if now < due_ms {
            return Action::Wait { until_ms: due_ms };
        }
        self.send(request, now)
    }

    fn send(&mut self, request: LeaseRequest, now: TimeMs) -> Action {
        let send = self.next_send;
        self.next_send += 1;
        if self.sends.len() == SENDS_KEPT {
            self.sends.remove(0);
        }
        self.sends.push(Sent { send, sent_ms: now });
        self.quiet_until_ms = now.after(AGAIN_MS);
        Action::Send(LeaseEntry {
            name: self.name.clone(),
            holder: self.me,
            send,
            request,
        })
    }
}
