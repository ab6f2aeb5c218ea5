//! Token buckets that enforce each team's limit across all nodes.
//!
//! Each node keeps a complete bucket for each team. It deducts its own admissions at once and the
//! admissions of its peers when their reports arrive, in heartbeats and in the reports of groups.
//! Where a team spends so fast that those would come too late, a node collects its totals and sends
//! them to all nodes. A bucket may become negative and then admits
//! nothing until it is refilled, which pays back what was admitted before the reports arrived.
//!
//! A node that has lost contact with some of its peers does not know what they admit. It then
//! refills its bucket only by the share of the nodes that it can hear. Every partition does the
//! same, so that all partitions together stay within the limit.
//!
//! Operators measure a limit over a sliding window of a few seconds: within a window a team may use
//! its rate, its burst and a small tolerance. The window, the rate and the burst determine the
//! bucket parameters.

use bincode::{Decode, Encode};

use super::catalog::{Team, Unit};
use super::num;
use super::settings::LimitWindow;
use crate::time::TimeMs;

/// Time constant for averaging a peer's admission rate; it spans several reports.
const RATE_AVERAGING_MS: f64 = 400.0;

/// Longest time for which a silent peer's usage is extrapolated from its rate.
///
/// This is about the propagation delay of a report within a group.
const MAX_EXTRAPOLATION_MS: u64 = 150;

/// Fraction of the operators' tolerance that is granted to the team.
///
/// The remainder covers what nodes admit before they receive each other's reports.
const TEAM_TOLERANCE_FRACTION: f64 = 0.4;

/// Fraction of a window's allowance beyond the rate that the bucket holds as burst capacity.
///
/// The remaining fraction is added to the refill rate over the window. A bucket that holds the
/// whole allowance and is refilled at the rate alone keeps rejecting a team that slightly exceeds
/// its rate, although each window allows another burst.
const BURST_FRACTION: f64 = 0.5;

/// A team whose bucket level is at or below this fraction of its capacity is near its limit.
///
/// The bucket of a team that stays within its rate is full except for single requests.
const NEAR_LIMIT_FRACTION: f64 = 0.85;

/// Time until an admission is known to all groups by their reports.
const GROUP_REPORT_DELAY_MS: f64 = 1_000.0;

/// Fraction of the operators' tolerance that a team may spend until the groups' reports arrive. The
/// totals of a team that spends faster are collected and sent to all nodes.
const UNREPORTED_TOLERANCE_FRACTION: f64 = 0.2;

/// Time for which a node repeats the total of a team after its last admission, for peers that missed
/// a report.
const REPORT_RETENTION_MS: u64 = 2_000;

/// Largest number of nodes at which a bucket uses the operators' tolerance.
///
/// In a larger fleet, usage reports pass through the groups and take longer. A node that is cut off
/// notices only after some seconds that other groups are silent; until then it admits requests as if
/// it could hear every peer.
const MAX_TOLERANCE_NODES: u32 = 30;

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

/// Below this fraction of the capacity, a bucket admits a fraction of the requests that falls with
/// its level.
///
/// Many nodes spend the same limit before they receive each other's reports. If each node admitted
/// every request until its bucket was empty, the admissions of a team at several times its limit
/// would oscillate between all nodes and none, and exceed the limit. Damping brings the admission
/// rate close to the refill rate. The fraction is smaller for few nodes, whose reports arrive
/// sooner, and zero up to [`MAX_UNDAMPED_NODES`] nodes.
const DAMPING_FRACTION: f64 = 0.65;

/// Largest number of nodes whose buckets are not damped.
const MAX_UNDAMPED_NODES: f64 = 9.0;

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

/// Capacity and refill rate of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BucketParameters {
    capacity: f64,
    rate_per_s: f64,
}

impl BucketParameters {
    /// Returns parameters that keep each window within rate, burst and a fraction of the tolerance.
    ///
    /// Without a window, and with more than [`MAX_TOLERANCE_NODES`] nodes, only the burst and the
    /// rate apply.
    fn new(window: Option<LimitWindow>, rate_per_s: f64, burst: f64, nodes: u32) -> Self {
        // In a large fleet, admissions that are not reported yet use up the whole tolerance.
        let Some(window) = window.filter(|_window| nodes <= MAX_TOLERANCE_NODES) else {
            return Self {
                capacity: burst,
                rate_per_s,
            };
        };
        let window_s = num::to_f64(window.window_ms) / 1_000.0;
        let team_tolerance = window.tolerance(rate_per_s, burst) * TEAM_TOLERANCE_FRACTION;
        let beyond_rate = burst + team_tolerance;
        Self {
            capacity: beyond_rate * BURST_FRACTION,
            rate_per_s: rate_per_s + beyond_rate * (1.0 - BURST_FRACTION) / window_s,
        }
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

/// Returns the fraction of the capacity below which a bucket is damped, by number of nodes.
fn damping_fraction(nodes: u32) -> f64 {
    DAMPING_FRACTION * (1.0 - MAX_UNDAMPED_NODES / f64::from(nodes.max(1))).max(0.0)
}

/// Returns the cost of a request in the limit's unit; `tokens` is its token count, if known.
#[must_use]
pub(crate) fn cost(unit: Unit, tokens: Option<u64>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { default_tokens } => num::to_f64(tokens.unwrap_or(default_tokens)),
    }
}

/// What a node has admitted of one team since its start.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct AdmittedTotal {
    /// The team's tag.
    pub team: u64,
    /// The total before the recent admissions.
    pub base: f64,
    pub total: f64,
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

#[derive(Clone, Debug)]
struct Bucket {
    team: u64,
    level: f64,
    refilled_at: TimeMs,
    /// Total cost that this node has admitted since its start.
    own_total: f64,
    /// Part of `own_total` that was reported to the team's collector.
    reported_total: f64,
    /// The total before the admissions of the present and the previous retention period.
    base_total: f64,
    /// The total at the start of the present retention period, and that time.
    period_total: f64,
    period_at: TimeMs,
    /// Time of this node's last admission.
    admitted_at: TimeMs,
    /// Accumulated admission fraction while the bucket is damped; 1.0 admits one request.
    admission_credit: f64,
    /// Totals by incarnation that this node last relayed as the team's collector.
    relayed_totals: Vec<(u64, AdmittedTotal)>,
    /// Sorted by the peer's incarnation.
    peers: Vec<PeerUsage>,
}

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    /// See [`AdmittedTotal::base`].
    base: f64,
    total: f64,
    reported_at: TimeMs,
    rate_per_ms: f64,
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

    /// Returns what this node has admitted of each team with recent admissions, for its peers.
    pub fn recent_totals(&self, now: TimeMs) -> Vec<AdmittedTotal> {
        (self.buckets.iter())
            .filter(|bucket| bucket.own_total != 0.0)
            .filter(|bucket| now.since(bucket.admitted_at) < REPORT_RETENTION_MS)
            .map(Bucket::own_admitted)
            .collect()
    }

    /// Returns the totals, by incarnation, that a team's collector has to relay to all nodes.
    ///
    /// These are the totals that changed since the last call; none while the team is far from its
    /// limit or spends slowly, where a delay of reports does no harm.
    pub fn take_changed_totals(
        &mut self,
        team: &Team,
        own: u64,
        now: TimeMs,
    ) -> Vec<(u64, AdmittedTotal)> {
        let tolerance = self.tolerance(team);
        let Some((bucket, parameters)) = self.refilled(team, now) else {
            return Vec::new();
        };
        let is_far = bucket.level > parameters.capacity * NEAR_LIMIT_FRACTION;
        let unreported = bucket.peer_rate_per_ms() * GROUP_REPORT_DELAY_MS;
        if is_far || unreported < tolerance * UNREPORTED_TOLERANCE_FRACTION {
            return Vec::new();
        }
        let peers = bucket.peers.iter().map(|peer| {
            let admitted = AdmittedTotal {
                team: bucket.team,
                base: peer.base,
                total: peer.total,
            };
            (peer.incarnation, admitted)
        });
        let mut all: Vec<(u64, AdmittedTotal)> =
            peers.chain([(own, bucket.own_admitted())]).collect();
        all.sort_unstable_by_key(|(incarnation, _admitted)| *incarnation);
        let relayed = std::mem::take(&mut bucket.relayed_totals);
        let is_changed = |(incarnation, admitted): &&(u64, AdmittedTotal)| {
            let found = relayed.binary_search_by_key(incarnation, |(peer, _admitted)| *peer);
            found.is_ok_and(|index| relayed[index].1 != *admitted) || found.is_err()
        };
        let changed = all.iter().filter(is_changed).copied().collect();
        bucket.relayed_totals = all;
        changed
    }

    /// Returns this node's total for the team's collector if it grew since the last call.
    pub fn take_unreported_total(&mut self, team: &Team, now: TimeMs) -> Option<AdmittedTotal> {
        team.rate_per_s?;
        let bucket = self.bucket(team, now);
        let is_new = bucket.own_total > bucket.reported_total;
        bucket.reported_total = bucket.own_total;
        is_new.then(|| bucket.own_admitted())
    }

    /// Returns the tags of the teams that have used the service since this node started.
    pub fn active_teams(&self) -> impl Iterator<Item = u64> {
        self.buckets.iter().map(|bucket| bucket.team)
    }

    /// Returns the operators' tolerance for a team, in units of the limit.
    fn tolerance(&self, team: &Team) -> f64 {
        let window = self.window.zip(team.rate_per_s);
        window.map_or(0.0, |(window, rate_per_s)| {
            window.tolerance(rate_per_s, team.burst)
        })
    }

    /// Records that a peer was heard; returns whether it had been heard before.
    pub fn record_contact(&mut self, incarnation: u64, now: TimeMs) -> bool {
        let found = (self.heard).binary_search_by_key(&incarnation, |(heard, _at)| *heard);
        match found {
            Ok(place) => self.heard[place].1 = now,
            Err(place) => self.heard.insert(place, (incarnation, now)),
        }
        found.is_ok()
    }

    /// Deducts what a peer has admitted since its last report.
    ///
    /// `totals` count from the peer's start; `teams` are the teams of the catalog.
    pub fn record_peer(
        &mut self,
        incarnation: u64,
        totals: &[AdmittedTotal],
        teams: &[Team],
        now: TimeMs,
    ) {
        let was_heard = self.record_contact(incarnation, now);
        for admitted in totals {
            let Some(team) = teams.iter().find(|team| team.tag == admitted.team) else {
                continue;
            };
            // Refills the bucket before the peer's total is deducted: a full bucket discards what
            // it gains before the report. A refill after the deduction, over the whole time since
            // the last request, would restore what peers have just used.
            if let Some((bucket, _parameters)) = self.refilled(team, now) {
                bucket.deduct_peer_total(incarnation, admitted, was_heard, now);
            }
        }
    }

    /// Removes peers without a report within `forget_ms`.
    pub fn forget_peers(&mut self, forget_ms: u64, now: TimeMs) {
        self.heard
            .retain(|(_incarnation, at)| now.since(*at) < forget_ms);
        for bucket in &mut self.buckets {
            bucket
                .peers
                .retain(|peer| now.since(peer.reported_at) < forget_ms);
        }
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
        let place = found.unwrap_or_else(|place| {
            let filled_s = num::to_f64(now.since(self.started_at)) / 1_000.0;
            let level = self.parameters(team).map_or(0.0, |parameters| {
                (parameters.rate_per_s * filled_s).min(parameters.capacity)
            });
            let bucket = Bucket {
                team: team.tag,
                level,
                refilled_at: now,
                own_total: 0.0,
                reported_total: 0.0,
                base_total: 0.0,
                period_total: 0.0,
                period_at: TimeMs(0),
                admitted_at: TimeMs(0),
                admission_credit: 0.0,
                relayed_totals: Vec::new(),
                peers: Vec::new(),
            };
            self.buckets.insert(place, bucket);
            place
        });
        &mut self.buckets[place]
    }
}

impl Bucket {
    /// Whether this request is one of the given fraction of requests to admit.
    fn admits_fraction(&mut self, part: f64) -> bool {
        if part >= 1.0 {
            return true;
        }
        self.admission_credit += part;
        let is_admitted = self.admission_credit >= 1.0;
        if is_admitted {
            self.admission_credit -= 1.0;
        }
        is_admitted
    }

    /// Deducts what this node admits.
    fn deduct_own(&mut self, cost: f64, now: TimeMs) {
        let period_ms = now.since(self.period_at);
        if period_ms >= REPORT_RETENTION_MS {
            let is_old = period_ms >= REPORT_RETENTION_MS * 2;
            self.base_total = if is_old {
                self.own_total
            } else {
                self.period_total
            };
            self.period_total = self.own_total;
            self.period_at = now;
        }
        self.level -= cost;
        self.own_total += cost;
        self.admitted_at = now;
    }

    fn refill(&mut self, rate_per_s: f64, capacity: f64, now: TimeMs) {
        let gained = rate_per_s * num::to_f64(now.since(self.refilled_at)) / 1_000.0;
        self.level = (self.level + gained).min(capacity);
        self.refilled_at = now;
    }

    fn own_admitted(&self) -> AdmittedTotal {
        AdmittedTotal {
            team: self.team,
            base: self.base_total,
            total: self.own_total,
        }
    }

    /// Returns the rate at which the peers admit, as of their last reports.
    fn peer_rate_per_ms(&self) -> f64 {
        self.peers.iter().map(|peer| peer.rate_per_ms).sum()
    }

    /// Returns the estimated cost that peers have admitted since their last reports.
    fn extrapolated_usage(&self, now: TimeMs) -> f64 {
        let parts = self.peers.iter().map(|peer| {
            let silent_ms = now.since(peer.reported_at).min(MAX_EXTRAPOLATION_MS);
            peer.rate_per_ms * num::to_f64(silent_ms)
        });
        parts.sum()
    }

    fn deduct_peer_total(
        &mut self,
        incarnation: u64,
        admitted: &AdmittedTotal,
        was_heard: bool,
        now: TimeMs,
    ) {
        let total = admitted.total;
        let found = self
            .peers
            .binary_search_by_key(&incarnation, |peer| peer.incarnation);
        match found {
            Ok(place) => {
                let peer = &mut self.peers[place];
                // A late, older report adds nothing.
                let gained = (total - peer.total).max(0.0);
                let passed_ms = num::to_f64(now.since(peer.reported_at).max(1));
                let weight = (passed_ms / RATE_AVERAGING_MS).min(1.0);
                peer.rate_per_ms += weight * (gained / passed_ms - peer.rate_per_ms);
                peer.total += gained;
                peer.base = peer.base.max(admitted.base);
                peer.reported_at = now;
                self.level -= gained;
            }
            Err(place) => {
                let peer = PeerUsage {
                    incarnation,
                    base: admitted.base,
                    total,
                    reported_at: now,
                    rate_per_ms: 0.0,
                };
                self.peers.insert(place, peer);
                // A new peer's total may predate the contact with it and is ignored. Of a known peer
                // that had not reported the team lately, only the recent part is certain to be new.
                if was_heard {
                    self.level -= total - admitted.base;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
