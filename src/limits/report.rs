//! Demand reports that nodes exchange about teams.

use bincode::{Decode, Encode};

use crate::keys::{DomainKey, Incarnation, PoolKey};
use crate::time::TimeMs;

/// A node is considered gone when its last report is this old; its part moves to the others.
const REPORT_EXPIRY_MS: u64 = 5_000;

/// Identifies a team by the hash of its name.
///
/// Team indices differ between nodes that use different revisions of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TeamTag(pub u32);

impl TeamTag {
    /// Returns the tag of the team with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = twox_hash::XxHash3_64::oneshot(name.as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// Demand of one team on one pool, at one node or summed over several.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamTag,
    /// The pool.
    pub pool: PoolKey,
    /// Slots that the team holds.
    pub running: f32,
    /// Slots that the team could use: those that it holds and those for waiting and refused
    /// requests.
    pub demand: f32,
}

/// Demand at one node, or summed over the nodes of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DemandReport {
    /// Number of nodes that the report covers.
    pub nodes: u16,
    /// Demand by team and pool, sorted; teams without demand are omitted.
    pub teams: Vec<TeamDemand>,
}

impl DemandReport {
    /// Sums the reports of several nodes, for nodes in other failure domains.
    ///
    /// If every node sent its report to every other, the traffic would grow with the square of the
    /// fleet; one sum per failure domain keeps it within the bandwidth for control traffic.
    #[must_use]
    pub fn sum<'a>(reports: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        for report in reports {
            sum.nodes = sum.nodes.saturating_add(report.nodes);
            for entry in &report.teams {
                sum.add(*entry);
            }
        }
        sum
    }

    /// Adds the demand of one team on one pool.
    pub fn add(&mut self, entry: TeamDemand) {
        let key = (entry.team, entry.pool);
        match self
            .teams
            .binary_search_by_key(&key, |existing| (existing.team, existing.pool))
        {
            Ok(index) => {
                let existing = &mut self.teams[index];
                existing.running += entry.running;
                existing.demand += entry.demand;
            }
            Err(index) => self.teams.insert(index, entry),
        }
    }

    /// Returns the demand of a team on a pool.
    #[must_use]
    pub fn demand(&self, team: TeamTag, pool: PoolKey) -> f64 {
        let found = self
            .teams
            .binary_search_by_key(&(team, pool), |existing| (existing.team, existing.pool));
        found.map_or(0.0, |index| f64::from(self.teams[index].demand))
    }
}

/// The nodes that a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportSource {
    /// Another node of this node's own failure domain.
    Node(Incarnation),
    /// All nodes of another failure domain, whichever node sent the sum.
    Domain(DomainKey),
}

/// The newest report of each other node or failure domain.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    // Sorted by source.
    reports: Vec<(ReportSource, TimeMs, DemandReport)>,
}

impl PeerReports {
    /// Stores a report in place of the previous one from the same source.
    pub fn put(&mut self, from: ReportSource, report: DemandReport, now: TimeMs) {
        match self
            .reports
            .binary_search_by_key(&from, |existing| existing.0)
        {
            Ok(index) => self.reports[index] = (from, now, report),
            Err(index) => self.reports.insert(index, (from, now, report)),
        }
        self.remove_expired(now);
    }

    /// Removes the report of a node that has left.
    pub fn remove(&mut self, from: ReportSource) {
        self.reports.retain(|existing| existing.0 != from);
    }

    /// Removes the reports older than `REPORT_EXPIRY_MS`.
    pub fn remove_expired(&mut self, now: TimeMs) {
        self.reports
            .retain(|existing| now.since(existing.1) < REPORT_EXPIRY_MS);
    }

    /// Returns the stored reports.
    pub fn iter(&self) -> impl Iterator<Item = &DemandReport> {
        self.reports.iter().map(|existing| &existing.2)
    }
}

#[cfg(test)]
mod tests;
