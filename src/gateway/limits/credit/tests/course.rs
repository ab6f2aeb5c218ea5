//! What a fleet in memory is put through, and what it admits.

use super::*;
use crate::gateway::num;

/// Rate and burst of the team per node.
pub(super) const RATE_PER_NODE_PER_S: f64 = 65_000.0;

/// How callers choose the node of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Spread {
    Even,
    /// All go to a twentieth of the nodes, to others every few seconds.
    Clumped,
}

/// What fails; the owner is node 0 and its successor node 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// When the owner receives and sends nothing, and its callers reach other nodes.
    pub owner_silent: (u64, u64),
    /// When the other nodes ask the successor.
    pub successor: (u64, u64),
    /// Added to each answer.
    pub answer_delay_ms: u64,
    /// Probability that an answer is lost.
    pub lost_answers: f64,
    /// Whether nodes with odd numbers ask node 1.
    pub has_two_owners: bool,
    /// Nodes from this one on receive nothing of the owner, which receives what they send.
    pub cut_from: Option<usize>,
    /// When the limit falls to a tenth.
    pub lowered_at: Option<u64>,
    /// Whether all nodes start at the beginning of the course.
    pub is_start: bool,
}

/// A course of load and failures.
#[derive(Clone, Debug)]
pub(super) struct Course {
    pub nodes: usize,
    /// Offered load as a multiple of the rate.
    pub times: f64,
    /// Costs of requests, each as frequent as the others.
    pub costs: Vec<f64>,
    pub spread: Spread,
    /// Offers only what a bucket of 0.9 of the rate admits.
    pub is_conformant: bool,
    pub one_way_ms: u64,
    pub duration_ms: u64,
    /// When the callers begin.
    pub begins_at_ms: u64,
    pub faults: Faults,
    pub seed: u64,
}

/// What a fleet admitted.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// Admitted cost of each millisecond.
    pub by_ms: Vec<f64>,
    pub asked: u32,
    pub refused: u32,
    pub asks: u32,
    /// Answers of owners that name a quiet time.
    pub denials: u32,
    pub fallbacks: u32,
    /// Requests of the least and the greatest cost, and how many of them were refused.
    pub least: (u32, u32),
    pub greatest: (u32, u32),
    /// Longest wait of a request.
    pub longest_wait_ms: u64,
    /// Most credit that was out, as the first owner counts it.
    pub most_outstanding: f64,
}

impl Outcome {
    /// Returns the largest use of a window that begins at `from_ms` or later, as a fraction of what is allowed.
    pub fn used_fraction(&self, team: &Team, from_ms: u64) -> f64 {
        let window = usize::try_from(WINDOW.window_ms).expect("short");
        let from = usize::try_from(from_ms).expect("short");
        let mut used: f64 = self.by_ms[from..from + window].iter().sum();
        let mut most = used;
        for end in from + window..self.by_ms.len() {
            used += self.by_ms[end] - self.by_ms[end - window];
            most = most.max(used);
        }
        most / WINDOW.allowance(team.rate_per_s.expect("a limit"), team.burst)
    }

    /// Returns the use from `from_ms` to `to_ms` as a fraction of the rate.
    pub fn rate_fraction(&self, team: &Team, from_ms: u64, to_ms: u64) -> f64 {
        let from = usize::try_from(from_ms).expect("short");
        let to = usize::try_from(to_ms).expect("short");
        let used: f64 = self.by_ms[from..to].iter().sum();
        let allowed = team.rate_per_s.expect("a limit") * num::to_f64(to_ms - from_ms) / 1_000.0;
        used / allowed
    }

    pub fn refused_fraction(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.asked.max(1))
    }
}
