//! Decides on roll-outs, for the node that has the duties, and tells the operators.
//!
//! A decision stands in the log of duties before anybody hears of it: the log takes it only from the
//! holder of the lease, so that a holder that was frozen cannot decide otherwise after its successor has.
//! The successor finds it there, or in what the operators were told, and goes on from it.

use super::clock;
use super::peers::Message;
use super::place::Place;
use super::rollout::{Decided, Order, Stage, passed_ms};
use super::state::Gateway;
use super::verdict;
use crate::platform::rollouts;
use crate::platform::store::Topic;

/// What the operators have been told, by pool: the order and the stage.
#[derive(Debug, Default)]
pub(super) struct Memory {
    told: Vec<(String, Place, Stage)>,
}

impl Memory {
    /// Whether the operators have to be told of a stage; moving is running to them.
    fn is_untold(&self, order: &Order, stage: Stage) -> bool {
        let stage = told_as(stage);
        !(self.told.iter()).any(|(pool, place, told)| {
            *pool == order.pool && *place == order.place && *told == stage
        })
    }

    fn note_told(&mut self, order: &Order, stage: Stage) {
        self.told
            .retain(|(pool, _place, _told)| *pool != order.pool);
        self.told
            .push((order.pool.clone(), order.place, told_as(stage)));
    }
}

fn told_as(stage: Stage) -> Stage {
    match stage {
        Stage::Moving => Stage::Observing,
        stage => stage,
    }
}

/// Takes in what earlier holders decided, as the log tells it.
pub(super) fn read_decisions(node: &Gateway) {
    let decided = node.lease.lock().decided().to_vec();
    let mut rollouts = node.rollouts.lock();
    for decided in &decided {
        rollouts.note_decided(decided);
    }
}

/// The decisions that are due.
pub(super) fn due(node: &Gateway) -> Vec<Decided> {
    let now = clock::now();
    let day_ms = node.time_of_day(now).0;
    let running: Vec<Order> = (node.rollouts.lock().iter())
        .filter(|rollout| !rollout.decided.stage.is_end())
        .map(|rollout| rollout.order.clone())
        .collect();
    let mut due = Vec::new();
    for order in running {
        let standing = node.standing_by_version(&order.pool, &order.target, now);
        let mut rollouts = node.rollouts.lock();
        let Some(rollout) = rollouts.of_mut(&order.pool) else {
            continue;
        };
        let before = rollout.decided;
        let stage = match rollout.next_stage(standing, day_ms) {
            Some(stage) => stage,
            None if !rollout.is_decided => before.stage,
            None => continue,
        };
        let sum = rollout.sum();
        log::info!(
            event = "rollout_decided",
            pool = order.pool.as_str(),
            target = order.target.as_str(),
            order:% = order.place,
            stage:? = stage,
            verdict:? = verdict::verdict(&sum),
            seen:? = sum,
            standing:? = standing,
            passed_ms = passed_ms(&before, node.time_of_day(now));
            "a roll-out comes to another stage"
        );
        due.push(Decided {
            stage,
            since_day_ms: day_ms,
            ..before
        });
    }
    due
}

/// Takes in a decision that stands in the log, and tells the peers.
pub(super) fn take(node: &Gateway, decided: Decided) {
    node.rollouts.lock().note_decided(&decided);
    node.tell_peers(Message::Decided(decided));
}

/// Tells the operators what they have not been told.
pub(super) async fn tell_operators(node: &Gateway, memory: &mut Memory) {
    let untold: Vec<(Order, Stage)> = (node.rollouts.lock().iter())
        .filter(|rollout| rollout.is_decided)
        .map(|rollout| (rollout.order.clone(), rollout.decided.stage))
        .filter(|(order, stage)| memory.is_untold(order, *stage))
        .collect();
    for (order, stage) in untold {
        // Checked right before each call: a holder that was frozen must not tell of an older stage.
        if node.lease.lock().token(clock::now()).is_none() {
            return;
        }
        let key = rollouts::status_key(&order.pool);
        let text = rollouts::status(&order, stage);
        let put = node.store.put(Topic::Nodes, &key, &text).await;
        node.note_store(&put, clock::now());
        match put {
            Ok(_place) => {
                log::info!(event = "rollout_told", pool = order.pool.as_str(), order:% = order.place, stage:? = stage; "the operators were told of a roll-out");
                memory.note_told(&order, stage);
            }
            // It is told again at the next look; told twice it says the same.
            Err(error) => {
                log::info!(event = "rollout_not_told", pool = order.pool.as_str(), error:err = error; "the operators are told of a roll-out again");
            }
        }
    }
}
