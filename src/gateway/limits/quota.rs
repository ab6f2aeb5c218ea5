//! Token buckets that enforce each team's limit across all nodes.
//!
//! Each node keeps a complete bucket for each team. It deducts its own admissions at once and the
//! admissions of its peers when their reports arrive, in heartbeats and in the reports of groups.
//! Where a team spends so fast that those would come too late, a node collects its totals and sends
//! them to all nodes. A bucket may become negative and then admits nothing until it is refilled,
//! which pays back what was admitted before the reports arrived.
//!
//! A node that has lost contact with some of its peers does not know what they admit. It then
//! refills its bucket only by the share of the nodes that it can hear. Every partition does the
//! same, so that all partitions together stay within the limit.
//!
//! Operators measure a limit over a sliding window of a few seconds: within a window a team may use
//! its rate, its burst and a small tolerance. The window, the rate and the burst determine the
//! bucket parameters.

mod bucket;
mod parameters;
mod reports;

use self::bucket::Bucket;
use self::parameters::{BucketParameters, damping_fraction};
pub(crate) use self::reports::AdmittedTotal;
use crate::gateway::catalog::{Team, Unit};
use crate::gateway::num;
use crate::gateway::settings::LimitWindow;
use crate::time::TimeMs;

/// A request that costs at most this fraction of its team's burst is small.
///
/// A short call costs a hundredth of the tokens of a long report.
const SMALL_REQUEST_FRACTION: f64 = 1.0 / 500.0;

/// Fraction of the burst by which small requests may overdraw the bucket.
///
/// The bucket of a team that sends six times its usual load stays around zero for the duration.
/// Each admitted long report takes the level below zero by up to a fifth of the burst. Without an
/// overdraft, short calls, ten of which fit into the remainder, would be rejected as often as
/// reports. The refill pays the overdraft back.
const SMALL_OVERDRAFT_FRACTION: f64 = 0.25;

/// Upper bound of the retry delay that a rejected caller is given.
const MAX_RETRY_AFTER_MS: u64 = 3_000;

/// Lower bound of the retry delay that a rejected caller is given.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Number of known nodes and of nodes in contact, both including this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetVisibility {
    pub known: u32,
    pub heard: u32,
}

impl FleetVisibility {
    /// Whether this node is in contact with at least half of the fleet.
    pub fn sees_half(self) -> bool {
        self.heard * 2 >= self.known
    }

    /// Fraction of each limit that the nodes in contact with each other may use.
    pub fn share(self) -> f64 {
        f64::from(self.heard.max(1)) / f64::from(self.known.max(self.heard).max(1))
    }
}

/// Result of checking a request against its team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    Admitted,
    Over(Shortfall),
}

/// Values behind the decision that a team is over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortfall {
    /// Cost of the request, in units of the limit.
    pub cost: f64,
    /// Bucket level, including a small request's overdraft; negative if the bucket was overdrawn.
    pub level: f64,
    /// Level of a full bucket.
    pub capacity: f64,
    /// Refill rate on this node.
    pub rate_per_s: f64,
    /// Nodes that share the limit.
    pub visibility: FleetVisibility,
    /// Time until the bucket has room again.
    pub retry_after_ms: u64,
}

/// Returns the cost of a request in the limit's unit; `tokens` is its token count, if known.
#[must_use]
pub(crate) fn cost(unit: Unit, tokens: Option<u64>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { default_tokens } => num::to_f64(tokens.unwrap_or(default_tokens)),
    }
}

/// Token buckets of all teams.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// Window over which operators measure limits; `None` if only burst and rate are known.
    window: Option<LimitWindow>,
    /// Sorted by team.
    buckets: Vec<Bucket>,
    /// Start time of this node, at which every bucket is empty.
    started_at: TimeMs,
    /// Time of the last report by peer incarnation, with or without admissions; sorted.
    heard: Vec<(u64, TimeMs)>,
    /// Fraction of each limit that this node refills, as of the last update of its contacts.
    share: f64,
}

impl Quotas {
    /// Creates the buckets of a node that starts now; they start empty and fill up.
    ///
    /// The usage before the start is unknown. If all nodes were killed at once while a team is at
    /// its limit, full buckets would grant the team its whole burst again.
    #[must_use]
    pub fn new(window: Option<LimitWindow>, started_at: TimeMs) -> Self {
        Self {
            window,
            buckets: Vec::new(),
            started_at,
            heard: Vec::new(),
            share: 1.0,
        }
    }

    /// Sets the share of the limits from the number of nodes in contact.
    pub fn set_visibility(&mut self, visibility: FleetVisibility) {
        self.share = visibility.share();
    }

    /// Admits a request if its team's bucket has room, and deducts its cost.
    pub fn admit(
        &mut self,
        team: &Team,
        cost: f64,
        visibility: FleetVisibility,
        now: TimeMs,
    ) -> Admission {
        let Some(rate_per_s) = team.rate_per_s else {
            return Admission::Admitted;
        };
        let parameters =
            BucketParameters::new(self.window, rate_per_s, team.burst, visibility.known);
        self.set_visibility(visibility);
        let capacity = parameters.capacity;
        let rate_per_s = parameters.rate_per_s * self.share;
        let bucket = self.bucket(team, now);
        bucket.refill(rate_per_s, capacity, now);
        let overdraft = if cost <= team.burst * SMALL_REQUEST_FRACTION {
            team.burst * SMALL_OVERDRAFT_FRACTION
        } else {
            0.0
        };
        let level = bucket.level - bucket.extrapolated_usage(now) + overdraft;
        let damped_below = if overdraft > 0.0 {
            0.0
        } else {
            capacity * damping_fraction(visibility.known)
        };
        if level > 0.0 && bucket.admits_fraction(level / damped_below.max(1.0)) {
            bucket.deduct_own(cost, now);
            return Admission::Admitted;
        }
        // Waits for room for one request of this size and for concurrent admissions.
        let missing = (cost.min(capacity) - level).max(damped_below - level);
        let wait_ms = num::round_to_u64(missing * 1_000.0 / rate_per_s.max(f64::MIN_POSITIVE));
        Admission::Over(Shortfall {
            cost,
            level,
            capacity,
            rate_per_s,
            visibility,
            retry_after_ms: wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        })
    }

    /// Returns the bucket level as of its last refill, as a fraction of the capacity.
    ///
    /// It is negative if the bucket was overdrawn, and `None` if the team has no bucket or no
    /// limit.
    pub fn remaining_fraction(&self, team: &Team) -> Option<f64> {
        let found = self
            .buckets
            .binary_search_by_key(&team.tag, |bucket| bucket.team);
        let bucket = &self.buckets[found.ok()?];
        let capacity = self.parameters(team)?.capacity;
        Some(bucket.level / capacity.max(1.0))
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, team: &Team, cost: f64, now: TimeMs) {
        if team.rate_per_s.is_some() {
            let bucket = self.bucket(team, now);
            // Totals grow monotonically, so that a late, older report can be recognised. Peers
            // therefore keep counting this request, which is a small part of a limit.
            bucket.level += cost;
        }
    }

    /// Returns the tags of the teams that have used the service since this node started.
    pub fn active_teams(&self) -> impl Iterator<Item = u64> {
        self.buckets.iter().map(|bucket| bucket.team)
    }

    /// Returns the bucket parameters for the peers that this node knows; `None` without a limit.
    fn parameters(&self, team: &Team) -> Option<BucketParameters> {
        let nodes = u32::try_from(self.heard.len() + 1).unwrap_or(u32::MAX);
        let rate_per_s = team.rate_per_s?;
        Some(BucketParameters::new(
            self.window,
            rate_per_s,
            team.burst,
            nodes,
        ))
    }

    /// Returns a team's bucket, refilled until now; `None` without a limit.
    fn refilled(&mut self, team: &Team, now: TimeMs) -> Option<(&mut Bucket, BucketParameters)> {
        let parameters = self.parameters(team)?;
        let rate_per_s = parameters.rate_per_s * self.share;
        let bucket = self.bucket(team, now);
        bucket.refill(rate_per_s, parameters.capacity, now);
        Some((bucket, parameters))
    }

    fn bucket(&mut self, team: &Team, now: TimeMs) -> &mut Bucket {
        let found = self
            .buckets
            .binary_search_by_key(&team.tag, |bucket| bucket.team);
        let index = found.unwrap_or_else(|index| {
            let filled_s = num::to_f64(now.since(self.started_at)) / 1_000.0;
            let level = self.parameters(team).map_or(0.0, |parameters| {
                (parameters.rate_per_s * filled_s).min(parameters.capacity)
            });
            let bucket = Bucket::new(team.tag, level, now);
            self.buckets.insert(index, bucket);
            index
        });
        &mut self.buckets[index]
    }
}

#[cfg(test)]
mod tests;
