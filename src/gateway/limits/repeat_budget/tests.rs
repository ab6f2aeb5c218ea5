use super::*;

fn budget(nodes: u32) -> RepeatBudget {
    RepeatBudget {
        ratio: 0.2,
        window_ms: 10_000,
        slack: 50.0,
        nodes,
        recorded_since: TimeMs(0),
    }
}

fn drain(repeats: &mut Repeats, budget: &RepeatBudget, now: TimeMs) -> u32 {
    (0..1_000)
        .map(|_| u32::from(repeats.try_take(budget, now)))
        .sum()
}

/// Guards against more repeats than requests while all upstreams of a pool fail.
///
/// Each node repeats its failed requests up to its own budget. If each node used the fixed part of
/// the budget in full, the fleet would exceed it by the number of nodes.
#[test]
fn fleet_stays_within_the_fixed_part_of_the_budget() {
    let nodes = 9;
    let total: u32 = (0..nodes)
        .map(|_| drain(&mut Repeats::default(), &budget(nodes), TimeMs(20_000)))
        .sum();
    assert!(total <= 50, "{total}");
    assert!(total >= 27, "{total}");
}

#[test]
fn repeats_are_limited_to_a_ratio_of_requests() {
    let mut repeats = Repeats::default();
    for step in 0..100 {
        repeats.record_request(&budget(1_000), TimeMs(20_000 + step));
    }
    assert_eq!(drain(&mut repeats, &budget(1_000), TimeMs(20_200)), 15);
}

#[test]
fn budget_is_restored_after_the_window() {
    let mut repeats = Repeats::default();
    let budget = budget(1);
    let first = drain(&mut repeats, &budget, TimeMs(20_000));
    assert!(first > 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(29_000)), 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(31_000)), first);
}

#[test]
fn repeat_is_too_late_if_the_expected_time_exceeds_the_deadline() {
    assert!(is_too_late(100, 150.0));
    assert!(!is_too_late(200, 150.0));
}

/// Interval between two calls of each simulated node.
const CALL_INTERVAL_MS: usize = 100;

/// A fleet whose requests all fail, so that each node spends all repeats that it may.
struct FailingFleet {
    /// The nodes by name; `None` while one is down.
    nodes: Vec<Option<(RepeatBudget, Repeats)>>,
    /// Nodes that each node counts.
    known: u32,
    requests_at_ms: Vec<u64>,
    repeats_at_ms: Vec<u64>,
}

impl FailingFleet {
    fn running(nodes: u32) -> Self {
        let node = Some((budget(nodes), Repeats::default()));
        Self {
            nodes: vec![node; nodes as usize],
            known: nodes,
            requests_at_ms: Vec::new(),
            repeats_at_ms: Vec::new(),
        }
    }

    fn start(&mut self, name: usize, now: TimeMs) {
        let budget = RepeatBudget {
            recorded_since: now,
            ..budget(self.known)
        };
        self.nodes[name] = Some((budget, Repeats::default()));
    }

    /// Calls every node and lets it repeat as often as its budget allows.
    fn call(&mut self, now: TimeMs) {
        for (budget, repeats) in self.nodes.iter_mut().flatten() {
            budget.nodes = self.known;
            repeats.record_request(budget, now);
            self.requests_at_ms.push(now.0);
            while repeats.try_take(budget, now) {
                self.repeats_at_ms.push(now.0);
            }
        }
    }

    /// Checks the budget of all nodes together in every window.
    fn check(&self) {
        let budget = budget(1);
        let count = |times_ms: &[u64], end_ms: u64| {
            let start_ms = end_ms - budget.window_ms;
            let after = times_ms.partition_point(|at_ms| *at_ms <= end_ms);
            num::to_f64((after - times_ms.partition_point(|at_ms| *at_ms <= start_ms)) as u64)
        };
        let ends_ms = (self.repeats_at_ms.iter()).filter(|at_ms| **at_ms > 2 * budget.window_ms);
        for end_ms in ends_ms {
            let requests = [0, budget.window_ms / 2, budget.window_ms]
                .map(|earlier_ms| count(&self.requests_at_ms, end_ms - earlier_ms));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let allowed = budget.ratio * requests + budget.slack;
            let repeats = count(&self.repeats_at_ms, *end_ms);
            assert!(
                repeats <= allowed,
                "{repeats} of {allowed} until {end_ms} ms"
            );
        }
    }
}

/// Guards against restarted nodes that spend their share of the budget once more: all at once, one
/// after the other, and again and again.
#[test]
fn repeats_of_restarting_nodes_stay_within_the_budget() {
    for nodes in [1, 9, 985] {
        for restart_every_ms in [700, 3_500, 9_900, 10_100] {
            for is_rolling in [false, true] {
                let mut fleet = FailingFleet::running(nodes);
                let names = fleet.nodes.len();
                let mut restarts = 0;
                let mut next_restart_ms = 30_000;
                for now in (20_000..60_000).step_by(CALL_INTERVAL_MS) {
                    let now = TimeMs(now);
                    let restarted = match now.0 >= next_restart_ms {
                        true if is_rolling => restarts % names..restarts % names + 1,
                        true => 0..names,
                        false => 0..0,
                    };
                    if !restarted.is_empty() {
                        restarts += 1;
                        next_restart_ms += restart_every_ms;
                    }
                    restarted.for_each(|name| fleet.start(name, now));
                    fleet.call(now);
                }
                assert!(restarts > 0);
                fleet.check();
            }
        }
    }
}

/// Guards against nodes that take over the share of nodes which have left, while what those have
/// spent still counts in the window.
#[test]
fn share_of_nodes_that_left_is_unused_until_their_window_is_over() {
    let mut fleet = FailingFleet::running(12);
    // With few requests the fixed part is most of the budget.
    for now in (20_000..60_000).step_by(2_000) {
        if now == 34_000 {
            fleet.nodes.truncate(2);
            fleet.known = 2;
        }
        fleet.call(TimeMs(now));
    }
    fleet.check();
}

/// Guards against nodes that join or replace others and add a share to those that are in use.
#[test]
fn repeats_of_joining_and_replacing_nodes_stay_within_the_budget() {
    let mut fleet = FailingFleet::running(6);
    for now in (20_000..60_000).step_by(CALL_INTERVAL_MS) {
        if now > 30_000 && now % 1_500 == 0 {
            fleet.nodes.push(None);
            fleet.known += 1;
            let newest = fleet.nodes.len() - 1;
            fleet.start(newest, TimeMs(now));
            fleet.nodes[newest - 6] = None;
        }
        fleet.call(TimeMs(now));
    }
    fleet.check();
}

/// Guards against a repeat that is forgotten before a whole window has passed.
#[test]
fn repeat_counts_for_a_whole_window() {
    let mut repeats = Repeats::default();
    let budget = budget(1);
    let spent = drain(&mut repeats, &budget, TimeMs(20_499));
    assert!(spent > 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(30_498)), 0);
}

#[test]
fn node_in_its_first_window_repeats_only_a_small_part_of_its_requests() {
    let mut repeats = Repeats::default();
    let budget = RepeatBudget {
        recorded_since: TimeMs(20_000),
        ..budget(1)
    };
    assert_eq!(drain(&mut repeats, &budget, TimeMs(20_100)), 0);
    for step in 0..100 {
        repeats.record_request(&budget, TimeMs(20_100 + step));
    }
    assert_eq!(drain(&mut repeats, &budget, TimeMs(20_300)), 3);
    assert!(drain(&mut repeats, &budget, TimeMs(30_000)) > 10);
}
