//! Simulated nodes, upstreams and callers; datagrams are delayed and some are lost.

mod impairments;
mod outcome;
mod prompts;
mod reports;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::course::{Begun, Course, Losses, Outcome, Prompts};
use super::judge::{Asked, Break, Judge, Known};
use crate::time::TimeMs;

/// Time within which a node is back in touch, in the operators' bounds.
const CONTACT_MS: u64 = 3_000;

/// Start of a simulated day.
const START_MS: u64 = 1_000_000;

/// Time before the first impairment.
const CALM_MS: u64 = 20_000;

/// Time from the begin of an answer to the crash of its upstream under a bad part.
const CRASH_MS: u64 = 80;

/// Time from the begin of an answer after which a request has gone on.
const WENT_ON_MS: u64 = 1_000;

/// Time after which a crashed upstream is back.
const DOWN_MS: u64 = 3_000;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.05;

/// Most a datagram takes.
const MAX_DELAY_MS: u64 = 120;

/// Share of the requests whose connections break while connections are impaired.
const RESET_SHARE: f64 = 0.5;

const STATUS_INTERVAL_MS: u64 = 500;
/// Interval at which a quarter of the nodes does what is due.
const TICK_INTERVAL_MS: u64 = 50;
/// Groups of nodes that are due one after the other.
const TICK_GROUPS: usize = 4;
const DOMAINS: u64 = 4;
const TEAM: u64 = 77;
// Subjects of one part have their upper half in common.
const FIRST: u64 = 1 << 32;
const BAD: u64 = 2 << 32;
const OTHER_BAD: u64 = 3 << 32;
const IN_OTHER_MODEL: u64 = FIRST + 1;
const SESSIONS: u64 = 1_000;
const UNRELATED: u64 = 500 << 32;

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Crashes its upstreams; the subject that is bad.
    Bad(u64),
    /// Shares a part with the bad ones.
    Related,
    Unrelated,
}

#[derive(Clone, Debug)]
struct Running {
    asked: Asked,
    kind: Kind,
    node: usize,
    upstream: usize,
    tag: u64,
    arrived_at: TimeMs,
    sent_at: TimeMs,
    attempts: u32,
    has_gone_on: bool,
}

#[derive(Clone, Copy, Debug)]
struct Upstream {
    tag: u64,
    is_up: bool,
}

enum Event {
    Arrive(Kind),
    Begin(u64),
    Crash(usize),
    WentOn(u64),
    End(u64),
    Notice(u64, Break),
    Reset(u64),
    Deliver(usize, usize, Rc<<Known as Judge>::Report>),
    Up(usize),
    Status,
    Tick,
    Lose(u32),
    Cut,
    Start,
}

struct Simulation {
    course: Course,
    random: SmallRng,
    now: TimeMs,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    nodes: Vec<Known>,
    /// Until when each node is out of touch, the time to get back included.
    away_until: Vec<TimeMs>,
    cut_until: Vec<TimeMs>,
    upstreams: Vec<Upstream>,
    running: BTreeMap<u64, Running>,
    crashes: BTreeMap<u64, Vec<TimeMs>>,
    sends: Vec<(u64, TimeMs, bool)>,
    related: Vec<(TimeMs, bool)>,
    blocked_requests: u32,
    reports: u64,
    last_impairment: TimeMs,
}

/// Plays a course and returns what it came to.
pub(super) fn run(course: &Course, nodes: usize) -> Outcome {
    let mut simulation = Simulation::new(*course, nodes);
    simulation.play();
    simulation.outcome()
}

impl Simulation {
    fn new(course: Course, nodes: usize) -> Self {
        let upstreams = (nodes / 3).clamp(16, 200);
        let mut simulation = Self {
            course,
            random: SmallRng::seed_from_u64(nodes as u64 * 1_000 + 7),
            now: TimeMs(START_MS),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            nodes: (0..nodes)
                .map(|index| Known::new(index as u64, nodes))
                .collect(),
            away_until: vec![TimeMs(0); nodes],
            cut_until: vec![TimeMs(0); nodes],
            upstreams: Vec::new(),
            running: BTreeMap::new(),
            crashes: BTreeMap::new(),
            sends: Vec::new(),
            related: Vec::new(),
            blocked_requests: 0,
            reports: 0,
            last_impairment: TimeMs(START_MS),
        };
        for _ in 0..upstreams {
            let tag = simulation.number();
            simulation.upstreams.push(Upstream { tag, is_up: true });
        }
        simulation
    }

    fn number(&mut self) -> u64 {
        self.random.random()
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now.0 + delay_ms, self.next)));
        self.events.insert(self.next, event);
    }

    fn play(&mut self) {
        self.after(0, Event::Arrive(Kind::Related));
        self.after(0, Event::Arrive(Kind::Unrelated));
        self.after(0, Event::Status);
        self.after(0, Event::Tick);
        if self.course.bad_interval_ms > 0 {
            self.after(CALM_MS, Event::Arrive(Kind::Bad(self.bad())));
        }
        if self.course.losses != Losses::None {
            self.after(CALM_MS, Event::Lose(0));
        }
        if self.course.has_cuts_and_starts {
            self.after(CALM_MS - 1_000, Event::Cut);
            self.after(CALM_MS + 15_000, Event::Start);
        }
        let end = START_MS + self.course.end_s * 1_000;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = TimeMs(at);
            let event = self.events.remove(&id);
            self.handle(event.expect("each queued event is kept"));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Begin(id) => self.begin(id),
            Event::Crash(upstream) => self.crash(upstream, 0.0),
            Event::WentOn(id) => self.went_on(id),
            Event::End(id) => self.end(id),
            Event::Notice(id, broken) => self.notice(id, &broken),
            Event::Reset(id) => self.reset(id),
            Event::Deliver(from, to, report) => self.deliver(from, to, &report),
            Event::Up(upstream) => {
                let tag = self.number();
                self.upstreams[upstream] = Upstream { tag, is_up: true };
            }
            Event::Status => self.status(),
            Event::Tick => self.tick(),
            Event::Lose(step) => self.lose(step),
            Event::Cut => self.cut(),
            Event::Start => self.start(),
        }
    }

    fn arrive(&mut self, kind: Kind) {
        let mean_ms = match kind {
            Kind::Bad(_) => self.course.bad_interval_ms,
            Kind::Related => self.course.sound_interval_ms,
            Kind::Unrelated => 50,
        };
        let draw: f64 = self.random.random_range(0.05..2.0);
        let (next, delay_ms) = (self.next_kind(kind), scaled(mean_ms, draw));
        self.after(delay_ms.max(1), Event::Arrive(next));
        let running = Running {
            asked: self.asked(kind),
            kind,
            node: self.random.random_range(0..self.nodes.len()),
            upstream: 0,
            tag: 0,
            arrived_at: self.now,
            sent_at: self.now,
            attempts: 0,
            has_gone_on: false,
        };
        self.send(running);
    }

    /// Sends a request to an upstream unless it is blocked at its node.
    fn send(&mut self, mut request: Running) {
        let is_blocked = self.nodes[request.node].blocks(&request.asked, self.now);
        if is_blocked && !matches!(request.kind, Kind::Bad(_)) {
            self.blocked_requests += 1;
        }
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].is_up)
            .collect();
        if is_blocked || up.is_empty() || request.attempts >= self.course.max_attempts {
            self.finish(&request, false);
            return;
        }
        let upstream = up[self.random.random_range(0..up.len())];
        request.upstream = upstream;
        request.tag = self.upstreams[upstream].tag;
        request.sent_at = self.now;
        request.attempts += 1;
        if let Kind::Bad(bad) = request.kind {
            let is_in_touch = self.away_until[request.node] <= self.now;
            self.sends.push((bad, self.now, is_in_touch));
        }
        let id = self.next;
        self.running.insert(id, request);
        let is_reset = self.course.losses == Losses::Resets && self.now.0 > START_MS + CALM_MS;
        if is_reset && self.random.random_bool(RESET_SHARE) {
            self.after(20, Event::Reset(id));
        }
        let wait_ms = self.random.random_range(50..self.course.wait_ms);
        self.after(wait_ms, Event::Begin(id));
    }

    fn finish(&mut self, request: &Running, has_begun: bool) {
        let is_in_touch = self.away_until[request.node] <= self.now;
        if request.kind == Kind::Related && is_in_touch {
            self.related.push((request.arrived_at, has_begun));
        }
    }

    fn begin(&mut self, id: u64) {
        let Some(request) = self.running.get(&id) else {
            return;
        };
        if !self.upstreams[request.upstream].is_up {
            return;
        }
        if let Kind::Bad(bad) = request.kind {
            let upstream = request.upstream;
            let crashes = self.crashes.entry(bad).or_default();
            crashes.push(self.now);
            self.after(CRASH_MS, Event::Crash(upstream));
            return;
        }
        if request.tag != self.upstreams[request.upstream].tag {
            return;
        }
        let request = request.clone();
        self.finish(&request, true);
        self.after(WENT_ON_MS, Event::WentOn(id));
        let lasts_ms = self.random.random_range(WENT_ON_MS..6_000);
        self.after(lasts_ms, Event::End(id));
    }

    fn notice(&mut self, id: u64, broken: &Break) {
        let Some(request) = self.running.remove(&id) else {
            return;
        };
        let reports = self.nodes[request.node].crashed(&request.asked, broken, self.now);
        self.broadcast(request.node, reports);
        let has_begun = !matches!(request.kind, Kind::Bad(_)) && request.has_gone_on;
        if !has_begun {
            self.send(request);
        }
    }

    fn went_on(&mut self, id: u64) {
        let Some(request) = self.running.get_mut(&id) else {
            return;
        };
        if !self.upstreams[request.upstream].is_up {
            return;
        }
        request.has_gone_on = true;
        let request = request.clone();
        let reports = self.nodes[request.node].went_on(&request.asked, self.now);
        self.broadcast(request.node, reports);
    }

    fn end(&mut self, id: u64) {
        let is_up = |request: &Running| self.upstreams[request.upstream].is_up;
        if !self.running.get(&id).is_some_and(is_up) {
            return;
        }
        if let Some(request) = self.running.remove(&id) {
            let reports = self.nodes[request.node].ended(&request.asked, self.now);
            self.broadcast(request.node, reports);
        }
    }
}

fn break_of(request: &Running) -> Break {
    Break {
        upstream: request.tag,
        address: request.upstream as u64,
        domain: request.upstream as u64 % DOMAINS,
        sent_at: request.sent_at,
        has_gone_on: request.has_gone_on,
        runs_on: false,
    }
}

fn scaled(value_ms: u64, factor: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "intervals are small and positive"
    )]
    let scaled = (value_ms as f64 * factor) as u64;
    scaled
}
