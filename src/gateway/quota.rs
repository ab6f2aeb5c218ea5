//! What teams may use, counted over all nodes.
//!
//! Each node keeps the whole bucket of each team: it takes out what it admits itself at once and
//! what others admitted when it hears of it. A bucket may fall below zero and then admits nothing
//! until it is refilled, so that what was admitted before the news came is paid back.
//!
//! A node that hears nothing from some of its peers cannot know what they admit. It then refills
//! its bucket only by the part of the nodes that it hears; the others do the same, so that all
//! parts together never exceed the limit.
//!
//! Operators judge a limit over a window of some seconds: a team may use its rate over that window
//! and its burst, and a little more. The bucket is shaped by that window and not by the burst alone.

use super::catalog::{Team, Unit};
use super::num;
use super::settings::LimitWindow;
use super::upstreams::tag;
use crate::time::TimeMs;

/// Time over which a peer's rate is averaged: several of its reports.
const RATE_SPAN_MS: f64 = 400.0;

/// Longest time for which a peer's rate is taken to go on unheard: about what news takes, between
/// pulses of few nodes and through the collector of many.
const EXTRAPOLATED_MS: u64 = 150;

/// The part of what a limit may be exceeded by that is given to the team.
///
/// What is left covers what nodes admit before they hear of each other.
const TOLERANCE_PART: f64 = 0.4;

/// The part of what a team may use in a window beyond its rate that its bucket holds at once; the
/// rest comes over the window.
///
/// A bucket that holds all of it and is refilled at the rate alone refuses a team for as long as it
/// asks a little more than its rate, although the window allows a burst more each time.
const AT_ONCE_PART: f64 = 0.5;

/// A team whose bucket is emptier than this part of what it holds is near its limit.
///
/// A team that stays within its rate has a full bucket but for single requests.
const NEAR_PART: f64 = 0.85;

/// From this many nodes on, news of what others admit takes longer than with few, and a node that is
/// cut off is noticed only after three of its rare pulses, 3.5 s at 195 nodes; until then it admits
/// as if it heard all others.
const MANY_NODES: u32 = 30;

/// A request that costs at most this part of its team's burst is small.
///
/// A short call costs a hundredth of a long report's tokens.
const SMALL_PART: f64 = 1.0 / 500.0;

/// Part of a burst that small requests may overdraw.
///
/// A team that sends six times its usual has its bucket around zero for as long; each long report
/// that is let in takes it below by up to a fifth of the burst, and short calls, which fit into what
/// is left ten times over, were refused as often as reports. What they overdraw is paid back.
const SMALL_OVERDRAFT_PART: f64 = 0.25;

/// Below this part of what a bucket holds, only a part of the requests is let in: the smaller, the less
/// is left.
///
/// Many nodes spend the same bucket before they hear of each other. If each let everything in until it
/// was empty, a team that asks for some times its limit would be let in by all and then by none, by turns,
/// and beyond its limit. So what is let in nears what comes in. For few nodes, which hear of each other
/// soon, the part is smaller; up to [`UNDAMPED_NODES`] it is nothing.
const DAMPED_PART: f64 = 0.65;
const UNDAMPED_NODES: f64 = 9.0;

/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY_MS: u64 = 3_000;

/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY_MS: u64 = 100;

/// How many nodes there are and how many of them are heard, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Audience {
    pub known: u32,
    pub heard: u32,
}

impl Audience {
    /// Whether this node hears at least half of the fleet.
    pub fn hears_most(self) -> bool {
        self.heard * 2 >= self.known
    }

    /// The part of the fleet's limits that the nodes that hear each other may use.
    pub fn share(self) -> f64 {
        f64::from(self.heard.max(1)) / f64::from(self.known.max(self.heard).max(1))
    }
}

/// How a team's bucket is filled.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Shape {
    capacity: f64,
    rate_per_s: f64,
}

impl Shape {
    /// The bucket of a limit: in no window does it let in more than the rate over that window, the
    /// burst, and a part of what the limit may be exceeded by.
    ///
    /// Without a window, and with many nodes, the burst and the rate alone shape it.
    fn new(window: Option<LimitWindow>, rate_per_s: f64, burst: f64, nodes: u32) -> Self {
        // With many nodes, what is on its way between them takes all of the tolerance.
        let Some(window) = window.filter(|_window| nodes <= MANY_NODES) else {
            return Self {
                capacity: burst,
                rate_per_s,
            };
        };
        let window_s = num::real(window.window_ms) / 1_000.0;
        let tolerance = window.overshoot * (rate_per_s * window_s + burst) + window.slack;
        let given = tolerance * TOLERANCE_PART;
        let beyond_rate = burst + given;
        Self {
            capacity: beyond_rate * AT_ONCE_PART,
            rate_per_s: rate_per_s + beyond_rate * (1.0 - AT_ONCE_PART) / window_s,
        }
    }
}

/// Whether a request is within its team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    Admitted,
    Over(Shortfall),
}

/// By how much a team is over its limit, and what that was worked out from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortfall {
    /// What the request takes out.
    pub cost: f64,
    /// What was left, below zero if the team's bucket was overdrawn.
    pub level: f64,
    /// What the bucket holds when it is full.
    pub capacity: f64,
    /// What this node refills it by.
    pub rate_per_s: f64,
    /// The nodes that share the limit.
    pub audience: Audience,
    /// There is room again after this time.
    pub retry_after_ms: u64,
}

/// The part of a bucket below which only a part of the requests is let in, by the number of nodes.
fn damped_part(nodes: u32) -> f64 {
    DAMPED_PART * (1.0 - UNDAMPED_NODES / f64::from(nodes.max(1))).max(0.0)
}

/// What a team's limit counts of a request with these tokens.
#[must_use]
pub(crate) fn cost(unit: Unit, tokens: Option<u64>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain_tokens } => num::real(tokens.unwrap_or(plain_tokens)),
    }
}

/// The buckets of all teams.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// How limits are judged; none if the burst and the rate are all that is known.
    window: Option<LimitWindow>,
    /// Sorted by team.
    buckets: Vec<Bucket>,
    /// When this node started; a bucket of that moment would be empty.
    started_at: TimeMs,
    /// Peers that have been heard, whether they admitted anything or not; sorted.
    heard: Vec<(u64, TimeMs)>,
    /// The part of each limit that this node refills, as of the last look at its peers.
    share: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    team: u64,
    level: f64,
    filled_at: TimeMs,
    /// All that this node has admitted since its start.
    own_total: f64,
    /// What of that the team's collector has been told.
    told_total: f64,
    /// Parts of requests that were not let in since one was, while only a part of them is.
    owed: f64,
    /// Totals by incarnation that this node has passed on as the team's collector.
    passed_on: Vec<(u64, f64)>,
    /// Sorted by the peer's incarnation.
    peers: Vec<PeerUse>,
}

#[derive(Clone, Copy, Debug)]
struct PeerUse {
    incarnation: u64,
    total: f64,
    heard_at: TimeMs,
    rate_per_ms: f64,
}

impl Quotas {
    /// The buckets of a node that starts now: they are empty and fill up.
    ///
    /// What teams used before is not known. If all nodes are killed at once while a team is at its
    /// limit, buckets that start full would give it its whole burst again.
    #[must_use]
    pub fn new(window: Option<LimitWindow>, started_at: TimeMs) -> Self {
        Self {
            window,
            buckets: Vec::new(),
            started_at,
            heard: Vec::new(),
            share: 1.0,
        }
    }

    /// Takes in how many of the nodes are heard.
    pub fn note_audience(&mut self, audience: Audience) {
        self.share = audience.share();
    }

    /// Admits a request if its team's bucket allows, and takes its cost out.
    pub fn admit(&mut self, team: &Team, cost: f64, audience: Audience, now: TimeMs) -> Admission {
        let Some(rate_per_s) = team.rate_per_s else {
            return Admission::Admitted;
        };
        let shape = Shape::new(self.window, rate_per_s, team.burst, audience.known);
        self.note_audience(audience);
        let capacity = shape.capacity;
        let rate_per_s = shape.rate_per_s * self.share;
        let bucket = self.bucket(team, now);
        bucket.refill(rate_per_s, capacity, now);
        let overdraft = if cost <= team.burst * SMALL_PART {
            team.burst * SMALL_OVERDRAFT_PART
        } else {
            0.0
        };
        let level = bucket.level - bucket.unheard(now) + overdraft;
        let full = if overdraft > 0.0 {
            0.0
        } else {
            capacity * damped_part(audience.known)
        };
        if level > 0.0 && bucket.takes(level / full.max(1.0)) {
            bucket.level -= cost;
            bucket.own_total += cost;
            return Admission::Admitted;
        }
        // Room for one request of this size again, and for what others take meanwhile.
        let missing = (cost.min(capacity) - level).max(full - level);
        let wait_ms = num::whole(missing * 1_000.0 / rate_per_s.max(f64::MIN_POSITIVE));
        Admission::Over(Shortfall {
            cost,
            level,
            capacity,
            rate_per_s,
            audience,
            retry_after_ms: wait_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS),
        })
    }

    /// What was left of a team's limit when it last asked, as a part of what its bucket holds; below zero if it
    /// was overdrawn.
    pub fn left_part(&self, team: &Team) -> Option<f64> {
        let tag = tag(&team.name);
        let found = self
            .buckets
            .binary_search_by_key(&tag, |bucket| bucket.team);
        let bucket = &self.buckets[found.ok()?];
        let capacity = self.shape(team)?.capacity;
        Some(bucket.level / capacity.max(1.0))
    }

    /// Gives back the cost of a request that did not run.
    pub fn give_back(&mut self, team: &Team, cost: f64, now: TimeMs) {
        if team.rate_per_s.is_some() {
            let bucket = self.bucket(team, now);
            // Totals only grow, so that an older one which comes late can be told from a newer; the
            // peers go on counting this request, which is a small part of a limit.
            bucket.level += cost;
        }
    }

    /// What a team's collector passes on: the totals of nodes that have changed since it last did,
    /// if the team is near its limit.
    ///
    /// While a team is far from its limit nobody has to hurry.
    pub fn collected(&mut self, team: &Team, own: u64, now: TimeMs) -> Vec<(u64, f64)> {
        let Some((bucket, shape)) = self.refilled(team, now) else {
            return Vec::new();
        };
        if bucket.level > shape.capacity * NEAR_PART {
            return Vec::new();
        }
        let own = (own, bucket.own_total);
        let peers = bucket
            .peers
            .iter()
            .map(|peer| (peer.incarnation, peer.total));
        let all: Vec<(u64, f64)> = peers.chain([own]).collect();
        let passed_on = std::mem::take(&mut bucket.passed_on);
        let changed = all.iter().filter(|row| !passed_on.contains(row));
        let changed = changed.copied().collect();
        bucket.passed_on = all;
        changed
    }

    /// What a team's collector has to be told: this node's total, if it has changed.
    pub fn untold(&mut self, team: &Team, now: TimeMs) -> Option<f64> {
        team.rate_per_s?;
        let bucket = self.bucket(team, now);
        let is_new = bucket.own_total > bucket.told_total;
        bucket.told_total = bucket.own_total;
        is_new.then_some(bucket.own_total)
    }

    /// What this node has admitted of each team, for its peers.
    pub fn own_totals(&self) -> Vec<(u64, f64)> {
        (self.buckets.iter())
            .filter(|bucket| bucket.own_total != 0.0)
            .map(|bucket| (bucket.team, bucket.own_total))
            .collect()
    }

    /// Takes in what a peer has admitted since its start; `teams` are those of the catalog.
    pub fn note_peer(
        &mut self,
        incarnation: u64,
        totals: &[(u64, f64)],
        teams: &[Team],
        now: TimeMs,
    ) {
        let found = (self.heard).binary_search_by_key(&incarnation, |(heard, _at)| *heard);
        let was_heard = found.is_ok();
        match found {
            Ok(place) => self.heard[place].1 = now,
            Err(place) => self.heard.insert(place, (incarnation, now)),
        }
        for team in teams {
            let tag = tag(&team.name);
            let total = totals.iter().find(|(team, _total)| *team == tag);
            let Some((_team, total)) = total else {
                continue;
            };
            // What comes in before the news is lost on a full bucket. Refilled only afterwards, for
            // all of the time since this node was last asked, the bucket would get back what peers
            // have just taken.
            if let Some((bucket, _shape)) = self.refilled(team, now) {
                bucket.note_peer(incarnation, *total, was_heard, now);
            }
        }
    }

    /// Forgets peers that have not been heard for a long time.
    pub fn forget_peers(&mut self, forget_ms: u64, now: TimeMs) {
        self.heard
            .retain(|(_incarnation, at)| now.since(*at) < forget_ms);
        for bucket in &mut self.buckets {
            bucket
                .peers
                .retain(|peer| now.since(peer.heard_at) < forget_ms);
        }
    }

    /// How a team's bucket is filled, as far as this node knows the others; none without a limit.
    fn shape(&self, team: &Team) -> Option<Shape> {
        let nodes = u32::try_from(self.heard.len() + 1).unwrap_or(u32::MAX);
        let rate_per_s = team.rate_per_s?;
        Some(Shape::new(self.window, rate_per_s, team.burst, nodes))
    }

    /// The bucket of a team with what has come in until now; none without a limit.
    fn refilled(&mut self, team: &Team, now: TimeMs) -> Option<(&mut Bucket, Shape)> {
        let shape = self.shape(team)?;
        let rate_per_s = shape.rate_per_s * self.share;
        let bucket = self.bucket(team, now);
        bucket.refill(rate_per_s, shape.capacity, now);
        Some((bucket, shape))
    }

    fn bucket(&mut self, team: &Team, now: TimeMs) -> &mut Bucket {
        let tag = tag(&team.name);
        let found = self
            .buckets
            .binary_search_by_key(&tag, |bucket| bucket.team);
        let place = found.unwrap_or_else(|place| {
            let filled_s = num::real(now.since(self.started_at)) / 1_000.0;
            let level = self.shape(team).map_or(0.0, |shape| {
                (shape.rate_per_s * filled_s).min(shape.capacity)
            });
            let bucket = Bucket {
                team: tag,
                level,
                filled_at: now,
                own_total: 0.0,
                told_total: 0.0,
                owed: 0.0,
                passed_on: Vec::new(),
                peers: Vec::new(),
            };
            self.buckets.insert(place, bucket);
            place
        });
        &mut self.buckets[place]
    }
}

impl Bucket {
    /// Whether a request is let in of which only this part is.
    fn takes(&mut self, part: f64) -> bool {
        if part >= 1.0 {
            return true;
        }
        self.owed += part;
        let is_taken = self.owed >= 1.0;
        if is_taken {
            self.owed -= 1.0;
        }
        is_taken
    }

    fn refill(&mut self, rate_per_s: f64, capacity: f64, now: TimeMs) {
        let gained = rate_per_s * num::real(now.since(self.filled_at)) / 1_000.0;
        self.level = (self.level + gained).min(capacity);
        self.filled_at = now;
    }

    /// What peers have probably admitted since their last reports.
    fn unheard(&self, now: TimeMs) -> f64 {
        let parts = self.peers.iter().map(|peer| {
            let silent_ms = now.since(peer.heard_at).min(EXTRAPOLATED_MS);
            peer.rate_per_ms * num::real(silent_ms)
        });
        parts.sum()
    }

    fn note_peer(&mut self, incarnation: u64, total: f64, was_heard: bool, now: TimeMs) {
        let found = self
            .peers
            .binary_search_by_key(&incarnation, |peer| peer.incarnation);
        match found {
            Ok(place) => {
                let peer = &mut self.peers[place];
                // An older report that comes late gains nothing.
                let gained = (total - peer.total).max(0.0);
                let passed_ms = num::real(now.since(peer.heard_at).max(1));
                let weight = (passed_ms / RATE_SPAN_MS).min(1.0);
                peer.rate_per_ms += weight * (gained / passed_ms - peer.rate_per_ms);
                peer.total += gained;
                peer.heard_at = now;
                self.level -= gained;
            }
            Err(place) => {
                let peer = PeerUse {
                    incarnation,
                    total,
                    heard_at: now,
                    rate_per_ms: 0.0,
                };
                self.peers.insert(place, peer);
                // What a peer admitted before this node first heard it is in the past; a peer that
                // was heard without the team has admitted all of it since.
                if was_heard {
                    self.level -= total;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
