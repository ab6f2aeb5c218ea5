//! Plays the load of a fleet of nodes on one pool of engines, in steps and without a network.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::gateway::num;
use crate::gateway::scheduling::allocation::Weights;
use crate::gateway::scheduling::demand::Kind;
use crate::gateway::scheduling::room::{EngineLoad, Room};
use crate::gateway::scheduling::{Arrival, Entry, PoolScheduler, PoolView};
use crate::limits::TeamTag;
use crate::limits::queue::Ticket;
use crate::limits::shares::{ShareClaim, max_min_split};
use crate::time::TimeMs;

pub(super) const TEAMS: usize = 16;
pub(super) const URGENCIES: [u8; 3] = [1, 3, 5];
pub(super) const TARGET_MS: u64 = 800;
const DEADLINE_MS: u64 = 5_000;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 200;
const REFRESH_MS: u64 = 50;
const FIRST_MS: f64 = 20.0;
/// Tokens that an engine reads in a millisecond, as the nodes have learned it.
const LEARNED_TOKENS_PER_MS: f64 = 20.0;
const TOKENS: std::ops::Range<f64> = 200.0..4_000.0;
const MAX_GROUP_NODES: usize = 32;

/// A load and the fleet that it meets.
#[derive(Clone, Debug)]
pub(super) struct Play {
    pub nodes: usize,
    pub engines: usize,
    /// True speed of the engines over the learned one.
    pub speed: f64,
    /// Demand over the room.
    pub overload: f64,
    /// Relative demand of each team.
    pub sizes: Vec<f64>,
    pub seed: u64,
}

impl Play {
    /// Half of the room that is needed; teams ask for parts in proportion to 1, 1/2, 1/3, ...
    pub fn half_the_room(nodes: usize) -> Self {
        let team_count = u32::try_from(TEAMS).expect("a small count");
        Self {
            nodes,
            engines: 40,
            speed: 1.0,
            overload: 2.0,
            sizes: (1..=team_count).map(|rank| 1.0 / f64::from(rank)).collect(),
            seed: 7,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    node: usize,
    kind: usize,
    tokens: f64,
    left: f64,
    arrived: TimeMs,
    draw: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    jobs: VecDeque<Job>,
    is_lost: bool,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub asked: f64,
    pub asked_tokens: f64,
    pub in_time: f64,
    pub in_time_tokens: f64,
    pub late: f64,
    pub refused: f64,
}

/// The state of a play.
pub(super) struct Fleet {
    pub play: Play,
    pub now: TimeMs,
    pub schedulers: Vec<PoolScheduler>,
    engines: Vec<Engine>,
    waiting: Vec<Vec<(Ticket, Job)>>,
    own: Vec<Vec<f64>>,
    reported: Vec<Vec<f64>>,
    reported_total: Vec<f64>,
    /// Nodes whose reports don't arrive.
    pub silent: Vec<bool>,
    /// Chance that a report is lost.
    pub loss: f64,
    /// Nodes that callers use.
    pub entry: std::ops::Range<usize>,
    pub tallies: Vec<Tally>,
    pub refusal_waits_ms: Vec<u64>,
    pub room_tokens: f64,
    /// Extra demand of the first team, as a multiple of the room.
    pub flood: f64,
    random: StdRng,
}

impl Fleet {
    pub fn new(play: Play) -> Self {
        Self {
            now: TimeMs(1_000_000),
            schedulers: vec![PoolScheduler::default(); play.nodes],
            engines: vec![Engine::default(); play.engines],
            waiting: vec![Vec::new(); play.nodes],
            own: vec![vec![0.0; play.engines]; play.nodes],
            reported: vec![vec![0.0; play.engines]; play.nodes],
            reported_total: vec![0.0; play.engines],
            silent: vec![false; play.nodes],
            loss: 0.0,
            entry: 0..play.nodes,
            tallies: vec![Tally::default(); TEAMS * URGENCIES.len()],
            refusal_waits_ms: Vec::new(),
            room_tokens: 0.0,
            flood: 0.0,
            random: StdRng::seed_from_u64(play.seed),
            play,
        }
    }

    /// Plays for some time, then forgets what callers got.
    pub fn warm_up(&mut self, ms: u64) {
        self.run(ms);
        self.tallies = vec![Tally::default(); TEAMS * URGENCIES.len()];
        self.refusal_waits_ms.clear();
        self.room_tokens = 0.0;
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now.after(ms);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.read();
        self.report();
        for node in 0..self.play.nodes {
            self.refresh(node);
            self.poll(node);
        }
        self.arrive();
    }

    fn read(&mut self) {
        let step_tokens = LEARNED_TOKENS_PER_MS * self.play.speed * num::to_f64(STEP_MS);
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if engine.is_lost {
                continue;
            }
            self.room_tokens += step_tokens;
            let mut left = step_tokens;
            while left > 0.0
                && let Some(job) = engine.jobs.front_mut()
            {
                let read = left.min(job.left);
                job.left -= read;
                left -= read;
                if job.left > 0.0 {
                    continue;
                }
                self.own[job.node][index] -= job.tokens;
                let took_ms = num::to_f64(self.now.since(job.arrived)) + FIRST_MS;
                let tally = &mut self.tallies[job.kind];
                if took_ms <= num::to_f64(TARGET_MS) {
                    tally.in_time += 1.0;
                    tally.in_time_tokens += job.tokens;
                } else {
                    tally.late += 1.0;
                }
                engine.jobs.pop_front();
            }
        }
    }

    fn group(&self, node: usize) -> usize {
        let groups = self.play.nodes.div_ceil(MAX_GROUP_NODES);
        node * groups / self.play.nodes
    }

    /// Exchanges loads and demand: nodes of a group directly, groups by sums.
    fn report(&mut self) {
        for node in 0..self.play.nodes {
            // Nodes report in turn, not all at once.
            let offset = node as u64 * 35 / STEP_MS * STEP_MS;
            if !(self.now.0 + offset).is_multiple_of(REPORT_MS) {
                continue;
            }
            if self.silent[node] || self.random.random_bool(self.loss) {
                continue;
            }
            for (engine, total) in self.reported_total.iter_mut().enumerate() {
                *total += self.own[node][engine] - self.reported[node][engine];
            }
            self.reported[node].clone_from(&self.own[node]);
            let incarnation = node as u64;
            let own = self.schedulers[node].own_report(0, incarnation, self.now);
            let group = self.group(node);
            let speaks = node == 0 || self.group(node - 1) != group;
            let sum = self.schedulers[node].group_report(0, group as u64, self.now);
            for other in 0..self.play.nodes {
                let is_same = self.group(other) == group;
                if let Some(report) = own.clone().filter(|_own| is_same && other != node) {
                    self.schedulers[other].record_report(report, self.now);
                }
                if let Some(report) = sum.clone().filter(|_sum| speaks && !is_same) {
                    self.schedulers[other].record_report(report, self.now);
                }
            }
        }
    }

    fn unread(&self, node: usize, engine: usize) -> f64 {
        let others = self.reported_total[engine] - self.reported[node][engine];
        others.max(0.0) + self.own[node][engine]
    }

    fn refresh(&mut self, node: usize) {
        let offset = node as u64 * 15 / STEP_MS * STEP_MS;
        if !(self.now.0 + offset).is_multiple_of(REFRESH_MS) {
            return;
        }
        let open = (0..self.play.engines).filter(|engine| !self.engines[*engine].is_lost);
        let loads = open.map(|engine| EngineLoad {
            read_tokens_per_ms: LEARNED_TOKENS_PER_MS,
            unread_tokens: num::round_to_u64(self.unread(node, engine)),
            running: 0,
            slots: 64,
        });
        let view = PoolView {
            room: Room::of(loads),
            target_ms: num::to_f64(TARGET_MS),
            known_nodes: u32::try_from(self.play.nodes).expect("a small count"),
            weights: Weights::default(),
        };
        self.schedulers[node].refresh(&view, self.now);
    }

    fn poll(&mut self, node: usize) {
        for ended in self.schedulers[node].poll(self.now) {
            let index = self.waiting[node]
                .iter()
                .position(|(ticket, _job)| *ticket == ended.ticket);
            let (_ticket, job) = self.waiting[node].swap_remove(index.expect("a waiting request"));
            match ended.result {
                Ok(()) => self.send(job),
                Err(_reason) => self.refuse(job, ended.waited_ms),
            }
        }
    }

    fn refuse(&mut self, job: Job, waited_ms: u64) {
        self.tallies[job.kind].refused += 1.0;
        self.refusal_waits_ms.push(waited_ms);
    }

    /// Sends a request to the engine with less to read of the two that are preferred for its prompt.
    fn send(&mut self, job: Job) {
        let engine = self.choose(&job);
        self.own[job.node][engine] += job.tokens;
        self.engines[engine].jobs.push_back(job);
    }

    fn choose(&self, job: &Job) -> usize {
        let open: Vec<usize> = (0..self.play.engines)
            .filter(|engine| !self.engines[*engine].is_lost)
            .collect();
        let preferred = |draw: u64| {
            let rank = draw % open.len() as u64;
            open[usize::try_from(rank).expect("a small rank")]
        };
        let engines = [preferred(job.draw), preferred(job.draw >> 32)];
        let unread = |engine: &usize| self.unread(job.node, *engine);
        let best = engines
            .into_iter()
            .min_by(|left, right| unread(left).total_cmp(&unread(right)));
        best.expect("an engine")
    }

    fn arrive(&mut self) {
        let mean_tokens = f64::midpoint(TOKENS.start, TOKENS.end);
        let room = LEARNED_TOKENS_PER_MS * self.play.speed * num::to_f64(self.play.engines as u64);
        let per_step = room * num::to_f64(STEP_MS) / mean_tokens;
        let sizes: f64 = self.play.sizes.iter().sum();
        for team in 0..TEAMS {
            let flood = if team == 0 { self.flood } else { 0.0 };
            let rate = per_step * (self.play.overload * self.play.sizes[team] / sizes + flood);
            for index in 0..URGENCIES.len() {
                let mean = rate / num::to_f64(URGENCIES.len() as u64);
                for _arrival in 0..self.count(mean) {
                    self.ask(team, index);
                }
            }
        }
    }

    /// Draws a number of arrivals with this mean.
    fn count(&mut self, mean: f64) -> usize {
        let mut product: f64 = self.random.random();
        let least = (-mean).exp();
        let mut count = 0;
        while product > least {
            product *= self.random.random::<f64>();
            count += 1;
        }
        count
    }

    fn ask(&mut self, team: usize, urgency: usize) {
        let node = self.random.random_range(self.entry.clone());
        let tokens = self.random.random_range(TOKENS);
        let kind = Kind {
            team: TeamTag(u32::try_from(team).expect("a small count")),
            urgency: URGENCIES[urgency],
        };
        let job = Job {
            node,
            kind: team * URGENCIES.len() + urgency,
            tokens,
            left: tokens,
            arrived: self.now,
            draw: self.random.random(),
        };
        let tally = &mut self.tallies[job.kind];
        tally.asked += 1.0;
        tally.asked_tokens += tokens;
        let backlog_ms = self.unread(node, self.choose(&job)) / LEARNED_TOKENS_PER_MS;
        let scheduler = &mut self.schedulers[node];
        scheduler.record_demand(kind, tokens, self.now);
        let idle_ms = FIRST_MS + tokens / LEARNED_TOKENS_PER_MS;
        let arrival = Arrival {
            kind,
            tokens,
            idle_ms,
            expected_ms: idle_ms + backlog_ms,
            target_at: self.now.after(TARGET_MS),
            deadline: self.now.after(DEADLINE_MS),
            draw: job.draw,
        };
        match scheduler.enter(arrival, self.now) {
            Entry::Start => self.send(job),
            Entry::Wait(ticket) => self.waiting[node].push((ticket, job)),
            Entry::Refuse(_refused) => self.refuse(job, 0),
        }
    }

    /// Loses the first engines with the requests that they have.
    pub fn lose_engines(&mut self, count: usize) {
        for index in 0..count {
            self.engines[index] = Engine {
                is_lost: true,
                jobs: VecDeque::new(),
            };
            for node in 0..self.play.nodes {
                self.own[node][index] = 0.0;
            }
        }
    }

    /// Returns what a team's callers got.
    pub fn team(&self, team: usize) -> Tally {
        let kinds = &self.tallies[team * URGENCIES.len()..(team + 1) * URGENCIES.len()];
        sum(kinds.iter())
    }

    /// Returns what the callers of an urgency got.
    pub fn urgency(&self, urgency: usize) -> Tally {
        sum((self.tallies.iter()).skip(urgency).step_by(URGENCIES.len()))
    }

    pub fn total(&self) -> Tally {
        sum(self.tallies.iter())
    }

    /// Returns what each team got in time over its fair share of the room, in tokens.
    pub fn parts_of_fair_share(&self) -> Vec<f64> {
        let claims: Vec<ShareClaim> = (0..TEAMS)
            .map(|team| ShareClaim {
                weight: 1.0,
                demand: self.team(team).asked_tokens,
            })
            .collect();
        let fair = max_min_split(self.room_tokens, &claims).shares;
        (0..TEAMS)
            .map(|team| self.team(team).in_time_tokens / fair[team])
            .collect()
    }

    /// Returns what was answered in time over what the room could give, in tokens.
    pub fn part_of_room(&self) -> f64 {
        let total = self.total();
        total.in_time_tokens / self.room_tokens.min(total.asked_tokens)
    }

    /// Returns the time after arrival within which 95 of 100 refusals came.
    pub fn refusal_p95_ms(&self) -> u64 {
        let mut waits = self.refusal_waits_ms.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 95 / 100).copied().unwrap_or(0)
    }
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    tallies.fold(Tally::default(), |sum, tally| Tally {
        asked: sum.asked + tally.asked,
        asked_tokens: sum.asked_tokens + tally.asked_tokens,
        in_time: sum.in_time + tally.in_time,
        in_time_tokens: sum.in_time_tokens + tally.in_time_tokens,
        late: sum.late + tally.late,
        refused: sum.refused + tally.refused,
    })
}
