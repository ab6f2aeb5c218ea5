//! Simulated fleets that send at full rate to limited upstreams, with delayed membership and faulty
//! nodes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::gateway::peers::PEER_EXPIRY_MS;

/// Time between two steps of a node, and between two updates of its shares.
const STEP_MS: u64 = 50;
const UPDATE_INTERVAL_MS: u64 = 200;

/// Window over which the requests at an upstream are counted.
const WINDOW_MS: u64 = 4_000;

/// Clock offset between one group of nodes and the next.
const CLOCK_STEP_MS: u64 = 100;

/// Groups of nodes with the same membership delay.
const GROUPS: usize = 4;

/// Fault of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The node is killed and restarts.
    Killed,
    /// The node announces its shutdown and restarts.
    Stopped,
    /// The node freezes and resumes.
    Frozen,
    /// The node loses contact with its peers.
    Isolated,
}

#[derive(Clone, Copy, Debug)]
struct Event {
    fault: Fault,
    from: TimeMs,
    until: TimeMs,
}

/// A node with its fault, if any, and its throttles.
struct Node {
    tag: u64,
    group: usize,
    event: Option<Event>,
    throttles: Vec<Throttle>,
    update_phase_ms: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    limits_per_s: Vec<f64>,
    interval_ms: u64,
    /// Arrival times of requests at each upstream.
    arrivals: Vec<Vec<u64>>,
}

impl Fleet {
    /// Creates a fleet of which a random part of the nodes has a fault.
    fn new(count: u64, limits_per_s: &[f64], rng: &mut SmallRng, span_ms: u64) -> Self {
        let nodes = (0..count).map(|node| {
            let faults = [
                Fault::Killed,
                Fault::Stopped,
                Fault::Frozen,
                Fault::Isolated,
            ];
            let from = rng.random_range(0..span_ms);
            let event = Event {
                fault: faults[rng.random_range(0..faults.len())],
                from: TimeMs(from),
                until: TimeMs(from + rng.random_range(500..5_000)),
            };
            Node {
                tag: own_tag(node),
                group: rng.random_range(0..GROUPS),
                event: rng.random_bool(0.4).then_some(event),
                throttles: limits_per_s.iter().map(|limit| limited(*limit)).collect(),
                update_phase_ms: rng.random_range(0..UPDATE_INTERVAL_MS / STEP_MS) * STEP_MS,
            }
        });
        Self {
            nodes: nodes.collect(),
            limits_per_s: limits_per_s.to_vec(),
            interval_ms: UPDATE_INTERVAL_MS.max(count * 6),
            arrivals: vec![Vec::new(); limits_per_s.len()],
        }
    }

    /// Returns the fault of a node at a time, if it has one.
    fn fault(&self, node: usize, now: TimeMs) -> Option<Fault> {
        let event = self.nodes[node].event?;
        (event.from <= now && now < event.until).then_some(event.fault)
    }

    /// Returns whether a node is in contact with a group, and whether the group still knows it.
    fn seen(&self, node: usize, group: usize, now: TimeMs) -> (bool, bool) {
        let Some(event) = self.nodes[node].event else {
            return (true, true);
        };
        // Each group notices the start and end of a fault later than the group before it.
        let late_ms = self.interval_ms * group as u64 / GROUPS as u64;
        let silent_ms = 1_000.max(self.interval_ms * 3) + late_ms;
        let since_ms = now.since(event.from);
        match event.fault {
            _ if now < event.from || now >= event.until.after(late_ms) => (true, true),
            Fault::Stopped => (
                since_ms < late_ms.min(UPDATE_INTERVAL_MS),
                since_ms < late_ms.min(UPDATE_INTERVAL_MS),
            ),
            _ => (since_ms < silent_ms, since_ms < PEER_EXPIRY_MS),
        }
    }

    /// Returns the peers in contact with a group, and the fraction of the limits that the group may
    /// use.
    fn view(&self, group: usize, now: TimeMs) -> (Vec<u64>, f64) {
        let seen = (0..self.nodes.len()).map(|node| (node, self.seen(node, group, now)));
        let seen: Vec<_> = seen.collect();
        let heard = seen.iter().filter(|(_node, (is_heard, _))| *is_heard);
        let peers: Vec<u64> = heard.map(|(node, _seen)| self.nodes[*node].tag).collect();
        let known = seen
            .iter()
            .filter(|(_node, (_, is_known))| *is_known)
            .count();
        let share = num::to_f64(peers.len() as u64) / num::to_f64(known.max(1) as u64);
        (peers, share)
    }

    fn step(&mut self, rng: &mut SmallRng, now: TimeMs) {
        let views: Vec<_> = (0..GROUPS).map(|group| self.view(group, now)).collect();
        for place in 0..self.nodes.len() {
            let fault = self.fault(place, now);
            if matches!(fault, Some(Fault::Killed | Fault::Frozen)) {
                continue;
            }
            self.step_node(place, fault, &views, now);
            let throttles = self.nodes[place].throttles.iter_mut();
            for (throttle, arrivals) in throttles.zip(&mut self.arrivals) {
                while throttle.try_take(now) {
                    let way_ms = rng.random_range(0..STEP_MS);
                    arrivals.push(now.0 + way_ms);
                }
            }
        }
    }

    fn step_node(
        &mut self,
        place: usize,
        fault: Option<Fault>,
        views: &[(Vec<u64>, f64)],
        now: TimeMs,
    ) {
        let count = self.nodes.len();
        let interval_ms = self.interval_ms;
        let node = &mut self.nodes[place];
        let restarts = matches!(
            node.event.map(|event| event.fault),
            Some(Fault::Killed | Fault::Stopped)
        );
        let event = node.event.filter(|event| now >= event.until && restarts);
        if let Some(event) = event
            && now.since(event.until) < STEP_MS
        {
            node.throttles = self
                .limits_per_s
                .iter()
                .map(|limit| limited(*limit))
                .collect();
        }
        if now.0 % UPDATE_INTERVAL_MS != node.update_phase_ms {
            return;
        }
        let is_starting =
            event.is_some_and(|event| now.since(event.until) < 1_000.max(interval_ms * 2));
        let (peers, share) = &views[node.group];
        let is_alone = fault == Some(Fault::Isolated)
            && node
                .event
                .is_some_and(|event| now.since(event.from) >= 1_000.max(interval_ms * 3));
        let sharers = Sharers {
            own: node.tag,
            peers: if is_alone {
                Vec::new()
            } else {
                (peers.iter())
                    .filter(|peer| **peer != node.tag)
                    .copied()
                    .collect()
            },
            share: if is_alone {
                1.0 / num::to_f64(count as u64)
            } else {
                *share
            },
            // The clocks of the groups differ slightly.
            day_ms: now.0 + CLOCK_STEP_MS * node.group as u64,
            is_sending: !is_starting && fault != Some(Fault::Stopped),
        };
        for (upstream, throttle) in node.throttles.iter_mut().enumerate() {
            throttle.update_share(upstream as u64 * 1_000 + ENGINE, &sharers, now);
        }
    }
}

/// Simulates a fleet; returns limit, most requests in a window and allowed requests of each
/// upstream over its limit.
fn over_limit(count: u64, limits_per_s: &[f64], seed: u64, span_ms: u64) -> Vec<(f64, usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(count, limits_per_s, &mut rng, span_ms);
    for step in 0..span_ms / STEP_MS {
        fleet.step(&mut rng, TimeMs((step + 1) * STEP_MS));
    }
    let mut over_limit = Vec::new();
    for (upstream, arrivals) in fleet.arrivals.iter_mut().enumerate() {
        arrivals.sort_unstable();
        let starts = arrivals.iter().enumerate();
        let counts = starts
            .map(|(place, start)| arrivals[place..].partition_point(|at| at - start < WINDOW_MS));
        let max_requests = counts.max().unwrap_or(0);
        let allowed = 1.5 * num::to_f64(WINDOW_MS) / 1_000.0 * fleet.limits_per_s[upstream] + 5.0;
        if num::to_f64(max_requests as u64) > allowed {
            over_limit.push((fleet.limits_per_s[upstream], max_requests, allowed));
        }
    }
    over_limit
}

#[test]
fn fleets_of_all_sizes_keep_limits_under_node_faults_and_membership_delay() {
    let limits_per_s = [0.2, 0.5, 1.0, 2.5, 10.0, 50.0];
    for count in [1, 2, 5, 9, 30, 60] {
        for seed in 0..10 {
            let over_limit = over_limit(count, &limits_per_s, seed, 30_000);
            assert!(
                over_limit.is_empty(),
                "{count} nodes, seed {seed}: {over_limit:?}"
            );
        }
    }
}

#[test]
fn hundreds_of_nodes_keep_limits_under_node_faults_and_membership_delay() {
    for (count, span_ms) in [(195, 20_000), (985, 12_000)] {
        let over_limit = over_limit(count, &[0.2, 1.0, 10.0], 1, span_ms);
        assert!(over_limit.is_empty(), "{count} nodes: {over_limit:?}");
    }
}
