//! Divides the room of a pool among teams and, within a team, among urgencies.
//!
//! The result is the fraction of each kind's work that may start. Every node computes it from the
//! same reports and applies it to the requests that it receives, so that a node's part of a team's
//! share is its part of the team's demand, also where that part is smaller than one request.

use super::demand::{Kind, KindDemand, total};
use crate::gateway::num;
use crate::limits::TeamTag;
use crate::limits::shares::{ShareClaim, max_min_split};
use crate::time::TimeMs;

/// Least fraction of each kind of a team, as a share of the team's mean fraction.
const MIN_KIND_SHARE: f64 = 0.3;

/// Least fraction of a team's requests that start, as a share of the fraction of all requests.
const LEAST_TEAM_FRACTION: f64 = 0.3;

/// Largest share that a team gets for the sake of that, as a multiple of its fair share.
const MAX_RAISED_SHARE: f64 = 1.1;

/// Time of its share that a team can have left.
const MAX_CREDIT_MS: f64 = 4_000.0;

/// Time in which a team that is cut spends what it has left.
const CREDIT_SPENDING_MS: f64 = 2_000.0;

/// Longest time between two divisions that counts into the credit.
const MAX_PASSED_MS: u64 = 1_000;

/// The weight of a team that has its own; the others have the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TeamWeight {
    pub team: TeamTag,
    pub weight: f64,
}

/// The weights of teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Weights {
    /// Sorted by team.
    teams: Vec<TeamWeight>,
    mean: f64,
}

impl Weights {
    /// Returns the weights of these teams, given in any order.
    #[must_use]
    pub fn new(teams: impl Iterator<Item = TeamWeight>) -> Self {
        let mut teams: Vec<TeamWeight> = teams.filter(|entry| entry.weight > 0.0).collect();
        teams.sort_by_key(|entry| entry.team);
        let sum: f64 = teams.iter().map(|entry| entry.weight).sum();
        let count = u32::try_from(teams.len()).map_or(f64::INFINITY, f64::from);
        Self {
            mean: sum / count.max(1.0),
            teams,
        }
    }

    fn of(&self, team: TeamTag) -> f64 {
        let found = self.teams.binary_search_by_key(&team, |entry| entry.team);
        match found {
            Ok(index) => self.teams[index].weight,
            Err(_) if self.mean > 0.0 => self.mean,
            Err(_) => 1.0,
        }
    }
}

/// What a team has left of its share, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Credit {
    team: TeamTag,
    tokens: f64,
}

/// A team's claim on the room and what it gets, in tokens a second.
#[derive(Clone, Copy, Debug)]
struct TeamShare {
    team: TeamTag,
    demand: f64,
    /// Its share if it asks for that much.
    entitled: f64,
    share: f64,
}

impl TeamShare {
    fn is_met(&self) -> bool {
        self.demand <= self.entitled
    }
}

/// The fraction of each kind's work that may start.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Allocation {
    /// Sorted by kind.
    fractions: Vec<(Kind, f64)>,
    /// Sorted by team.
    credits: Vec<Credit>,
    divided_at: TimeMs,
    /// Demand over room; at most one if everything may start.
    pub overload: f64,
}

impl Allocation {
    /// Divides the room among the kinds with demand, which are sorted.
    pub fn divide(
        &mut self,
        room_tokens_per_s: f64,
        demand: &[KindDemand],
        weights: &Weights,
        now: TimeMs,
    ) {
        let teams: Vec<&[KindDemand]> =
            (demand.chunk_by(|left, right| left.kind.team == right.kind.team)).collect();
        let mut shares = fair_shares(room_tokens_per_s, &teams, weights);
        self.add_credit(&mut shares, room_tokens_per_s);
        self.update_credits(&shares, now);
        let by_team = teams.iter().zip(&shares);
        self.fractions = by_team
            .flat_map(|(kinds, team)| fractions_of_team(kinds, team.share))
            .collect();
        self.overload = total(demand) / room_tokens_per_s.max(f64::MIN_POSITIVE);
    }

    /// Lets teams that are cut use what they have left from before, at the cost of the others that
    /// are cut.
    ///
    /// The demand of a team with few requests a second varies by chance. Without the credit, a team
    /// that asks for about its share would be cut while it is above and get nothing for the time in
    /// which it was below.
    fn add_credit(&self, shares: &mut [TeamShare], room_tokens_per_s: f64) {
        let is_met = |team: &&TeamShare| team.is_met();
        let met: f64 = shares.iter().filter(is_met).map(|team| team.demand).sum();
        let demand: f64 = shares.iter().map(|team| team.demand).sum();
        let least_fraction =
            LEAST_TEAM_FRACTION * room_tokens_per_s / demand.max(f64::MIN_POSITIVE);
        let mut claimed = 0.0;
        for team in shares.iter_mut().filter(|team| !team.is_met()) {
            let added = self.credit(team.team) * 1_000.0 / CREDIT_SPENDING_MS;
            team.share = team.demand.min(team.entitled + added);
            claimed += team.share;
        }
        let scale = ((room_tokens_per_s - met) / claimed.max(f64::MIN_POSITIVE)).min(1.0);
        for team in shares.iter_mut().filter(|team| !team.is_met()) {
            let least = (least_fraction * team.demand).min(team.entitled * MAX_RAISED_SHARE);
            team.share = (team.share * scale).max(least);
        }
    }

    fn update_credits(&mut self, shares: &[TeamShare], now: TimeMs) {
        let passed_ms = num::to_f64(now.since(self.divided_at).min(MAX_PASSED_MS));
        self.divided_at = now;
        let credits = shares.iter().map(|team| {
            let added = (team.entitled - team.share) * passed_ms / 1_000.0;
            let most = team.entitled * MAX_CREDIT_MS / 1_000.0;
            Credit {
                team: team.team,
                tokens: (self.credit(team.team) + added).clamp(0.0, most),
            }
        });
        self.credits = credits.collect();
    }

    fn credit(&self, team: TeamTag) -> f64 {
        let found = self
            .credits
            .binary_search_by_key(&team, |credit| credit.team);
        found.map_or(0.0, |index| self.credits[index].tokens)
    }

    /// Returns the fraction of a kind's work that may start.
    pub fn fraction(&self, kind: Kind) -> f64 {
        let found = (self.fractions).binary_search_by_key(&kind, |(known, _fraction)| *known);
        // A kind without known demand takes little.
        found.map_or(1.0, |index| self.fractions[index].1)
    }
}

/// Returns the weighted max-min fair shares of teams, sorted as the teams are.
fn fair_shares(
    room_tokens_per_s: f64,
    teams: &[&[KindDemand]],
    weights: &Weights,
) -> Vec<TeamShare> {
    let claims: Vec<ShareClaim> = (teams.iter())
        .map(|kinds| ShareClaim {
            weight: weights.of(kinds[0].kind.team),
            demand: total(kinds),
        })
        .collect();
    let split = max_min_split(room_tokens_per_s, &claims);
    let by_team = teams.iter().zip(claims.iter().zip(&split.shares));
    let shares = by_team.map(|(kinds, (claim, share))| TeamShare {
        team: kinds[0].kind.team,
        demand: claim.demand,
        entitled: share.max(claim.weight * split.level),
        share: *share,
    });
    shares.collect()
}

/// Returns the fractions of one team's kinds, sorted by urgency as the kinds are.
///
/// Each kind gets the least fraction first; the rest of the share goes to the most urgent ones.
fn fractions_of_team(kinds: &[KindDemand], share: f64) -> Vec<(Kind, f64)> {
    let demand = total(kinds).max(f64::MIN_POSITIVE);
    let least = MIN_KIND_SHARE * (share / demand).min(1.0);
    let mut left = share - least * demand;
    let fraction = |demand: &KindDemand| {
        let tokens_per_s = f64::from(demand.tokens_per_s).max(f64::MIN_POSITIVE);
        let added = left.min((1.0 - least) * tokens_per_s).max(0.0);
        left -= added;
        (demand.kind, least + added / tokens_per_s)
    };
    kinds.iter().map(fraction).collect()
}
