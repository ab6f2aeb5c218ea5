//! Collects what the speaker of a group reports to the other groups, and what a node passes on to
//! its own group.

use std::net::SocketAddr;

use super::messages::{GroupReport, Status};
use super::peers::Peers;
use super::store_contact::StoreAvailability;
use crate::time::TimeMs;

/// Interval between two reports on a group, and between two deliveries of others' reports.
pub(crate) const REPORT_INTERVAL_MS: u64 = 200;

/// Interval between two reports that list all live nodes of the group.
pub(crate) const ALIVE_INTERVAL_MS: u64 = 800;

/// Time after which an unchanged status is reported again, for recipients that missed it.
const STATUS_REPEAT_MS: u64 = 3_000;

/// Time without a heartbeat after which a node of the group is reported silent.
const SILENT_MS: u64 = 1_000;

/// Time for which a silent node is reported; by then each recipient has removed it from its list of
/// live nodes.
const SILENT_REPORT_MS: u64 = 4_000;

/// Bound on the reports kept for one delivery: two of each group of a fleet of some thousands.
const MAX_PENDING_REPORTS: usize = 256;

/// The statuses that a node has heard in its group, and reports of other groups to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// Sorted by incarnation.
    heard: Vec<HeardStatus>,
    pending: Vec<GroupReport>,
    listed_alive_at: TimeMs,
}

#[derive(Clone, Debug)]
struct HeardStatus {
    status: Status,
    heard_at: TimeMs,
    /// Whether the status has changed since it was last reported.
    is_changed: bool,
    reported_at: TimeMs,
}

/// What a node sends at the end of a report interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Deliveries {
    /// Reports of other groups for the nodes of this group.
    pub to_group: Vec<GroupReport>,
    /// The report on this group and its recipients, one in each other group.
    pub to_carriers: Option<(GroupReport, Vec<SocketAddr>)>,
}

/// Returns what a node has to pass on and, if it is the speaker of its group, to report.
#[must_use]
pub(crate) fn deliveries(
    relay: &mut Relay,
    peers: &mut Peers,
    own_reach: StoreAvailability,
    now: TimeMs,
) -> Deliveries {
    let to_group = relay.take_pending();
    let speaks = peers.group_count() > 1 && peers.is_speaker(own_reach, now);
    let report = speaks.then(|| relay.take_report(now));
    let report = report.filter(|report| *report != GroupReport::default());
    Deliveries {
        to_group,
        to_carriers: report.map(|report| (report, peers.carriers(now))),
    }
}

impl Relay {
    /// Records the status in a heartbeat of a node of this group, or of this node itself.
    pub fn record(&mut self, status: &Status, now: TimeMs) {
        let incarnation = status.incarnation;
        let found =
            (self.heard).binary_search_by_key(&incarnation, |heard| heard.status.incarnation);
        match found {
            Ok(index) => {
                let heard = &mut self.heard[index];
                if status.sequence > heard.status.sequence {
                    heard.is_changed |= status.is_changed_from(&heard.status);
                    heard.status = status.clone();
                }
                heard.heard_at = now;
            }
            Err(index) => self.heard.insert(
                index,
                HeardStatus {
                    status: status.clone(),
                    heard_at: now,
                    is_changed: true,
                    reported_at: TimeMs(0),
                },
            ),
        }
    }

    /// Returns the incarnations of the nodes heard in this group, silent ones included until their
    /// silence is no longer reported.
    pub fn heard_incarnations(&self) -> impl Iterator<Item = u64> {
        self.heard.iter().map(|heard| heard.status.incarnation)
    }

    /// Removes nodes that have been silent for too long to be reported.
    pub fn remove_silent(&mut self, now: TimeMs) {
        self.heard
            .retain(|heard| now.since(heard.heard_at) < SILENT_MS + SILENT_REPORT_MS);
    }

    /// Returns whether this node hears at least half of its group, itself included.
    ///
    /// A node that has just been resumed, or whose link is cut, hears nobody. If it reported the others
    /// silent, all groups would stop sending them callers.
    fn hears_half(&self, now: TimeMs) -> bool {
        let is_heard = |heard: &&HeardStatus| now.since(heard.heard_at) < SILENT_MS;
        self.heard.iter().filter(is_heard).count() * 2 >= self.heard.len()
    }

    /// Returns the report on this group to the others.
    pub fn take_report(&mut self, now: TimeMs) -> GroupReport {
        let lists_alive = now.since(self.listed_alive_at) >= ALIVE_INTERVAL_MS;
        let hears_half = self.hears_half(now);
        let mut report = GroupReport::default();
        for heard in &mut self.heard {
            let incarnation = heard.status.incarnation;
            let silent_ms = now.since(heard.heard_at);
            if silent_ms >= SILENT_MS {
                report.silent.extend(hears_half.then_some(incarnation));
                continue;
            }
            if lists_alive {
                report.alive.push(incarnation);
            }
            if heard.is_changed || now.since(heard.reported_at) >= STATUS_REPEAT_MS {
                heard.is_changed = false;
                heard.reported_at = now;
                report.statuses.push(heard.status.clone().aged(silent_ms));
            }
        }
        if lists_alive {
            self.listed_alive_at = now;
        }
        report
    }

    /// Keeps a report of another group for the next delivery to this group.
    pub fn add_pending(&mut self, report: GroupReport) {
        if self.pending.len() < MAX_PENDING_REPORTS {
            self.pending.push(report);
        } else {
            log::warn!(pending = self.pending.len(); "dropped a report of another group: too many wait to be passed on");
        }
    }

    /// Returns the reports of other groups that are to be passed on to this group.
    pub fn take_pending(&mut self) -> Vec<GroupReport> {
        std::mem::take(&mut self.pending)
    }
}

#[cfg(test)]
mod tests;
