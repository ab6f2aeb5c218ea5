//! Roll-outs: a pool's traffic moves to upstreams of another version, or back if that one is bad.
//!
//! A bad version may get a small part of the pool's requests only. Each node lets the new version have a
//! part of its own requests, and not before it has had the others: the sum over all nodes stays below the
//! bound without a word between them, however late news is. What it gets goes to few upstreams and in
//! waves, so that those bear about what they will have to bear in the end.
//!
//! All nodes see each other's counts and judge alike; whoever is sure that the version is bad sends it
//! nothing more. The node with the duties decides for all, in the log of duties, and tells the operators.

use bincode::{Decode, Encode};

use super::num;
use super::place::Place;
use super::upstreams::tag;
use super::verdict::{self, Seen, Usual, Verdict};
use crate::time::TimeMs;

/// Part of the bound on a bad version that is used: a kill of nodes loses what they had counted.
const EXPOSURE_PART: f64 = 0.8;

/// The new version gets its part in waves of this period, at one moment on all nodes.
const WAVE_MS: u64 = 4_000;

/// Within a wave each upstream gets this many times what it will have to bear on average.
const WAVE_TIMES: f64 = 1.2;

/// Requests that a node may save up for a wave.
const MOST_CREDIT: f64 = 24.0;

/// The new version is observed for this part of the time limit, since some turn bad late; a verdict
/// that is not sure by the second is taken as it stands, and by the third all must have moved.
const OBSERVED_PART: f64 = 0.5;
const DECIDED_PART: f64 = 0.65;
const MOVED_PART: f64 = 0.92;

/// The least time between moving all requests and stopping the old version: requests on their way.
const LEAST_MOVING_MS: u64 = 2_000;

/// Upstreams of the old version that have stopped may stay announced for this long.
const STOPPED_MS: u64 = 10_000;

/// An order of the operators.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Order {
    pub pool: String,
    /// The version that the pool's traffic moves to.
    pub target: String,
    /// The roll-out is to have ended by then.
    pub duration_ms: u64,
    /// Where it lies among the operators' records; tells orders for one pool apart.
    pub place: Place,
}

/// How far a roll-out is; later ones come after earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) enum Stage {
    /// The new version gets a small part.
    Observing,
    /// The new version gets all new requests; the old one ends what it has.
    Moving,
    Succeeded,
    RolledBack,
}

impl Stage {
    /// Whether nothing follows.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// What the node with the duties has decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Decided {
    /// Names the pool.
    pub pool: u64,
    /// The order's place.
    pub order: Place,
    pub stage: Stage,
    /// When the roll-out began, in Unix milliseconds.
    pub began_day_ms: u64,
    /// When this stage began, in Unix milliseconds.
    pub since_day_ms: u64,
}

/// What one node has seen of a roll-out since its start.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Observed {
    /// Names the pool.
    pub pool: u64,
    pub order: Place,
    pub rows: Vec<Seen>,
}

/// Which upstreams of a pool a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Versions<'a> {
    Any,
    /// None of this version.
    Without(&'a str),
    /// Only those of this version.
    Only(&'a str),
    /// A few of this version, which bear what each of them will have to bear.
    Few {
        version: &'a str,
        most: usize,
    },
}

/// The part of a version's upstreams that bear a small part of a pool's traffic: at least one.
#[must_use]
fn few_of(upstreams: usize, share: f64) -> usize {
    let few = num::whole(num::real(upstreams as u64) * share);
    usize::try_from(few).unwrap_or(usize::MAX).max(1)
}

/// Upstreams of a pool that take work, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Standing {
    pub old: usize,
    pub new: usize,
    /// Requests that run at the old ones, of all nodes.
    pub old_running: u32,
}

/// Of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: Order,
    pub decided: Decided,
    /// Whether the node with the duties has decided anything that this node knows of.
    pub is_decided: bool,
    /// What this node saw, sorted by route.
    pub(super) own: Vec<Seen>,
    usual: Vec<(u64, Usual)>,
    /// What each peer saw, sorted by incarnation.
    pub(super) peers: Vec<(u64, Vec<Seen>)>,
    /// Requests that the new version may get of this node now.
    credit: f64,
}

/// An answer, as a roll-out sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// Names the route.
    pub route: u64,
    /// Whether the new version gave it.
    pub is_new: bool,
    /// Until its first event or its end; none if it failed.
    pub took_ms: Option<u64>,
    /// What was expected; 1 where nothing is known of it.
    pub expected_ms: f64,
}

/// What a node knows besides when it lets the new version have a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    /// Part of all requests that a bad version may get.
    pub exposure_share: f64,
    /// Whether this node hears most of the others and its configuration is current.
    pub is_in_touch: bool,
    pub standing: Standing,
    /// The time of day that most nodes agree on.
    pub day_ms: u64,
    /// Evenly spread over requests.
    pub draw: u64,
    /// Whether the request has not been sent to any upstream yet.
    pub is_first: bool,
}

/// Part of a pool's requests that the new version gets while it is observed.
fn used_share(moment: &Moment) -> f64 {
    moment.exposure_share * EXPOSURE_PART
}

impl Order {
    /// Whether it is an earlier order, written again after the store came back from a copy.
    fn repeats(&self, earlier: &Self) -> bool {
        self.place.era > earlier.place.era
            && self.target == earlier.target
            && self.duration_ms == earlier.duration_ms
    }
}

impl Rollout {
    /// Takes in that its order stands at another place now; tells whether it does.
    ///
    /// Taken for a new one, it would begin again, and a version that was found bad would get requests again. The stage
    /// is decided and told again under the new place: what the store held of it may be gone.
    pub(super) fn take_repeat(&mut self, order: &Order) -> bool {
        let is_repeat = order.repeats(&self.order);
        if is_repeat {
            self.order.place = order.place;
            self.decided.order = order.place;
            self.is_decided &= self.decided.stage.is_end();
        }
        is_repeat
    }

    pub(super) fn new(order: Order, day_ms: u64) -> Self {
        let decided = Decided {
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
            usual: Vec::new(),
            peers: Vec::new(),
            credit: 0.0,
        }
    }

    /// What all nodes have seen.
    pub fn sum(&self) -> Vec<Seen> {
        let mut sum = self.own.clone();
        for (_peer, rows) in &self.peers {
            verdict::add(&mut sum, rows);
        }
        sum
    }

    /// Which upstreams the next request may go to.
    pub fn versions(&mut self, moment: &Moment) -> Versions<'_> {
        let takes_part = self.decided.stage == Stage::Observing && self.takes_part(moment);
        let target = self.order.target.as_str();
        let is_over = moment.day_ms >= self.decided.began_day_ms + self.order.duration_ms;
        match self.decided.stage {
            Stage::Moving | Stage::Succeeded if moment.standing.new == 0 => Versions::Any,
            // Later ones may have other versions without an order.
            Stage::Succeeded if moment.day_ms >= self.decided.since_day_ms + STOPPED_MS => {
                Versions::Any
            }
            Stage::Moving | Stage::Succeeded => Versions::Only(target),
            // The operators have not been told of any end; what there is serves.
            Stage::Observing if is_over && moment.standing.old == 0 => Versions::Any,
            Stage::Observing if takes_part => Versions::Few {
                version: target,
                most: few_of(moment.standing.new, used_share(moment)),
            },
            Stage::Observing | Stage::RolledBack => Versions::Without(target),
        }
    }

    /// Whether the new version gets this request.
    fn takes_part(&mut self, moment: &Moment) -> bool {
        // A request that is sent again has failed elsewhere, and would fail here for its own sake.
        if !moment.is_first {
            return false;
        }
        let share = used_share(moment);
        let new = moment.standing.new;
        self.credit = (self.credit + share).min(MOST_CREDIT);
        if new == 0 || !moment.is_in_touch || self.credit < 1.0 {
            return false;
        }
        // Each of the few gets a little more than its part of all requests, for a part of the time.
        let few = num::real(few_of(new, share) as u64) / num::real(new as u64);
        let wave_share = (few * WAVE_TIMES).clamp(share, 1.0);
        let wave_ms = num::whole(num::real(WAVE_MS) * (share / wave_share * WAVE_TIMES).min(1.0));
        let is_in_wave = moment.day_ms % WAVE_MS < wave_ms.max(1);
        let is_drawn = num::real(moment.draw % 1_000) < wave_share * 1_000.0;
        if !is_in_wave || !is_drawn || verdict::verdict(&self.sum()) == Verdict::Bad {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Takes in an answer; tells whether peers should hear of it at once.
    pub fn note(&mut self, answer: &Answer) -> bool {
        let usual = match self
            .usual
            .binary_search_by_key(&answer.route, |(route, _usual)| *route)
        {
            Ok(place) => place,
            Err(place) => {
                self.usual.insert(place, (answer.route, Usual::default()));
                place
            }
        };
        let usual = &mut self.usual[usual].1;
        let is_bad =
            (answer.took_ms).is_none_or(|took_ms| usual.is_slow(took_ms, answer.expected_ms));
        if let (false, Some(took_ms)) = (answer.is_new, answer.took_ms) {
            usual.note(took_ms, answer.expected_ms);
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

    /// What the node with the duties decides next; none if the stage stays.
    pub fn next_stage(&self, standing: Standing, day_ms: u64) -> Option<Stage> {
        let verdict = verdict::verdict(&self.sum());
        let passed_ms = day_ms.saturating_sub(self.decided.began_day_ms);
        let passed_part = num::real(passed_ms) / num::real(self.order.duration_ms.max(1));
        let moving_ms = day_ms.saturating_sub(self.decided.since_day_ms);
        match self.decided.stage {
            Stage::Succeeded | Stage::RolledBack => None,
            _ if verdict == Verdict::Bad => Some(Stage::RolledBack),
            // It is what runs already.
            Stage::Observing if standing.old == 0 && standing.new > 0 => Some(Stage::Succeeded),
            Stage::Observing if passed_part < OBSERVED_PART => None,
            Stage::Observing if verdict == Verdict::Good => Some(Stage::Moving),
            Stage::Observing if passed_part < DECIDED_PART => None,
            Stage::Observing if verdict == Verdict::LikelyGood => Some(Stage::Moving),
            Stage::Observing => Some(Stage::RolledBack),
            Stage::Moving if passed_part >= MOVED_PART => Some(Stage::Succeeded),
            Stage::Moving if moving_ms >= LEAST_MOVING_MS && standing.old_running == 0 => {
                Some(Stage::Succeeded)
            }
            Stage::Moving => None,
        }
    }
}

/// How long a roll-out has run, for a log line.
#[must_use]
pub(crate) fn passed_ms(decided: &Decided, day_now: TimeMs) -> u64 {
    day_now.0.saturating_sub(decided.began_day_ms)
}

#[cfg(test)]
mod tests;
