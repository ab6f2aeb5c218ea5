//! Seeded schedules of nodes that pause, restart, read late and lose appends.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::NAME;
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::leases::{
    Action, DecisionContext, FencingToken, LeaseEntry, LeaseTable, LocalLease,
};
use crate::coordination::log::Record;
use crate::keys::Incarnation;
use crate::time::TimeMs;

const STEP_MS: u64 = 100;
const STEPS: u64 = 6_000;
const NODES: u64 = 3;
/// The age at which the log drops records.
const RETENTION_MS: u64 = 90_000;

struct Node {
    local_lease: LocalLease,
    table: LeaseTable,
    next: u64,
    read_ms: u64,
    paused_until_ms: u64,
    /// The offset of its clock, and its drift in thousandths.
    clock_offset_ms: u64,
    drift_permille: u64,
}

impl Node {
    fn start(incarnation: u64, clock_offset_ms: u64, drift_permille: u64) -> Self {
        Self {
            local_lease: LocalLease::new(NAME, Incarnation(incarnation)),
            table: LeaseTable::new(),
            next: 1,
            read_ms: 0,
            paused_until_ms: 0,
            clock_offset_ms,
            drift_permille,
        }
    }

    fn clock(&self, true_ms: u64) -> TimeMs {
        TimeMs(true_ms + true_ms * self.drift_permille / 1_000 + self.clock_offset_ms)
    }

    fn read(&mut self, log: &[Record], now_ms: u64) {
        let kept_from_ms = TimeMs(now_ms.saturating_sub(RETENTION_MS));
        let mut kept = log.iter().skip_while(|record| record.at_ms < kept_from_ms);
        let first = kept
            .next()
            .map_or(log.len() as u64 + 1, |record| record.offset);
        if first > self.next {
            let index = usize::try_from(first - 1).expect("the log is short");
            self.table.skip(&Gap {
                wanted: self.next,
                first,
                first_at_ms: log.get(index).map(|record| record.at_ms),
                detected_at_ms: self.clock(now_ms),
            });
            self.next = first;
        }
        let next = usize::try_from(self.next - 1).expect("the log is short");
        log[next..]
            .iter()
            .for_each(|record| self.table.apply(record));
        self.next = log.len() as u64 + 1;
        self.read_ms = now_ms;
    }
}

struct Simulation {
    rng: SmallRng,
    nodes: Vec<Node>,
    log: Vec<Record>,
    /// Entries in transit, each with the time at which it is appended.
    in_transit: Vec<(u64, LeaseEntry)>,
    incarnations: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|node| {
            let clock_offset_ms = rng.random_range(0..100_000);
            Node::start(node, clock_offset_ms, rng.random_range(0..20))
        });
        Self {
            nodes: nodes.collect(),
            rng,
            log: Vec::new(),
            in_transit: Vec::new(),
            incarnations: NODES,
        }
    }

    fn land(&mut self, now_ms: u64) {
        let landed = self
            .in_transit
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        for (_, entry) in landed {
            let offset = self.log.len() as u64 + 1;
            self.log.push(Record {
                offset,
                at_ms: TimeMs(now_ms),
                writer: entry.holder.to_string(),
                sequence: entry.send,
                payload: serde_json::to_string(&[entry]).expect("entries have a JSON form"),
            });
        }
    }

    /// Sends an entry, which may be lost, delayed or duplicated.
    fn send(&mut self, entry: &LeaseEntry, now_ms: u64) {
        for _ in 0..2 {
            if self.rng.random_bool(0.6) {
                let delay_ms = self.rng.random_range(0_u64..40).pow(2) * 5;
                self.in_transit.push((now_ms + delay_ms, entry.clone()));
            }
        }
    }

    fn step_node(&mut self, index: usize, now_ms: u64) {
        if self.nodes[index].paused_until_ms > now_ms {
            return;
        }
        match self.rng.random_range(0..1_000) {
            0..5 => {
                let pause_ms = self.rng.random_range(0..40_000);
                self.nodes[index].paused_until_ms = now_ms + pause_ms;
            }
            5 => {
                let node = &self.nodes[index];
                self.nodes[index] =
                    Node::start(self.incarnations, node.clock_offset_ms, node.drift_permille);
                self.incarnations += 1;
            }
            6..300 => self.nodes[index].read(&self.log, now_ms),
            _ => self.decide(index, now_ms),
        }
    }

    fn decide(&mut self, index: usize, now_ms: u64) {
        let is_wanted = self.rng.random_bool(0.99);
        let node = &mut self.nodes[index];
        let context = DecisionContext {
            now: node.clock(now_ms),
            staleness_ms: (node.read_ms > 0).then_some(now_ms - node.read_ms),
            rank: index,
            is_wanted,
        };
        if let Action::Send(entry) = node.local_lease.next_action(&node.table, context) {
            self.send(&entry, now_ms);
        }
    }

    fn acting(&self, now_ms: u64) -> Vec<FencingToken> {
        let acting = self.nodes.iter().filter_map(|node| {
            let now = node.clock(now_ms);
            node.local_lease.held_token(&node.table, now)
        });
        acting.collect()
    }
}

/// Guards against two nodes acting under one lease, and against an action with a lower fencing
/// token after one with a higher: holders pause, restart and read late; appends are lost, delayed
/// and duplicated; clocks differ and drift; the log drops old records.
#[test]
fn at_most_one_node_acts_and_fencing_tokens_never_decrease() {
    let mut acted = 0_u64;
    let mut terms = 0_u64;
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        let mut newest = FencingToken(0);
        for step in 1..=STEPS {
            let now_ms = step * STEP_MS;
            simulation.land(now_ms);
            for index in 0..simulation.nodes.len() {
                simulation.step_node(index, now_ms);
            }
            let acting = simulation.acting(now_ms);
            assert!(acting.len() <= 1, "seed {seed}, {now_ms} ms: {acting:?}");
            for fencing in acting {
                assert!(fencing >= newest, "seed {seed}, {now_ms} ms");
                terms += u64::from(fencing > newest);
                newest = fencing;
                acted += 1;
            }
        }
    }
    assert!(
        acted > 60 * STEPS / 4,
        "some node acts in more than a quarter of the steps: {acted}"
    );
    assert!(terms > 60 * 5, "leases change holders: {terms}");
}
