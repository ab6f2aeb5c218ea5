//! Twice the capacity, one team with ten times its share, and callers that crowd one node.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselline::client::http::HttpClient;
use teaselline::limits::shares::{ShareClaim, max_min_split};
use tokio::runtime::Runtime;

use super::report::Line;
use super::storms::sender::{
    BaselineClient, CallOutcome, CallResult, PlannedCall, p95_ms, send_all as send, send_to_node,
};
use super::storms::site::{DEADLINE_MS, FIRST_TOKEN_MS, OverloadSite, SiteShape};
use super::storms::{NODES, arrivals};
use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "overload",
    about: "Twice the capacity, one team with ten times its share, nodes unevenly loaded.",
    run,
};

/// Teams with weights out of ten, and what they send as a part of the capacity.
const TEAMS: [(&str, f64, f64); 5] = [
    ("flood", 1.0, 1.0),
    ("pubs", 3.0, 0.40),
    ("haulers", 2.5, 0.30),
    ("breweries", 2.5, 0.26),
    ("audit", 1.0, 0.04),
];
const TOKEN_MS: f64 = 20.0;
const TOKENS: u32 = 101;
/// How long calls come, and what of that is counted.
const LENGTH: Duration = Duration::from_secs(18);
const COUNTED: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(18));

#[derive(Debug, Default)]
struct Figures {
    answered_part: Vec<f64>,
    worst_team_part: Vec<f64>,
    first_token_p95_ms: Vec<f64>,
    within_target_part: Vec<f64>,
    not_run_p95_ms: Vec<f64>,
    not_run_max_ms: Vec<f64>,
    lost: Vec<f64>,
    alone_first_token_p95_ms: Vec<f64>,
    alone_not_run: Vec<f64>,
}

fn shape() -> SiteShape {
    SiteShape {
        nodes: NODES,
        engines_per_domain: 2,
        slots: 8,
        token_ms: TOKEN_MS,
        deadline_ms: DEADLINE_MS,
        teams: TEAMS.map(|(name, weight, _)| (name, weight)).to_vec(),
    }
}

/// Calls that the site answers in a second; the first token comes without a step.
fn capacity(shape: &SiteShape) -> f64 {
    f64::from(shape.total_slots()) * 1_000.0 / (f64::from(TOKENS - 1) * TOKEN_MS)
}

fn plan(seed: u64, shape: &SiteShape) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    for (team, _, part) in TEAMS {
        let per_second = part * capacity(shape);
        plan.extend(arrivals(&mut rng, team, per_second, LENGTH, TOKENS));
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = Runtime::new()?;
    let (mut gates, mut plain) = (Figures::default(), Figures::default());
    for seed in arguments.seeds() {
        runtime.block_on(with_gates(seed, &mut gates))?;
        runtime.block_on(without(seed, &mut plain))?;
    }
    line("round_robin", &plain, arguments).print()?;
    line("teaselline", &gates, arguments).print()?;
    Ok(())
}

fn line(side: &str, figures: &Figures, arguments: &Arguments) -> Line {
    Line::new("overload", side)
        .with("seed", arguments.seed)
        .with_spread("answered_part_of_capacity", &figures.answered_part)
        .with_spread("worst_team_part_of_fair", &figures.worst_team_part)
        .with_spread("first_token_p95_ms", &figures.first_token_p95_ms)
        .with_spread("answered_within_target_part", &figures.within_target_part)
        .with_spread("not_run_p95_ms", &figures.not_run_p95_ms)
        .with_spread("not_run_max_ms", &figures.not_run_max_ms)
        .with_spread("lost", &figures.lost)
        .with_spread(
            "alone_first_token_p95_ms",
            &figures.alone_first_token_p95_ms,
        )
        .with_spread("alone_not_run", &figures.alone_not_run)
}

async fn with_gates(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let shape = shape();
    let site = OverloadSite::start(&shape).await.ok_or(Failure::NotReady)?;
    let (http, nodes) = (HttpClient::new(), site.caller_addresses());
    let to = |_index, planned| send_to_node(http.clone(), nodes.clone(), planned);
    let alone = send(alone(&shape), to).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent = send(plan(seed, &shape), to).await;
    note(figures, &shape, &alone, &sent);
    Ok(())
}

async fn without(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let shape = shape();
    let site = OverloadSite::start(&shape).await.ok_or(Failure::NotReady)?;
    let addresses = site.hosts().iter().map(|(_, it)| it.address()).collect();
    let client = BaselineClient::new(addresses, 0);
    let to = |index, planned| client.clone().send(index, planned);
    let alone = send(alone(&shape), to).await;
    let sent = send(plan(seed, &shape), to).await;
    note(figures, &shape, &alone, &sent);
    Ok(())
}

/// As many calls of one team as there are slots, all at once.
fn alone(shape: &SiteShape) -> Vec<PlannedCall> {
    let calls = shape.total_slots();
    let call = |index: u32| PlannedCall {
        at: Duration::ZERO,
        node: index as usize % NODES,
        team: "flood",
        prompt: format!("alone {index}"),
        tokens: TOKENS,
    };
    (0..calls).map(call).collect()
}

fn note(figures: &mut Figures, shape: &SiteShape, alone: &[CallResult], sent: &[CallResult]) {
    let (from, to) = COUNTED;
    let counted = |sent: &&CallResult| (from..to).contains(&sent.ended_at());
    let whole = |sent: &&CallResult| sent.ended == CallOutcome::Completed;
    let answers: Vec<_> = sent.iter().filter(counted).filter(whole).collect();
    let all = to.saturating_sub(from).as_secs_f64() * capacity(shape);
    let part = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / all;
    figures.answered_part.push(part(answers.len()));
    let sent_by = |team: &str| {
        let due = |sent: &&CallResult| (from..to).contains(&sent.planned.at);
        let by = |sent: &&CallResult| sent.planned.team == team;
        part(sent.iter().filter(due).filter(by).count())
    };
    let claims = TEAMS.map(|(team, weight, _)| ShareClaim {
        weight,
        demand: sent_by(team),
    });
    let fair = max_min_split(1.0, &claims).shares;
    let parts = TEAMS.iter().zip(fair).map(|((team, _, _), fair)| {
        let got = answers.iter().filter(|sent| sent.planned.team == *team);
        part(got.count()) / fair
    });
    let parts: Vec<_> = parts.collect();
    eprintln!("each team's part of its fair share: {parts:.3?}");
    figures
        .worst_team_part
        .push(parts.iter().copied().fold(f64::INFINITY, f64::min));
    let firsts = || answers.iter().filter_map(|sent| sent.first_token);
    let in_time = firsts().filter(|first| *first <= Duration::from_millis(FIRST_TOKEN_MS));
    figures.first_token_p95_ms.push(p95_ms(firsts()));
    figures
        .within_target_part
        .push(part(in_time.count()) / part(answers.len()).max(f64::MIN_POSITIVE));
    let refused = || sent.iter().filter(|sent| sent.ended == CallOutcome::NotRun);
    figures
        .not_run_p95_ms
        .push(p95_ms(refused().map(|sent| sent.duration)));
    let longest = refused()
        .map(|sent| sent.duration)
        .max()
        .unwrap_or_default();
    figures.not_run_max_ms.push(longest.as_secs_f64() * 1e3);
    let lost =
        |sent: &&CallResult| matches!(sent.ended, CallOutcome::Unknown | CallOutcome::Failed(_));
    figures.lost.push(count(sent.iter().filter(lost).count()));
    let firsts = alone.iter().filter_map(|sent| sent.first_token);
    figures.alone_first_token_p95_ms.push(p95_ms(firsts));
    let refused = alone
        .iter()
        .filter(|sent| sent.ended == CallOutcome::NotRun);
    figures.alone_not_run.push(count(refused.count()));
}

fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
