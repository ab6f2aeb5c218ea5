//! The roll-outs that a node knows of, with what it and its peers have seen of them.

use super::rollout::{Decided, Observed, Order, Rollout, Stage};

/// The roll-outs of all pools, the newest order of each.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// Sorted by pool.
    rollouts: Vec<Rollout>,
    /// Ends that were read before their orders, by pool and number of the order's place.
    ended: Vec<(String, u64, Stage)>,
}

impl Rollouts {
    /// Takes in an order; tells whether it is new.
    pub fn order(&mut self, order: Order, day_ms: u64) -> bool {
        let found = (self.rollouts).binary_search_by(|known| known.order.pool.cmp(&order.pool));
        if let Ok(place) = found
            && self.rollouts[place].take_repeat(&order)
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

    /// Takes in that a roll-out has ended, as the operators were told.
    pub fn note_ended(&mut self, pool: &str, order: u64, stage: Stage) {
        self.ended.retain(|(known, _order, _stage)| known != pool);
        self.ended.push((pool.to_owned(), order, stage));
        if let Some(rollout) = self.of_mut(pool)
            && rollout.order.place.number() == order
            && !rollout.decided.stage.is_end()
        {
            rollout.decided.stage = stage;
            rollout.is_decided = true;
        }
    }

    /// Takes in what the node with the duties has decided; stages never go back.
    pub fn note_decided(&mut self, decided: &Decided) -> bool {
        let found = (self.rollouts.iter_mut()).find(|rollout| {
            rollout.decided.pool == decided.pool && rollout.order.place == decided.order
        });
        let Some(rollout) = found else { return false };
        let before = rollout.decided.stage;
        if before.is_end() || (rollout.is_decided && decided.stage <= before) {
            return false;
        }
        rollout.decided = *decided;
        rollout.is_decided = true;
        true
    }

    /// Takes in what a peer has seen since its start.
    pub fn note_observed(&mut self, peer: u64, observed: Vec<Observed>) {
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

    /// What this node has seen, for its peers; of a pool, or of all.
    pub fn observed(&self, pool: Option<&str>) -> Vec<Observed> {
        (self.rollouts.iter())
            .filter(|rollout| !rollout.decided.stage.is_end())
            .filter(|rollout| pool.is_none_or(|pool| rollout.order.pool == pool))
            .map(|rollout| Observed {
                pool: rollout.decided.pool,
                order: rollout.order.place,
                rows: rollout.own.clone(),
            })
            .collect()
    }

    /// What the node with the duties tells its peers.
    pub fn decided(&self) -> Vec<Decided> {
        let decided = self.rollouts.iter().filter(|rollout| rollout.is_decided);
        decided.map(|rollout| rollout.decided).collect()
    }

    /// The roll-out of a pool.
    pub fn of_mut(&mut self, pool: &str) -> Option<&mut Rollout> {
        let found = (self.rollouts).binary_search_by(|known| known.order.pool.as_str().cmp(pool));
        found.ok().map(|place| &mut self.rollouts[place])
    }

    /// All roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.iter()
    }

    /// Whether upstreams of two versions stand in a pool for now.
    pub fn is_running(&self, pool: &str) -> bool {
        (self.rollouts.iter())
            .any(|rollout| rollout.order.pool == pool && !rollout.decided.stage.is_end())
    }

    /// Orders, for peers that have not read them.
    pub fn orders(&self) -> Vec<Order> {
        let orders = self.rollouts.iter().map(|rollout| rollout.order.clone());
        orders.collect()
    }
}
