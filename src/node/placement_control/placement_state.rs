//! Input for placement outside the blackboard: engine states and reports of lease holders.

use crate::keys::HostKey;
use crate::node::messages::PlacementReport;
use crate::time::TimeMs;
use crate::upstreams::{Loaded, Role};

/// How long a lease holder's drain of a host is valid without being repeated.
///
/// If a holder crashed, its drained hosts would stay idle while they are paid for. They accept
/// requests again when its report expires, before another node can hold the lease.
pub const REPORT_TTL_MS: u64 = 8_000;

/// How long refused starts in a failure domain are kept after its last report.
const REFUSALS_TTL_MS: u64 = 900_000;

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// Loaded models.
    pub models: Vec<Loaded>,
    /// Models that the engine is loading.
    pub loading: Vec<Loaded>,
    /// The engine's role.
    pub role: Role,
}

/// Poll results of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// The host.
    pub host: HostKey,
    /// State in its last successful response, if it is an engine.
    pub reported: Option<ReportedState>,
    /// When the current sequence of failed polls began.
    pub failing_since_ms: Option<TimeMs>,
}

/// Upstream states and placement reports known to this node.
#[derive(Debug, Default)]
pub struct PlacementState {
    /// Sorted by host.
    upstreams: Vec<UpstreamState>,
    /// Sorted by failure domain, with the time of receipt.
    reports: Vec<(PlacementReport, TimeMs)>,
    listed_revision: Option<u64>,
}

impl PlacementState {
    /// Records the result of a poll; `None` if the upstream did not answer.
    pub fn record_poll(&mut self, host: HostKey, answer: Option<ReportedState>, now: TimeMs) {
        let index = match self.upstreams.binary_search_by_key(&host, |row| row.host) {
            Ok(index) => index,
            Err(index) => {
                let new = UpstreamState {
                    host,
                    reported: None,
                    failing_since_ms: None,
                };
                self.upstreams.insert(index, new);
                index
            }
        };
        let row = &mut self.upstreams[index];
        match answer {
            Some(reported) => (row.reported, row.failing_since_ms) = (Some(reported), None),
            None => row.failing_since_ms = row.failing_since_ms.or(Some(now)),
        }
    }

    /// Records that the host table matches the host list under this revision of the document.
    pub fn record_host_list(&mut self, revision: u64) {
        self.listed_revision = Some(revision);
    }

    /// Returns the revision under which the host table was last updated.
    #[must_use]
    pub fn listed_revision(&self) -> Option<u64> {
        self.listed_revision
    }

    /// Returns an upstream's poll results; `None` before the first poll.
    #[must_use]
    pub fn upstream(&self, host: HostKey) -> Option<&UpstreamState> {
        let found = self.upstreams.binary_search_by_key(&host, |row| row.host);
        found.ok().map(|index| &self.upstreams[index])
    }

    /// Removes upstreams that are not in `hosts`, which must be sorted.
    pub fn retain(&mut self, hosts: &[HostKey]) {
        self.upstreams
            .retain(|row| hosts.binary_search(&row.host).is_ok());
    }

    /// Applies a holder's report; returns the hosts whose drain has ended.
    ///
    /// Returns `None` for a report of an earlier holder. A holder that was paused may send a
    /// decision that it made before. Without the comparison of fencing tokens its report would
    /// replace its successor's, and drained hosts would get requests while they are given back.
    pub fn apply(&mut self, report: &PlacementReport, now: TimeMs) -> Option<Vec<HostKey>> {
        let found = self
            .reports
            .binary_search_by(|(known, _)| known.domain.cmp(&report.domain));
        let index = match found {
            Ok(index) if self.reports[index].0.fencing > report.fencing => return None,
            Ok(index) => index,
            Err(index) => {
                let none = PlacementReport {
                    domain: report.domain.clone(),
                    fencing: 0,
                    draining: Vec::new(),
                    refusals: Vec::new(),
                };
                self.reports.insert(index, (none, now));
                index
            }
        };
        let before = std::mem::replace(&mut self.reports[index], (report.clone(), now)).0;
        let is_still_draining =
            |host: &HostKey| report.draining.iter().any(|(drained, _)| drained == host);
        let hosts = before.draining.into_iter().map(|(host, _)| host);
        Some(hosts.filter(|host| !is_still_draining(host)).collect())
    }

    /// Returns when the drain of a host began, if it is draining.
    #[must_use]
    pub fn draining_since(&self, host: HostKey, now: TimeMs) -> Option<TimeMs> {
        let fresh = self.reports.iter();
        let mut fresh = fresh.filter(|(_, received_ms)| now.since(*received_ms) < REPORT_TTL_MS);
        fresh.find_map(|(report, _)| {
            let found = report.draining.iter().find(|(drained, _)| *drained == host);
            found.map(|(_, since_ms)| *since_ms)
        })
    }

    /// Returns the reports of all failure domains whose refused starts have not expired.
    pub fn refusals(&self, now: TimeMs) -> impl Iterator<Item = &PlacementReport> {
        let known = self.reports.iter();
        known
            .filter(move |(_, received_ms)| now.since(*received_ms) < REFUSALS_TTL_MS)
            .map(|(report, _)| report)
    }
}

#[cfg(test)]
mod tests;
