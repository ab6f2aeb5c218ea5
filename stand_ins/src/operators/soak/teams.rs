//! Teams at half of their limit, at it and far above it, while several nodes at once are killed or frozen.
//!
//! Each node may be the one that counts for a team; from outside any of them is hit.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::callers::call;
use super::faults::Faults;
use super::{Called, Outcome};
use crate::operators::caller::{Asked, Channel};
use crate::operators::deployment::{
    Deployment, LIMIT_PER_S, LIMITED_TEAMS, QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S, asked,
    key_of,
};
use crate::operators::node::Node;
use crate::operators::upstream::Run;

/// Load of each limited team, as a multiple of its limit.
const LOADS: [f64; LIMITED_TEAMS.len()] = [0.5, 1.0, 5.0];

/// Between two times that several nodes are hit.
const HIT_INTERVAL: Duration = Duration::from_secs(3);

/// Place of the team that stays far below its limit.
const HALF: usize = 0;

/// Of so many requests of a team below its limit, fewer than one may be refused as over the limit.
const REQUESTS_PER_REFUSAL: usize = 1_000;

/// Status of a refusal as over the limit.
const OVER_LIMIT: u16 = 429;

/// Log lines of a broken bound.
const MAX_LINES: usize = 10;

/// The limited teams of a seed.
pub(super) struct Teams {
    rng: SmallRng,
    due: Instant,
    called: Arc<Mutex<Vec<Called>>>,
}

impl Teams {
    /// Starts the callers of a seed's teams, on random numbers of their own: the other faults of the seed stay as they
    /// are.
    pub fn start(seed: u64, nodes: &[SocketAddr], callers: &mut JoinSet<()>) -> Self {
        let mut teams = Self {
            rng: SmallRng::seed_from_u64(seed.rotate_left(48)),
            due: Instant::now(),
            called: Arc::default(),
        };
        for place in 0..LIMITED_TEAMS.len() {
            let rng = SmallRng::seed_from_u64(teams.rng.random());
            let called = Arc::clone(&teams.called);
            callers.spawn(call_on(place, rng, nodes.to_vec(), called));
        }
        teams
    }

    /// Kills or freezes some of the nodes at once, if that is due, and returns what was done.
    pub fn step(&mut self, faults: &mut Faults, deployment: &Deployment) -> Option<String> {
        if Instant::now() < self.due {
            return None;
        }
        self.due = Instant::now() + HIT_INTERVAL;
        let hit = self
            .rng
            .random_range(1..=(deployment.nodes.len() / 2).max(1));
        Some(faults.hit_nodes(&mut self.rng, deployment, hit))
    }

    /// Returns the calls that have ended.
    pub fn called(&self) -> Vec<Called> {
        self.called.lock().clone()
    }

    /// Returns the calls of a team that have ended, and the refusals as over the limit among them.
    fn counts(&self, team: &str) -> (usize, usize) {
        let key = key_of(team);
        let called = self.called.lock();
        let of_team = called.iter().filter(|call| call.asked.key == key);
        let refused = (of_team.clone()).filter(|call| call.ended.status() == Some(OVER_LIMIT));
        (of_team.count(), refused.count())
    }

    /// Checks what the upstreams ran of each team and what was refused.
    pub fn check(&self, deployment: &Deployment, runs: &[Run], outcome: &mut Outcome) {
        let allowed = allowance();
        for (place, team) in LIMITED_TEAMS.into_iter().enumerate() {
            let (sent, refused) = self.counts(team);
            let used = most_in_window(runs, team);
            let seen = format!(
                "team {team}: {used} in {QUOTA_WINDOW_S} s of {allowed:.0} allowed, {refused} of {sent} refused over the limit"
            );
            let is_exceeded = f64::from(used) > allowed;
            let is_short = place == HALF && refused * REQUESTS_PER_REFUSAL >= sent.max(1);
            if is_exceeded || is_short {
                let logged = logged_refusals(deployment, team).join("\n");
                outcome.broken.push(format!("{seen}\n{logged}"));
            }
            outcome.teams.push(seen);
        }
    }
}

/// What the nodes logged of a team's requests that they refused as over the limit.
fn logged_refusals(deployment: &Deployment, team: &str) -> Vec<String> {
    let request = format!("{team}-");
    let logs = deployment.nodes.iter().flat_map(Node::log);
    let of_team = logs.filter(|line| line.contains("over_limit") && line.contains(&request));
    of_team.take(MAX_LINES).collect()
}

/// Requests that a window allows each limited team, with the operators' tolerance.
fn allowance() -> f64 {
    let limit = LIMIT_PER_S * QUOTA_WINDOW_S + LIMIT_PER_S;
    limit * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK
}

/// Most requests of a team that began to run within one window; a repeat of a request does not count.
fn most_in_window(runs: &[Run], team: &str) -> u32 {
    let mut first_ms: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.team.as_deref() == Some(team)) {
        let at_ms = first_ms.entry(&run.request).or_insert(run.at_ms);
        *at_ms = run.at_ms.min(*at_ms);
    }
    let window = Duration::from_secs_f64(QUOTA_WINDOW_S).as_millis();
    let window_ms = u64::try_from(window).unwrap_or(u64::MAX);
    let in_window = first_ms.values().map(|from_ms| {
        let window_ms = *from_ms..from_ms.saturating_add(window_ms);
        first_ms
            .values()
            .filter(|at_ms| window_ms.contains(at_ms))
            .count()
    });
    u32::try_from(in_window.max().unwrap_or(0)).unwrap_or(u32::MAX)
}

/// Sends a team's calls to random nodes at a steady rate, without end, whether earlier ones have ended or not.
async fn call_on(
    place: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    called: Arc<Mutex<Vec<Called>>>,
) {
    let team = LIMITED_TEAMS[place];
    let pause = Duration::from_secs_f64(1.0 / (LIMIT_PER_S * LOADS[place]));
    let mut due = tokio::time::interval(pause);
    let mut calls = JoinSet::new();
    for number in 0_usize.. {
        due.tick().await;
        while calls.try_join_next().is_some() {}
        let asked = Asked {
            key: key_of(team),
            ..asked(&format!("{team}-{number}"), "again")
        };
        let node = rng.random_range(0..nodes.len());
        let (address, called) = (nodes[node], Arc::clone(&called));
        calls.spawn(async move {
            call(asked, node, address, &mut Channel::default(), &called).await;
        });
    }
}
