//! Prompts that kill their engine, sent under new ids to several nodes at once, again and again,
//! with an announced reclaim and the loss of three hosts of one failure domain in between.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselline::client::http::HttpClient;
use tokio::runtime::Runtime;

use super::report::Line;
use super::storms::killing::{
    CRASHING_PROMPTS, crashing_calls, inject_host_losses, max_crashes_per_content,
    restart_crashed_engines,
};
use super::storms::sender::{
    BaselineClient, CallOutcome, CallResult, PlannedCall, send_all as send, send_to_node,
};
use super::storms::site::{DEADLINE_MS, OverloadSite, SiteShape};
use super::storms::{NODES, arrivals};
use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "killer",
    about: "Prompts that kill their engine, sent again and again to all nodes at once.",
    run,
};

const TEAM: &str = "pubs";
const TOKEN_MS: f64 = 20.0;
const TOKENS: u32 = 51;
/// Innocent calls a second; far below the capacity, so that none is refused for want of room.
const PER_SECOND: f64 = 40.0;
const LENGTH: Duration = Duration::from_secs(14);
const PLAIN_RETRIES: u32 = 3;

#[derive(Debug, Default)]
struct Figures {
    most_deaths: Vec<f64>,
    killer_calls: Vec<f64>,
    innocent_calls: Vec<f64>,
    innocent_not_run: Vec<f64>,
    innocent_convicted: Vec<f64>,
    innocent_failed: Vec<f64>,
}

fn shape() -> SiteShape {
    SiteShape {
        nodes: NODES,
        engines_per_domain: 4,
        slots: 16,
        token_ms: TOKEN_MS,
        deadline_ms: DEADLINE_MS,
        teams: vec![(TEAM, 1.0)],
    }
}

fn plan(seed: u64) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = arrivals(&mut rng, TEAM, PER_SECOND, LENGTH, TOKENS);
    plan.extend(crashing_calls(TEAM, NODES, LENGTH, TOKENS));
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = Runtime::new()?;
    let (mut strikes, mut plain) = (Figures::default(), Figures::default());
    for seed in arguments.seeds() {
        runtime.block_on(with_strikes(seed, &mut strikes))?;
        runtime.block_on(with_plain_retries(seed, &mut plain))?;
    }
    line("three_plain_retries", &plain, arguments).print()?;
    line("teaselline", &strikes, arguments).print()?;
    Ok(())
}

fn line(side: &str, figures: &Figures, arguments: &Arguments) -> Line {
    Line::new("killer", side)
        .with("seed", arguments.seed)
        .with("fingerprints", CRASHING_PROMPTS)
        .with_spread("killer_calls", &figures.killer_calls)
        .with_spread("most_deaths_of_one_fingerprint", &figures.most_deaths)
        .with_spread("innocent_calls", &figures.innocent_calls)
        .with_spread("innocent_not_run", &figures.innocent_not_run)
        .with_spread("innocent_convicted", &figures.innocent_convicted)
        .with_spread("innocent_failed_or_lost", &figures.innocent_failed)
}

async fn with_strikes(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let site = OverloadSite::start(&shape())
        .await
        .ok_or(Failure::NotReady)?;
    let (http, nodes) = (HttpClient::new(), site.caller_addresses());
    let to = |_index, planned| send_to_node(http.clone(), nodes.clone(), planned);
    let calls = send(plan(seed), to);
    let sent = tokio::select! {
        sent = async { tokio::join!(calls, inject_host_losses(&site)).0 } => sent,
        () = restart_crashed_engines(&site) => Vec::new(),
    };
    note(figures, &site, &sent);
    Ok(())
}

async fn with_plain_retries(seed: u64, figures: &mut Figures) -> Result<(), Failure> {
    let site = OverloadSite::start(&shape())
        .await
        .ok_or(Failure::NotReady)?;
    let addresses = site.hosts().iter().map(|(_, it)| it.address()).collect();
    let client = BaselineClient::new(addresses, PLAIN_RETRIES);
    let to = |index, planned| client.clone().send(index, planned);
    let calls = send(plan(seed), to);
    let sent = tokio::select! {
        sent = async { tokio::join!(calls, inject_host_losses(&site)).0 } => sent,
        () = restart_crashed_engines(&site) => Vec::new(),
    };
    note(figures, &site, &sent);
    Ok(())
}

fn note(figures: &mut Figures, site: &OverloadSite, sent: &[CallResult]) {
    let is_killer = |sent: &&CallResult| super::storms::killing::is_crashing(&sent.planned);
    let count = |wanted: fn(&CallResult) -> bool| {
        let innocent = sent.iter().filter(|sent| !is_killer(sent));
        let count = innocent.filter(|sent| wanted(sent)).count();
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
    };
    let killers = sent.iter().filter(is_killer).count();
    figures
        .killer_calls
        .push(f64::from(u32::try_from(killers).unwrap_or(u32::MAX)));
    figures
        .most_deaths
        .push(f64::from(max_crashes_per_content(site)));
    figures.innocent_calls.push(count(|_| true));
    figures
        .innocent_not_run
        .push(count(|sent| sent.ended == CallOutcome::NotRun));
    figures.innocent_convicted.push(count(is_convicted));
    figures.innocent_failed.push(count(|sent| {
        matches!(sent.ended, CallOutcome::Failed(_) | CallOutcome::Unknown) && !is_convicted(sent)
    }));
}

fn is_convicted(sent: &CallResult) -> bool {
    matches!(&sent.ended, CallOutcome::Failed(why) if why.contains("kill"))
}
