//! How well routing chooses, in fast time against simple choosers and against perfect knowledge.
//!
//! `cargo test --release --test routing_quality -- --nocapture --include-ignored` prints the tables
//! of `docs/design/routing.md`.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation are small"
)]

#[path = "routing_quality/engines.rs"]
mod engines;
#[path = "routing_quality/policies.rs"]
mod policies;
#[path = "routing_quality/workload.rs"]
mod workload;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use engines::{Engine, Job, Started};
use policies::{Chosen, Node, Policy, document};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::document::Document;
use teaselline::routing::RoutePolicy;
use teaselline::time::TimeMs;
use workload::{Caller, Turn, Workload};

/// How late load reports and cache events are.
const REPORT_LAG_MS: u64 = 500;

const HOSTS: usize = 18;
const NODES: usize = 9;
const LOAD_EVERY_MS: u64 = 250;
const EXCHANGE_EVERY_MS: u64 = 200;
const EVENTS_EVERY_MS: u64 = 500;
const EVENTS_LATE_MS: u64 = 1_000;
const EVENTS_LOST: f64 = 0.1;
const WARM_MS: u64 = 30_000;
const END_MS: u64 = 150_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { caller: usize },
    FirstToken { host: usize, request: usize },
    End { host: usize, request: usize },
    Loads,
    CacheEvents,
    Exchange,
}

struct Open {
    turn: Turn,
    chosen: Chosen,
    cached_tokens: u64,
}

struct Simulation {
    policy: Policy,
    workload: Workload,
    load_lag_ms: u64,
    document: Document,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    callers: Vec<Caller>,
    open: HashMap<usize, Open>,
    events: BinaryHeap<Reverse<(TimeMs, u64, Event)>>,
    scheduled: u64,
    requests: usize,
    events_read: Vec<usize>,
    rng: SmallRng,
    prompt_tokens: u64,
    computed_at_warm: u64,
    first_tokens_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    answered: usize,
    computed_share: f64,
    p95_ms: u64,
}

impl Simulation {
    fn new(policy: Policy, workload: Workload, load_lag_ms: u64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = Self {
            policy,
            workload,
            load_lag_ms,
            document: document(),
            engines: (0..HOSTS).map(|_| Engine::default()).collect(),
            nodes: (0..NODES).map(|_| Node::new(HOSTS)).collect(),
            callers: (0..workload.conversations)
                .map(|_| Caller::new(&workload, &mut rng))
                .collect(),
            open: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            requests: 0,
            events_read: vec![0; HOSTS],
            rng,
            prompt_tokens: 0,
            computed_at_warm: 0,
            first_tokens_ms: Vec::new(),
        };
        for caller in 0..workload.conversations {
            let at_ms = simulation.rng.random_range(0..workload.think_ms * 2);
            simulation.schedule(TimeMs(at_ms), Event::Ask { caller });
        }
        simulation.schedule(TimeMs(0), Event::Loads);
        simulation.schedule(TimeMs(0), Event::CacheEvents);
        simulation.schedule(TimeMs(0), Event::Exchange);
        simulation
    }

    fn schedule(&mut self, at_ms: TimeMs, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_ms, self.scheduled, event)));
    }

    fn run(mut self) -> Outcome {
        let mut warm = false;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now.0 > END_MS {
                break;
            }
            if now.0 > WARM_MS && !warm {
                warm = true;
                self.computed_at_warm = self.computed_tokens();
            }
            match event {
                Event::Ask { caller } => self.ask(caller, now),
                Event::FirstToken { host, request } => self.first_token(host, request, now),
                Event::End { host, request } => self.end(host, request, now),
                Event::Loads => self.loads(now),
                Event::CacheEvents => self.cache_events(now),
                Event::Exchange => self.exchange(now),
            }
        }
        self.outcome()
    }

    fn outcome(mut self) -> Outcome {
        self.first_tokens_ms.sort_unstable();
        let computed = (self.computed_tokens() - self.computed_at_warm) as f64;
        let answered = self.first_tokens_ms.len();
        let quantile = |share: f64| self.first_tokens_ms[((answered - 1) as f64 * share) as usize];
        Outcome {
            answered,
            computed_share: computed / self.prompt_tokens as f64,
            p95_ms: quantile(0.95),
        }
    }

    fn computed_tokens(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| engine.computed_tokens)
            .sum()
    }

    fn ask(&mut self, caller: usize, now: TimeMs) {
        if self.callers[caller].ended() {
            self.callers[caller] = Caller::new(&self.workload, &mut self.rng);
        }
        let turn = self.callers[caller].next(now, caller, NODES, &mut self.rng);
        let node = &mut self.nodes[turn.node];
        let chosen = node.choose(
            self.policy,
            &self.document,
            &self.engines,
            &turn,
            &mut self.rng,
        );
        let request = self.requests;
        self.requests += 1;
        self.engines[chosen.host].push(Job {
            request,
            blocks: turn.blocks.clone(),
            prompt_tokens: turn.prompt_tokens,
            answer_tokens: turn.answer_tokens,
        });
        let host = chosen.host;
        let open = Open {
            turn,
            chosen,
            cached_tokens: 0,
        };
        self.open.insert(request, open);
        self.start(host, now);
    }

    fn start(&mut self, host: usize, now: TimeMs) {
        while let Some(started) = self.engines[host].start_next(now) {
            self.note_started(host, &started, now);
        }
    }

    fn note_started(&mut self, host: usize, started: &Started, now: TimeMs) {
        let open = self.open.get_mut(&started.job.request).unwrap();
        open.cached_tokens = started.cached_tokens;
        if now.0 > WARM_MS {
            self.prompt_tokens += open.turn.prompt_tokens;
            let waited_ms = started.first_token_ms.since(open.turn.at_ms);
            self.first_tokens_ms.push(waited_ms);
        }
        let request = started.job.request;
        self.schedule(started.first_token_ms, Event::FirstToken { host, request });
        self.schedule(started.ends_ms, Event::End { host, request });
    }

    fn first_token(&mut self, host: usize, request: usize, now: TimeMs) {
        if let Policy::Product(_) = self.policy {
            let open = &self.open[&request];
            let took_ms = now.since(open.turn.at_ms);
            let node = &self.nodes[open.turn.node];
            node.note_first_token(host, &open.chosen, took_ms, now);
        }
    }

    fn end(&mut self, host: usize, request: usize, now: TimeMs) {
        self.engines[host].running -= 1;
        let open = self.open.remove(&request).unwrap();
        if let Policy::Product(_) = self.policy {
            let node = &mut self.nodes[open.turn.node];
            node.note_done(host, &open.turn, &open.chosen, open.cached_tokens, now);
        }
        self.start(host, now);
        let think_ms = match self.workload.burst_every_ms {
            0 => self.rng.random_range(0..self.workload.think_ms * 2),
            every_ms => every_ms - now.0 % every_ms + self.rng.random_range(0..200),
        };
        let caller = open.turn.conversation;
        self.schedule(now.after(think_ms), Event::Ask { caller });
    }

    fn loads(&mut self, now: TimeMs) {
        for (host, engine) in self.engines.iter_mut().enumerate() {
            if let Some(load) = engine.late_report(now, self.load_lag_ms) {
                for node in &self.nodes {
                    node.put_load(host, load);
                }
            }
        }
        self.schedule(now.after(LOAD_EVERY_MS), Event::Loads);
    }

    fn exchange(&mut self, now: TimeMs) {
        let sent: Vec<_> = self.nodes.iter_mut().map(Node::take_net).collect();
        for (from, net) in sent.iter().enumerate() {
            for (_, to) in self.nodes.iter().enumerate().filter(|(to, _)| *to != from) {
                to.put_net(net, now);
            }
        }
        self.schedule(now.after(EXCHANGE_EVERY_MS), Event::Exchange);
    }

    fn cache_events(&mut self, now: TimeMs) {
        for (host, engine) in self.engines.iter().enumerate() {
            let unread = &engine.events[self.events_read[host]..];
            let due = unread.partition_point(|event| now.since(event.as_of_ms) >= EVENTS_LATE_MS);
            self.events_read[host] += due;
            for node in &self.nodes {
                let mut got = unread[..due].to_vec();
                got.retain(|_| !self.rng.random_bool(EVENTS_LOST));
                node.cache().apply_events(policies::host_key(host), &got);
            }
        }
        self.schedule(now.after(EVENTS_EVERY_MS), Event::CacheEvents);
    }
}

fn simulate(policy: Policy, workload: Workload, load_lag_ms: u64, seed: u64) -> Outcome {
    Simulation::new(policy, workload, load_lag_ms, seed).run()
}

fn product() -> Policy {
    Policy::Product(RoutePolicy::default())
}

// Symptom: engines compute the same prompts again and again, and first tokens come late.
// Sequence: conversations with shared instructions, caches that hold part of them, late reports.
// Cause: a choice that looks at load alone, or in turns, sends each turn to another cache.
#[test]
fn the_choice_finds_cached_prefixes_without_queueing_on_them() {
    let workload = Workload {
        conversations: 400,
        ..Workload::default()
    };
    for seed in 0..2 {
        let ours = simulate(product(), workload, REPORT_LAG_MS, seed);
        let in_turn = simulate(Policy::RoundRobin, workload, REPORT_LAG_MS, seed);
        let least_load = simulate(Policy::LeastLoad, workload, REPORT_LAG_MS, seed);
        let hashing = simulate(Policy::Hashing, workload, REPORT_LAG_MS, seed);
        let perfect = simulate(Policy::Perfect, workload, REPORT_LAG_MS, seed);
        let perfect_load = simulate(Policy::PerfectLoad, workload, REPORT_LAG_MS, seed);
        println!("ours {ours:?}");
        println!("in turn {in_turn:?}, least load {least_load:?}, hashing {hashing:?}");
        println!("perfect knowledge {perfect:?}, perfect load {perfect_load:?}");
        assert!(ours.answered > 5_000, "{ours:?}");
        assert!(ours.computed_share < 0.5 * in_turn.computed_share);
        assert!(ours.computed_share < 0.5 * least_load.computed_share);
        assert!(ours.computed_share <= 1.15 * perfect.computed_share);
        assert!(ours.p95_ms < hashing.p95_ms);
        assert!(4 * ours.p95_ms <= 6 * perfect_load.p95_ms);
    }
}
