//! What a node reports of its admissions to its peers, and how it counts what they report.

use bincode::{Decode, Encode};

use super::Quotas;
use super::bucket::REPORT_RETENTION_MS;
use crate::gateway::catalog::Team;
use crate::gateway::num;
use crate::time::TimeMs;

/// A team whose bucket level is at or below this fraction of its capacity is near its limit.
///
/// The bucket of a team that stays within its rate is full except for single requests.
const NEAR_LIMIT_FRACTION: f64 = 0.85;

/// Time until an admission is known to all groups by their reports.
const GROUP_REPORT_DELAY_MS: f64 = 1_000.0;

/// Fraction of the operators' tolerance that a team may spend until the groups' reports arrive. The
/// totals of a team that spends faster are collected and sent to all nodes.
const UNREPORTED_TOLERANCE_FRACTION: f64 = 0.2;

/// Longest time that the recent part of a total spans: the present and the previous retention period.
const RECENT_MS: u64 = REPORT_RETENTION_MS * 2;

/// What a node has admitted of one team since its start.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct AdmittedTotal {
    /// The team's tag.
    pub team: u64,
    /// The total before the recent admissions.
    pub base: f64,
    pub total: f64,
    /// The round of reports in which the sender is; see [`rounds`](super::rounds).
    pub round: u32,
}

impl Quotas {
    /// Returns what this node has admitted of each team with recent admissions, for its peers.
    pub fn recent_totals(&self, now: TimeMs) -> Vec<AdmittedTotal> {
        (self.buckets.iter())
            .filter_map(|bucket| bucket.recent_total(now))
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
        let unreported = bucket.peer_rate_per_ms(now) * GROUP_REPORT_DELAY_MS;
        if is_far || unreported < tolerance * UNREPORTED_TOLERANCE_FRACTION {
            return Vec::new();
        }
        bucket.take_changed_totals(own)
    }

    /// Returns this node's total for the team's collector if it grew since the last call.
    pub fn take_unreported_total(&mut self, team: &Team, now: TimeMs) -> Option<AdmittedTotal> {
        team.rate_per_s?;
        self.bucket(team, now).take_unreported_total()
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
            Ok(index) => self.heard[index].1 = now,
            Err(index) => self.heard.insert(index, (incarnation, now)),
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
        let observed_fraction = if was_heard {
            self.observed_fraction(now)
        } else {
            0.0
        };
        for admitted in totals {
            let Some(team) = teams.iter().find(|team| team.tag == admitted.team) else {
                continue;
            };
            // Refills the bucket before the peer's total is deducted: a full bucket discards what
            // it gains before the report. A refill after the deduction, over the whole time since
            // the last request, would restore what peers have just used.
            if let Some((bucket, _parameters)) = self.refilled(team, now) {
                bucket.deduct_peer_total(incarnation, admitted, observed_fraction, now);
            }
        }
    }

    /// Returns the part of its peers' recent admissions, from 0 to 1, that fell into this node's time.
    ///
    /// The bucket is empty at the start, as if all that was admitted before had been deducted.
    fn observed_fraction(&self, now: TimeMs) -> f64 {
        let age_ms = num::to_f64(now.since(self.started_at));
        (age_ms / num::to_f64(RECENT_MS)).min(1.0)
    }

    /// Removes peers without a report within `forget_ms`.
    pub fn forget_peers(&mut self, forget_ms: u64, now: TimeMs) {
        self.heard
            .retain(|(_incarnation, at)| now.since(*at) < forget_ms);
        for bucket in &mut self.buckets {
            bucket.forget_peers(forget_ms, now);
        }
    }
}
