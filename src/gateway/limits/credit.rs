//! Credit for team limits, leased by one owner a team to the nodes that serve its callers.
//!
//! A limit that is divided among nodes admits nothing where a node's part is smaller than a request.
//! Instead the owner of a team grants credit to each node that asks. It knows what the nodes have reported
//! as admitted and what credit is out ([`owner`]). A node spends the credit that it holds at once, asks
//! ahead of need, and lets a request wait for at most one answer ([`holder`]). A node whose owner does not
//! answer spends its own part of the limit ([`super::quota`]).
//!
//! The owner's state is lost with it. A successor starts from its copy of the team's bucket and counts the
//! leases that may still be out. A lease starts when the ask is sent and ends by a clock that runs while
//! the host is suspended, so that a node that was frozen does not spend what the owner has granted anew.
//!
//! `docs/design/credit-leases.md` names the messages, the failures and the bounds.

mod forecast;
mod holder;
mod owner;
mod transfer;
mod waiting;
mod wire;

use self::holder::Holder;
pub(crate) use self::holder::{Arrival, Ticket, Verdict};
use self::owner::{Ledger, OVERDRAFT_FRACTION, has_thawed};
pub(crate) use self::transfer::{apply_ask, apply_grant, update};
pub(crate) use self::waiting::{Credit, CreditSource, admit};
pub(crate) use self::wire::{CheckedAsk, CheckedGrant, CreditAsk, CreditGrant};
use super::quota::{AdmittedTotal, CreditShortage, Quotas};
use crate::gateway::catalog::Team;
use crate::time::TimeMs;

/// Duration of a lease; the credit of callers that left a node returns to the team after it.
const LEASE_MS: u64 = 1_000;

/// Time for which a node asks for credit ahead.
const AHEAD_MS: u64 = 150;

/// Time for which a request waits for the owner, far below the shortest target of callers.
const ANSWER_TIMEOUT_MS: u64 = 60;

/// The credit of all teams at one node, as a holder and as an owner.
#[derive(Debug)]
pub(crate) struct CreditLeases {
    incarnation: u64,
    /// Sorted by team.
    holders: Vec<Holder>,
    /// Sorted by team.
    ledgers: Vec<Ledger>,
    last_ticket: u64,
    /// Number of the last ask, for all teams: it grows also where a team is forgotten and comes back.
    last_sequence: u64,
    /// Time of the last update; one that is overdue shows that the node was frozen.
    updated_at: TimeMs,
    /// When this node last found that it had been frozen.
    thawed_at: Option<TimeMs>,
}

/// Where a team's credit stands at one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Standing {
    /// Credit that the node may spend.
    pub held: f64,
    /// Credit that other nodes hold by its grants; `None` if it owns no ledger of the team.
    pub outstanding: Option<f64>,
}

/// A change of a ledger's ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnershipChange {
    Taken { team: u64 },
    Lost { team: u64 },
}

impl CreditLeases {
    /// Creates the state of a node that holds no credit.
    pub fn new(incarnation: u64, now: TimeMs) -> Self {
        Self {
            incarnation,
            holders: Vec::new(),
            ledgers: Vec::new(),
            last_ticket: 0,
            last_sequence: 0,
            updated_at: now,
            thawed_at: None,
        }
    }

    /// Decides on a request at the team's owner.
    pub fn admit_owned(
        &mut self,
        team: &Team,
        cost: f64,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Verdict {
        self.detect_freeze(quotas, now);
        match (self.ledger(team.tag, now)).try_spend(team, cost, quotas, now) {
            None => Verdict::Admitted,
            Some(available) => Verdict::Refused(CreditShortage {
                cost,
                held: 0.0,
                available,
                quiet_ms: 0,
            }),
        }
    }

    /// Decides on a request at another node, or lets it wait under the returned ticket.
    pub fn arrive(
        &mut self,
        team: &Team,
        cost: f64,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> (Ticket, Arrival) {
        self.detect_freeze(quotas, now);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let holder = self.holder(team, now);
        (ticket, holder.arrive(ticket, team, cost, quotas, now))
    }

    /// Returns the ask to the team's owner that is due, counted as sent; `None` if none is.
    pub fn next_ask(&mut self, team: &Team, quotas: &mut Quotas, now: TimeMs) -> Option<CreditAsk> {
        let sequence = self.last_sequence + 1;
        let ask = (self.holder(team, now)).next_ask(sequence, team, quotas, now)?;
        self.last_sequence = sequence;
        Some(ask)
    }

    /// Returns the last ask if it has to be sent again.
    pub fn repeat_ask(&mut self, team: &Team, now: TimeMs) -> Option<CreditAsk> {
        self.holder(team, now).repeat_ask(now)
    }

    /// Applies an owner's answer; returns the requests that it decides, or `None` if it came too late.
    pub fn apply_grant(
        &mut self,
        grant: &CheckedGrant,
        team: &Team,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Option<Vec<(Ticket, Verdict)>> {
        self.holder(team, now).apply(grant, team, quotas, now)
    }

    /// Ends the wait of a request whose time is over; returns the requests that this decides.
    pub fn give_up(&mut self, team: &Team, ticket: Ticket, now: TimeMs) -> Vec<(Ticket, Verdict)> {
        self.holder(team, now).give_up(ticket)
    }

    /// Returns whether the team's owner did not answer the last request that waited for it.
    pub fn is_unanswered(&self, team: u64) -> bool {
        let found = self.holder_position(team);
        found.is_ok_and(|index| self.holders[index].is_unanswered)
    }

    /// Answers an ask as the team's owner; `None` if a newer ask of the node was answered before.
    pub fn answer(
        &mut self,
        ask: &CheckedAsk,
        team: &Team,
        quotas: &mut Quotas,
        draw: f64,
        now: TimeMs,
    ) -> Option<CreditGrant> {
        self.detect_freeze(quotas, now);
        (self.ledger(team.tag, now)).answer(ask, team, quotas, draw, now)
    }

    /// Deducts what a peer has admitted since its last report, from its credit as far as that covers it.
    pub fn record_peer(
        &mut self,
        incarnation: u64,
        totals: &[AdmittedTotal],
        teams: &[Team],
        quotas: &mut Quotas,
        now: TimeMs,
    ) {
        self.detect_freeze(quotas, now);
        quotas.record_peer(incarnation, totals, teams, now);
        let is_thawed = has_thawed(self.thawed_at, now);
        for admitted in totals {
            let Some(team) = teams.iter().find(|team| team.tag == admitted.team) else {
                continue;
            };
            let ledger = self.ledger_position(admitted.team).ok();
            let covered = ledger.map_or(0.0, |index| {
                self.ledgers[index].record_total(incarnation, admitted)
            });
            if covered > 0.0 {
                quotas.release(team, covered, now);
            }
            if is_thawed {
                quotas.restore_missed(team, now);
                quotas.limit_debt(team, team.burst.max(0.0) * OVERDRAFT_FRACTION, now);
            }
        }
    }

    /// Removes what has ended and teams without a limit; returns the changes of ownership.
    ///
    /// `owns` says whether this node is the owner of a team, by its tag.
    pub fn update(
        &mut self,
        teams: &[Team],
        owns: impl Fn(u64) -> bool,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Vec<OwnershipChange> {
        let limited = limited_by_tag(teams);
        for holder in &mut self.holders {
            holder.remove_abandoned(now);
        }
        self.holders
            .retain(|holder| find(&limited, holder.team).is_some() && !holder.is_idle(now));
        self.detect_freeze(quotas, now);
        self.updated_at = now;
        let mut changes = Vec::new();
        for ledger in &mut self.ledgers {
            if let Some(team) = find(&limited, ledger.team) {
                ledger.remove_ended(team, quotas, now);
            }
            let team = ledger.team;
            let is_mine = owns(team);
            match ledger.set_owned(is_mine, now) {
                true if is_mine => changes.push(OwnershipChange::Taken { team }),
                true => changes.push(OwnershipChange::Lost { team }),
                false => {}
            }
        }
        self.ledgers
            .retain(|ledger| find(&limited, ledger.team).is_some() && !ledger.is_idle(now));
        changes
    }

    /// Returns where a team's credit stands here; `None` if the team is not in use.
    pub fn standing(&self, team: u64, now: TimeMs) -> Option<Standing> {
        let holder = self.holder_position(team).ok();
        let ledger = self.ledger_position(team).ok();
        holder.or(ledger)?;
        Some(Standing {
            held: holder.map_or(0.0, |index| self.holders[index].credit(now)),
            outstanding: ledger.map(|index| self.ledgers[index].outstanding()),
        })
    }

    /// Returns whether this node keeps a ledger of the team.
    pub fn has_ledger(&self, team: u64) -> bool {
        self.ledger_position(team).is_ok()
    }

    fn holder_position(&self, team: u64) -> Result<usize, usize> {
        (self.holders).binary_search_by_key(&team, |holder| holder.team)
    }

    fn ledger_position(&self, team: u64) -> Result<usize, usize> {
        (self.ledgers).binary_search_by_key(&team, |ledger| ledger.team)
    }

    fn holder(&mut self, team: &Team, now: TimeMs) -> &mut Holder {
        let index = self.holder_position(team.tag).unwrap_or_else(|index| {
            let holder = Holder::new(team, self.incarnation, now);
            self.holders.insert(index, holder);
            index
        });
        &mut self.holders[index]
    }

    /// Has all ledgers learn again after a time without updates, in which this node was frozen.
    ///
    /// A successor may have granted credit meanwhile.
    pub fn detect_freeze(&mut self, quotas: &mut Quotas, now: TimeMs) {
        if now.since(self.updated_at) < LEASE_MS {
            return;
        }
        quotas.thaw(self.updated_at, now);
        self.updated_at = now;
        self.thawed_at = Some(now);
        for ledger in &mut self.ledgers {
            ledger.thaw(now);
        }
    }

    fn ledger(&mut self, team: u64, now: TimeMs) -> &mut Ledger {
        let index = self.ledger_position(team).unwrap_or_else(|index| {
            let ledger = Ledger::new(team, self.thawed_at, now);
            self.ledgers.insert(index, ledger);
            index
        });
        &mut self.ledgers[index]
    }
}

/// Returns the teams with a limit, sorted by tag.
fn limited_by_tag(teams: &[Team]) -> Vec<&Team> {
    let limited = teams.iter().filter(|team| team.rate_per_s.is_some());
    let mut limited: Vec<&Team> = limited.collect();
    limited.sort_unstable_by_key(|team| team.tag);
    limited
}

fn find<'a>(by_tag: &[&'a Team], tag: u64) -> Option<&'a Team> {
    let found = by_tag.binary_search_by_key(&tag, |team| team.tag);
    found.ok().map(|index| by_tag[index])
}

#[cfg(test)]
mod tests;
