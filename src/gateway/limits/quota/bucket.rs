//! One team's bucket on one node: its level, this node's total and the totals of its peers.

use super::allotment::Allotment;
use super::parameters::BucketParameters;
use super::pause::Missed;
use super::rate::{AverageRate, IDLE_AFTER_MS};
use super::rounds::next_round;
use super::{AdmittedTotal, FleetVisibility};
use crate::gateway::num;
use crate::time::TimeMs;

/// Fraction of the capacity below which only a fraction of the requests may borrow.
///
/// All nodes see one remainder; the fraction falls with it, so that they approach zero gradually.
const DAMPING_FRACTION: f64 = 0.65;

/// Fraction of the burst that small requests may borrow beyond the bucket.
///
/// Otherwise the large requests of a team that exceeds its limit would leave nothing for small ones,
/// dozens of which fit into the place of one.
const SMALL_OVERDRAFT_FRACTION: f64 = 0.25;

/// Time for which a node repeats the total of a team after its last admission, for peers that missed
/// a report.
pub(super) const REPORT_RETENTION_MS: u64 = 2_000;

/// Time for which a refunded cost may be spent again without being reported again.
const PREPAID_MS: u64 = 1_000;

/// A team's bucket.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// The team's tag.
    pub team: u64,
    /// What may be spent, in units of the limit; negative if the bucket was overdrawn.
    pub level: f64,
    pub refilled_at: TimeMs,
    /// Total cost that this node has admitted since its start.
    own_total: f64,
    /// Part of `own_total` that was refunded and is not spent again yet.
    prepaid: f64,
    /// When the oldest of it was refunded.
    prepaid_at: TimeMs,
    /// Part of `own_total` that was reported to the team's collector.
    reported_total: f64,
    /// The total before the admissions of the present and the previous retention period.
    base_total: f64,
    /// The total at the start of the present retention period, and that time.
    period_total: f64,
    period_at: TimeMs,
    /// Time of this node's last admission.
    admitted_at: TimeMs,
    /// Accumulated fraction of requests that may borrow; 1.0 admits one request.
    admission_credit: f64,
    /// Totals by incarnation that this node last relayed as the team's collector.
    relayed_totals: Vec<(u64, AdmittedTotal)>,
    /// This node's round of reports.
    round: u32,
    /// Whether each request could borrow, by the level, when this round began.
    was_level_high: bool,
    /// What this node may spend of the level before its peers hear of it.
    pub allotment: Allotment,
    /// What the last pause of this node gave the team and this copy lacks.
    pub missed: Missed,
    /// The end of the last pause that this copy knows.
    pub thawed_at: Option<TimeMs>,
    /// Sorted by the peer's incarnation.
    peers: Vec<PeerUsage>,
}

/// What one peer has admitted of the team.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    /// See [`AdmittedTotal::base`].
    base: f64,
    total: f64,
    /// The latest round of reports in which the peer was.
    round: u32,
    reported_at: TimeMs,
    rate: AverageRate,
}

impl Bucket {
    /// Creates a bucket with this level and no admissions; `seed` differs between nodes.
    pub fn new(team: u64, level: f64, seed: u64, visibility: FleetVisibility, now: TimeMs) -> Self {
        Self {
            team,
            level,
            refilled_at: now,
            own_total: 0.0,
            prepaid: 0.0,
            prepaid_at: now,
            reported_total: 0.0,
            base_total: 0.0,
            period_total: 0.0,
            period_at: TimeMs(0),
            admitted_at: TimeMs(0),
            admission_credit: 0.0,
            relayed_totals: Vec::new(),
            round: 0,
            was_level_high: false,
            allotment: Allotment::new(seed, level, visibility, now),
            missed: Missed::default(),
            thawed_at: None,
            peers: Vec::new(),
        }
    }

    /// Counts one request; whether it belongs to the fraction of requests that are admitted.
    fn admits_fraction(&mut self, fraction: f64) -> bool {
        if fraction >= 1.0 {
            return true;
        }
        self.admission_credit += fraction;
        let is_admitted = self.admission_credit >= 1.0;
        if is_admitted {
            self.admission_credit -= 1.0;
        }
        is_admitted
    }

    /// Returns whether a request is within the team's limit; `burst` is the limit's.
    ///
    /// A node spends its own part of the limit. What its peers leave of theirs it may borrow, which fewer
    /// requests do the lower the level is, and small requests in any case.
    pub fn has_room(&mut self, cost: f64, burst: f64, parameters: &BucketParameters) -> bool {
        self.allotment.record_asked(cost);
        let level = self.level;
        let full_level = self.undamped_level(parameters);
        match self.allotment.is_small(cost) {
            _ if self.allotment.has_credit(level, parameters) => true,
            true => (self.allotment).may_borrow(level, burst * SMALL_OVERDRAFT_FRACTION),
            false if level > 0.0 && self.allotment.may_borrow(level, 0.0) => {
                self.admits_fraction(level / full_level.max(1.0))
            }
            false => false,
        }
    }

    /// Returns the level from which on each request may borrow.
    fn undamped_level(&self, parameters: &BucketParameters) -> f64 {
        parameters.capacity * self.allotment.peers_share() * DAMPING_FRACTION
    }

    /// Returns the time in ms until the bucket and this node's part of it have room for a request.
    pub fn wait_ms(&self, cost: f64, parameters: &BucketParameters) -> f64 {
        let missing = (cost.min(parameters.capacity) - self.level).max(0.0);
        let fleet_ms = missing * 1_000.0 / parameters.rate_per_s.max(f64::MIN_POSITIVE);
        fleet_ms.max(self.allotment.wait_ms(parameters.rate_per_s))
    }

    /// Deducts what this node admits.
    pub fn deduct_own(&mut self, cost: f64, now: TimeMs) {
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
        self.allotment.deduct(cost);
        let reused = cost.min(self.prepaid(now));
        self.prepaid = self.prepaid(now) - reused;
        self.own_total += cost - reused;
        self.admitted_at = now;
    }

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, cost: f64, now: TimeMs) {
        self.level += cost;
        self.allotment.refund(cost);
        // Totals grow monotonically, so that a late, older report can be recognised: peers keep counting
        // this request, and the next ones do not count as far as it covers them.
        let before = self.prepaid(now);
        if before <= 0.0 {
            self.prepaid_at = now;
        }
        self.prepaid = before + cost;
    }

    /// Returns what was refunded of the total and may be spent again without a growth of it.
    ///
    /// It ends, so that spending is not moved from one window of the limit to a later one.
    fn prepaid(&self, now: TimeMs) -> f64 {
        match now.since(self.prepaid_at) {
            age_ms if age_ms < PREPAID_MS => self.prepaid,
            _ => 0.0,
        }
    }

    /// Adds what the rate gives since the last refill; the rate is that of the nodes in contact.
    pub fn refill(
        &mut self,
        parameters: &BucketParameters,
        visibility: FleetVisibility,
        now: TimeMs,
    ) {
        let passed_ms = now.since(self.refilled_at);
        let gained = parameters.rate_per_s * num::to_f64(passed_ms) / 1_000.0;
        if self.allotment.is_update_due(visibility, now) {
            let rates = self.peers.iter().map(|peer| peer.rate);
            (self.allotment).update_share(rates, parameters.rate_per_s, visibility, now);
            self.enter_next_round(parameters, now);
        }
        (self.allotment).refill(self.level, parameters, passed_ms);
        self.level = (self.level + gained).min(parameters.capacity);
        // Callers read the clock before they wait for the bucket: `now` may be earlier than the last refill.
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Records the end of a pause, the refill of which this copy lacks.
    pub fn thaw(&mut self, missed: f64, ended_at: TimeMs) {
        self.missed = Missed::new(missed);
        self.thawed_at = Some(ended_at);
    }

    /// Deducts what a peer admitted.
    fn deduct_peer(&mut self, admitted: f64) {
        self.level -= admitted;
        self.missed.deduct(admitted);
    }

    /// Enters the next round of reports if the peers have reported the present one.
    fn enter_next_round(&mut self, parameters: &BucketParameters, now: TimeMs) {
        let is_recent = |peer: &&PeerUsage| now.since(peer.reported_at) < IDLE_AFTER_MS;
        let reporting = self.peers.iter().filter(is_recent);
        let rounds = reporting.map(|peer| peer.round).collect();
        let Some(round) = next_round(self.round, rounds) else {
            return;
        };
        let is_level_high = self.level > self.undamped_level(parameters);
        let is_within_limit = is_level_high && self.was_level_high;
        self.allotment.enter_round(self.level, is_within_limit);
        self.was_level_high = is_level_high;
        self.round = round;
    }

    fn own_admitted(&self) -> AdmittedTotal {
        AdmittedTotal {
            team: self.team,
            base: self.base_total,
            total: self.own_total,
            round: self.round,
        }
    }

    /// Returns the rate at which the peers admit, as of their last reports.
    pub fn peer_rate_per_ms(&self, now: TimeMs) -> f64 {
        let rates = (self.peers.iter()).map(|peer| peer.rate.recent_per_ms(now));
        rates.sum()
    }

    /// Deducts what a peer has admitted since its last report.
    ///
    /// `observed_fraction` is the part of the recent admissions, from 0 to 1, that this node counts in the first report of a
    /// peer.
    pub fn deduct_peer_total(
        &mut self,
        incarnation: u64,
        admitted: &AdmittedTotal,
        observed_fraction: f64,
        now: TimeMs,
    ) {
        let total = admitted.total;
        let found = self
            .peers
            .binary_search_by_key(&incarnation, |peer| peer.incarnation);
        match found {
            Ok(index) => {
                let peer = &mut self.peers[index];
                // A late, older report adds nothing.
                let gained = (total - peer.total).max(0.0);
                peer.rate.record(gained, now);
                peer.total += gained;
                peer.base = peer.base.max(admitted.base);
                peer.round = peer.round.max(admitted.round);
                peer.reported_at = now;
                self.deduct_peer(gained);
            }
            Err(index) => {
                let peer = PeerUsage {
                    incarnation,
                    base: admitted.base,
                    total,
                    round: admitted.round,
                    reported_at: now,
                    rate: AverageRate::new(now),
                };
                self.peers.insert(index, peer);
                // A new peer's total may predate the contact with it and is ignored. Of a known peer
                // that had not reported the team lately, only the recent part is certain to be new.
                self.deduct_peer((total - admitted.base).max(0.0) * observed_fraction);
            }
        }
    }

    /// Returns this node's total if it has admitted within the retention period.
    pub fn recent_total(&self, now: TimeMs) -> Option<AdmittedTotal> {
        let is_recent = self.own_total != 0.0 && now.since(self.admitted_at) < REPORT_RETENTION_MS;
        is_recent.then(|| self.own_admitted())
    }

    /// Returns this node's total if it grew since the last call.
    pub fn take_unreported_total(&mut self) -> Option<AdmittedTotal> {
        let is_new = self.own_total > self.reported_total;
        self.reported_total = self.own_total;
        is_new.then(|| self.own_admitted())
    }

    /// Returns the totals of all nodes, by incarnation, that changed since the last call; `own` is this node's.
    pub fn take_changed_totals(&mut self, own: u64) -> Vec<(u64, AdmittedTotal)> {
        let peers = self.peers.iter().map(|peer| {
            let admitted = AdmittedTotal {
                team: self.team,
                base: peer.base,
                total: peer.total,
                round: peer.round,
            };
            (peer.incarnation, admitted)
        });
        let mut all: Vec<(u64, AdmittedTotal)> =
            peers.chain([(own, self.own_admitted())]).collect();
        all.sort_unstable_by_key(|(incarnation, _admitted)| *incarnation);
        let relayed = std::mem::take(&mut self.relayed_totals);
        let is_changed = |(incarnation, admitted): &&(u64, AdmittedTotal)| {
            let found = relayed.binary_search_by_key(incarnation, |(peer, _admitted)| *peer);
            found.is_ok_and(|index| relayed[index].1.total.total_cmp(&admitted.total).is_ne())
                || found.is_err()
        };
        let changed = all.iter().filter(is_changed).copied().collect();
        self.relayed_totals = all;
        changed
    }

    /// Removes peers without a report within `forget_ms`.
    pub fn forget_peers(&mut self, forget_ms: u64, now: TimeMs) {
        (self.peers).retain(|peer| now.since(peer.reported_at) < forget_ms);
    }
}
