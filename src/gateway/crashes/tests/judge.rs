//! What the simulated nodes know of crashes, and what they tell each other.

use crate::gateway::strikes::{AgedStrike, Strike, Strikes};
use crate::time::TimeMs;

/// The subjects of a request.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "strikes are blamed on whole contents only")]
pub(super) struct Asked {
    pub content: u64,
    pub parts: Vec<u64>,
    pub team: u64,
}

/// An upstream that broke under a request.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "strikes are blamed on whole contents only")]
pub(super) struct Break {
    pub upstream: u64,
    pub address: u64,
    pub domain: u64,
    pub sent_at: TimeMs,
    /// Whether the answer had gone on for some time.
    pub has_gone_on: bool,
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

/// The knowledge that the gateway's nodes have.
pub(super) type Known = Strikes;

#[derive(Debug)]
pub(super) enum Report {
    New(Strike),
    Again(AgedStrike),
}

impl Judge for Strikes {
    type Report = Report;

    fn new(_node: u64, _nodes: usize) -> Self {
        Self::default()
    }

    fn blocks(&mut self, asked: &Asked, now: TimeMs) -> bool {
        self.is_blocked(asked.content, now)
    }

    fn crashed(&mut self, asked: &Asked, broken: &Break, now: TimeMs) -> Vec<Report> {
        let strike = Strike {
            content: asked.content,
            upstream: broken.upstream,
        };
        let is_new = self.record(strike, now);
        is_new.then_some(Report::New(strike)).into_iter().collect()
    }

    fn went_on(&mut self, _asked: &Asked, _now: TimeMs) -> Vec<Report> {
        Vec::new()
    }

    fn ended(&mut self, asked: &Asked, _now: TimeMs) -> Vec<Report> {
        self.clear(asked.content);
        Vec::new()
    }

    fn receive(&mut self, report: &Report, now: TimeMs) {
        match report {
            Report::New(strike) => {
                self.record(*strike, now);
            }
            Report::Again(strike) => self.record_aged(*strike, now),
        }
    }

    fn repeated(&self, now: TimeMs) -> Vec<Report> {
        (self.blocked_strikes(now).into_iter())
            .map(Report::Again)
            .collect()
    }

    fn tick(&mut self, _now: TimeMs) -> Vec<Report> {
        Vec::new()
    }
}
