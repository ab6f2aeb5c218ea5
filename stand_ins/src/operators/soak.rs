//! A randomized soak: real processes under load, faults from outside in series that overlap, and
//! checks of the promises from what callers and upstreams see.

mod bad_parts;
mod callers;
mod calm;
pub mod checks;
mod drills;
mod faults;
mod releases;
mod teams;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::bad_parts::{BadParts, call_with_bad_parts};
use self::callers::{Habits, call_on};
use self::checks::{check_calls, check_duties, check_limited, check_revoked, check_versions};
use self::drills::Drills;
use self::faults::Faults;
use self::releases::Releases;
use self::teams::Teams;
use super::caller::{Asked, Ended};
use super::deployment::{Deployment, DeploymentSettings, asked};
use super::upstream::Upstream;
use crate::proxy::TcpProxy;
use crate::server::now_ms;

/// Callers that ask one call after the other.
const CALLERS: usize = 12;

/// Callers of requests with bad parts.
const BAD_CALLERS: usize = 3;

/// After the last fault, nodes serve again within this, as operators expect of a recovery.
const RECOVERY: Duration = Duration::from_secs(12);

/// How a soak is run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings<'a> {
    /// The program.
    pub binary: &'a Path,
    /// Decides all faults and calls.
    pub seed: u64,
    /// How long faults come.
    pub span: Duration,
    /// Nodes.
    pub nodes: usize,
    /// What comes beside the faults.
    pub beside: &'a [Beside],
}

/// What comes beside the faults of a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// The store comes back from copies meanwhile.
    Drills,
    /// Upstreams of several versions serve side by side, and callers take up streams that were cut.
    Releases,
    /// Parts of prompts crash the upstreams that begin to answer requests with them.
    BadParts,
    /// Further teams run at and above their limits while several nodes at once are killed or frozen.
    TeamsAtLimits,
}

impl SoakSettings<'_> {
    fn has(&self, beside: Beside) -> bool {
        self.beside.contains(&beside)
    }
}

/// What upstreams name from shortly before the last fault on, in requests a second, and what may reach each of them
/// within a span once that binds: one and a half times as much, and five.
const LIMIT: &str = "1";
const LIMIT_SPAN_MS: u64 = 4_000;
const MOST_IN_SPAN: usize = 11;

/// How long before the last fault they begin, and how long after the last one limits do not bind yet.
const LIMITED_BEFORE_END: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Calls by how they ended.
    pub ended: BTreeMap<String, usize>,
    /// Faults, in order.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// What the teams at their limits used and were refused.
    pub teams: Vec<String>,
    /// The nodes' log lines of attempts that failed, where they are kept.
    pub failed_attempts: Vec<String>,
}

/// A call and how it ended.
#[derive(Clone, Debug)]
pub struct Called {
    /// The call.
    pub asked: Asked,
    /// The node that got it.
    pub node: usize,
    /// When it was sent, in Unix milliseconds.
    pub sent_at_ms: u64,
    /// How it ended.
    pub ended: Ended,
}

/// Runs one soak.
///
/// # Errors
///
/// If the installation cannot be started.
pub async fn run(settings: SoakSettings<'_>) -> io::Result<Outcome> {
    let mut deployment = Deployment::start(DeploymentSettings {
        binary: settings.binary,
        nodes: settings.nodes,
        upstreams: 3,
        grace_s: 6,
        usage_window_s: 1.0,
        has_quota_window: settings.has(Beside::TeamsAtLimits),
        is_proxied: true,
        host: None,
    })
    .await?;
    let mut outcome = Outcome::default();
    let called = Arc::new(Mutex::new(Vec::new()));
    let mut callers = JoinSet::new();
    let nodes: Vec<SocketAddr> = (deployment.caller_proxies.iter())
        .map(TcpProxy::address)
        .collect();
    call_throughout(&settings, &nodes, &called, &mut callers);
    let mut bad_parts = settings
        .has(Beside::BadParts)
        .then(|| BadParts::new(settings.seed));
    if let Some(bad_parts) = &mut bad_parts {
        bad_parts.step(&deployment);
    }
    let mut teams = (settings.has(Beside::TeamsAtLimits))
        .then(|| Teams::start(settings.seed, &nodes, &mut callers));
    let mut faults = Faults::new(settings.seed);
    let mut releases = settings
        .has(Beside::Releases)
        .then(|| Releases::new(settings.seed));
    let mut drills = settings
        .has(Beside::Drills)
        .then(|| Drills::new(settings.seed));
    let until = Instant::now() + settings.span;
    let mut limited = Vec::new();
    while Instant::now() < until {
        if limited.is_empty() && Instant::now() + LIMITED_BEFORE_END > until {
            limited = limit_one_of_each_service(&deployment);
        }
        let fault = faults.next(&mut deployment).await?;
        outcome.faults.push(fault);
        let hit = (teams.as_mut()).and_then(|teams| teams.step(&mut faults, &deployment));
        outcome.faults.extend(hit);
        let drill = drills.as_mut().and_then(|drills| drills.step(&deployment));
        outcome.faults.extend(drill);
        if let Some(releases) = &mut releases {
            outcome.faults.extend(releases.step(&mut deployment).await?);
        }
        if let Some(bad_parts) = &mut bad_parts {
            bad_parts.step(&deployment);
        }
        tokio::time::sleep(faults.pause()).await;
        outcome.broken.extend(faults.restart_ended(&deployment)?);
        faults.undo_due(&deployment)?;
    }
    faults.undo_all(&deployment)?;
    if let Some(drills) = &mut drills {
        drills.end(&deployment);
    }
    outcome.broken.extend(faults.restart_ended(&deployment)?);
    if let Some(lost) = not_recovered(&deployment, faults.revoked_at_ms).await {
        outcome.broken.push(lost);
    }
    let heard_ms = now_ms();
    tokio::time::sleep(CONTACT).await;
    if let Some(bad_parts) = &mut bad_parts {
        outcome.broken.extend(bad_parts.watch(&called).await);
    }
    let mut saying = calm::begin(&deployment, &limited);
    saying.settle(&deployment).await;
    let binds_ms = now_ms();
    tokio::time::sleep(Duration::from_millis(LIMIT_SPAN_MS)).await;
    let is_revoked = faults.revoked_at_ms.is_some();
    (outcome.broken).extend(calm::change(&deployment, is_revoked).await);
    callers.shutdown().await;
    check_limited(&deployment, &limited, binds_ms, heard_ms, &mut outcome);
    let called = std::mem::take(&mut *called.lock());
    let runs = deployment.runs.lock().clone();
    let of_teams = teams.as_ref().map(Teams::called).unwrap_or_default();
    (outcome.broken).extend(saying.broken(&deployment, &[called.as_slice(), &of_teams].concat()));
    check_calls(&called, &runs, &mut outcome);
    if let Some(teams) = &teams {
        teams.check(&deployment, &runs, &mut outcome);
    }
    if let Some(bad_parts) = &bad_parts {
        outcome.faults.extend(bad_parts.told(&deployment));
        outcome.broken.extend(bad_parts.broken(&deployment));
    }
    check_versions(&deployment, &mut outcome);
    check_revoked(&called, &runs, faults.revoked_at_ms, &mut outcome);
    check_duties(
        &deployment.cloud.calls(),
        &deployment.cloud.reports(),
        &mut outcome,
    );
    Ok(outcome)
}

/// Starts the callers that ask without end.
fn call_throughout(
    settings: &SoakSettings<'_>,
    nodes: &[SocketAddr],
    called: &Arc<Mutex<Vec<Called>>>,
    callers: &mut JoinSet<()>,
) {
    for caller in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(settings.seed ^ (caller as u64) << 32);
        let history = Arc::clone(called);
        let habits = Habits {
            takes_up: settings.has(Beside::Releases),
            has_prompts: settings.has(Beside::BadParts),
        };
        callers.spawn(call_on(caller, rng, nodes.to_vec(), history, habits));
    }
    let bad_callers = BAD_CALLERS * usize::from(settings.has(Beside::BadParts));
    for caller in 0..bad_callers {
        let rng = SmallRng::seed_from_u64(!settings.seed ^ (caller as u64) << 32);
        let history = Arc::clone(called);
        callers.spawn(call_with_bad_parts(caller, rng, nodes.to_vec(), history));
    }
}

/// Has one upstream of each service name a limit; gives their ids.
fn limit_one_of_each_service(deployment: &Deployment) -> Vec<String> {
    let upstreams = deployment.upstreams.iter();
    let standing: Vec<&Upstream> = upstreams.filter(|one| !one.has_crashed()).collect();
    let first_of = |service: &str| {
        let mut of_service = standing.iter();
        of_service.find(|one| one.id().starts_with(service))
    };
    let limited = ["desk", "pool"].into_iter().filter_map(first_of);
    let limited = limited.inspect(|one| one.name_limit(Some(LIMIT)));
    limited.map(|one| one.id().to_owned()).collect()
}

/// What is seen of the first node that does not serve again; none if all do.
async fn not_recovered(deployment: &Deployment, revoked_at_ms: Option<u64>) -> Option<String> {
    let until = Instant::now() + RECOVERY;
    for (place, node) in deployment.nodes.iter().enumerate() {
        let mut tries = 0;
        loop {
            tries += 1;
            let call = asked(
                &format!("recovered-{place}-{tries}-{}", revoked_at_ms.is_some()),
                "again",
            );
            let ended = call.send(node.callers()).await;
            if ended.status() == Some(200) {
                break;
            }
            if Instant::now() > until {
                let process = node.ended();
                let log = node.log();
                let last = log.last().map_or("", String::as_str);
                return Some(format!(
                    "node {place} does not serve after the last fault: {ended:?}, its process {process:?}, it logged last: {last}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    None
}
