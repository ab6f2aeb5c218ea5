//! A move of all engines from one provider's hosts to another's by one change of the document, under
//! load.
//!
//! Both sides make the same change in the same deployment under the same calls. `teaselline` leaves
//! the rest to the controller; `at once` gives the old hosts back in the moment of the change, as a
//! script that does not wait for the new hosts would.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::node::RunningNode;
use teaselline::node::change::Proposal;
use teaselline::node::placement_control::lease_name;
use teaselline::options::Secret;
use teaselline_stand_ins::site::Site;
use tokio_util::sync::CancellationToken;

use super::deployment::{site_settings, start_nodes, url, wait_until_ready};
use super::report::Line;
use super::trial;
use super::{Arguments, Experiment, Failure};
use crate::load::{self, Load, Seen, Tally};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "migrate",
    about: "A move from one provider's hosts to another's under load, against switching at once.",
    run,
};

const NODES: usize = 3;
const OLD_CLASS: &str = "engine";
const NEW_CLASS: &str = "engine-tatra";
const NEW_PRICE_PER_HOUR: f64 = 0.08;
/// How long a bought host takes to start.
const START_DELAY_MS: u64 = 3_000;
/// How late the host list is.
const LIST_LAG_MS: u64 = 500;
/// Load before the change.
const BEFORE: Duration = Duration::from_secs(3);
/// Load and cost after the change; both sides are counted for as long.
const AFTER: Duration = Duration::from_secs(32);
/// How long the move may take.
const PATIENCE: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Controller,
    AtOnce,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::Controller => "teaselline",
            Self::AtOnce => "at once",
        }
    }
}

/// What one run gave.
#[derive(Clone, Debug, Default)]
struct Outcome {
    tally: Tally,
    calls: usize,
    moved_ms: f64,
    purchases: usize,
    cost: f64,
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    for way in [Way::AtOnce, Way::Controller] {
        let runs = arguments
            .seeds()
            .map(|seed| runtime.block_on(one(way, seed)));
        let runs = runs.collect::<Result<Vec<_>, _>>()?;
        print(way, arguments, &runs)?;
    }
    Ok(())
}

fn print(way: Way, arguments: &Arguments, runs: &[Outcome]) -> Result<(), Failure> {
    let sum = |pick: fn(&Tally) -> u64| runs.iter().map(|run| pick(&run.tally)).sum::<u64>();
    let each = |pick: fn(&Outcome) -> f64| runs.iter().map(pick).collect::<Vec<_>>();
    Line::new("migrate", way.name())
        .with("seed", arguments.seed)
        .with("calls", runs.iter().map(|run| run.calls).sum::<usize>())
        .with("answered", sum(|tally| tally.answered))
        .with("not_run", sum(|tally| tally.not_run))
        .with("unknown", sum(|tally| tally.unknown))
        .with("failed", sum(|tally| tally.failed))
        .with("lost", sum(|tally| tally.lost))
        .with("wrong", sum(|tally| tally.wrong))
        .with("doubled", sum(|tally| tally.doubled))
        .with("broken", runs.iter().any(|run| run.tally.is_broken()))
        .with("tokens_recomputed", sum(|tally| tally.tokens_recomputed))
        .with("first_token_target_ms", 500)
        .with_spread(
            "first_token_p95_ms",
            &each(|run| run.tally.first_token_p95_ms),
        )
        .with_spread(
            "longest_pause_p95_ms",
            &each(|run| run.tally.silence_p95_ms),
        )
        .with_spread("old_hosts_gone_ms", &each(|run| run.moved_ms))
        .with(
            "purchases",
            runs.iter().map(|run| run.purchases).sum::<usize>(),
        )
        .with_spread("cost", &each(|run| run.cost))
        .print()?;
    Ok(())
}

async fn one(way: Way, seed: u64) -> Result<Outcome, Failure> {
    let text = document(OLD_CLASS);
    let parsed = Document::parse(&text).map_err(|_faults| Failure::NotReady)?;
    let site = Site::start(site_settings(&parsed)).await?;
    site.cloud.change(|knobs| {
        knobs.start_delay_ms = START_DELAY_MS;
        knobs.list_lag_ms = LIST_LAG_MS;
    });
    let nodes = start_nodes(&parsed, &site, NODES).await;
    let nodes = nodes.map_err(|_error| Failure::NotReady)?;
    let outcome = exercise(way, seed, &site, &nodes).await;
    for node in &nodes {
        node.abort();
    }
    outcome
}

async fn exercise(
    way: Way,
    seed: u64,
    site: &Site,
    nodes: &[RunningNode],
) -> Result<Outcome, Failure> {
    let revision = change(nodes, 0, OLD_CLASS).await?;
    if !wait_until_ready(nodes, revision, site.upstreams().len()).await {
        return Err(Failure::NotReady);
    }
    wait_for(|| trial::DOMAINS.iter().all(|domain| is_held(nodes, domain))).await?;
    let stop = CancellationToken::new();
    let calling = tokio::spawn(keep_calling(caller(nodes, seed), seed, stop.clone()));
    tokio::time::sleep(BEFORE).await;
    let (cost_before, start) = (site.cloud.cost(), Instant::now());
    change(nodes, revision, NEW_CLASS).await?;
    if way == Way::AtOnce {
        for host in old_hosts(site) {
            site.cloud.lose(&host);
        }
    }
    let gone = wait_for(|| old_hosts(site).is_empty()).await;
    let moved_ms = start.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep(AFTER.saturating_sub(start.elapsed())).await;
    stop.cancel();
    let made = calling.await.map_err(|_panicked| Failure::Broken)?;
    gone?;
    Ok(Outcome {
        tally: load::check(&made, &site.history()),
        calls: made.len(),
        moved_ms,
        purchases: site.cloud.purchases().len(),
        cost: site.cloud.cost() - cost_before,
    })
}

async fn change(nodes: &[RunningNode], base_revision: u64, class: &str) -> Result<u64, Failure> {
    let proposal = Proposal {
        base_revision,
        operator: "novakova".to_owned(),
        document: document(class),
    };
    let proposed = nodes[0].node.propose(proposal).await;
    proposed.map_err(|_refused| Failure::NotReady)
}

/// Engines of the old class that are still held.
fn old_hosts(site: &Site) -> Vec<String> {
    let hosts = site.cloud.hosts().into_iter();
    let held = hosts.filter(|host| host.gone_ms.is_none());
    let old = held.filter(|host| host.spec.host_class == OLD_CLASS);
    old.map(|host| host.spec.host).collect()
}

fn is_held(nodes: &[RunningNode], domain: &str) -> bool {
    let lease = lease_name(domain);
    let may_act = |started: &RunningNode| {
        let now = started.node.core.clock.now();
        started.node.leases.held_token(&lease, now).is_some()
    };
    nodes.iter().any(may_act)
}

async fn wait_for(mut holds: impl FnMut() -> bool) -> Result<(), Failure> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > PATIENCE {
            return Err(Failure::NotReady);
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

fn caller(nodes: &[RunningNode], seed: u64) -> Arc<Caller> {
    let urls: Vec<_> = nodes.iter().map(|node| url(node.caller_address)).collect();
    Arc::new(Caller::new(&urls, Some(Secret::new(trial::TOKEN))).with_seed(seed))
}

async fn keep_calling(caller: Arc<Caller>, seed: u64, stop: CancellationToken) -> Vec<Seen> {
    let mut made = Vec::new();
    for round in 0.. {
        if stop.is_cancelled() {
            break;
        }
        let load = Load {
            calls: 120,
            at_once: 40,
            service_part: 0.1,
            non_idempotent_part: 0.4,
            model: trial::MODEL.to_owned(),
            service: trial::CLAIMS.to_owned(),
            tokens: (24, 300),
            seed: seed.wrapping_mul(1_000) + round,
        };
        made.extend(load::run(Arc::clone(&caller), &load).await);
    }
    made
}

/// The trial document with a second provider's class, and engines of one class.
fn document(class: &str) -> String {
    let text = trial::document(DEADLINE_MS);
    let mut document: Value = serde_json::from_str(&text).unwrap_or_default();
    let mut new = document["host_classes"][0].clone();
    new["name"] = NEW_CLASS.into();
    new["provider"] = "tatra".into();
    new["price_per_hour"] = NEW_PRICE_PER_HOUR.into();
    if let Some(classes) = document["host_classes"].as_array_mut() {
        classes.push(new);
    }
    document["pools"][0]["host_classes"] = json!([class]);
    document.to_string()
}
