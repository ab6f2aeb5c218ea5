//! Exchanges placement reports: draining hosts and refused starts.

use std::sync::Arc;

use super::placement_state::REPORT_TTL_MS;
use crate::node::Node;
use crate::node::collect_hosts::forward_notices;
use crate::node::messages::{HostNotice, PlacementReport, Request};
use crate::requests::dependencies::Peers;

impl Node {
    /// Applies a failure domain's report, unless it is from an earlier holder of its lease.
    pub(in crate::node) fn apply_placement_report(&self, report: &PlacementReport) {
        let now = self.core.clock.now();
        let Some(ended) = self.placement.lock().apply(report, now) else {
            return;
        };
        let upstreams = &self.core.blackboard.upstreams;
        for host in ended {
            upstreams.with(host, |row| row.draining_until_ms = None);
        }
        for (host, _) in &report.draining {
            let until_ms = now.after(REPORT_TTL_MS);
            upstreams.with(*host, |row| row.draining_until_ms = Some(until_ms));
        }
    }

    /// Announces to this node and all others that a host is about to be terminated.
    pub(in crate::node) fn announce_departure(self: &Arc<Self>, notice: HostNotice) {
        let new = self.apply_notices(&[notice]);
        forward_notices(self, &new);
    }

    /// Applies a report on this node and sends it to all others.
    pub(in crate::node) fn broadcast_placement_report(self: &Arc<Self>, report: &PlacementReport) {
        self.apply_placement_report(report);
        for member in self.directory.others() {
            let (node, report) = (Arc::clone(self), report.clone());
            tokio::spawn(async move {
                // A lost report is repeated in the next round.
                let sent = node
                    .core
                    .peers
                    .call(member.incarnation, Request::Placement(report));
                drop(sent.await);
            });
        }
    }
}
