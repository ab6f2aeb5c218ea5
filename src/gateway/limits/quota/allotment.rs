//! One node's part of a team's limit, which it may spend before its peers hear of it.
//!
//! The parts of all nodes add up to the limit while the nodes know the same rates. A node that grows
//! exceeds that until its peers have heard of it, which the bound on growth limits; the operators'
//! tolerance covers it. The parts follow what the nodes admit: a node that spends less than its part
//! leaves the remainder to the others. While reports show that the team is within its limit, a node may
//! borrow some requests from the others' parts, and again in each round of reports: what its peers have
//! heard of need not be paid back.

use super::FleetVisibility;
use super::parameters::BucketParameters;
use super::rate::AverageRate;
use crate::gateway::num;
use crate::time::TimeMs;

/// Interval between two updates of a node's share.
const UPDATE_INTERVAL_MS: u64 = 200;

/// Share of an idle node, as a fraction of an equal share, so that it can spend when its callers return.
const IDLE_FRACTION: f64 = 0.1;

/// Time constant of the fastest growth of a share within a round of reports.
///
/// Until the peers hear of the growth and give way, the shares add up to more than the limit.
const GROWTH_MS: f64 = 4_000.0;

/// Growth of a share, as a fraction, that a new round of reports allows a team within its limit.
///
/// The peers have heard of the growth in the previous round and have given way.
const ROUND_GROWTH: f64 = 1.0;

/// Share that a node may take at once, as a fraction of an equal share.
const RETURN_FRACTION: f64 = 0.5;

/// Time in which the nodes spend what reports show to be left, or save what was overspent.
///
/// It exceeds the delay of reports; a faster correction would oscillate.
const CORRECTION_MS: f64 = 3_000.0;

/// Mean requests that a node may borrow from its peers' parts.
const BORROWED_REQUESTS: f64 = 5.0;

/// Overdraft of the fleet's bucket at which all nodes stop, in capacities.
const MAX_OVERSPENT_CAPACITIES: f64 = 4.0;

/// A request that costs at most this fraction of the mean is small.
const SMALL_REQUEST_FRACTION: f64 = 0.125;

/// Weight of one more request in the mean cost.
const COST_WEIGHT: f64 = 0.02;

/// Step of the sequence of thresholds: the golden ratio spreads its values evenly.
const THRESHOLD_STEP: f64 = 0.618_033_988_749_895;

/// What this node may spend of a team's limit on its own.
#[derive(Clone, Debug)]
pub(super) struct Allotment {
    /// Fraction of the limit that is this node's.
    share: f64,
    updated_at: TimeMs,
    /// Nodes that shared the limit at the last update.
    heard: u32,
    /// What this node may spend, in units of the limit; negative if it borrowed.
    credit: f64,
    /// What the credit lacked of this node's part of the level at the start of the round of reports.
    missing: f64,
    /// Growth of the share that the present round of reports still allows, as a fraction.
    round_growth: f64,
    own_rate: AverageRate,
    /// What this node admitted since the last update of its share.
    unrated: f64,
    /// Mean cost of this node's recent requests, admitted or not; `None` before the first.
    mean_cost: Option<f64>,
    /// Fraction of the mean cost that the credit must cover, in [0, 1).
    ///
    /// It differs between nodes and requests. Otherwise all nodes whose parts are smaller than a request
    /// would save for one, and admit it, at the same time.
    threshold: f64,
}

impl Allotment {
    /// Creates an equal part of a bucket with this level; `seed` differs between nodes.
    pub fn new(seed: u64, level: f64, visibility: FleetVisibility, now: TimeMs) -> Self {
        let share = equal_share(visibility);
        let position = num::to_f64(seed % (1 << 32));
        Self {
            share,
            updated_at: now,
            heard: visibility.heard,
            credit: share * level,
            missing: 0.0,
            round_growth: 0.0,
            own_rate: AverageRate::new(now),
            unrated: 0.0,
            mean_cost: None,
            threshold: (position * THRESHOLD_STEP).fract(),
        }
    }

    /// Returns whether the share has to be updated; at once if other nodes share the limit.
    pub fn is_update_due(&self, visibility: FleetVisibility, now: TimeMs) -> bool {
        self.heard != visibility.heard || now.since(self.updated_at) >= UPDATE_INTERVAL_MS
    }

    /// Adapts the share to the rates at which this node and its peers admit.
    ///
    /// `peers` are the rates of the peers that have reported the team; `rate_per_s` is the limit's.
    pub fn update_share(
        &mut self,
        peers: impl Iterator<Item = AverageRate>,
        rate_per_s: f64,
        visibility: FleetVisibility,
        now: TimeMs,
    ) {
        let passed_ms = now.since(self.updated_at);
        self.updated_at = now;
        self.heard = visibility.heard;
        let idle_per_ms = rate_per_s / 1_000.0 * equal_share(visibility) * IDLE_FRACTION;
        // Without the last interval: the peers' rates are as old.
        let own = self.own_rate.recent_per_ms(now).max(idle_per_ms);
        self.own_rate.record(self.unrated, now);
        self.unrated = 0.0;
        let mut reported = 1;
        let mut others = 0.0;
        for peer in peers {
            others += peer.recent_per_ms(now).max(idle_per_ms);
            reported += 1;
        }
        others += idle_per_ms * f64::from(visibility.heard.saturating_sub(reported));
        let share = fair_share(own, others, rate_per_s / 1_000.0, visibility);
        self.share = share.min(self.grown_share(passed_ms, visibility));
        self.round_growth = 0.0;
    }

    /// Returns the largest share that this node may have `passed_ms` after the last update.
    fn grown_share(&self, passed_ms: u64, visibility: FleetVisibility) -> f64 {
        // A team that was idle does not gain by it.
        let passed_ms = num::to_f64(passed_ms.min(2 * UPDATE_INTERVAL_MS));
        let from = (self.share).max(equal_share(visibility) * RETURN_FRACTION);
        from * (1.0 + passed_ms / GROWTH_MS + self.round_growth)
    }

    /// Starts a round of reports that show this level.
    ///
    /// The peers have heard of what the credit lacked at the start of the previous round and have deducted
    /// it from the level. If the team is within its limit, it need not be paid back.
    pub fn enter_round(&mut self, level: f64, is_within_limit: bool) {
        let missing = (self.share * level - self.credit).max(0.0);
        let is_forgiven = f64::from(u8::from(is_within_limit));
        let forgiven = missing.min(self.missing) * is_forgiven;
        self.credit += forgiven;
        self.missing = missing - forgiven;
        self.round_growth = ROUND_GROWTH * is_forgiven;
    }

    /// Adds this node's part of what the fleet gained in `passed_ms`.
    ///
    /// `level` is the level of the fleet's bucket before that time, as far as it is known here.
    pub fn refill(&mut self, level: f64, parameters: &BucketParameters, passed_ms: u64) {
        let passed_ms = num::to_f64(passed_ms);
        let gained = self.share * parameters.rate_per_s * passed_ms / 1_000.0;
        let part = self.share * level;
        let corrected = part * (passed_ms / CORRECTION_MS).min(1.0);
        let missing = (part - self.credit).max(0.0);
        let most = (self.share * parameters.capacity).max(self.mean_cost());
        self.credit = (self.credit + gained + corrected.min(missing)).min(most);
    }

    /// Records the cost of a request before it is decided.
    pub fn record_asked(&mut self, cost: f64) {
        let mean = self.mean_cost.unwrap_or(cost);
        self.mean_cost = Some(mean + (cost - mean) * COST_WEIGHT);
    }

    /// Returns the fraction of the limit that is this node's.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns what this node may spend, in units of the limit.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Returns the fraction of the limit that is the peers'.
    pub fn peers_share(&self) -> f64 {
        1.0 - self.share
    }

    /// Returns whether the request costs little beside the others of the team.
    pub fn is_small(&self, cost: f64) -> bool {
        cost <= self.mean_cost() * SMALL_REQUEST_FRACTION
    }

    /// Returns whether this node's own part covers a request.
    ///
    /// `level` is the level of the fleet's bucket. A node with peers knows late what they admit, and spends its
    /// part beside a moderate overdraft; a node without peers spends only what is left.
    pub fn has_credit(&self, level: f64, parameters: &BucketParameters) -> bool {
        let least_level = -MAX_OVERSPENT_CAPACITIES * self.peers_share() * parameters.capacity;
        level > least_level && self.credit >= self.needed_credit()
    }

    /// Returns whether this node may borrow from its peers' parts of the bucket.
    ///
    /// `overdraft` is what the fleet may borrow beyond its bucket for requests like this one.
    pub fn may_borrow(&self, level: f64, overdraft: f64) -> bool {
        let borrowed = (self.share * level).max(self.mean_cost() * BORROWED_REQUESTS);
        self.credit + borrowed + self.share * overdraft > 0.0
    }

    /// Returns the time in ms until this node's part covers a request, apart from what it borrowed.
    pub fn wait_ms(&self, rate_per_s: f64) -> f64 {
        let missing = (self.needed_credit() - self.credit).clamp(0.0, self.mean_cost());
        missing * 1_000.0 / (self.share * rate_per_s).max(f64::MIN_POSITIVE)
    }

    fn mean_cost(&self) -> f64 {
        self.mean_cost.unwrap_or(0.0)
    }

    /// Returns the credit from which on a request is admitted; its size does not matter.
    fn needed_credit(&self) -> f64 {
        self.threshold * self.mean_cost()
    }

    /// Deducts an admitted request.
    pub fn deduct(&mut self, cost: f64) {
        self.credit -= cost;
        self.unrated += cost;
        self.threshold = (self.threshold + THRESHOLD_STEP).fract();
    }

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.credit += cost;
    }
}

/// Returns the share of each node if all have the same.
fn equal_share(visibility: FleetVisibility) -> f64 {
    1.0 / f64::from(visibility.heard.max(1))
}

/// Returns the share of a node that admits `own_per_ms` of a limit beside its peers' `others_per_ms`.
///
/// What no node uses goes half to the nodes that admit, by their rates, and half to all alike.
fn fair_share(
    own_per_ms: f64,
    others_per_ms: f64,
    limit_per_ms: f64,
    visibility: FleetVisibility,
) -> f64 {
    let total = (own_per_ms + others_per_ms).max(f64::MIN_POSITIVE);
    let unused = (limit_per_ms - total).max(0.0);
    let by_rate = own_per_ms * (1.0 + unused / (2.0 * total));
    let by_node = unused * equal_share(visibility) / 2.0;
    (by_rate + by_node) / (total + unused)
}
