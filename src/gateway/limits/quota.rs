//! Token buckets that enforce each team's limit across all nodes.
//!
//! Each node keeps a copy of each team's bucket, from which it deducts its own admissions at once and
//! those of its peers when their reports arrive, in heartbeats and in the reports of groups. Where a team
//! spends so fast that those would come late, a node collects its totals and sends them to all nodes.
//!
//! Reports arrive after the fact, so that the copies alone bound nothing: all nodes would spend the same
//! remainder. Each node therefore spends its own part of the limit ([`allotment`]), and borrows little
//! beyond it while the copy shows that the team is within its limit.
//!
//! A node that has lost contact with some of its peers does not know what they admit. It then
//! refills its bucket only by the share of the nodes that it can hear. Every partition does the
//! same, so that all partitions together stay within the limit.
//!
//! Operators measure a limit over a sliding window of a few seconds: within a window a team may use
//! its rate, its burst and a small tolerance. The window, the rate and the burst determine the
//! bucket parameters.

mod allotment;
mod bucket;
mod leased;
mod parameters;
mod pause;
mod rate;
mod reports;
mod rounds;

use self::bucket::Bucket;
pub(crate) use self::leased::{CreditShortage, FleetBucket};
use self::parameters::BucketParameters;
use self::pause::Pause;
pub(crate) use self::reports::AdmittedTotal;
use crate::gateway::catalog::{Team, Unit};
use crate::gateway::num;
use crate::gateway::settings::LimitWindow;
use crate::time::TimeMs;

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
    /// Level of the fleet's bucket, as far as this node knows; negative if it was overdrawn.
    pub level: f64,
    /// Level of a full bucket.
    pub capacity: f64,
    /// Refill rate of the nodes in contact.
    pub rate_per_s: f64,
    /// Fraction of that which is this node's part.
    pub share: f64,
    /// What this node may spend of its part, in units of the limit; negative if it borrowed.
    pub credit: f64,
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
    /// Nodes that share the limits, as of the last update of this node's contacts.
    visibility: FleetVisibility,
    /// The last time in which this node was frozen; `None` before the first.
    pause: Option<Pause>,
    /// Differs between nodes.
    seed: u64,
}

impl Quotas {
    /// Creates the buckets of a node that starts now; they start empty and fill up.
    ///
    /// The usage before the start is unknown. If all nodes were killed at once while a team is at
    /// its limit, full buckets would grant the team its whole burst again.
    #[must_use]
    pub fn new(window: Option<LimitWindow>, seed: u64, started_at: TimeMs) -> Self {
        Self {
            window,
            buckets: Vec::new(),
            started_at,
            heard: Vec::new(),
            visibility: FleetVisibility { known: 1, heard: 1 },
            pause: None,
            seed,
        }
    }

    /// Sets the share of the limits from the number of nodes in contact.
    pub fn set_visibility(&mut self, visibility: FleetVisibility) {
        self.visibility = visibility;
    }

    /// Admits a request if its team's bucket has room, and deducts its cost.
    pub fn admit(
        &mut self,
        team: &Team,
        cost: f64,
        visibility: FleetVisibility,
        now: TimeMs,
    ) -> Admission {
        self.set_visibility(visibility);
        let Some((bucket, parameters)) = self.refilled(team, now) else {
            return Admission::Admitted;
        };
        if bucket.has_room(cost, team.burst, &parameters) {
            bucket.deduct_own(cost, now);
            return Admission::Admitted;
        }
        let retry_after_ms = num::round_to_u64(bucket.wait_ms(cost, &parameters));
        Admission::Over(Shortfall {
            cost,
            level: bucket.level,
            capacity: parameters.capacity,
            rate_per_s: parameters.rate_per_s,
            share: bucket.allotment.share(),
            credit: bucket.allotment.credit(),
            visibility,
            retry_after_ms: retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
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
            self.bucket(team, now).refund(cost, now);
        }
    }

    /// Returns the tags of the teams that have used the service since this node started.
    pub fn active_teams(&self) -> impl Iterator<Item = u64> {
        self.buckets.iter().map(|bucket| bucket.team)
    }

    /// Returns the parameters of a team's bucket; `None` without a limit.
    fn parameters(&self, team: &Team) -> Option<BucketParameters> {
        let rate_per_s = team.rate_per_s?;
        Some(BucketParameters::new(self.window, rate_per_s, team.burst))
    }

    /// Returns a team's bucket, refilled until now; `None` without a limit.
    fn refilled(&mut self, team: &Team, now: TimeMs) -> Option<(&mut Bucket, BucketParameters)> {
        let visibility = self.visibility;
        let pause = self.pause;
        let whole = self.parameters(team)?;
        let parameters = whole.with_share(visibility.share());
        let bucket = self.bucket(team, now);
        match pause {
            Some(pause) if bucket.thawed_at != Some(pause.ended_at) => {
                bucket.refill(&parameters, visibility, pause.began_at);
                let due = bucket.level + whole.rate_per_s * pause.rest_s(bucket.refilled_at);
                bucket.refill(&parameters, visibility, now);
                bucket.thaw((due - bucket.level).max(0.0), pause.ended_at);
            }
            _ => bucket.refill(&parameters, visibility, now),
        }
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
            // What peers admitted in a pause is deducted also from a copy that begins after it.
            let pause = self.pause.filter(|pause| pause.is_recent(now));
            let since = pause.map_or(now, |pause| pause.began_at);
            let bucket = Bucket::new(team.tag, level, self.seed, self.visibility, since);
            self.buckets.insert(index, bucket);
            index
        });
        &mut self.buckets[index]
    }
}

#[cfg(test)]
mod tests;
