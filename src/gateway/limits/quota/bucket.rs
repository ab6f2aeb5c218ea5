//! One team's bucket on one node: its level, this node's total and the totals of its peers.

use super::AdmittedTotal;
use crate::gateway::num;
use crate::time::TimeMs;

/// Time constant for averaging a peer's admission rate; it spans several reports.
const RATE_AVERAGING_MS: f64 = 400.0;

/// Longest time for which a silent peer's usage is extrapolated from its rate.
///
/// This is about the propagation delay of a report within a group.
const MAX_EXTRAPOLATION_MS: u64 = 150;

/// Time for which a node repeats the total of a team after its last admission, for peers that missed
/// a report.
const REPORT_RETENTION_MS: u64 = 2_000;

/// A team's bucket.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// The team's tag.
    pub team: u64,
    /// What may be spent, in units of the limit; negative if the bucket was overdrawn.
    pub level: f64,
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

/// What one peer has admitted of the team.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    /// See [`AdmittedTotal::base`].
    base: f64,
    total: f64,
    reported_at: TimeMs,
    rate_per_ms: f64,
}

impl Bucket {
    /// Creates a bucket with this level and no admissions.
    pub fn new(team: u64, level: f64, now: TimeMs) -> Self {
        Self {
            team,
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
        }
    }

    /// Counts one request; whether it belongs to the fraction of requests that are admitted.
    pub fn admits_fraction(&mut self, fraction: f64) -> bool {
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
        self.own_total += cost;
        self.admitted_at = now;
    }

    /// Adds what the rate gives since the last refill.
    pub fn refill(&mut self, rate_per_s: f64, capacity: f64, now: TimeMs) {
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
    pub fn peer_rate_per_ms(&self) -> f64 {
        self.peers.iter().map(|peer| peer.rate_per_ms).sum()
    }

    /// Returns the estimated cost that peers have admitted since their last reports.
    pub fn extrapolated_usage(&self, now: TimeMs) -> f64 {
        let parts = self.peers.iter().map(|peer| {
            let silent_ms = now.since(peer.reported_at).min(MAX_EXTRAPOLATION_MS);
            peer.rate_per_ms * num::to_f64(silent_ms)
        });
        parts.sum()
    }

    /// Deducts what a peer has admitted since its last report; `was_heard` states whether the peer was known before.
    pub fn deduct_peer_total(
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
            Ok(index) => {
                let peer = &mut self.peers[index];
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
            Err(index) => {
                let peer = PeerUsage {
                    incarnation,
                    base: admitted.base,
                    total,
                    reported_at: now,
                    rate_per_ms: 0.0,
                };
                self.peers.insert(index, peer);
                // A new peer's total may predate the contact with it and is ignored. Of a known peer
                // that had not reported the team lately, only the recent part is certain to be new.
                if was_heard {
                    self.level -= total - admitted.base;
                }
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
            };
            (peer.incarnation, admitted)
        });
        let mut all: Vec<(u64, AdmittedTotal)> =
            peers.chain([(own, self.own_admitted())]).collect();
        all.sort_unstable_by_key(|(incarnation, _admitted)| *incarnation);
        let relayed = std::mem::take(&mut self.relayed_totals);
        let is_changed = |(incarnation, admitted): &&(u64, AdmittedTotal)| {
            let found = relayed.binary_search_by_key(incarnation, |(peer, _admitted)| *peer);
            found.is_ok_and(|index| relayed[index].1 != *admitted) || found.is_err()
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
