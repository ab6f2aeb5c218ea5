//! A randomized soak: real processes under load, faults from outside in series that overlap, and
//! checks of the promises from what callers and upstreams see.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller::{Asked, Ended};
use super::cloud::Made;
use super::deployment::{Deployment, DeploymentSettings, KEYS, TEAMS, asked, document};
use super::store::Door;
use super::upstream::{Fault, Run};
use crate::proxy::Direction;
use crate::server::now_ms;

/// Callers that ask one call after the other.
const CALLERS: usize = 12;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(25);

/// A key that was taken away works for no longer than this, as the settings say.
const REVOKE_MS: u64 = 5_000;

/// Between a caller's sending and an upstream's begin, on a busy machine.
const REVOKE_SLACK_MS: u64 = 400;

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
}

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Calls by how they ended.
    pub ended: BTreeMap<String, usize>,
    /// Faults, in order.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// A call and how it ended.
#[derive(Clone, Debug)]
struct Called {
    asked: Asked,
    sent_at_ms: u64,
    ended: Ended,
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
        is_proxied: true,
    })
    .await?;
    let mut outcome = Outcome::default();
    let called = Arc::new(Mutex::new(Vec::new()));
    let mut callers = JoinSet::new();
    let nodes: Vec<SocketAddr> = deployment.nodes.iter().map(super::Node::callers).collect();
    for caller in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(settings.seed ^ (caller as u64) << 32);
        callers.spawn(call_on(caller, rng, nodes.clone(), Arc::clone(&called)));
    }
    let mut faults = Faults {
        rng: SmallRng::seed_from_u64(settings.seed),
        version: 1,
        upstreams: 0,
        revoked_at_ms: None,
        pending: Vec::new(),
    };
    let until = Instant::now() + settings.span;
    while Instant::now() < until {
        let fault = faults.next(&mut deployment).await?;
        outcome.faults.push(fault);
        let pause_ms = faults.rng.random_range(150..900);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        faults.undo_due(&deployment)?;
    }
    faults.undo_all(&deployment)?;
    if !recovers(&deployment, faults.revoked_at_ms).await {
        outcome
            .broken
            .push(String::from("a node does not serve after the last fault"));
    }
    callers.shutdown().await;
    let called = std::mem::take(&mut *called.lock());
    let runs = deployment.runs.lock().clone();
    check_calls(&called, &runs, &mut outcome);
    check_revoked(&called, &runs, faults.revoked_at_ms, &mut outcome);
    check_duties(
        &deployment.cloud.calls(),
        &deployment.cloud.reports(),
        &mut outcome,
    );
    Ok(outcome)
}

async fn call_on(
    caller: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Called>>>,
) {
    for number in 0.. {
        let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
        let mut asked = asked(&format!("c{caller}-{number}"), route);
        // The second team is limited and its key is taken away some time.
        if rng.random_bool(0.3) {
            KEYS[1].clone_into(&mut asked.key);
        }
        let node = nodes[rng.random_range(0..nodes.len())];
        let sent_at_ms = now_ms();
        let ended = asked.send(node).await;
        history.lock().push(Called {
            asked,
            sent_at_ms,
            ended,
        });
        tokio::time::sleep(PAUSE).await;
    }
}

/// What is wrong at the moment, and when it ends.
struct Faults {
    rng: SmallRng,
    version: u64,
    upstreams: usize,
    revoked_at_ms: Option<u64>,
    pending: Vec<(Instant, Undo)>,
}

/// How a fault ends.
#[derive(Clone, Debug)]
enum Undo {
    Restart(usize),
    Wake(usize),
    OpenDoor(usize),
    HealStore(usize),
    HealUpstream(String),
    MendUpstream(String),
}

impl Faults {
    async fn next(&mut self, deployment: &mut Deployment) -> io::Result<String> {
        let node = self.rng.random_range(0..deployment.nodes.len());
        let upstream = self.rng.random_range(0..deployment.upstreams.len());
        let upstream = deployment.upstreams[upstream].id().to_owned();
        let for_ms = self.rng.random_range(200..4_000);
        let until = Instant::now() + Duration::from_millis(for_ms);
        let fault = match self.rng.random_range(0..13) {
            0 => self.signal(deployment, node, Signal::SIGKILL, until),
            1 => self.signal(
                deployment,
                node,
                Signal::SIGTERM,
                until + Duration::from_secs(6),
            ),
            2 => self.signal(deployment, node, Signal::SIGSTOP, until),
            3 => self.signal(deployment, node, Signal::SIGHUP, until),
            4 => {
                let doors = [
                    Door::Refusing,
                    Door::Silent,
                    Door::Resetting,
                    Door::LosingAnswers,
                ];
                let door = doors[self.rng.random_range(0..doors.len())];
                // At times for one node, at times for all.
                let nodes = if self.rng.random_bool(0.3) {
                    0..deployment.doors.len()
                } else {
                    node..node + 1
                };
                for node in nodes.clone() {
                    deployment.doors[node].set(door);
                    self.pending.push((until, Undo::OpenDoor(node)));
                }
                format!("store {door:?} for nodes {nodes:?}")
            }
            5 => {
                let direction = self.direction();
                deployment.store_proxies[node].change(|knobs| knobs.to_caller = direction);
                self.pending.push((until, Undo::HealStore(node)));
                format!("store to node {node}: {direction:?}")
            }
            6 => {
                deployment.store_proxies[node].cut();
                format!("channels of node {node} to the store are reset")
            }
            7 => {
                let direction = self.direction();
                if let Some(proxy) = proxy(deployment, &upstream) {
                    proxy.change(|knobs| knobs.to_caller = direction);
                }
                self.pending
                    .push((until, Undo::HealUpstream(upstream.clone())));
                format!("from {upstream}: {direction:?}")
            }
            8 => {
                if let Some(proxy) = proxy(deployment, &upstream) {
                    proxy.cut();
                }
                format!("channels to {upstream} are reset")
            }
            9 => {
                let faults = [
                    Fault::LosesAnswers,
                    Fault::AnswersTwice,
                    Fault::Silent,
                    Fault::Fails,
                    Fault::Sheds,
                    Fault::BreaksOff,
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                let mut found = deployment.upstreams.iter();
                if let Some(found) = found.find(|other| other.id() == upstream) {
                    found.set(fault);
                }
                self.pending
                    .push((until, Undo::MendUpstream(upstream.clone())));
                format!("{upstream} {fault:?}")
            }
            10 => self.replace(deployment, &upstream).await?,
            11 => self.configure(deployment),
            _ => {
                let topics = ["keyed.op", "keyed.servers", "keyed.members", "duties"];
                let topic = topics[self.rng.random_range(0..topics.len())];
                deployment.store.forget_history(topic);
                format!("history of {topic} is forgotten")
            }
        };
        Ok(format!("{fault} ({for_ms} ms)"))
    }

    fn signal(
        &mut self,
        deployment: &Deployment,
        node: usize,
        signal: Signal,
        until: Instant,
    ) -> String {
        // A node that has ended already gets no signal.
        let sent = deployment.nodes[node].ended().is_none()
            && deployment.nodes[node].signal(signal).is_ok();
        if sent {
            match signal {
                Signal::SIGSTOP => self.pending.push((until, Undo::Wake(node))),
                Signal::SIGHUP => {}
                _ => self.pending.push((until, Undo::Restart(node))),
            }
        }
        format!("{signal} to node {node}")
    }

    fn direction(&mut self) -> Direction {
        match self.rng.random_range(0..3) {
            0 => Direction {
                delay_ms: self.rng.random_range(20..400),
                ..Direction::default()
            },
            1 => Direction {
                silent: true,
                ..Direction::default()
            },
            _ => Direction {
                cut_probability: 0.2,
                ..Direction::default()
            },
        }
    }

    /// Starts a new upstream, and has the old one drain or crash.
    async fn replace(&mut self, deployment: &mut Deployment, old: &str) -> io::Result<String> {
        self.upstreams += 1;
        let service = old.split('-').next().unwrap_or_default().to_owned();
        let id = format!("{service}-new{}", self.upstreams);
        deployment.add_upstream(&service, &id).await?;
        let Some(place) = deployment
            .upstreams
            .iter()
            .position(|upstream| upstream.id() == old)
        else {
            return Ok(format!("{id} is added"));
        };
        if self.rng.random_bool(0.5) {
            deployment.upstreams[place].drain();
            return Ok(format!("{id} is added, {old} drains"));
        }
        drop(deployment.upstreams.swap_remove(place));
        Ok(format!("{id} is added, {old} crashes"))
    }

    /// Puts a new version in force; once, it takes the second team's key away.
    fn configure(&mut self, deployment: &Deployment) -> String {
        self.version += self.rng.random_range(1..5);
        let mut next = document(self.version);
        if self.revoked_at_ms.is_some() || self.rng.random_bool(0.4) {
            next["tenants"][1]["apiKeys"] = json!(["another-key"]);
        }
        let revokes = next["tenants"][1]["apiKeys"][0] != KEYS[1];
        deployment.configure(&next);
        if revokes {
            self.revoked_at_ms.get_or_insert(now_ms());
        }
        format!("version {}, key taken away: {revokes}", self.version)
    }

    fn undo_due(&mut self, deployment: &Deployment) -> io::Result<()> {
        let now = Instant::now();
        let due = self.pending.extract_if(.., |(until, _undo)| *until <= now);
        for (_until, undo) in due.collect::<Vec<_>>() {
            apply(&undo, deployment)?;
        }
        Ok(())
    }

    fn undo_all(&mut self, deployment: &Deployment) -> io::Result<()> {
        for (_until, undo) in std::mem::take(&mut self.pending) {
            apply(&undo, deployment)?;
        }
        Ok(())
    }
}

fn proxy<'a>(deployment: &'a Deployment, upstream: &str) -> Option<&'a crate::proxy::TcpProxy> {
    let mut proxies = deployment.upstream_proxies.iter();
    proxies
        .find(|(id, _proxy)| id == upstream)
        .map(|(_id, proxy)| proxy)
}

fn apply(undo: &Undo, deployment: &Deployment) -> io::Result<()> {
    match undo {
        Undo::Restart(node) => deployment.nodes[*node].restart()?,
        Undo::Wake(node) => {
            // It may have been killed meanwhile.
            drop(deployment.nodes[*node].signal(Signal::SIGCONT));
        }
        Undo::OpenDoor(node) => deployment.doors[*node].set(Door::Open),
        Undo::HealStore(node) => {
            deployment.store_proxies[*node].change(|knobs| knobs.to_caller = Direction::default());
        }
        Undo::HealUpstream(id) => {
            if let Some(proxy) = proxy(deployment, id) {
                proxy.change(|knobs| knobs.to_caller = Direction::default());
            }
        }
        Undo::MendUpstream(id) => {
            if let Some(upstream) = deployment
                .upstreams
                .iter()
                .find(|upstream| upstream.id() == id)
            {
                upstream.set(Fault::None);
            }
        }
    }
    Ok(())
}

async fn recovers(deployment: &Deployment, revoked_at_ms: Option<u64>) -> bool {
    let until = Instant::now() + RECOVERY;
    for (place, node) in deployment.nodes.iter().enumerate() {
        let mut tries = 0;
        loop {
            tries += 1;
            let call = asked(
                &format!("recovered-{place}-{tries}-{}", revoked_at_ms.is_some()),
                "again",
            );
            if call.send(node.callers()).await.status() == Some(200) {
                break;
            }
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    true
}

fn check_calls(called: &[Called], runs: &[Run], outcome: &mut Outcome) {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    for call in called {
        let asked = &call.asked;
        let runs = by_request
            .get(asked.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        let status = call.ended.status();
        let ended = status.map_or_else(
            || String::from("cut or refused"),
            |status| status.to_string(),
        );
        *outcome.ended.entry(ended).or_default() += 1;
        let may_repeat = asked.path.starts_with("/again") || asked.path.starts_with("/stream-on");
        let mut broken = |what: &str| {
            outcome.broken.push(format!(
                "{}: {what}: {:?}, runs {runs:?}",
                asked.id, call.ended
            ));
        };
        if !may_repeat && runs.len() > 1 {
            broken("ran more than once");
        }
        if !may_repeat && call.ended.says_not_run() && !runs.is_empty() {
            broken("ran although it was refused as not run");
        }
        let team = usize::from(asked.key == KEYS[1]);
        if runs
            .iter()
            .any(|run| run.team.as_deref() != Some(TEAMS[team]) || run.path != asked.path)
        {
            broken("ran for another team, or another path");
        }
        if status == Some(200) && !is_own(asked, call.ended.body()) {
            broken("its answer is not its own, or not whole");
        }
    }
}

fn is_own(asked: &Asked, body: &str) -> bool {
    if asked.path.starts_with("/stream") {
        let whole: String = (1..=10)
            .map(|event| format!("id: {event}\ndata: {event} of {}\n\n", asked.id))
            .collect::<Vec<_>>()
            .concat();
        return body == whole;
    }
    body == format!("{} {} for {}", asked.method, asked.path, asked.id)
}

fn check_revoked(
    called: &[Called],
    runs: &[Run],
    revoked_at_ms: Option<u64>,
    outcome: &mut Outcome,
) {
    let Some(revoked_at_ms) = revoked_at_ms else {
        return;
    };
    let late = |call: &&Called| {
        call.asked.key == KEYS[1] && call.sent_at_ms > revoked_at_ms + REVOKE_MS + REVOKE_SLACK_MS
    };
    for call in called.iter().filter(late) {
        if runs.iter().any(|run| run.request == call.asked.id) {
            let after_ms = call.sent_at_ms - revoked_at_ms;
            let id = &call.asked.id;
            outcome.broken.push(format!(
                "{id}: ran with a key taken away {after_ms} ms before"
            ));
        }
    }
}

fn check_duties(
    calls: &[Made],
    reports: &BTreeMap<u64, Vec<BTreeMap<String, u64>>>,
    outcome: &mut Outcome,
) {
    for (window, different) in reports {
        if different.len() > 1 {
            outcome
                .broken
                .push(format!("window {window} was reported as {different:?}"));
        }
    }
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for call in calls {
        let holder = holders.entry(call.token).or_insert(&call.holder);
        if *holder != call.holder {
            outcome
                .broken
                .push(format!("token {} was used by two nodes", call.token));
        }
    }
}
