//! This node's part of a pool's capacity, and the waits and queues that it allows.

use super::{AdmissionState, MIN_INTERACTIVE_PRIORITY, ceil_to_u64};
use crate::limits::shares::{ShareClaim, max_min_split};
use crate::limits::team::{MIN_TEAM_SLOTS, Team};
use crate::time::TimeMs;

impl AdmissionState {
    /// Recomputes this node's part of the capacity from its own demand and the peers' reports.
    pub(super) fn recompute_shares(&mut self, now: TimeMs) {
        self.peers.remove_expired(now);
        for team in &mut self.teams {
            team.update_demand(now);
        }
        let claims = self.teams.iter().map(|team| ShareClaim {
            weight: team.limit.weight,
            demand: team.demand + self.peer_demand(team),
        });
        let fleet = max_min_split(self.capacity_slots, &claims.collect::<Vec<_>>());
        let unclaimed = self.capacity_slots - fleet.shares.iter().sum::<f64>();
        self.own_slots = unclaimed.max(0.0) / self.node_count();
        for (index, share) in fleet.shares.iter().enumerate() {
            let team = &self.teams[index];
            let node_slots = self.node_share(team, *share, team.demand);
            let upper_bound = share.max(team.limit.weight * fleet.level);
            let entitled = self.node_share(team, upper_bound, f64::INFINITY);
            self.own_slots += node_slots;
            self.teams[index].share_slots = node_slots;
            self.teams[index].entitled_slots = entitled.max(MIN_TEAM_SLOTS);
        }
    }

    /// Returns this node's part of a team's share if it can use `own_demand` slots.
    ///
    /// Nodes divide the share by max-min fairness with equal weight per node, as teams divide the
    /// capacity: a node that receives little of the team's work gets what it needs, and the others
    /// get the rest. A division by demand would let the node with the longest queue starve the
    /// others.
    fn node_share(&self, team: &Team, share: f64, own_demand: f64) -> f64 {
        let own = ShareClaim {
            weight: 1.0,
            demand: own_demand,
        };
        let peers = self.peers.iter().map(|report| ShareClaim {
            weight: f64::from(report.nodes),
            demand: report.demand(team.limit.tag, self.pool),
        });
        let claims: Vec<_> = std::iter::once(own).chain(peers).collect();
        max_min_split(share, &claims).shares[0]
    }

    fn peer_demand(&self, team: &Team) -> f64 {
        let reports = self.peers.iter();
        reports
            .map(|report| report.demand(team.limit.tag, self.pool))
            .sum()
    }

    fn node_count(&self) -> f64 {
        let peers = self.peers.iter().map(|report| f64::from(report.nodes));
        1.0 + peers.sum::<f64>()
    }

    /// Returns the expected wait of a new request if its team gets exactly its full share.
    pub(super) fn expected_wait_ms(&self, index: usize, priority: u8) -> f64 {
        let team = &self.teams[index];
        // Later interactive requests overtake waiting batch requests; the number of running
        // interactive requests is the estimate of how many will come.
        let available_slots = if priority < MIN_INTERACTIVE_PRIORITY {
            (team.entitled_slots - f64::from(team.running_interactive)).max(MIN_TEAM_SLOTS)
        } else {
            team.entitled_slots
        };
        let ahead_count = f64::from(team.queue.ahead_of(priority)) + 1.0;
        let above_entitlement = (f64::from(team.running) - team.entitled_slots).max(0.0);
        (ahead_count + above_entitlement) * team.mean_hold_ms / available_slots
    }

    pub(super) fn max_waiting(&self, index: usize) -> u32 {
        let team = &self.teams[index];
        let own = team.demand + 1.0;
        let node_fraction = own / (own + self.peer_demand(team));
        let limit = (f64::from(team.limit.max_waiting) * node_fraction).ceil();
        u32::try_from(ceil_to_u64(limit)).unwrap_or(u32::MAX)
    }
}
