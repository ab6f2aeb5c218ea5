//! Roll-outs, which move a pool's traffic to another version of its upstreams, or back if that is
//! bad.
//!
//! A bad version may receive only a small fraction of a pool's requests. Each node sends the new
//! version a fraction of its own requests, and only after it has received the others. The sum over
//! all nodes therefore stays below the bound without coordination, however late reports arrive.
//! These requests go to few upstreams and in waves, which gives those upstreams about their
//! eventual load.
//!
//! All nodes exchange their counts and apply the same test; a node that finds the version bad sends
//! it no more requests. The duty holder decides for the fleet, records the decision in the duty log
//! and reports it to the operators.

use bincode::{Decode, Encode};

use super::log_position::LogPosition;
use super::num;
use super::streams::VersionTag;
use super::upstreams::tag;
use super::verdict::{self, LatencyBaseline, Seen, Verdict};
use crate::time::TimeMs;

/// Fraction of the bound on a bad version's requests that is used; a node that is killed loses its
/// counts.
const EXPOSURE_FRACTION: f64 = 0.8;

/// Period of the waves in which the new version receives requests; all nodes have the same phase.
const WAVE_PERIOD_MS: u64 = 4_000;

/// Load of an upstream in a wave, as a multiple of its average load after the roll-out.
const WAVE_LOAD_FACTOR: f64 = 1.2;

/// Most requests to the new version that a node accumulates for a wave.
const MAX_CREDIT_REQUESTS: f64 = 24.0;

/// Minimum observation of the new version, as a fraction of the time limit; some versions turn bad
/// late.
const MIN_OBSERVATION_FRACTION: f64 = 0.5;

/// Time by which the duty holder acts on an uncertain verdict, as a fraction of the time limit.
const DECISION_DEADLINE_FRACTION: f64 = 0.65;

/// Time by which all requests must have moved, as a fraction of the time limit.
const MOVE_DEADLINE_FRACTION: f64 = 0.92;

/// Minimum time between moving all new requests and stopping the old version, for requests in
/// flight.
const MIN_MOVING_MS: u64 = 2_000;

/// Time for which upstreams of the old version may stay announced after they have stopped.
const STOPPED_UPSTREAM_TTL_MS: u64 = 10_000;

/// Roll-out ordered by the operators.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Order {
    pub pool: String,
    /// Version that the pool's traffic moves to.
    pub target: String,
    /// Time limit of the roll-out.
    pub duration_ms: u64,
    /// Position among the operators' records, which distinguishes orders for the same pool.
    pub place: LogPosition,
}

/// Stage of a roll-out, in order of progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) enum Stage {
    /// The new version receives a small fraction of the requests.
    Observing,
    /// The new version receives all new requests; the old one finishes those in flight.
    Moving,
    Succeeded,
    RolledBack,
}

impl Stage {
    /// Whether the stage is final.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// Decision of the duty holder on a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Decision {
    /// Tag of the pool.
    pub pool: u64,
    /// Position of the order.
    pub order: LogPosition,
    pub stage: Stage,
    /// Start time of the roll-out, in Unix milliseconds.
    pub began_day_ms: u64,
    /// Start time of this stage, in Unix milliseconds.
    pub since_day_ms: u64,
}

/// Counts of one node on a roll-out since the node's start.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Observation {
    /// Tag of the pool.
    pub pool: u64,
    pub order: LogPosition,
    pub rows: Vec<Seen>,
}

/// Filter on the versions of the upstreams that may receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionFilter<'a> {
    Any,
    /// Every version but this one.
    Without(&'a str),
    /// Only this version.
    Only(&'a str),
    /// Only the version that began the stream.
    Begun(VersionTag),
    /// At most `most` upstreams of this version, which receive their eventual load.
    Few {
        version: &'a str,
        most: usize,
    },
}

/// Returns the number of upstreams that receive a fraction of a pool's traffic; at least one.
#[must_use]
fn canary_upstreams(upstreams: usize, share: f64) -> usize {
    let canaries = num::round_to_u64(num::to_f64(upstreams as u64) * share);
    usize::try_from(canaries).unwrap_or(usize::MAX).max(1)
}

/// Available upstreams of a pool, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Standing {
    pub old: usize,
    pub new: usize,
    /// Requests of all nodes that run at upstreams of the old version.
    pub old_running: u32,
}

/// State of the roll-out of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: Order,
    pub decided: Decision,
    /// Whether this node knows of a decision by the duty holder.
    pub is_decided: bool,
    /// Counts of this node, sorted by route.
    pub(super) own: Vec<Seen>,
    latency_baselines: Vec<(u64, LatencyBaseline)>,
    /// Counts of each peer, sorted by incarnation.
    pub(super) peers: Vec<(u64, Vec<Seen>)>,
    /// Requests that this node may send to the new version now.
    credit_requests: f64,
}

/// Result of one request, as counted by a roll-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// Tag of the route.
    pub route: u64,
    /// Whether the request ran on the new version.
    pub is_new: bool,
    /// Time until the first event or the end of the answer; `None` if the request failed.
    pub took_ms: Option<u64>,
    /// Expected time; 1 if it is unknown.
    pub expected_ms: f64,
}

/// Context in which a node decides whether a request goes to the new version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutingContext {
    /// Largest fraction of all requests that a bad version may receive.
    pub exposure_share: f64,
    /// Whether this node is in contact with most of its peers and its configuration is current.
    pub is_in_contact: bool,
    pub standing: Standing,
    /// Time of day that most nodes agree on, in Unix milliseconds.
    pub day_ms: u64,
    /// Random number, uniformly distributed over requests.
    pub draw: u64,
    /// Whether the request has not been sent to any upstream yet.
    pub is_first: bool,
}

/// Returns the fraction of a pool's requests that the new version receives while it is observed.
fn canary_share(moment: &RoutingContext) -> f64 {
    moment.exposure_share * EXPOSURE_FRACTION
}

impl Order {
    /// Whether this is an earlier order, written again after the store was restored from a copy.
    fn is_restored_from(&self, earlier: &Self) -> bool {
        self.place.era > earlier.place.era
            && self.target == earlier.target
            && self.duration_ms == earlier.duration_ms
    }
}

impl Rollout {
    /// Adopts the new position of the same order; returns whether `order` is the same order.
    ///
    /// A restored order must not restart its roll-out: a version that was found bad would receive
    /// requests again. The stage is decided and reported again under the new position, since the
    /// restored store may lack the records of it.
    pub(super) fn adopt_restored(&mut self, order: &Order) -> bool {
        let is_restored = order.is_restored_from(&self.order);
        if is_restored {
            self.order.place = order.place;
            self.decided.order = order.place;
            self.is_decided &= self.decided.stage.is_end();
        }
        is_restored
    }

    pub(super) fn new(order: Order, day_ms: u64) -> Self {
        let decided = Decision {
            pool: tag(&order.pool),
            order: order.place,
            stage: Stage::Observing,
            began_day_ms: day_ms,
            since_day_ms: day_ms,
        };
        Self {
            order,
            decided,
            is_decided: false,
            own: Vec::new(),
            latency_baselines: Vec::new(),
            peers: Vec::new(),
            credit_requests: 0.0,
        }
    }

    /// Returns the counts of all nodes, by route.
    pub fn sum(&self) -> Vec<Seen> {
        let mut sum = self.own.clone();
        for (_peer, rows) in &self.peers {
            verdict::add(&mut sum, rows);
        }
        sum
    }

    /// Returns which versions may receive the next request.
    pub fn versions(&mut self, moment: &RoutingContext) -> VersionFilter<'_> {
        let sends_canary = self.decided.stage == Stage::Observing && self.sends_canary(moment);
        let target = self.order.target.as_str();
        let is_over = moment.day_ms >= self.decided.began_day_ms + self.order.duration_ms;
        match self.decided.stage {
            Stage::Moving | Stage::Succeeded if moment.standing.new == 0 => VersionFilter::Any,
            // Later upstreams may have another version without an order.
            Stage::Succeeded
                if moment.day_ms >= self.decided.since_day_ms + STOPPED_UPSTREAM_TTL_MS =>
            {
                VersionFilter::Any
            }
            Stage::Moving | Stage::Succeeded => VersionFilter::Only(target),
            // No end was reported to the operators, so the remaining version serves.
            Stage::Observing if is_over && moment.standing.old == 0 => VersionFilter::Any,
            Stage::Observing if sends_canary => VersionFilter::Few {
                version: target,
                most: canary_upstreams(moment.standing.new, canary_share(moment)),
            },
            Stage::Observing | Stage::RolledBack => VersionFilter::Without(target),
        }
    }

    /// Whether a stream may go on at the version that began it, also at one that gets no new requests.
    ///
    /// A stream that goes on at the new version counts as one of the requests that it may receive.
    pub fn admits_resumption(&mut self, version: VersionTag, day_ms: u64) -> bool {
        let is_new = version == VersionTag::of(&self.order.target);
        let since_ms = day_ms.saturating_sub(self.decided.since_day_ms);
        match self.decided.stage {
            Stage::Succeeded => is_new || since_ms >= STOPPED_UPSTREAM_TTL_MS,
            _ if !is_new => true,
            Stage::RolledBack => false,
            Stage::Observing | Stage::Moving => {
                self.credit_requests -= 1.0;
                verdict::verdict(&self.sum()) != Verdict::Bad
            }
        }
    }

    /// Whether this request goes to the new version.
    fn sends_canary(&mut self, moment: &RoutingContext) -> bool {
        // A retried request has failed elsewhere, and its own fault would count against the new
        // version.
        if !moment.is_first {
            return false;
        }
        let share = canary_share(moment);
        let new = moment.standing.new;
        self.credit_requests = (self.credit_requests + share).min(MAX_CREDIT_REQUESTS);
        if new == 0 || !moment.is_in_contact || self.credit_requests < 1.0 {
            return false;
        }
        // Each chosen upstream receives slightly more than its share of all requests, for a part of
        // the time.
        let canary_fraction =
            num::to_f64(canary_upstreams(new, share) as u64) / num::to_f64(new as u64);
        let wave_share = (canary_fraction * WAVE_LOAD_FACTOR).clamp(share, 1.0);
        let wave_ms = num::round_to_u64(
            num::to_f64(WAVE_PERIOD_MS) * (share / wave_share * WAVE_LOAD_FACTOR).min(1.0),
        );
        let is_in_wave = moment.day_ms % WAVE_PERIOD_MS < wave_ms.max(1);
        let is_selected = num::to_f64(moment.draw % 1_000) < wave_share * 1_000.0;
        if !is_in_wave || !is_selected || verdict::verdict(&self.sum()) == Verdict::Bad {
            return false;
        }
        self.credit_requests -= 1.0;
        true
    }

    /// Counts an answer; returns whether the peers must be informed at once.
    pub fn record(&mut self, answer: &Answer) -> bool {
        let index = match self
            .latency_baselines
            .binary_search_by_key(&answer.route, |(route, _baseline)| *route)
        {
            Ok(place) => place,
            Err(place) => {
                self.latency_baselines
                    .insert(place, (answer.route, LatencyBaseline::default()));
                place
            }
        };
        let baseline = &mut self.latency_baselines[index].1;
        let is_bad =
            (answer.took_ms).is_none_or(|took_ms| baseline.is_slow(took_ms, answer.expected_ms));
        if let (false, Some(took_ms)) = (answer.is_new, answer.took_ms) {
            baseline.record(took_ms, answer.expected_ms);
        }
        let count = verdict::Count {
            answers: 1,
            bad: u32::from(is_bad),
        };
        let mut row = Seen {
            route: answer.route,
            ..Seen::default()
        };
        if answer.is_new {
            row.new = count;
        } else {
            row.old = count;
        }
        verdict::add(&mut self.own, &[row]);
        answer.is_new && is_bad
    }

    /// Returns the next decision of the duty holder; `None` if the stage stays.
    pub fn next_stage(&self, standing: Standing, day_ms: u64) -> Option<Stage> {
        let verdict = verdict::verdict(&self.sum());
        let passed_ms = day_ms.saturating_sub(self.decided.began_day_ms);
        let elapsed_fraction = num::to_f64(passed_ms) / num::to_f64(self.order.duration_ms.max(1));
        let moving_ms = day_ms.saturating_sub(self.decided.since_day_ms);
        match self.decided.stage {
            Stage::Succeeded | Stage::RolledBack => None,
            _ if verdict == Verdict::Bad => Some(Stage::RolledBack),
            // The target version already runs everywhere.
            Stage::Observing if standing.old == 0 && standing.new > 0 => Some(Stage::Succeeded),
            Stage::Observing if elapsed_fraction < MIN_OBSERVATION_FRACTION => None,
            Stage::Observing if verdict == Verdict::Good => Some(Stage::Moving),
            Stage::Observing if elapsed_fraction < DECISION_DEADLINE_FRACTION => None,
            Stage::Observing if verdict == Verdict::LikelyGood => Some(Stage::Moving),
            Stage::Observing => Some(Stage::RolledBack),
            Stage::Moving if elapsed_fraction >= MOVE_DEADLINE_FRACTION => Some(Stage::Succeeded),
            Stage::Moving if moving_ms >= MIN_MOVING_MS && standing.old_running == 0 => {
                Some(Stage::Succeeded)
            }
            Stage::Moving => None,
        }
    }
}

/// Returns how long a roll-out has run, in ms, for a log line.
#[must_use]
pub(crate) fn elapsed_ms(decided: &Decision, day_now: TimeMs) -> u64 {
    day_now.0.saturating_sub(decided.began_day_ms)
}

#[cfg(test)]
mod tests;
