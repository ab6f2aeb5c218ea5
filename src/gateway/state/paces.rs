//! The speed of each pool's engines as a node and its peers have measured it.

use super::Gateway;
use crate::gateway::speed::pace::Pace;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

impl Gateway {
    /// Returns the speed of a pool's engines: measured by this node, else by its peers, else a
    /// default.
    pub fn pace(&self, pool: &str, now: TimeMs) -> Pace {
        let own = self.engine_models.lock().get_or_default(pool).pace();
        if own.is_learned {
            return own;
        }
        let learned = self.peer_paces.lock().median(pool, None, now);
        learned.unwrap_or(own)
    }

    /// Returns the speed of a pool's engines over all nodes' measurements; `None` without any.
    pub fn fleet_pace(&self, pool: &str, now: TimeMs) -> Option<Pace> {
        let own = self.engine_models.lock().get_or_default(pool).pace();
        let own = own.is_learned.then_some(own);
        self.peer_paces.lock().median(pool, own, now)
    }

    /// Returns this node's measured engine speeds by the tag of the pool, for its peers.
    pub fn learned_paces(&self) -> Vec<(u64, Pace)> {
        let engines = self.engine_models.lock();
        let paces = engines
            .iter()
            .map(|(pool, model)| (tag(pool), model.pace()));
        paces.filter(|(_pool, pace)| pace.is_learned).collect()
    }
}
