//! What leases of credit need of a team's bucket: its state, and charges that were decided elsewhere.

use super::{AdmittedTotal, FleetVisibility, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS};
use super::{Quotas, Shortfall};
use crate::gateway::catalog::Team;
use crate::gateway::num;
use crate::time::TimeMs;

/// This node's copy of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetBucket {
    /// What may be spent as far as reports tell, in units of the limit.
    pub level: f64,
    /// Level of a full bucket.
    pub capacity: f64,
    /// Refill rate of the nodes in contact.
    pub rate_per_s: f64,
    /// Burst of the limit.
    pub burst: f64,
    /// Rate at which the peers spend, as of their last reports.
    pub peer_rate_per_ms: f64,
}

/// The state of a team's credit when it refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CreditShortage {
    /// Cost of the request, in units of the limit.
    pub cost: f64,
    /// Credit that this node holds.
    pub held: f64,
    /// Credit that the team's owner could grant when it last answered.
    pub available: f64,
    /// Time for which the owner expects to grant nothing.
    pub quiet_ms: u64,
}

impl Quotas {
    /// Returns the team's bucket, refilled until now; `None` without a limit.
    pub fn fleet_bucket(&mut self, team: &Team, now: TimeMs) -> Option<FleetBucket> {
        let (bucket, parameters) = self.refilled(team, now)?;
        Some(FleetBucket {
            level: bucket.level,
            capacity: parameters.capacity,
            rate_per_s: parameters.rate_per_s,
            burst: team.burst,
            peer_rate_per_ms: bucket.peer_rate_per_ms(now),
        })
    }

    /// Takes granted credit out of the bucket, so that what is refilled meanwhile is not lost.
    pub fn withhold(&mut self, team: &Team, credit: f64, now: TimeMs) {
        if let Some((bucket, _parameters)) = self.refilled(team, now) {
            bucket.level -= credit;
        }
    }

    /// Puts withheld credit back that was not spent, or is deducted as a peer's admission.
    pub fn release(&mut self, team: &Team, credit: f64, now: TimeMs) {
        if let Some((bucket, parameters)) = self.refilled(team, now) {
            bucket.level = (bucket.level + credit).min(parameters.capacity);
            bucket.missed.release(credit);
        }
    }

    /// Raises the level to `-debt` if it is lower.
    ///
    /// A node that was frozen does not know all that was refilled and granted meanwhile.
    pub fn limit_debt(&mut self, team: &Team, debt: f64, now: TimeMs) {
        if let Some((bucket, _parameters)) = self.refilled(team, now) {
            bucket.level = bucket.level.max(-debt);
        }
    }

    /// Charges a request that leased credit covers.
    ///
    /// It uses up this node's own part as far as that reaches, so that a node that loses the owner does
    /// not spend it again, and leaves no debt.
    pub fn charge_leased(&mut self, team: &Team, cost: f64, now: TimeMs) {
        let Some((bucket, _parameters)) = self.refilled(team, now) else {
            return;
        };
        let covered = bucket.allotment.credit().clamp(0.0, cost);
        bucket.deduct_own(cost, now);
        bucket.allotment.refund(cost - covered);
    }

    /// Returns what this node reports of the team; `None` without recent admissions.
    pub fn own_total(&mut self, team: &Team, now: TimeMs) -> Option<AdmittedTotal> {
        team.rate_per_s?;
        self.bucket(team, now).recent_total(now)
    }

    /// Returns the values behind a refusal for want of credit.
    pub fn credit_shortfall(
        &mut self,
        team: &Team,
        shortage: &CreditShortage,
        visibility: FleetVisibility,
        now: TimeMs,
    ) -> Shortfall {
        let bucket = self.fleet_bucket(team, now);
        let rate_per_s = bucket.map_or(0.0, |bucket| bucket.rate_per_s);
        let missing = (shortage.cost - shortage.held).max(0.0) * 1_000.0;
        let missing_ms = num::round_to_u64(missing / rate_per_s.max(f64::MIN_POSITIVE));
        let retry_after_ms = missing_ms.max(shortage.quiet_ms);
        Shortfall {
            cost: shortage.cost,
            level: shortage.available,
            capacity: bucket.map_or(0.0, |bucket| bucket.capacity),
            rate_per_s,
            share: 1.0,
            credit: shortage.held,
            visibility,
            retry_after_ms: retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }
}
