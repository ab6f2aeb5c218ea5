//! A randomized run beside upstreams that stand still and go on: upstreams as processes of their own that are stopped and
//! continued, changes of the configuration, and checks of what may run once.

mod callers;
mod spells;
pub mod upstream_process;

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::callers::call_on;
use self::spells::Spells;
use self::upstream_process::{Habits, UpstreamCommand, UpstreamProcess};
use super::deployment::{Deployment, DeploymentSettings};
use super::soak::checks::check_calls;
use super::soak::{Called, Outcome};

/// Callers that ask one call after the other.
const CALLERS: usize = 24;

/// Upstreams of each service.
const UPSTREAMS: usize = 3;

/// Between two looks at what is to be stopped or continued.
const STEP: Duration = Duration::from_millis(50);

/// After the last spell, what lies in the buffers of upstreams has run within this.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Times after which upstreams close idle channels, in milliseconds; their answers state whole seconds.
const IDLE_MS: [u64; 4] = [400, 900, 1_300, 2_200];

/// How a run is done.
#[derive(Clone, Debug)]
pub struct StandstillSettings<'a> {
    /// The program whose nodes are run.
    pub binary: &'a Path,
    /// Starts a process that calls [`upstream_process::serve_if_told`].
    pub upstream: UpstreamCommand,
    /// Decides all spells and calls.
    pub seed: u64,
    /// How long spells come.
    pub span: Duration,
    /// Nodes.
    pub nodes: usize,
    /// The share of answers and refusals that upstreams repeat where the next one is due.
    pub late_copies: f64,
}

/// Runs one installation beside upstreams that stand still.
///
/// # Errors
///
/// If the installation cannot be started.
pub async fn run(settings: &StandstillSettings<'_>) -> io::Result<Outcome> {
    let deployment = Deployment::start(DeploymentSettings {
        binary: settings.binary,
        nodes: settings.nodes,
        upstreams: 0,
        grace_s: 6,
        usage_window_s: 1.0,
        has_quota_window: false,
        is_proxied: false,
        host: None,
    })
    .await?;
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let upstreams = start_upstreams(settings, &deployment, &mut rng)?;
    let called: Arc<Mutex<Vec<Called>>> = Arc::default();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(settings.seed ^ (caller as u64 + 1) << 32);
        let nodes = deployment.nodes.iter().map(super::Node::callers).collect();
        callers.spawn(call_on(caller, rng, nodes, Arc::clone(&called)));
    }
    let mut outcome = Outcome::default();
    let mut spells = Spells::new(rng);
    let until = Instant::now() + settings.span;
    while Instant::now() < until {
        (outcome.faults).extend(spells.step(&deployment, &upstreams)?);
        tokio::time::sleep(STEP).await;
    }
    for upstream in &upstreams {
        upstream.go_on()?;
    }
    tokio::time::sleep(SETTLED_AFTER).await;
    callers.shutdown().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let called = std::mem::take(&mut *called.lock());
    let runs = deployment.runs.lock().clone();
    check_calls(&called, &runs, &mut outcome);
    outcome.failed_attempts = failed_attempts(&deployment);
    Ok(outcome)
}

fn start_upstreams(
    settings: &StandstillSettings<'_>,
    deployment: &Deployment,
    rng: &mut SmallRng,
) -> io::Result<Vec<UpstreamProcess>> {
    let mut upstreams = Vec::new();
    for (service, places) in [("desk", 3), ("pool", 8)] {
        for number in 0..UPSTREAMS {
            let habits = Habits {
                id: format!("{service}-{number}"),
                service: service.to_owned(),
                zone: format!("zone-{}", number % 2),
                places,
                late_copies: settings.late_copies,
                idle_ms: IDLE_MS[rng.random_range(0..IDLE_MS.len())],
                seed: rng.random(),
            };
            let (store, runs) = (&deployment.store, &deployment.runs);
            let started = UpstreamProcess::start(&settings.upstream, habits, store, runs)?;
            upstreams.push(started);
        }
    }
    Ok(upstreams)
}

/// The log lines of attempts that failed.
fn failed_attempts(deployment: &Deployment) -> Vec<String> {
    let lines = deployment.nodes.iter().flat_map(super::Node::log);
    lines
        .filter(|line| line.contains("\"attempt_failed\""))
        .collect()
}
