//! Learns how much longer than its pool's mean upstream one start of an upstream takes.
//!
//! No node sees enough requests of one upstream alone. Each node states its own sums to its group,
//! and the speaker of a group states the sum over the group to the other groups. Statements hold
//! totals: a later one of the same sender replaces the earlier one, so that a lost, late or doubled
//! datagram changes nothing lasting.

use super::sums::{SpeedRow, Sums};

/// Half-life of a request in the sums.
///
/// An upstream may be slow for half a second at a time; over this time such spells average out.
pub(crate) const HALF_LIFE_MS: u64 = 30_000;

/// Most that a time counts for, as a multiple of the usual one or a part of it: a stall and a spell
/// say little of the speed.
const MAX_DEVIATION: f64 = 2.0;

/// Weight below which the sums of a sender are dropped, and not stated.
pub(crate) const MIN_WEIGHT: f32 = 0.05;

/// Requests from which on an upstream counts as learned.
const LEARNED_WEIGHT: f32 = 15.0;

/// Requests below which a standing is forgotten.
const FORGOTTEN_WEIGHT: f32 = 5.0;

/// Standard deviation of one request's measured time, as a part of the expected one.
const REQUEST_DEVIATION: f64 = 0.3;

/// Standard errors within which a factor is as likely noise.
const NOISE_ERRORS: f64 = 2.0;

/// Least difference of a factor from 1 that is no noise: the models of nodes differ, too.
const MIN_DIFFERENCE: f64 = 0.05;

/// Time factor from which on an upstream is much slower than its pool; a much faster one takes the
/// inverse.
const MUCH_SLOWER: f64 = 1.5;

/// Time factor below which it no longer is.
const NO_LONGER_SLOWER: f64 = 1.3;

/// Whose requests the sums of a statement cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those of the sender.
    Node,
    /// Those of the sender's group.
    Group,
}

/// The sender of a statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender<'a> {
    pub incarnation: u64,
    pub scope: Scope,
    /// Grows with each statement of the sender.
    pub sequence: u64,
    /// Incarnations of the nodes of the sender's group, itself included; sorted.
    pub group: &'a [u64],
}

impl Sender<'_> {
    /// Whether a statement covers requests that this sender's statement covers as well.
    fn covers(&self, report: &Report) -> bool {
        let is_of_group = || self.group.binary_search(&report.incarnation).is_ok();
        match (self.scope, report.scope) {
            (Scope::Node, Scope::Node) => report.incarnation == self.incarnation,
            (Scope::Group, _) | (Scope::Node, Scope::Group) => is_of_group(),
        }
    }
}

/// What a sender stated last of an upstream.
#[derive(Clone, Copy, Debug)]
struct Report {
    incarnation: u64,
    scope: Scope,
    sequence: u64,
    sums: Sums,
}

impl Report {
    fn is_of(&self, sender: &Sender<'_>) -> bool {
        (self.incarnation, self.scope) == (sender.incarnation, sender.scope)
    }
}

/// Whether an upstream is much slower or faster than its pool's mean one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Standing {
    #[default]
    Usual,
    Slower,
    Faster,
}

impl Standing {
    /// Returns the standing at a time factor, with a margin before one is left.
    fn at(self, factor: f64) -> Self {
        match self {
            _ if factor >= MUCH_SLOWER => Self::Slower,
            _ if factor <= 1.0 / MUCH_SLOWER => Self::Faster,
            Self::Slower if factor >= NO_LONGER_SLOWER => Self::Slower,
            Self::Faster if factor <= 1.0 / NO_LONGER_SLOWER => Self::Faster,
            _ => Self::Usual,
        }
    }

    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Slower => "slower",
            Self::Faster => "faster",
        }
    }
}

/// Speed of one start of an upstream, relative to its pool.
#[derive(Clone, Debug)]
pub(crate) struct RelativeSpeed {
    /// Requests of this node.
    own: Sums,
    reports: Vec<Report>,
    /// Computed at each change of the sums.
    factor: f64,
    /// Requests of this node that its group has not been told of.
    untold: u32,
    /// Changes in this node's group that the other groups have not been told of.
    untold_of_group: u32,
    standing: Standing,
}

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self {
            own: Sums::default(),
            reports: Vec::new(),
            factor: 1.0,
            untold: 0,
            untold_of_group: 0,
            standing: Standing::default(),
        }
    }
}

impl RelativeSpeed {
    /// Returns the time that the upstream takes as a multiple of its pool's mean upstream.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the factor by which upstreams are told apart: 1 while the difference may be noise.
    ///
    /// Noise would otherwise outweigh small preferences, such as that for the own failure domain.
    pub fn distinct_factor(&self) -> f64 {
        let weight = f64::from(self.total().weight());
        let noise = NOISE_ERRORS * REQUEST_DEVIATION / weight.max(1.0).sqrt();
        match (self.factor - 1.0).abs() {
            difference if difference < noise.max(MIN_DIFFERENCE) => 1.0,
            _ => self.factor,
        }
    }

    /// Records a request of this node, and what the pool's model expected of it.
    pub fn record(&mut self, expected_ms: f64, took_ms: f64) {
        if !(expected_ms > 0.0 && took_ms >= 0.0) {
            return;
        }
        let usual_ms = expected_ms * self.factor;
        let bounded_ms = took_ms.clamp(usual_ms / MAX_DEVIATION, usual_ms * MAX_DEVIATION);
        self.own.record(expected_ms, bounded_ms);
        self.untold = self.untold.saturating_add(1);
        self.untold_of_group = self.untold_of_group.saturating_add(1);
        self.update();
    }

    /// Replaces what a sender stated before, and what others stated of the same requests; a late
    /// statement is ignored.
    pub fn apply(&mut self, sender: &Sender<'_>, sums: Sums) {
        let is_late = (self.reports.iter())
            .any(|report| report.is_of(sender) && report.sequence >= sender.sequence);
        if is_late {
            return;
        }
        self.reports.retain(|report| !sender.covers(report));
        self.reports.push(Report {
            incarnation: sender.incarnation,
            scope: sender.scope,
            sequence: sender.sequence,
            sums,
        });
        if sender.scope == Scope::Node {
            self.untold_of_group = self.untold_of_group.saturating_add(1);
        }
        self.update();
    }

    /// Drops the sums of groups whose speaker is no member any more: its successor states them too.
    ///
    /// `members` holds the incarnations of all nodes, sorted.
    pub fn drop_former_speakers(&mut self, members: &[u64]) {
        (self.reports).retain(|report| {
            report.scope == Scope::Node || members.binary_search(&report.incarnation).is_ok()
        });
    }

    /// Reduces the weight of all requests to a share; returns the standing if it changed.
    pub fn decay(&mut self, kept_share: f32) -> Option<Standing> {
        self.own.decay(kept_share);
        for report in &mut self.reports {
            report.sums.decay(kept_share);
        }
        (self.reports).retain(|report| report.sums.weight() >= MIN_WEIGHT);
        self.update();
        let standing = match self.total().weight() {
            weight if weight >= LEARNED_WEIGHT => self.standing.at(self.factor),
            weight if weight < FORGOTTEN_WEIGHT => Standing::Usual,
            _ => self.standing,
        };
        let is_changed = standing != self.standing;
        self.standing = standing;
        is_changed.then_some(standing)
    }

    /// Returns the number of changes that the nodes of a scope have not been told of.
    pub fn untold(&self, scope: Scope) -> u32 {
        match scope {
            Scope::Node => self.untold,
            Scope::Group => self.untold_of_group,
        }
    }

    /// Returns the row of the node or of its group, and counts it as told.
    ///
    /// `group` holds the incarnations of this node's group, sorted.
    pub fn take_row(&mut self, scope: Scope, group: &[u64], upstream: u64) -> SpeedRow {
        match scope {
            Scope::Node => {
                self.untold = 0;
                self.own.row(upstream)
            }
            Scope::Group => {
                self.untold_of_group = 0;
                self.of_group(group).row(upstream)
            }
        }
    }

    fn of_group(&self, group: &[u64]) -> Sums {
        let of_mates = (self.reports.iter())
            .filter(|report| report.scope == Scope::Node)
            .filter(|report| group.binary_search(&report.incarnation).is_ok());
        sum(self.own, of_mates)
    }

    fn total(&self) -> Sums {
        sum(self.own, self.reports.iter())
    }

    fn update(&mut self) {
        self.factor = self.total().time_factor();
    }
}

fn sum<'a>(own: Sums, reports: impl Iterator<Item = &'a Report>) -> Sums {
    reports.fold(own, |mut sum, report| {
        sum.add(&report.sums);
        sum
    })
}

#[cfg(test)]
mod tests;
