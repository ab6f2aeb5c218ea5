//! What the experiments about storms have in common with the tests.

#[path = "../../tests/storms/killing.rs"]
pub mod killing;
#[path = "../../tests/storms/sender.rs"]
pub mod sender;
#[path = "../../tests/storms/site.rs"]
pub mod site;

use super::deployment;

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use self::sender::PlannedCall;

/// The part of callers that send to the first node.
const FIRST_NODE_PART: f64 = 0.7;
/// Nodes that callers send to.
pub const NODES: usize = 3;

/// Calls of one team at random times, most of them to the first node.
pub fn arrivals(
    rng: &mut SmallRng,
    team: &'static str,
    per_second: f64,
    length: Duration,
    tokens: u32,
) -> Vec<PlannedCall> {
    let mut plan = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / per_second;
        if at >= length.as_secs_f64() {
            return plan;
        }
        let node = if rng.random_bool(FIRST_NODE_PART) {
            0
        } else {
            rng.random_range(1..NODES)
        };
        plan.push(PlannedCall {
            at: Duration::from_secs_f64(at),
            node,
            team,
            prompt: format!("{team}: reconcile row {}", plan.len()),
            tokens,
        });
    }
}
