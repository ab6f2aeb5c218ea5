//! What nodes tell each other about the demand of teams.

use bincode::{Decode, Encode};

use crate::keys::{DomainKey, Incarnation, PoolKey};
use crate::time::TimeMs;

/// A node that has not reported for so long is taken to be gone, and its part moves to the others.
const FORGET_AFTER_MS: u64 = 5_000;

/// A team, by the hash of its name.
///
/// Nodes that have different revisions of the document number their teams differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TeamTag(pub u32);

impl TeamTag {
    /// The tag of the team with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = twox_hash::XxHash3_64::oneshot(name.as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// The demand of one team on one pool at one node, or at several together.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct TeamUse {
    /// The team.
    pub team: TeamTag,
    /// The pool.
    pub pool: PoolKey,
    /// Slots that it holds.
    pub running: f32,
    /// Slots that it could use: those that it holds, and those for what waits or was refused.
    pub demand: f32,
}

/// The demand at one node, or at the nodes of one failure domain together.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ShareReport {
    /// Nodes that it covers.
    pub nodes: u16,
    /// Demand by team and pool, sorted; teams without any are left out.
    pub teams: Vec<TeamUse>,
}

impl ShareReport {
    /// The report of several nodes together, for nodes in other failure domains.
    ///
    /// With every node telling every other, the bytes grow with the square of the fleet; one sum
    /// for each failure domain keeps them within what control may use.
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

    /// Adds the demand of one team.
    pub fn add(&mut self, entry: TeamUse) {
        let key = (entry.team, entry.pool);
        match self
            .teams
            .binary_search_by_key(&key, |held| (held.team, held.pool))
        {
            Ok(index) => {
                let held = &mut self.teams[index];
                held.running += entry.running;
                held.demand += entry.demand;
            }
            Err(index) => self.teams.insert(index, entry),
        }
    }

    /// The demand of a team on a pool.
    #[must_use]
    pub fn demand(&self, team: TeamTag, pool: PoolKey) -> f64 {
        let found = self
            .teams
            .binary_search_by_key(&(team, pool), |held| (held.team, held.pool));
        found.map_or(0.0, |index| f64::from(self.teams[index].demand))
    }
}

/// Whom a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Another node of this node's own failure domain.
    Node(Incarnation),
    /// All nodes of another failure domain, whichever of them sent the sum.
    Domain(DomainKey),
}

/// The newest report of each other node or failure domain.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    // Sorted by source.
    reports: Vec<(Source, TimeMs, ShareReport)>,
}

impl PeerReports {
    /// Takes in a report.
    pub fn put(&mut self, from: Source, report: ShareReport, now: TimeMs) {
        match self.reports.binary_search_by_key(&from, |held| held.0) {
            Ok(index) => self.reports[index] = (from, now, report),
            Err(index) => self.reports.insert(index, (from, now, report)),
        }
        self.forget_old(now);
    }

    /// Forgets a node that has left.
    pub fn remove(&mut self, from: Source) {
        self.reports.retain(|held| held.0 != from);
    }

    /// Forgets nodes that have not reported for long.
    pub fn forget_old(&mut self, now: TimeMs) {
        self.reports
            .retain(|held| now.since(held.1) < FORGET_AFTER_MS);
    }

    /// The reports.
    pub fn iter(&self) -> impl Iterator<Item = &ShareReport> {
        self.reports.iter().map(|held| &held.2)
    }
}

#[cfg(test)]
mod tests;
