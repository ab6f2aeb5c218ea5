//! What nodes report to each other of upstreams: loads, stated limits and departures.

use super::{Load, Phase, Upstream, UpstreamTable};
use crate::gateway::limits::throttle::{Change as LimitChange, LimitReport, Sharers};
use crate::time::TimeMs;

impl UpstreamTable {
    /// Returns this node's own load by upstream tag, for its peers.
    pub fn own_loads(&self) -> Vec<(u64, Load)> {
        (self.iter())
            .filter(|(_key, upstream)| upstream.own_load.running > 0)
            .map(|(_key, upstream)| (upstream.tag, upstream.own_load))
            .collect()
    }

    /// Replaces the load that a peer reported before.
    ///
    /// Only upstreams in the old or new report of the peer are updated: some hundred heartbeats
    /// arrive per second, and there may be thousands of upstreams.
    pub fn set_peer_loads(&mut self, peer: u64, loads: &[(u64, Load)]) {
        let found = self
            .by_peer
            .binary_search_by_key(&peer, |(peer, _rows)| *peer);
        let before = match found {
            Ok(index) => std::mem::take(&mut self.by_peer[index].1),
            Err(_unknown) => Vec::new(),
        };
        for (key, load) in before {
            if let Some(upstream) = self.get_mut(key) {
                upstream.peer_load.running -= load.running;
                upstream.peer_load.unread_tokens -= load.unread_tokens;
            }
        }
        let mut rows = Vec::with_capacity(loads.len());
        for (tag, load) in loads {
            let Some(key) = self.find_tag(*tag) else {
                continue;
            };
            if let Some(upstream) = self.get_mut(key) {
                upstream.peer_load.running += load.running;
                upstream.peer_load.unread_tokens += load.unread_tokens;
                rows.push((key, *load));
            }
        }
        match found {
            Ok(index) if rows.is_empty() => drop(self.by_peer.remove(index)),
            Ok(index) => self.by_peer[index].1 = rows,
            Err(_index) if rows.is_empty() => {}
            Err(index) => self.by_peer.insert(index, (peer, rows)),
        }
    }

    /// Returns the limits that upstreams have stated to this node, for its peers.
    pub fn limit_reports(&self, now: TimeMs) -> Vec<LimitReport> {
        (self.iter())
            .filter_map(|(_key, upstream)| upstream.send_gate.throttle.report(upstream.tag, now))
            .collect()
    }

    /// Records a limit that an upstream stated to a peer; returns the change and the upstream, if
    /// any.
    pub fn apply_limit_report(
        &mut self,
        report: &LimitReport,
        now: TimeMs,
    ) -> Option<(&Upstream, LimitChange)> {
        let upstream = self.get_mut(self.find_tag(report.upstream)?)?;
        let change = upstream.send_gate.throttle.apply_report(report, now)?;
        Some((upstream, change))
    }

    /// Whether any upstream states a limit.
    pub fn has_stated_limits(&self) -> bool {
        self.iter()
            .any(|(_key, upstream)| upstream.send_gate.throttle.limit_per_s().is_some())
    }

    /// Computes this node's shares of the limits that upstreams state.
    pub fn update_limit_shares(&mut self, sharers: &Sharers, now: TimeMs) {
        let slots = self.arena.iter_mut();
        for upstream in slots.filter_map(|slot| slot.upstream.as_mut()) {
            upstream
                .send_gate
                .throttle
                .update_share(upstream.tag, sharers, now);
        }
    }

    /// Returns the tags of upstreams whose responses state that they leave while their
    /// announcements do not.
    pub fn leaving_unannounced(&self) -> Vec<u64> {
        (self.iter())
            .filter(|(_key, upstream)| !upstream.is_removed && upstream.send_gate.is_leaving())
            .filter(|(_key, upstream)| upstream.announcement.phase == Phase::Ready)
            .map(|(_key, upstream)| upstream.tag)
            .collect()
    }

    /// Records a peer's report that an upstream leaves; returns the upstream if that is new.
    ///
    /// A report on an upstream without an entry is kept: its announcement may have expired, or may
    /// not have been read yet.
    pub fn apply_leaving_report(&mut self, tag: u64, now: TimeMs) -> Option<&Upstream> {
        let Some(key) = self.find_tag(tag) else {
            self.departed.record_leaving(tag, now);
            return None;
        };
        let upstream = self.get_mut(key)?;
        upstream.send_gate.record_leaving().then_some(&*upstream)
    }
}
