//! A fleet of nodes that send requests to engines of their own speeds and state their sums. Each node
//! learns its own model of the pool.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::gateway::speed::pace::EngineModel;

/// Most nodes of a group.
const GROUP_NODES: usize = 32;

const STEP_MS: u64 = 100;

const STATEMENT_INTERVAL_MS: u64 = 2_000;

/// Time to first token of an empty prompt at the mean engine, and its increase per request of the
/// batch, in ms.
const IDLE_MS: f64 = 35.0;
const CROWDING_MS: f64 = 0.8;

/// Prompt tokens that the mean engine reads in a millisecond.
pub(super) const READ_TOKENS_PER_MS: f64 = 38.0;

/// Tokens to be read before the first token, and requests in the batch.
const WAITING_TOKENS: std::ops::Range<u64> = 1_000..20_000;
const RUNNING: std::ops::Range<u32> = 0..25;

/// Share of requests that are stalled, and the multiple of the time that they take.
const STALLED: (f64, f64) = (0.03, 4.0);

#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub nodes: usize,
    pub engines: usize,
    pub requests_per_s: f64,
    /// Share of the datagrams that are lost.
    pub lost_share: f64,
}

pub(super) struct Fleet {
    pub load: Load,
    pub tables: Vec<UpstreamTable>,
    /// The pool's model at each node.
    pub models: Vec<EngineModel>,
    /// Incarnations of each group.
    groups: Vec<Vec<u64>>,
    /// Time factors of the engines, whose mean is 1.
    true_factors: Vec<f64>,
    /// Multiple of the time that all engines take at present.
    pub slow_down_by: f64,
    /// Measured by expected time of each request, with its engine.
    pub measured: Vec<(usize, f64)>,
    /// Bytes of the statements that the last node received.
    pub received_bytes: usize,
    /// Bytes that one group stated to one other.
    pub stated_bytes: usize,
    now_ms: u64,
    due_requests: f64,
    rng: SmallRng,
}

impl Fleet {
    pub fn start(load: Load, factors: &[f64]) -> Self {
        let mean = factors.iter().sum::<f64>() / num::to_f64(factors.len() as u64);
        let incarnations: Vec<u64> = (0..load.nodes as u64).collect();
        Self {
            load,
            tables: (0..load.nodes).map(|_node| table(load.engines)).collect(),
            models: vec![EngineModel::default(); load.nodes],
            groups: (incarnations.chunks(GROUP_NODES))
                .map(<[u64]>::to_vec)
                .collect(),
            true_factors: (0..load.engines)
                .map(|engine| factors[engine % factors.len()] / mean)
                .collect(),
            slow_down_by: 1.0,
            measured: Vec::new(),
            received_bytes: 0,
            stated_bytes: 0,
            now_ms: 0,
            due_requests: 0.0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    /// Gives all nodes the model of the mean engine, as that of their peers would.
    pub fn teach_models(&mut self) {
        let mut model = EngineModel::default();
        for request in 0..60 {
            let waiting_tokens = WAITING_TOKENS.start + request * 300;
            let took_ms = IDLE_MS + num::to_f64(waiting_tokens) / READ_TOKENS_PER_MS;
            model.record_first_token(waiting_tokens, 0, num::round_to_u64(took_ms));
            model.record_stream(20.0, 0, 1_000);
        }
        self.models.fill(model);
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.due_requests += self.load.requests_per_s * num::to_f64(STEP_MS) / 1_000.0;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.send_request();
            }
            if self.now_ms.is_multiple_of(STATEMENT_INTERVAL_MS) {
                self.exchange_statements();
            }
        }
    }

    fn send_request(&mut self) {
        let node = self.rng.random_range(0..self.load.nodes);
        let engine = self.rng.random_range(0..self.load.engines);
        let waiting_tokens = self.rng.random_range(WAITING_TOKENS);
        let running = self.rng.random_range(RUNNING);
        let mean_ms = IDLE_MS
            + num::to_f64(waiting_tokens) / READ_TOKENS_PER_MS
            + CROWDING_MS * f64::from(running);
        let (stalled_share, stalled_by) = STALLED;
        let noise = if self.rng.random_bool(stalled_share) {
            stalled_by
        } else {
            self.rng.random_range(0.7..1.3)
        };
        let took_ms = mean_ms * self.true_factors[engine] * self.slow_down_by * noise;
        let table = &mut self.tables[node];
        let key = table.find(&id(engine)).expect("engine is known");
        let speed = &mut table.get_mut(key).expect("engine is known").speed;
        let model = &mut self.models[node];
        let pace = model.pace();
        let expected_ms = pace.first_ms
            + num::to_f64(waiting_tokens) / pace.read_tokens_per_ms
            + pace.crowding_ms * f64::from(running);
        (self.measured).push((engine, took_ms / (expected_ms * speed.factor())));
        if pace.is_learned {
            speed.record(expected_ms, took_ms);
        }
        model.record_first_token(waiting_tokens, running, num::round_to_u64(took_ms));
        model.record_stream(20.0, running, 1_000);
    }

    /// Lets each node state its sums to its group, and the first node of each group those of the
    /// group to the others.
    fn exchange_statements(&mut self) {
        let mut members = self.groups.concat();
        members.sort_unstable();
        for table in &mut self.tables {
            table.age_speeds(STATEMENT_INTERVAL_MS, &members);
        }
        for group in 0..self.groups.len() {
            let members = self.groups[group].clone();
            for sender in &members {
                let rows = self.tables[node(*sender)].take_speed_rows(Scope::Node, &[]);
                self.deliver(*sender, Scope::Node, &members, &members, &rows);
            }
        }
        for group in 0..self.groups.len() {
            let members = self.groups[group].clone();
            let speaker = members[0];
            let rows = self.tables[node(speaker)].take_speed_rows(Scope::Group, &members);
            self.stated_bytes += encoded_bytes(&rows);
            for other in (0..self.groups.len()).filter(|other| *other != group) {
                let recipients = self.groups[other].clone();
                self.deliver(speaker, Scope::Group, &members, &recipients, &rows);
            }
        }
    }

    fn deliver(
        &mut self,
        incarnation: u64,
        scope: Scope,
        group: &[u64],
        recipients: &[u64],
        rows: &[SpeedRow],
    ) {
        let sender = Sender {
            incarnation,
            scope,
            sequence: self.now_ms,
            group,
        };
        let bytes = encoded_bytes(rows);
        for recipient in recipients.iter().filter(|other| **other != incarnation) {
            if *recipient == self.load.nodes as u64 - 1 {
                self.received_bytes += bytes;
            }
            if !self.rng.random_bool(self.load.lost_share) {
                let dropped = self.tables[node(*recipient)].apply_speed_rows(&sender, rows);
                assert_eq!(dropped, 0, "a node stated invalid sums");
            }
        }
    }

    /// Returns the median of measured by expected time at an engine.
    pub fn median_ratio(&self, engine: usize) -> f64 {
        let of_engine = self
            .measured
            .iter()
            .filter(|(other, _ratio)| *other == engine);
        let mut ratios: Vec<f64> = of_engine.map(|(_engine, ratio)| *ratio).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    }

    /// Returns the time factor of an engine as each node knows it.
    pub fn factors(&self, engine: usize) -> Vec<f64> {
        let factor = |table: &UpstreamTable| {
            let key = table.find(&id(engine)).expect("engine is known");
            table.get(key).expect("engine is known").speed.factor()
        };
        self.tables.iter().map(factor).collect()
    }
}

fn encoded_bytes(rows: &[SpeedRow]) -> usize {
    let encoded = bincode::encode_to_vec(rows, bincode::config::standard());
    encoded.expect("rows can be encoded").len()
}

/// Returns the index of the node with an incarnation.
fn node(incarnation: u64) -> usize {
    usize::try_from(incarnation).expect("nodes are few")
}

fn id(engine: usize) -> String {
    format!("e{engine}")
}

fn table(engines: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for engine in 0..engines {
        let engine = announced(&id(engine), "engines", "d");
        table.apply(Change::Present(engine), false, TimeMs(1));
    }
    table
}
