//! The credit that a node holds of one team, and the requests that wait for more.

use super::forecast::Forecast;
use super::wire::{CheckedGrant, CreditAsk};
use super::{AHEAD_MS, ANSWER_TIMEOUT_MS, LEASE_MS};
use crate::gateway::catalog::Team;
use crate::gateway::limits::quota::{CreditShortage, Quotas};
use crate::time::TimeMs;

/// Time after which an unanswered ask is repeated, some round trips.
pub(super) const RESEND_MS: u64 = 20;

/// Interval between two asks to an owner that does not answer.
const PROBE_INTERVAL_MS: u64 = 250;

/// Least interval between two asks for which no request waits.
const AHEAD_INTERVAL_MS: u64 = 50;

/// Longest quiet time that a node obeys, whatever an answer names.
const MAX_OBEYED_QUIET_MS: u64 = 1_250;

/// Round trips for which the held credit has to last without an ask.
const LOW_CREDIT_ROUND_TRIPS: u64 = 2;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// The credit covers it, and it has been charged.
    Admitted,
    /// The owner has nothing to grant.
    Refused(CreditShortage),
    /// The owner does not answer; the node's own part of the limit decides.
    Unanswered,
}

/// The decision on a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Arrival {
    Decided(Verdict),
    /// It waits for the owner's answer.
    Waits,
}

/// One node's credit of a team.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// The team's tag.
    pub team: u64,
    incarnation: u64,
    credit: f64,
    /// End of the credit's lease.
    ends_at: TimeMs,
    /// The limit as of the last request.
    rate_per_s: f64,
    /// The last ask, unless it was answered.
    pending: Option<Pending>,
    asked_at: TimeMs,
    /// When the owner last answered within the timeout.
    answered_at: TimeMs,
    round_trip_ms: u64,
    quiet: Option<Quiet>,
    /// Whether the owner did not answer the last request that waited.
    pub is_unanswered: bool,
    forecast: Forecast,
    waiting: Vec<Waiting>,
    used_at: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    ask: CreditAsk,
    sent_at: TimeMs,
    resent_at: TimeMs,
}

/// The time after a denial.
#[derive(Clone, Copy, Debug)]
struct Quiet {
    ends_at: TimeMs,
    exempt_cost: f64,
    available: f64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f64,
    since: TimeMs,
}

impl Holder {
    /// Creates the state of a node without credit.
    pub fn new(team: &Team, incarnation: u64, now: TimeMs) -> Self {
        Self {
            team: team.tag,
            incarnation,
            credit: 0.0,
            ends_at: now,
            rate_per_s: team.rate_per_s.unwrap_or(0.0),
            pending: None,
            asked_at: TimeMs(0),
            answered_at: TimeMs(0),
            round_trip_ms: 1,
            quiet: None,
            is_unanswered: false,
            forecast: Forecast::default(),
            waiting: Vec::new(),
            used_at: now,
        }
    }

    /// Decides on a request that has arrived, or lets it wait under this ticket.
    pub fn arrive(
        &mut self,
        ticket: Ticket,
        team: &Team,
        cost: f64,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Arrival {
        self.used_at = now;
        self.update(team, now);
        let held = self.credit;
        match self.quiet {
            _ if held >= cost => {
                self.spend(team, cost, quotas, now);
                Arrival::Decided(Verdict::Admitted)
            }
            Some(quiet) if cost > quiet.exempt_cost => {
                Arrival::Decided(Verdict::Refused(self.shortage(cost, quiet, now)))
            }
            _ if self.is_unanswered => Arrival::Decided(Verdict::Unanswered),
            _ => {
                self.waiting.push(Waiting {
                    ticket,
                    cost,
                    since: now,
                });
                Arrival::Waits
            }
        }
    }

    /// Returns the ask that is due now, with this number and counted as sent; `None` if none is.
    pub fn next_ask(
        &mut self,
        sequence: u64,
        team: &Team,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Option<CreditAsk> {
        self.update(team, now);
        let ahead = self.wanted_ahead(now);
        let is_pending = self.pending.is_some();
        let is_due = match () {
            () if self.is_unanswered => now.since(self.asked_at) >= PROBE_INTERVAL_MS,
            () if is_pending => now.since(self.asked_at) >= ANSWER_TIMEOUT_MS,
            () if !self.waiting.is_empty() => true,
            () => ahead > 0.0 && now.since(self.asked_at) >= AHEAD_INTERVAL_MS,
        };
        if !is_due {
            return None;
        }
        let costs = self.waiting.iter().map(|waiting| waiting.cost);
        let least_cost = costs.clone().reduce(f64::min).unwrap_or(0.0);
        let ask = CreditAsk {
            team: self.team,
            incarnation: self.incarnation,
            sequence,
            admitted: quotas.own_total(team, now),
            held: self.credit,
            least_cost,
            waiting: costs.sum(),
            ahead,
        };
        self.asked_at = now;
        self.pending = Some(Pending {
            ask,
            sent_at: now,
            resent_at: now,
        });
        Some(ask)
    }

    /// Returns the pending ask if it is to be sent again now.
    pub fn repeat_ask(&mut self, now: TimeMs) -> Option<CreditAsk> {
        let pending = self.pending.as_mut()?;
        let is_due = now.since(pending.resent_at) >= RESEND_MS;
        if !is_due || self.is_unanswered {
            return None;
        }
        pending.resent_at = now;
        Some(pending.ask)
    }

    /// Applies the owner's answer; returns the requests that it decides, or `None` for an answer to
    /// another ask than the last one.
    pub fn apply(
        &mut self,
        checked: &CheckedGrant,
        team: &Team,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Option<Vec<(Ticket, Verdict)>> {
        let grant = checked.grant();
        let is_last = |pending: &Pending| pending.ask.sequence == grant.sequence;
        let pending = self.pending.take_if(|pending| is_last(pending))?;
        self.update(team, now);
        let took_ms = now.since(pending.sent_at);
        self.round_trip_ms = took_ms.max(1);
        let lease_end = pending.sent_at.after(LEASE_MS);
        if now < lease_end {
            self.credit += grant.granted;
            self.ends_at = self.ends_at.max(lease_end);
        }
        if took_ms <= ANSWER_TIMEOUT_MS {
            self.answered_at = now;
            self.is_unanswered = false;
        }
        self.quiet = (grant.quiet_ms > 0).then(|| Quiet {
            ends_at: now.after(grant.quiet_ms.min(MAX_OBEYED_QUIET_MS)),
            exempt_cost: grant.exempt_cost,
            available: grant.available,
        });
        Some(self.settle(team, quotas, now))
    }

    /// Ends the wait of a request whose time is over; returns the requests that this decides.
    pub fn give_up(&mut self, ticket: Ticket) -> Vec<(Ticket, Verdict)> {
        let found = (self.waiting.iter()).find(|waiting| waiting.ticket == ticket);
        let Some(since) = found.map(|waiting| waiting.since) else {
            return Vec::new();
        };
        if self.answered_at >= since {
            self.waiting.retain(|waiting| waiting.ticket != ticket);
            return vec![(ticket, Verdict::Unanswered)];
        }
        self.is_unanswered = true;
        let all = std::mem::take(&mut self.waiting);
        let tickets = all.into_iter().map(|waiting| waiting.ticket);
        tickets
            .map(|ticket| (ticket, Verdict::Unanswered))
            .collect()
    }

    /// Returns the credit that may be spent now.
    pub fn credit(&self, now: TimeMs) -> f64 {
        if now < self.ends_at { self.credit } else { 0.0 }
    }

    /// Removes requests whose callers left before any answer.
    pub fn remove_abandoned(&mut self, now: TimeMs) {
        (self.waiting).retain(|waiting| now.since(waiting.since) < LEASE_MS);
    }

    /// Returns whether the team has not been used here for a while.
    pub fn is_idle(&self, now: TimeMs) -> bool {
        self.waiting.is_empty() && now >= self.ends_at && now.since(self.used_at) >= LEASE_MS
    }

    /// Drops credit whose lease has ended, and the part of it that exceeds a lowered limit.
    fn update(&mut self, team: &Team, now: TimeMs) {
        if now >= self.ends_at {
            self.credit = 0.0;
        }
        let rate_per_s = team.rate_per_s.unwrap_or(0.0);
        if rate_per_s < self.rate_per_s {
            self.credit *= rate_per_s.max(0.0) / self.rate_per_s;
        }
        self.rate_per_s = rate_per_s;
        self.quiet = self.quiet.filter(|quiet| now < quiet.ends_at);
    }

    /// Decides the waiting requests that the credit covers, small ones first, or that a denial refuses.
    fn settle(&mut self, team: &Team, quotas: &mut Quotas, now: TimeMs) -> Vec<(Ticket, Verdict)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut settled = Vec::new();
        for request in waiting {
            let cost = request.cost;
            let verdict = match self.quiet {
                _ if self.credit >= cost => {
                    self.spend(team, cost, quotas, now);
                    Verdict::Admitted
                }
                Some(quiet) if cost > quiet.exempt_cost => {
                    Verdict::Refused(self.shortage(cost, quiet, now))
                }
                _ => {
                    self.waiting.push(request);
                    continue;
                }
            };
            settled.push((request.ticket, verdict));
        }
        settled
    }

    fn spend(&mut self, team: &Team, cost: f64, quotas: &mut Quotas, now: TimeMs) {
        self.credit -= cost;
        self.forecast.record(cost, now);
        quotas.charge_leased(team, cost, now);
    }

    /// Returns the credit to ask for ahead of need; zero while the held credit lasts.
    fn wanted_ahead(&self, now: TimeMs) -> f64 {
        let reserve_ms = self.round_trip_ms * LOW_CREDIT_ROUND_TRIPS;
        let horizon_ms = (AHEAD_MS + reserve_ms).min(LEASE_MS / 2);
        let wanted = self.forecast.spent_within(horizon_ms, now);
        let low = self
            .forecast
            .spent_within(reserve_ms.max(AHEAD_MS / 2), now);
        match self.quiet {
            Some(_) => 0.0,
            None if self.credit >= low => 0.0,
            None => (wanted - self.credit).max(0.0),
        }
    }

    fn shortage(&self, cost: f64, quiet: Quiet, now: TimeMs) -> CreditShortage {
        CreditShortage {
            cost,
            held: self.credit,
            available: quiet.available,
            quiet_ms: now.until(quiet.ends_at),
        }
    }
}
