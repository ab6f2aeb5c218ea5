//! A fleet of nodes at twice its capacity, in fast time: fair shares, use of the capacity, waits of
//! interactive requests and speed of refusals.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation are small"
)]

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::keys::{Incarnation, PoolKey};
use teaselline::limits::shares::{ShareClaim, max_min_split};
use teaselline::limits::{
    Admission, AdmissionRequest, AdmissionState, ReportSource, TeamLimit, TeamTag, Ticket, WaitEnd,
};
use teaselline::time::TimeMs;

const INTERACTIVE: u8 = 7;
const BATCH: u8 = 1;
const STEP_MS: u64 = 20;
const WARM_MS: u64 = 10_000;
const END_MS: u64 = 50_000;
const MEAN_COST_MS: f64 = 1_000.0;
/// Interactive requests are worth taking if they start within this time.
const PATIENCE_MS: u64 = 500;

fn limits(capacity: f64, weights: &[f64]) -> AdmissionState {
    let mut limits = AdmissionState::new(PoolKey(0));
    let teams = (0..).zip(weights).map(|(tag, weight)| TeamLimit {
        tag: TeamTag(tag),
        weight: *weight,
        max_waiting: 1_000,
    });
    limits.set_teams(&teams.collect::<Vec<_>>(), TimeMs(0));
    limits.set_capacity(capacity, TimeMs(0));
    limits
}

/// Requests of one team that arrive at one node, on average.
#[derive(Clone, Copy)]
struct Flow {
    node: usize,
    team: usize,
    priority: u8,
    per_second: f64,
}

struct Run {
    ends_ms: TimeMs,
    node: usize,
    team: usize,
    priority: u8,
    cost_ms: f64,
}

struct Asked {
    flow: Flow,
    came_ms: TimeMs,
}

#[derive(Default)]
struct Outcome {
    /// Slots that each team's answered work took, on average.
    slots: Vec<f64>,
    interactive_waits_ms: Vec<u64>,
    refusals_ms: Vec<u64>,
    most_running: usize,
}

struct Fleet {
    nodes: Vec<AdmissionState>,
    rng: SmallRng,
    waiting: HashMap<(usize, Ticket), Asked>,
    running: Vec<Run>,
    outcome: Outcome,
}

impl Fleet {
    fn new(nodes: usize, slots: f64, weights: &[f64], seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| limits(slots, weights)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            waiting: HashMap::new(),
            running: Vec::new(),
            outcome: Outcome {
                slots: vec![0.0; weights.len()],
                ..Outcome::default()
            },
        }
    }

    fn exchange(&mut self, now: TimeMs) {
        let reports: Vec<_> = self.nodes.iter().map(AdmissionState::report).collect();
        for (node, limits) in self.nodes.iter_mut().enumerate() {
            for (peer, report) in reports.iter().enumerate().filter(|(peer, _)| *peer != node) {
                let from = ReportSource::Node(Incarnation(peer as u64));
                limits.merge(from, report.clone(), now);
            }
        }
    }

    fn end_runs(&mut self, now: TimeMs) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.ends_ms <= now);
        self.running = running;
        for run in ended {
            self.nodes[run.node].release(TeamTag(run.team as u32), run.priority, run.cost_ms);
            if now.0 > WARM_MS {
                self.outcome.slots[run.team] += run.cost_ms / (END_MS - WARM_MS) as f64;
            }
        }
    }

    fn arrive(&mut self, flow: Flow, now: TimeMs) {
        let asked = Asked { flow, came_ms: now };
        let ask = AdmissionRequest {
            team: TeamTag(flow.team as u32),
            priority: flow.priority,
            expected_hold_ms: MEAN_COST_MS,
            max_wait_ms: if flow.priority == BATCH {
                20_000
            } else {
                PATIENCE_MS
            },
            latest_start_ms: now.after(30_000),
        };
        match self.nodes[flow.node].admit(ask, now) {
            Admission::Run(_) => self.start(&asked, now),
            Admission::Wait { ticket, .. } => {
                self.waiting.insert((flow.node, ticket), asked);
            }
            Admission::Refuse(_) => self.outcome.refusals_ms.push(0),
        }
    }

    fn start(&mut self, asked: &Asked, now: TimeMs) {
        let cost_ms = self
            .rng
            .random_range(0.5 * MEAN_COST_MS..1.5 * MEAN_COST_MS);
        if asked.flow.priority != BATCH && now.0 > WARM_MS {
            let waited_ms = now.since(asked.came_ms);
            self.outcome.interactive_waits_ms.push(waited_ms);
        }
        self.running.push(Run {
            ends_ms: now.after(cost_ms as u64),
            node: asked.flow.node,
            team: asked.flow.team,
            priority: asked.flow.priority,
            cost_ms,
        });
    }

    fn wake(&mut self, now: TimeMs) {
        for node in 0..self.nodes.len() {
            for wake in self.nodes[node].admit_waiting(now) {
                let (WaitEnd::Run(ticket) | WaitEnd::Refuse(ticket, _)) = wake;
                let asked = self.waiting.remove(&(node, ticket)).unwrap();
                match wake {
                    WaitEnd::Run(_) => self.start(&asked, now),
                    WaitEnd::Refuse(..) => {
                        let waited_ms = now.since(asked.came_ms);
                        self.outcome.refusals_ms.push(waited_ms);
                    }
                }
            }
        }
    }

    fn run(mut self, flows: &[Flow]) -> Outcome {
        for now in (0..END_MS).step_by(STEP_MS as usize).map(TimeMs) {
            if now.0.is_multiple_of(1_000) {
                self.exchange(now);
            }
            self.end_runs(now);
            for flow in flows {
                let chance = flow.per_second * STEP_MS as f64 / 1_000.0;
                if self.rng.random_bool(chance.min(1.0)) {
                    self.arrive(*flow, now);
                }
            }
            self.wake(now);
            if now.0 > WARM_MS {
                let running = self.running.len();
                self.outcome.most_running = self.outcome.most_running.max(running);
            }
        }
        self.outcome.interactive_waits_ms.sort_unstable();
        self.outcome.refusals_ms.sort_unstable();
        self.outcome
    }
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

/// Flows at twice the capacity: the first team sends ten times its share, the others what is left;
/// half of each team's requests come to the first node.
fn overload(nodes: usize, slots: f64, weights: &[f64]) -> Vec<Flow> {
    let total: f64 = weights.iter().sum();
    let capacity_per_second = slots * 1_000.0 / MEAN_COST_MS;
    let shares: Vec<_> = weights.iter().map(|weight| weight / total).collect();
    let first = 10.0 * shares[0];
    let others = (2.0 - first).max(0.0) / (1.0 - shares[0]);
    let mut flows = Vec::new();
    for (team, share) in shares.iter().enumerate() {
        let load = if team == 0 { first } else { share * others };
        for node in 0..nodes {
            let part = if node == 0 {
                0.5
            } else {
                0.5 / (nodes - 1) as f64
            };
            for priority in [INTERACTIVE, BATCH] {
                flows.push(Flow {
                    node,
                    team,
                    priority,
                    per_second: 0.5 * load * part * capacity_per_second,
                });
            }
        }
    }
    flows
}

// Symptom: one team's flood takes the others' answers. Sequence: a team sends ten times its share,
// half of all callers keep to one entry node, demand is twice the capacity. Cause: shares that hold
// only at each node, or queues that grow until everything in them is late.
#[test]
fn each_team_gets_its_share_at_twice_the_capacity() {
    let weights = [1.0, 1.0, 2.0, 3.0, 3.0];
    let slots = 288.0;
    let flows = overload(9, slots, &weights);
    let claims: Vec<_> = (0..weights.len())
        .map(|team| ShareClaim {
            weight: weights[team],
            demand: flows
                .iter()
                .filter(|flow| flow.team == team)
                .map(|flow| flow.per_second * MEAN_COST_MS / 1_000.0)
                .sum(),
        })
        .collect();
    let fair = max_min_split(slots, &claims).shares;
    for seed in 0..2 {
        let outcome = Fleet::new(9, slots, &weights, seed).run(&flows);
        let used: f64 = outcome.slots.iter().sum();
        let p95_ms = quantile(&outcome.interactive_waits_ms, 0.95);
        let refused_p95_ms = quantile(&outcome.refusals_ms, 0.95);
        let shares: Vec<_> = outcome
            .slots
            .iter()
            .zip(&fair)
            .map(|(is, fair)| is / fair)
            .collect();
        println!(
            "seed {seed}: used {:.3} of capacity, shares of fair {shares:.3?}, interactive wait \
             p95 {p95_ms} ms, refusal p95 {refused_p95_ms} ms of {}, most running {}",
            used / slots,
            outcome.refusals_ms.len(),
            outcome.most_running
        );
        assert!(used >= 0.95 * slots);
        assert!(shares.iter().all(|share| *share >= 0.95));
        assert!(p95_ms <= PATIENCE_MS);
        assert!(refused_p95_ms <= 50);
        assert!(outcome.most_running as f64 <= 1.1 * slots);
    }
}
