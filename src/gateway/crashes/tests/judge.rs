//! What the simulated nodes know of crashes, and what they tell each other.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::gateway::crashes::subjects::{Subject, Subjects};
use crate::gateway::crashes::trials::Seat;
use crate::gateway::crashes::{AgedBlock, AgedSound, Crash, Crashes};
use crate::time::TimeMs;

/// The subjects of a request.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub content: u64,
    pub parts: Vec<u64>,
    pub team: u64,
}

/// An upstream that broke under a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Break {
    pub upstream: u64,
    pub address: u64,
    pub domain: u64,
    pub sent_at: TimeMs,
    /// Whether the answer had gone on for some time.
    pub has_gone_on: bool,
    /// Whether the upstream accepts connections after the break.
    pub runs_on: bool,
}

/// A node's knowledge of crashes.
pub(super) trait Judge {
    type Report;

    fn new(node: u64, nodes: usize) -> Self;

    /// Whether a request may not be sent.
    fn blocks(&mut self, asked: &Asked, now: TimeMs) -> bool;

    /// Records a crash under a request of this node; returns what all nodes are told.
    fn crashed(&mut self, asked: &Asked, broken: &Break, now: TimeMs) -> Vec<Self::Report>;

    /// Records that an answer went on; returns what all nodes are told.
    fn went_on(&mut self, asked: &Asked, now: TimeMs) -> Vec<Self::Report>;

    /// Records a whole answer; returns what all nodes are told.
    fn ended(&mut self, asked: &Asked, now: TimeMs) -> Vec<Self::Report>;

    fn receive(&mut self, report: &Self::Report, now: TimeMs);

    /// Returns what the node's statuses repeat.
    fn repeated(&self, now: TimeMs) -> Vec<Self::Report>;

    /// Returns what is due to be told to all nodes.
    fn tick(&mut self, now: TimeMs) -> Vec<Self::Report>;
}

/// What a simulated node knows.
pub(super) struct Known {
    crashes: Crashes,
    random: SmallRng,
    nodes: usize,
}

#[derive(Debug)]
pub(super) enum Report {
    Crash(Crash),
    Sound(AgedSound),
    Block(AgedBlock),
    Trial(Subject),
}

fn subjects(asked: &Asked) -> Subjects {
    Subjects::new(asked.content, asked.team, asked.parts.iter().copied())
}

fn sound(told: Vec<AgedSound>) -> Vec<Report> {
    told.into_iter().map(Report::Sound).collect()
}

impl Judge for Known {
    type Report = Report;

    fn new(node: u64, nodes: usize) -> Self {
        let mut crashes = Crashes::default();
        crashes.set_seat(Seat { own: node, nodes });
        Self {
            crashes,
            random: SmallRng::seed_from_u64(node),
            nodes,
        }
    }

    fn blocks(&mut self, asked: &Asked, now: TimeMs) -> bool {
        self.crashes.refusal(&subjects(asked), now).is_some()
    }

    fn crashed(&mut self, asked: &Asked, broken: &Break, now: TimeMs) -> Vec<Report> {
        // The node verifies each break before it records a crash.
        if broken.runs_on {
            return Vec::new();
        }
        let subjects = subjects(asked);
        let crash = Crash {
            subjects: if broken.has_gone_on {
                subjects.without_parts()
            } else {
                subjects
            },
            upstream: broken.upstream,
            address: broken.address,
            domain: broken.domain,
            ran_ms: now.since(broken.sent_at),
        };
        let is_new = self.crashes.record(crash, now, now);
        is_new.then_some(Report::Crash(crash)).into_iter().collect()
    }

    fn went_on(&mut self, asked: &Asked, now: TimeMs) -> Vec<Report> {
        sound(self.crashes.record_sound(&subjects(asked), now))
    }

    fn ended(&mut self, asked: &Asked, now: TimeMs) -> Vec<Report> {
        sound(self.crashes.record_answer(&subjects(asked), now))
    }

    fn receive(&mut self, report: &Report, now: TimeMs) {
        let draw = self.random.random();
        match report {
            Report::Crash(crash) => {
                (self.crashes).record_reported(*crash, draw, self.nodes, now);
            }
            Report::Sound(told) => self.crashes.record_told(*told, now),
            Report::Trial(subject) => self.crashes.record_trial(*subject, now),
            Report::Block(told) => self.crashes.record_block(*told, draw, self.nodes, now),
        }
    }

    fn repeated(&self, now: TimeMs) -> Vec<Report> {
        let blocks = self.crashes.reported_blocks(now).into_iter();
        blocks.map(Report::Block).collect()
    }

    fn tick(&mut self, now: TimeMs) -> Vec<Report> {
        self.crashes.judge_if_due(now);
        let trials = self.crashes.take_trials().into_iter().map(Report::Trial);
        let due = sound(self.crashes.take_due(now));
        trials.chain(due).collect()
    }
}
