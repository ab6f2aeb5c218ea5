//! Fleets that send all they may to limited upstreams, with news that is late and nodes that come and go.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::gateway::peers::FORGET_MS;

/// Between two steps of a node, and between two of its looks at what it may send.
const STEP_MS: u64 = 50;
const LOOK_MS: u64 = 200;

/// Spans over which what reaches an upstream is judged.
const SPAN_MS: u64 = 4_000;

/// By how much the clocks of one group of nodes are ahead of those of the one before.
const CLOCK_STEP_MS: u64 = 100;

/// Nodes that hear of each other equally late.
const GROUPS: usize = 4;

/// What befalls a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// It is killed and starts again.
    Killed,
    /// It tells its peers that it ends, and starts again.
    Stopped,
    /// It stands still and goes on.
    Frozen,
    /// It and others like it hear only each other.
    Cut,
}

#[derive(Clone, Copy, Debug)]
struct Event {
    fate: Fate,
    from: TimeMs,
    until: TimeMs,
}

/// One node: when something befalls it, and what it may send.
struct Node {
    tag: u64,
    group: usize,
    event: Option<Event>,
    throttles: Vec<Throttle>,
    looks_at: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    limits_per_s: Vec<f64>,
    interval_ms: u64,
    /// When requests reached each upstream.
    arrivals: Vec<Vec<u64>>,
}

impl Fleet {
    /// A fleet of which a part of the nodes suffers something.
    fn new(count: u64, limits_per_s: &[f64], rng: &mut SmallRng, span_ms: u64) -> Self {
        let nodes = (0..count).map(|node| {
            let fates = [Fate::Killed, Fate::Stopped, Fate::Frozen, Fate::Cut];
            let from = rng.random_range(0..span_ms);
            let event = Event {
                fate: fates[rng.random_range(0..fates.len())],
                from: TimeMs(from),
                until: TimeMs(from + rng.random_range(500..5_000)),
            };
            Node {
                tag: own_tag(node),
                group: rng.random_range(0..GROUPS),
                event: rng.random_bool(0.4).then_some(event),
                throttles: limits_per_s.iter().map(|limit| limited(*limit)).collect(),
                looks_at: rng.random_range(0..LOOK_MS / STEP_MS) * STEP_MS,
            }
        });
        Self {
            nodes: nodes.collect(),
            limits_per_s: limits_per_s.to_vec(),
            interval_ms: LOOK_MS.max(count * 6),
            arrivals: vec![Vec::new(); limits_per_s.len()],
        }
    }

    /// What befalls a node at a time, if anything does.
    fn fate(&self, node: usize, now: TimeMs) -> Option<Fate> {
        let event = self.nodes[node].event?;
        (event.from <= now && now < event.until).then_some(event.fate)
    }

    /// Whether nodes of a group hear a node, and whether they still count it.
    fn seen(&self, node: usize, group: usize, now: TimeMs) -> (bool, bool) {
        let Some(event) = self.nodes[node].event else {
            return (true, true);
        };
        // Each group hears of what begins and ends later than the one before it.
        let late_ms = self.interval_ms * group as u64 / GROUPS as u64;
        let silent_ms = 1_000.max(self.interval_ms * 3) + late_ms;
        let since_ms = now.since(event.from);
        match event.fate {
            _ if now < event.from || now >= event.until.after(late_ms) => (true, true),
            Fate::Stopped => (
                since_ms < late_ms.min(LOOK_MS),
                since_ms < late_ms.min(LOOK_MS),
            ),
            _ => (since_ms < silent_ms, since_ms < FORGET_MS),
        }
    }

    /// The peers that nodes of a group hear, and the part of limits that those may use.
    fn view(&self, group: usize, now: TimeMs) -> (Vec<u64>, f64) {
        let seen = (0..self.nodes.len()).map(|node| (node, self.seen(node, group, now)));
        let seen: Vec<_> = seen.collect();
        let heard = seen.iter().filter(|(_node, (is_heard, _))| *is_heard);
        let peers: Vec<u64> = heard.map(|(node, _seen)| self.nodes[*node].tag).collect();
        let known = seen
            .iter()
            .filter(|(_node, (_, is_known))| *is_known)
            .count();
        let share = num::real(peers.len() as u64) / num::real(known.max(1) as u64);
        (peers, share)
    }

    fn step(&mut self, rng: &mut SmallRng, now: TimeMs) {
        let views: Vec<_> = (0..GROUPS).map(|group| self.view(group, now)).collect();
        for place in 0..self.nodes.len() {
            let fate = self.fate(place, now);
            if matches!(fate, Some(Fate::Killed | Fate::Frozen)) {
                continue;
            }
            self.step_node(place, fate, &views, now);
            let throttles = self.nodes[place].throttles.iter_mut();
            for (throttle, arrivals) in throttles.zip(&mut self.arrivals) {
                while throttle.take(now) {
                    let way_ms = rng.random_range(0..STEP_MS);
                    arrivals.push(now.0 + way_ms);
                }
            }
        }
    }

    fn step_node(
        &mut self,
        place: usize,
        fate: Option<Fate>,
        views: &[(Vec<u64>, f64)],
        now: TimeMs,
    ) {
        let count = self.nodes.len();
        let interval_ms = self.interval_ms;
        let node = &mut self.nodes[place];
        let restarts = matches!(
            node.event.map(|event| event.fate),
            Some(Fate::Killed | Fate::Stopped)
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
        if now.0 % LOOK_MS != node.looks_at {
            return;
        }
        let is_fresh =
            event.is_some_and(|event| now.since(event.until) < 1_000.max(interval_ms * 2));
        let (peers, share) = &views[node.group];
        let is_alone = fate == Some(Fate::Cut)
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
                1.0 / num::real(count as u64)
            } else {
                *share
            },
            // Clocks differ a little.
            day_ms: now.0 + CLOCK_STEP_MS * node.group as u64,
            is_sending: !is_fresh && fate != Some(Fate::Stopped),
        };
        for (upstream, throttle) in node.throttles.iter_mut().enumerate() {
            throttle.divide(upstream as u64 * 1_000 + ENGINE, &sharers, now);
        }
    }
}

/// Plays a fleet; gives what reached each upstream most in a span, and what may, for those beyond it.
fn beyond(count: u64, limits_per_s: &[f64], seed: u64, span_ms: u64) -> Vec<(f64, usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(count, limits_per_s, &mut rng, span_ms);
    for step in 0..span_ms / STEP_MS {
        fleet.step(&mut rng, TimeMs((step + 1) * STEP_MS));
    }
    let mut beyond = Vec::new();
    for (upstream, arrivals) in fleet.arrivals.iter_mut().enumerate() {
        arrivals.sort_unstable();
        let starts = arrivals.iter().enumerate();
        let counts = starts
            .map(|(place, start)| arrivals[place..].partition_point(|at| at - start < SPAN_MS));
        let most = counts.max().unwrap_or(0);
        let allowed = 1.5 * num::real(SPAN_MS) / 1_000.0 * fleet.limits_per_s[upstream] + 5.0;
        if num::real(most as u64) > allowed {
            beyond.push((fleet.limits_per_s[upstream], most, allowed));
        }
    }
    beyond
}

#[test]
fn fleets_of_all_sizes_keep_limits_while_nodes_come_and_go_and_news_is_late() {
    let limits_per_s = [0.2, 0.5, 1.0, 2.5, 10.0, 50.0];
    for count in [1, 2, 5, 9, 30, 60] {
        for seed in 0..10 {
            let beyond = beyond(count, &limits_per_s, seed, 30_000);
            assert!(beyond.is_empty(), "{count} nodes, seed {seed}: {beyond:?}");
        }
    }
}

#[test]
fn hundreds_of_nodes_keep_limits_while_nodes_come_and_go_and_news_is_late() {
    for (count, span_ms) in [(195, 20_000), (985, 12_000)] {
        let beyond = beyond(count, &[0.2, 1.0, 10.0], 1, span_ms);
        assert!(beyond.is_empty(), "{count} nodes: {beyond:?}");
    }
}
