//! This node's state in one lease: whether it may act, and which request is due.

use super::{
    DURATION_MS, FencingToken, Lease, LeaseEntry, LeaseRequest, LeaseTable, SAFETY_MARGIN_MS,
};
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// The time after which a request without effect is repeated and a held lease is renewed.
const REPEAT_AFTER_MS: u64 = DURATION_MS / 3;
/// The time by which the log's clock may lag behind this node's; an earlier acquisition would fail.
const CLOCK_MARGIN_MS: u64 = 500;
/// The additional delay of each further candidate before it acquires.
const RANK_STEP_MS: u64 = 1_000;
/// The maximum age of a table that can show whether a lease is free.
const MAX_STALENESS_MS: u64 = 10_000;
/// The delay until the next decision when no request is due.
const RECHECK_MS: u64 = 1_000;
/// The number of requests whose times of sending are kept.
const MAX_TRACKED_SENDS: usize = 16;

/// The inputs of a decision, besides the table.
#[derive(Clone, Copy, Debug)]
pub struct DecisionContext {
    /// The current time on this node's clock.
    pub now: TimeMs,
    /// The maximum age of the table in milliseconds; `None` before the first read of the log.
    pub staleness_ms: Option<u64>,
    /// This node's rank among the candidates, from 0.
    pub rank: usize,
    /// Whether this node competes for the lease.
    pub is_wanted: bool,
}

/// The next step of a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait until the given time or until the table changes.
    Wait {
        /// The time of the next decision.
        until_ms: TimeMs,
    },
    /// Append this entry to the log.
    Send(LeaseEntry),
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    send: u64,
    sent_ms: TimeMs,
}

/// This node's state in one lease.
#[derive(Debug)]
pub struct LocalLease {
    name: String,
    me: Incarnation,
    sends: Vec<Sent>,
    next_send: u64,
    /// Until this time the node waits for its last request to take effect before it sends another.
    next_send_at_ms: TimeMs,
    released: Option<FencingToken>,
}

impl LocalLease {
    /// Creates the state of node `me` in the lease on `name`, before its first request.
    #[must_use]
    pub fn new(name: &str, me: Incarnation) -> Self {
        Self {
            name: name.to_owned(),
            me,
            sends: Vec::new(),
            next_send: 1,
            next_send_at_ms: TimeMs(0),
            released: None,
        }
    }

    /// Returns the name of the lease.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the fencing token for actions at `now`; `None` unless this node holds the lease.
    ///
    /// Callers check before every single action. After a pause the holder's own clock shows that
    /// its lease is over, even if the table it has read still names it as the holder.
    #[must_use]
    pub fn held_token(&self, table: &LeaseTable, now: TimeMs) -> Option<FencingToken> {
        let (lease, sent_ms) = self.own_lease(table)?;
        let stop_ms = sent_ms.after(DURATION_MS - SAFETY_MARGIN_MS);
        (now < stop_ms).then_some(lease.fencing)
    }

    /// Decides the next step; a returned entry counts as sent at `context.now`.
    pub fn next_action(&mut self, table: &LeaseTable, context: DecisionContext) -> Action {
        let now = context.now;
        let own = self
            .own_lease(table)
            .filter(|(_, sent_ms)| now < sent_ms.after(DURATION_MS))
            .map(|(lease, sent_ms)| (lease.fencing, lease.ends_ms, sent_ms));
        match own {
            Some((fencing, ..)) if !context.is_wanted => {
                self.released = Some(fencing);
                self.send(LeaseRequest::Release { fencing }, now)
            }
            Some((fencing, ends_ms, sent_ms)) => {
                let due_ms = sent_ms.after(REPEAT_AFTER_MS);
                let renewal = LeaseRequest::Renew {
                    fencing,
                    duration_ms: DURATION_MS,
                    ends_ms,
                };
                self.send_at(due_ms, renewal, now)
            }
            None if !context.is_wanted
                || context
                    .staleness_ms
                    .is_none_or(|staleness_ms| staleness_ms > MAX_STALENESS_MS) =>
            {
                let until_ms = now.after(RECHECK_MS);
                Action::Wait { until_ms }
            }
            None => {
                let rank_delay_ms = RANK_STEP_MS.saturating_mul(context.rank as u64);
                let free_ms = table.free_from_ms(&self.name).after(CLOCK_MARGIN_MS);
                let duration_ms = DURATION_MS;
                let acquisition = LeaseRequest::Acquire { duration_ms };
                self.send_at(free_ms.after(rank_delay_ms), acquisition, now)
            }
        }
    }

    /// Returns the lease with the time at which this node sent the record that granted or last
    /// extended it; `None` if the table names another holder or this node has released it.
    fn own_lease<'a>(&self, table: &'a LeaseTable) -> Option<(&'a Lease, TimeMs)> {
        let lease = table.lease(&self.name)?;
        if lease.holder != Some(self.me) || self.released == Some(lease.fencing) {
            return None;
        }
        let sent = self.sends.iter().find(|sent| sent.send == lease.send)?;
        Some((lease, sent.sent_ms))
    }

    fn send_at(&mut self, due_ms: TimeMs, request: LeaseRequest, now: TimeMs) -> Action {
        let due_ms = due_ms.max(self.next_send_at_ms);
        if now < due_ms {
            return Action::Wait { until_ms: due_ms };
        }
        self.send(request, now)
    }

    fn send(&mut self, request: LeaseRequest, now: TimeMs) -> Action {
        let send = self.next_send;
        self.next_send += 1;
        if self.sends.len() == MAX_TRACKED_SENDS {
            self.sends.remove(0);
        }
        self.sends.push(Sent { send, sent_ms: now });
        self.next_send_at_ms = now.after(REPEAT_AFTER_MS);
        Action::Send(LeaseEntry {
            name: self.name.clone(),
            holder: self.me,
            send,
            request,
        })
    }
}
