//! Roll-out decisions of the duty holder, and their reports to the operators.
//!
//! A decision is recorded in the duty log before it is announced. The log accepts it only from the
//! lease holder, so that a holder that was frozen cannot make another decision after its successor
//! has made one. The successor reads the decision from the log, or from the status that was
//! reported to the operators, and continues from it.

use super::clock;
use super::log_position::LogPosition;
use super::messages::Message;
use super::rollout::{Decision, Order, Stage, elapsed_ms};
use super::state::Gateway;
use super::verdict;
use crate::platform::rollouts;
use crate::platform::store::Topic;

/// Last stage that was reported to the operators for each pool and order.
#[derive(Debug, Default)]
pub(super) struct ReportedStages {
    told: Vec<(String, LogPosition, Stage)>,
}

impl ReportedStages {
    /// Whether a stage must be reported to the operators; they see moving as running.
    fn is_unreported(&self, order: &Order, stage: Stage) -> bool {
        let stage = reported_as(stage);
        !(self.told.iter()).any(|(pool, place, told)| {
            *pool == order.pool && *place == order.place && *told == stage
        })
    }

    fn record_reported(&mut self, order: &Order, stage: Stage) {
        self.told
            .retain(|(pool, _place, _told)| *pool != order.pool);
        self.told
            .push((order.pool.clone(), order.place, reported_as(stage)));
    }
}

fn reported_as(stage: Stage) -> Stage {
    match stage {
        Stage::Moving => Stage::Observing,
        stage => stage,
    }
}

/// Applies the decisions of earlier holders from the duty log.
pub(super) fn apply_logged_decisions(node: &Gateway) {
    let decided = node.lease.lock().decided().to_vec();
    let mut rollouts = node.rollouts.lock();
    for decided in &decided {
        rollouts.apply_decision(decided);
    }
}

/// Returns the decisions that are due.
pub(super) fn due_decisions(node: &Gateway) -> Vec<Decision> {
    let now = clock::now();
    let day_ms = node.agreed_time_of_day(now).0;
    let running: Vec<Order> = (node.rollouts.lock().iter())
        .filter(|rollout| !rollout.decided.stage.is_end())
        .map(|rollout| rollout.order.clone())
        .collect();
    let mut due = Vec::new();
    for order in running {
        let standing = node.availability_by_version(&order.pool, &order.target, now);
        let mut rollouts = node.rollouts.lock();
        let Some(rollout) = rollouts.get_mut(&order.pool) else {
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
            passed_ms = elapsed_ms(&before, node.agreed_time_of_day(now));
            "decided the stage of a roll-out; recording it in the duty log"
        );
        due.push(Decision {
            stage,
            since_day_ms: day_ms,
            ..before
        });
    }
    due
}

/// Applies a decision that the log has recorded, and sends it to the peers.
pub(super) fn take(node: &Gateway, decided: Decision) {
    node.rollouts.lock().apply_decision(&decided);
    node.broadcast(Message::Decided(decided));
}

/// Reports new stages to the operators.
pub(super) async fn report_to_operators(node: &Gateway, memory: &mut ReportedStages) {
    let unreported: Vec<(Order, Stage)> = (node.rollouts.lock().iter())
        .filter(|rollout| rollout.is_decided)
        .map(|rollout| (rollout.order.clone(), rollout.decided.stage))
        .filter(|(order, stage)| memory.is_unreported(order, *stage))
        .collect();
    for (order, stage) in unreported {
        // The lease is checked directly before each call: a holder that was frozen must not report
        // an older stage.
        if node.lease.lock().token(clock::now()).is_none() {
            return;
        }
        let key = rollouts::status_key(&order.pool);
        let text = rollouts::encode_status(&order, stage);
        let put = node.store.put(Topic::Nodes, &key, &text).await;
        node.record_store_call(&put, clock::now());
        match put {
            Ok(_place) => {
                log::info!(event = "rollout_told", pool = order.pool.as_str(), order:% = order.place, stage:? = stage; "reported the stage of a roll-out to the operators");
                memory.record_reported(&order, stage);
            }
            // The next run retries; a repeated report has the same content.
            Err(error) => {
                log::info!(event = "rollout_not_told", pool = order.pool.as_str(), error:err = error; "failed to report the stage of a roll-out to the operators; retrying at the next run");
            }
        }
    }
}
