//! Half of the upstreams fail for a while, some by refusing and some by dying.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselline::client::http::HttpClient;
use teaselline_stand_ins::engine::EngineFault;
use tokio::runtime::Runtime;

use super::report::Line;
use super::storms::sender::{
    BaselineClient, CallOutcome, CallResult, PlannedCall, p95_ms, send_all as send, send_to_node,
};
use super::storms::site::{DEADLINE_MS, FIRST_TOKEN_MS, OverloadSite, SiteShape, engine};
use super::storms::{NODES, arrivals};
use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "retry-storm",
    about: "Half of the upstreams fail for a while; attempts per request and the time to recover.",
    run,
};

const TEAM: &str = "pubs";
const TOKEN_MS: f64 = 20.0;
const TOKENS: u32 = 51;
/// What callers send, as a part of the whole capacity.
const LOAD: f64 = 0.7;
/// When half of the engines begin to fail, and when they are well again.
const FAILURE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(10));
const LENGTH: Duration = Duration::from_secs(18);
/// Within so long of its end the target is to be met again.
const RECOVERY: Duration = Duration::from_secs(2);
const PLAIN_RETRIES: u32 = 3;

#[derive(Debug, Default)]
struct Figures {
    attempts_per_request: Vec<f64>,
    answered_part_in_failure: Vec<f64>,
    not_run_in_failure: Vec<f64>,
    failed: Vec<f64>,
    recovered_first_token_p95_ms: Vec<f64>,
    recovered_within_target_part: Vec<f64>,
}

fn shape() -> SiteShape {
    SiteShape {
        nodes: NODES,
        engines_per_domain: 2,
        slots: 8,
        token_ms: TOKEN_MS,
        deadline_ms: DEADLINE_MS,
        teams: vec![(TEAM, 1.0)],
    }
}

fn plan(seed: u64) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let answer_ms = f64::from(TOKENS - 1) * TOKEN_MS;
    let capacity = f64::from(shape().total_slots()) * 1_000.0 / answer_ms;
    arrivals(&mut rng, TEAM, LOAD * capacity, LENGTH, TOKENS)
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = Runtime::new()?;
    let (mut budgets, mut plain) = (Figures::default(), Figures::default());
    for seed in arguments.seeds() {
        runtime.block_on(with_budgets(seed, &mut budgets))?;
        runtime.block_on(with_plain_retries(seed, &mut plain))?;
    }
    line("three_plain_retries", &plain, arguments).print()?;
    line("teaselline", &budgets, arguments).print()?;
    Ok(())
}

fn line(side: &str, figures: &Figures, arguments: &Arguments) -> Line {
    Line::new("retry-storm", side)
        .with("seed", arguments.seed)
        .with_spread(
            "attempts_per_request_in_failure",
            &figures.attempts_per_request,
        )
        .with_spread(
            "answered_part_in_failure",
            &figures.answered_part_in_failure,
        )
        .with_spread("not_run_in_failure", &figures.not_run_in_failure)
        .with_spread("failed_or_lost", &figures.failed)
        .with_spread(
            "first_token_p95_ms_after_recovery",
            &figures.recovered_first_token_p95_ms,
        )
        .with_spread(
            "within_target_part_after_recovery",
            &figures.recovered_within_target_part,
        )
}

/// Has every second engine fail: the first of each three dies, the others refuse.
async fn fail_half(site: &OverloadSite) {
    let (from, to) = FAILURE;
    tokio::time::sleep(from).await;
    let hosts = site.hosts();
    let failing = || hosts.iter().step_by(2).filter_map(|(_, it)| engine(it));
    for (index, engine) in failing().enumerate() {
        if index % 3 == 0 {
            engine.kill();
        } else {
            engine.change(|knobs| knobs.fault = EngineFault::Refuse);
        }
    }
    tokio::time::sleep(to.saturating_sub(from)).await;
    for engine in failing() {
        engine.change(|knobs| knobs.fault = EngineFault::None);
        if !engine.is_alive() && engine.restart().await.is_err() {
            eprintln!("an engine does not come back");
        }
    }
}

async fn with_budgets(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let site = OverloadSite::start(&shape())
        .await
        .ok_or(Failure::NotReady)?;
    let (http, nodes) = (HttpClient::new(), site.caller_addresses());
    let to = |_index, planned| send_to_node(http.clone(), nodes.clone(), planned);
    let attempts = async {
        let (from, to) = FAILURE;
        tokio::time::sleep(from).await;
        let before = site.attempts();
        tokio::time::sleep(to.saturating_sub(from)).await;
        let after = site.attempts();
        (after.0 - before.0, after.1 - before.1)
    };
    let (sent, (), (attempts, requests)) =
        tokio::join!(send(plan(seed), to), fail_half(&site), attempts);
    figures
        .attempts_per_request
        .push(quotient(attempts, requests));
    note(figures, &sent);
    Ok(())
}

async fn with_plain_retries(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let site = OverloadSite::start(&shape())
        .await
        .ok_or(Failure::NotReady)?;
    let addresses = site.hosts().iter().map(|(_, it)| it.address()).collect();
    let client = BaselineClient::new(addresses, PLAIN_RETRIES);
    let to = |index, planned| client.clone().send(index, planned);
    let (sent, ()) = tokio::join!(send(plan(seed), to), fail_half(&site));
    let (attempts, requests) = sent
        .iter()
        .filter(|sent| in_failure(sent))
        .fold((0, 0), |(attempts, requests), sent| {
            (attempts + u64::from(sent.attempts), requests + 1)
        });
    figures
        .attempts_per_request
        .push(quotient(attempts, requests));
    note(figures, &sent);
    Ok(())
}

fn in_failure(sent: &CallResult) -> bool {
    (FAILURE.0..FAILURE.1).contains(&sent.planned.at)
}

fn note(figures: &mut Figures, sent: &[CallResult]) {
    let within = || sent.iter().filter(|sent| in_failure(sent));
    let ended = |ended: &CallOutcome| within().filter(|sent| sent.ended == *ended).count();
    let part = quotient(
        ended(&CallOutcome::Completed) as u64,
        within().count() as u64,
    );
    figures.answered_part_in_failure.push(part);
    let refused = quotient(ended(&CallOutcome::NotRun) as u64, 1);
    figures.not_run_in_failure.push(refused);
    let broken =
        |sent: &&CallResult| matches!(sent.ended, CallOutcome::Failed(_) | CallOutcome::Unknown);
    let broken = sent.iter().filter(broken).count();
    figures.failed.push(quotient(broken as u64, 1));
    let later = |sent: &&CallResult| sent.planned.at >= FAILURE.1 + RECOVERY;
    let later = || sent.iter().filter(later);
    let firsts = || later().filter_map(|sent| sent.first_token);
    figures.recovered_first_token_p95_ms.push(p95_ms(firsts()));
    let in_time = firsts().filter(|first| *first <= Duration::from_millis(FIRST_TOKEN_MS));
    let part = quotient(in_time.count() as u64, later().count() as u64);
    figures.recovered_within_target_part.push(part);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run are far below 2^52"
)]
fn quotient(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
