//! The owner of a team's limit: grants credit out of what the team may still spend.
//!
//! The owner takes what it grants out of its copy of the team's bucket. What a node reports as admitted is
//! deducted there as well, and as much of the node's credit is put back. So is credit whose lease has ended.

use super::wire::{CheckedAsk, CreditAsk, CreditGrant};
use super::{AHEAD_MS, LEASE_MS};
use crate::gateway::catalog::Team;
use crate::gateway::limits::quota::{AdmittedTotal, FleetBucket, Quotas};
use crate::gateway::num;
use crate::time::TimeMs;

/// Fraction of the burst that requests may overdraw.
pub(super) const OVERDRAFT_FRACTION: f64 = 0.25;

/// Fraction of the capacity at which a request that exceeds the bucket is granted.
const FULL_FRACTION: f64 = 0.9;

/// A request that costs at most this fraction of the mean is small.
const SMALL_FRACTION: f64 = 0.125;

/// Weight of one more ask in the mean cost.
const COST_WEIGHT: f64 = 0.02;

/// Fraction of the remainder that one ask may take for requests to come.
const AHEAD_FRACTION: f64 = 0.1;

/// Time that each node adds to the quiet time, which bounds the asks that the owner has to answer.
const QUIET_PER_HOLDER_MS: f64 = 1.0;

/// Least and most time for which a denial stops the asks of a node.
const MIN_QUIET_MS: f64 = 20.0;
const MAX_QUIET_MS: f64 = 1_000.0;

/// Range of the factor that spreads the ends of quiet times.
const QUIET_SPREAD: (f64, f64) = (0.75, 1.25);

/// The grants of one team at its owner.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    /// The team's tag.
    pub team: u64,
    /// Whether this node is the team's owner by its own view.
    pub is_owned: bool,
    /// Since when it is.
    owned_since: TimeMs,
    /// When this node last found that it had been frozen.
    thawed_at: Option<TimeMs>,
    asked_at: TimeMs,
    /// Sorted by the holder's incarnation.
    leases: Vec<Lease>,
    /// Mean of the least costs that were asked for; `None` before the first.
    mean_cost: Option<f64>,
}

/// The credit of one node.
#[derive(Clone, Copy, Debug)]
struct Lease {
    incarnation: u64,
    /// Credit that the node has not reported as spent.
    outstanding: f64,
    ends_at: TimeMs,
    /// What the node had admitted as of its last report or ask; `None` if neither named a total.
    total: Option<f64>,
    /// The answer to the last ask, for a repeat of it.
    answered: CreditGrant,
}

impl Ledger {
    /// Creates the ledger of a team that this node owns from now on.
    ///
    /// `thawed_at` is when this node last found that it had been frozen.
    pub fn new(team: u64, thawed_at: Option<TimeMs>, now: TimeMs) -> Self {
        Self {
            team,
            thawed_at,
            is_owned: true,
            owned_since: now,
            asked_at: now,
            leases: Vec::new(),
            mean_cost: None,
        }
    }

    /// Sets whether this node is the owner; returns whether that changes.
    pub fn set_owned(&mut self, is_owned: bool, now: TimeMs) -> bool {
        let is_changed = self.is_owned != is_owned;
        if is_changed && is_owned {
            self.owned_since = now;
        }
        self.is_owned = is_owned;
        is_changed
    }

    /// Starts to learn again which leases are out, after this node was frozen.
    pub fn thaw(&mut self, now: TimeMs) {
        self.owned_since = now;
        self.thawed_at = Some(now);
    }

    /// Answers an ask; `None` if a newer one of the node was answered before.
    ///
    /// `draw` is uniform from 0 to 1 over the asks.
    pub fn answer(
        &mut self,
        checked: &CheckedAsk,
        team: &Team,
        quotas: &mut Quotas,
        draw: f64,
        now: TimeMs,
    ) -> Option<CreditGrant> {
        let ask = checked.ask();
        self.asked_at = now;
        if let Some(admitted) = ask.admitted {
            let teams = std::slice::from_ref(team);
            quotas.record_peer(ask.incarnation, &[admitted], teams, now);
        }
        self.remove_ended(team, quotas, now);
        let index = match self.position(ask.incarnation) {
            Ok(index) if self.leases[index].answered.sequence == ask.sequence => {
                return Some(self.leases[index].answered);
            }
            Ok(index) if self.leases[index].answered.sequence > ask.sequence => return None,
            Ok(index) => index,
            Err(index) => {
                self.leases.insert(index, Lease::new(ask, now));
                index
            }
        };
        let released = self.leases[index].restate(ask);
        quotas.release(team, released, now);
        let bucket = self.bucket(team, quotas, now)?;
        let grant = self.decide(ask, &bucket, draw, now);
        quotas.withhold(team, grant.granted, now);
        let lease = &mut self.leases[index];
        lease.outstanding += grant.granted;
        lease.ends_at = now.after(LEASE_MS);
        lease.answered = grant;
        Some(grant)
    }

    /// Spends from what is available for a request of this node; `None` if it is covered, else the
    /// available credit.
    pub fn try_spend(
        &mut self,
        team: &Team,
        cost: f64,
        quotas: &mut Quotas,
        now: TimeMs,
    ) -> Option<f64> {
        self.remove_ended(team, quotas, now);
        let bucket = self.bucket(team, quotas, now)?;
        self.asked_at = now;
        self.record_cost(cost);
        let available = self.available(&bucket, now);
        if available > self.needed(cost, cost, &bucket) {
            quotas.charge_leased(team, cost, now);
            return None;
        }
        Some(available)
    }

    /// Reduces a node's credit by what it newly reports as admitted; returns the reduction.
    pub fn record_total(&mut self, incarnation: u64, admitted: &AdmittedTotal) -> f64 {
        match self.position(incarnation) {
            Ok(index) => self.leases[index].record_total(admitted),
            Err(_without_lease) => 0.0,
        }
    }

    /// Removes the leases that have ended and puts their credit back.
    pub fn remove_ended(&mut self, team: &Team, quotas: &mut Quotas, now: TimeMs) {
        let before = self.outstanding();
        self.leases.retain(|lease| now < lease.ends_at);
        let ended = before - self.outstanding();
        if ended > 0.0 {
            quotas.release(team, ended, now);
        }
    }

    /// Returns whether nobody has asked for a while and no credit is out.
    pub fn is_idle(&self, now: TimeMs) -> bool {
        self.leases.is_empty() && now.since(self.asked_at) >= LEASE_MS
    }

    /// Returns the credit that nodes hold and have not reported as spent.
    pub fn outstanding(&self) -> f64 {
        self.leases.iter().map(|lease| lease.outstanding).sum()
    }

    fn decide(
        &mut self,
        ask: &CreditAsk,
        bucket: &FleetBucket,
        draw: f64,
        now: TimeMs,
    ) -> CreditGrant {
        let available = self.available(bucket, now);
        let is_waiting = ask.least_cost > 0.0;
        if is_waiting {
            self.record_cost(ask.least_cost);
        }
        let missing = (ask.least_cost - ask.held).max(0.0);
        let needed = self.needed(ask.least_cost, missing, bucket);
        if is_waiting && available <= needed {
            let quiet_ms = self.quiet_ms(needed - available, bucket, draw);
            return self.grant(ask, 0.0, quiet_ms, available, bucket);
        }
        let left = available - missing;
        let others = (ask.waiting - ask.held - missing).max(0.0);
        let is_covered = others <= 0.0 || (left > 0.0 && left - others > -overdraft(bucket));
        let more = if is_covered { others } else { left.max(0.0) };
        let ahead = (ask.ahead).min((left - more).max(0.0) * AHEAD_FRACTION);
        let quiet_ms = if is_covered {
            0
        } else {
            self.quiet_ms(others - more, bucket, draw)
        };
        self.grant(ask, missing + more + ahead, quiet_ms, available, bucket)
    }

    /// Builds the answer that grants this much of what is available.
    fn grant(
        &self,
        ask: &CreditAsk,
        granted: f64,
        quiet_ms: u64,
        available: f64,
        bucket: &FleetBucket,
    ) -> CreditGrant {
        let available = available - granted;
        let admits_small = available > -overdraft(bucket);
        CreditGrant {
            team: ask.team,
            sequence: ask.sequence,
            granted,
            quiet_ms,
            exempt_cost: if admits_small { self.small_cost() } else { 0.0 },
            available,
        }
    }

    /// Returns what may be granted or spent, negative if too much was.
    fn available(&self, bucket: &FleetBucket, now: TimeMs) -> f64 {
        let unstated = self.unstated(bucket, now) - self.outstanding();
        bucket.level - unstated.max(0.0)
    }

    /// Returns an estimate of the credit that a previous owner may have out; zero once it has ended.
    fn unstated(&self, bucket: &FleetBucket, now: TimeMs) -> f64 {
        if self.is_learning(now) {
            bucket.peer_rate_per_ms * num::to_f64(AHEAD_MS)
        } else {
            0.0
        }
    }

    fn is_learning(&self, now: TimeMs) -> bool {
        now.since(self.owned_since) < LEASE_MS
    }

    /// Returns the team's bucket; after a freeze without more debt than grants cause.
    ///
    /// What others admitted with the refill of the freeze is put back.
    fn bucket(&self, team: &Team, quotas: &mut Quotas, now: TimeMs) -> Option<FleetBucket> {
        let bucket = quotas.fleet_bucket(team, now)?;
        if !has_thawed(self.thawed_at, now) {
            return Some(bucket);
        }
        quotas.restore_missed(team, now);
        quotas.limit_debt(team, overdraft(&bucket) + self.outstanding(), now);
        quotas.fleet_bucket(team, now)
    }

    /// Returns the level above which a request is granted `missing` units.
    fn needed(&self, cost: f64, missing: f64, bucket: &FleetBucket) -> f64 {
        let overdraft = overdraft(bucket);
        if cost <= self.small_cost() {
            return -overdraft;
        }
        (missing - overdraft).clamp(0.0, bucket.capacity.max(0.0) * FULL_FRACTION)
    }

    /// Returns the time until `missing` units are refilled, spread over the nodes that ask.
    fn quiet_ms(&self, missing: f64, bucket: &FleetBucket, draw: f64) -> u64 {
        let refill_ms = missing.max(0.0) * 1_000.0 / bucket.rate_per_s.max(f64::MIN_POSITIVE);
        let holders = num::to_f64(self.leases.len() as u64);
        let least_ms = (holders * QUIET_PER_HOLDER_MS).max(MIN_QUIET_MS);
        let quiet_ms = refill_ms.max(least_ms).min(MAX_QUIET_MS);
        let (low, high) = QUIET_SPREAD;
        num::round_to_u64(quiet_ms * (low + (high - low) * draw)).max(1)
    }

    fn record_cost(&mut self, cost: f64) {
        let mean = self.mean_cost.unwrap_or(cost);
        self.mean_cost = Some(mean + (cost - mean) * COST_WEIGHT);
    }

    fn small_cost(&self) -> f64 {
        self.mean_cost.unwrap_or(0.0) * SMALL_FRACTION
    }

    fn position(&self, incarnation: u64) -> Result<usize, usize> {
        (self.leases).binary_search_by_key(&incarnation, |lease| lease.incarnation)
    }
}

impl Lease {
    /// Creates the lease of a node that asks for the first time.
    fn new(ask: &CreditAsk, now: TimeMs) -> Self {
        Self {
            incarnation: ask.incarnation,
            outstanding: 0.0,
            ends_at: now.after(LEASE_MS),
            total: ask.admitted.map(|admitted| admitted.total),
            answered: CreditGrant {
                team: ask.team,
                sequence: 0,
                granted: 0.0,
                quiet_ms: 0,
                exempt_cost: 0.0,
                available: 0.0,
            },
        }
    }

    /// Reduces the credit by what the node newly reports as admitted; returns the reduction.
    fn record_total(&mut self, admitted: &AdmittedTotal) -> f64 {
        let before = self.total.unwrap_or(admitted.base);
        let spent = (admitted.total - before).clamp(0.0, self.outstanding.max(0.0));
        self.total = Some(before.max(admitted.total));
        self.outstanding -= spent;
        spent
    }

    /// Sets the credit to what the node states, less what it has reported since; returns the reduction.
    fn restate(&mut self, ask: &CreditAsk) -> f64 {
        let total = ask.admitted.map(|admitted| admitted.total);
        let spent_since = self.total.zip(total).map_or(0.0, |(known, at)| known - at);
        let stated = (ask.held - spent_since.max(0.0)).max(0.0);
        let reduction = self.outstanding - stated;
        self.outstanding = stated;
        self.total = self.total.into_iter().chain(total).reduce(f64::max);
        reduction
    }
}

/// Whether a node found that it had been frozen less than a lease ago.
pub(super) fn has_thawed(thawed_at: Option<TimeMs>, now: TimeMs) -> bool {
    thawed_at.is_some_and(|thawed_at| now.since(thawed_at) < LEASE_MS)
}

/// Returns by how much the requests of a team with this bucket may overdraw it.
fn overdraft(bucket: &FleetBucket) -> f64 {
    bucket.burst.max(0.0) * OVERDRAFT_FRACTION
}
