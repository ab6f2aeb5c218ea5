//! Roll-outs that a node knows, with its own counts and those of its peers.

use super::rollout::{Decision, Observation, Order, Rollout, Stage};

/// Roll-outs of all pools; the newest order of each pool.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// Sorted by pool.
    rollouts: Vec<Rollout>,
    /// Final stages that were read before their orders, by pool and number of the order's position.
    ended: Vec<(String, u64, Stage)>,
}

impl Rollouts {
    /// Adds an order; returns whether it is new.
    pub fn add_order(&mut self, order: Order, day_ms: u64) -> bool {
        let found = (self.rollouts).binary_search_by(|known| known.order.pool.cmp(&order.pool));
        if let Ok(place) = found
            && self.rollouts[place].adopt_restored(&order)
        {
            return false;
        }
        let ended = (self.ended.iter())
            .find(|(pool, number, _stage)| *pool == order.pool && *number == order.place.number())
            .map(|(_pool, _number, stage)| *stage);
        let mut rollout = Rollout::new(order, day_ms);
        if let Some(stage) = ended {
            rollout.decided.stage = stage;
            rollout.is_decided = true;
        }
        match found {
            Ok(place) if self.rollouts[place].order.place >= rollout.order.place => false,
            Ok(place) => {
                self.rollouts[place] = rollout;
                true
            }
            Err(place) => {
                self.rollouts.insert(place, rollout);
                true
            }
        }
    }

    /// Records the end of a roll-out from the status that was reported to the operators.
    pub fn record_end(&mut self, pool: &str, order: u64, stage: Stage) {
        self.ended.retain(|(known, _order, _stage)| known != pool);
        self.ended.push((pool.to_owned(), order, stage));
        if let Some(rollout) = self.get_mut(pool)
            && rollout.order.place.number() == order
            && !rollout.decided.stage.is_end()
        {
            rollout.decided.stage = stage;
            rollout.is_decided = true;
        }
    }

    /// Applies a decision of the duty holder; returns whether it changed the state.
    ///
    /// A stage never goes back.
    pub fn apply_decision(&mut self, decided: &Decision) -> bool {
        let found = (self.rollouts.iter_mut()).find(|rollout| {
            rollout.decided.pool == decided.pool && rollout.order.place == decided.order
        });
        let Some(rollout) = found else { return false };
        let stage_before = rollout.decided.stage;
        if stage_before.is_end() || (rollout.is_decided && decided.stage <= stage_before) {
            return false;
        }
        rollout.decided = *decided;
        rollout.is_decided = true;
        true
    }

    /// Replaces the counts of a peer, which cover the time since the peer's start.
    pub fn record_observations(&mut self, peer: u64, observed: Vec<Observation>) {
        for observed in observed {
            let found = (self.rollouts.iter_mut()).find(|rollout| {
                rollout.decided.pool == observed.pool && rollout.order.place == observed.order
            });
            let Some(rollout) = found else { continue };
            match rollout
                .peers
                .binary_search_by_key(&peer, |(peer, _rows)| *peer)
            {
                Ok(place) => rollout.peers[place].1 = observed.rows,
                Err(place) => rollout.peers.insert(place, (peer, observed.rows)),
            }
        }
    }

    /// Returns this node's counts for its peers; of one pool, or of all.
    pub fn observations(&self, pool: Option<&str>) -> Vec<Observation> {
        (self.rollouts.iter())
            .filter(|rollout| !rollout.decided.stage.is_end())
            .filter(|rollout| pool.is_none_or(|pool| rollout.order.pool == pool))
            .map(|rollout| Observation {
                pool: rollout.decided.pool,
                order: rollout.order.place,
                rows: rollout.own.clone(),
            })
            .collect()
    }

    /// Returns the decisions that the duty holder sends to its peers.
    pub fn decisions(&self) -> Vec<Decision> {
        let decided = self.rollouts.iter().filter(|rollout| rollout.is_decided);
        decided.map(|rollout| rollout.decided).collect()
    }

    /// Returns the roll-out of a pool.
    pub fn get_mut(&mut self, pool: &str) -> Option<&mut Rollout> {
        let found = (self.rollouts).binary_search_by(|known| known.order.pool.as_str().cmp(pool));
        found.ok().map(|place| &mut self.rollouts[place])
    }

    /// Returns all roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.iter()
    }

    /// Whether a roll-out of the pool is in progress, so that two versions may be available.
    pub fn is_running(&self, pool: &str) -> bool {
        (self.rollouts.iter())
            .any(|rollout| rollout.order.pool == pool && !rollout.decided.stage.is_end())
    }

    /// Returns all orders, for peers that have not read them.
    pub fn orders(&self) -> Vec<Order> {
        let orders = self.rollouts.iter().map(|rollout| rollout.order.clone());
        orders.collect()
    }
}
