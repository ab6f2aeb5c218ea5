//! Whether a node reaches the upstreams of each pool, and what it tells its peers of that.

use super::Gateway;
use crate::gateway::messages::{Message, UnreachedPools};
use crate::gateway::reach::{Change as ReachChange, PoolReach};
use crate::gateway::upstreams::{UpstreamKey, tag};
use crate::time::TimeMs;

impl Gateway {
    /// Records that no connection to an upstream of a pool could be opened; returns the change that
    /// this makes to the pool's reach, if any.
    pub fn record_unreachable(
        &self,
        pool: &str,
        upstream: UpstreamKey,
        now: TimeMs,
    ) -> Option<ReachChange> {
        let known = self.upstreams.lock().accepting_count(pool, now);
        let change = {
            let mut reach = self.reach.lock();
            (reach.get_or_default(pool)).record_unreachable(upstream, known, now)
        };
        self.apply_reach_change(pool, change);
        change
    }

    /// Records that an upstream of a pool accepted a connection.
    pub fn record_connected(&self, pool: &str, now: TimeMs) {
        let change = {
            let mut reach = self.reach.lock();
            reach.get_or_default(pool).record_connected(now)
        };
        self.apply_reach_change(pool, change);
    }

    /// Notifies the peers that this node has lost or regained a pool, and drops what the loss of its
    /// link says of the pool's upstreams.
    fn apply_reach_change(&self, pool: &str, change: Option<ReachChange>) {
        match change {
            None | Some(ReachChange::Suspected) => return,
            Some(ReachChange::Lost) => {
                log::warn!(event = "pool_unreached", pool; "this node reaches no upstream of the pool; peers send its requests");
                let upstreams = self.upstreams.lock();
                self.channels.close_idle_to(|key| {
                    let upstream = upstreams.get(key);
                    upstream.is_some_and(|upstream| upstream.announcement.pool == pool)
                });
            }
            Some(ReachChange::Regained { after_ms }) => {
                log::info!(event = "pool_reached", pool, after_ms; "this node reaches upstreams of the pool again; it takes back its requests gradually");
                self.upstreams.lock().forgive_failures(pool);
            }
        }
        self.broadcast(Message::Unreached(UnreachedPools {
            incarnation: self.incarnation,
            sequence: self.next_status_sequence(),
            pools: self
                .unreached_pools()
                .iter()
                .map(|pool| tag(pool))
                .collect(),
        }));
    }

    /// Whether this node does not reach a pool.
    pub fn is_unreached(&self, pool: &str) -> bool {
        let reach = self.reach.lock();
        reach.get(pool).is_some_and(PoolReach::is_lost)
    }

    /// Whether it is open if this node has lost a pool; see [`PoolReach::is_suspected`].
    pub fn is_suspected(&self, pool: &str) -> bool {
        let reach = self.reach.lock();
        reach.get(pool).is_some_and(PoolReach::is_suspected)
    }

    /// Whether this node sends a request with this uniform draw to a pool itself; see
    /// [`PoolReach::serves_itself`].
    pub fn serves_itself(&self, pool: &str, draw: u64, now: TimeMs) -> bool {
        let reach = self.reach.lock();
        (reach.get(pool)).is_none_or(|reach| reach.serves_itself(draw, now))
    }

    /// Returns the pools that this node does not reach.
    pub fn unreached_pools(&self) -> Vec<String> {
        let reach = self.reach.lock();
        let lost = reach.iter().filter(|(_pool, reach)| reach.is_lost());
        lost.map(|(pool, _reach)| pool.to_owned()).collect()
    }
}
