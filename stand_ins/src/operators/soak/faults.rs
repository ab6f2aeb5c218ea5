//! Faults from outside, in series that overlap, and how each ends.

use std::io;
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::Instant;

use crate::operators::deployment::{Deployment, KEYS, document};
use crate::operators::store::Door;
use crate::operators::upstream::Fault;
use crate::proxy::{Direction, TcpProxy};
use crate::server::now_ms;

/// A process says how it takes signals within this time of its start on a busy machine, looks at it included.
const STARTING: Duration = Duration::from_millis(1_500);

/// What is wrong at the moment, and when it ends.
pub(super) struct Faults {
    rng: SmallRng,
    version: u64,
    upstreams: usize,
    /// When the second team's key was taken away.
    pub revoked_at_ms: Option<u64>,
    pending: Vec<(Instant, Undo)>,
}

/// How a fault ends.
#[derive(Clone, Debug)]
enum Undo {
    Restart(usize),
    Wake(usize),
    OpenDoor(usize),
    HealStore(usize),
    HealCallers(usize),
    HealUpstream(String),
    MendUpstream(String),
}

impl Faults {
    /// Faults of a seed; nothing is wrong yet.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            version: 1,
            upstreams: 0,
            revoked_at_ms: None,
            pending: Vec::new(),
        }
    }

    /// How long until the next fault; shorter than most faults last, so that they overlap.
    pub fn pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(150..900))
    }

    /// Brings about the next fault and says which.
    pub async fn next(&mut self, deployment: &mut Deployment) -> io::Result<String> {
        let node = self.rng.random_range(0..deployment.nodes.len());
        let upstream = self.rng.random_range(0..deployment.upstreams.len());
        let upstream = deployment.upstreams[upstream].id().to_owned();
        let for_ms = self.rng.random_range(200..4_000);
        let until = Instant::now() + Duration::from_millis(for_ms);
        let fault = match self.rng.random_range(0..15) {
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
                let harm = self.harm_one_way(&deployment.store_proxies[node]);
                self.pending.push((until, Undo::HealStore(node)));
                format!("store of node {node} {harm}")
            }
            6 => {
                deployment.store_proxies[node].cut();
                format!("channels of node {node} to the store are reset")
            }
            7 => {
                let proxy = proxy(deployment, &upstream);
                let harm = proxy.map(|proxy| self.harm_one_way(proxy));
                self.pending
                    .push((until, Undo::HealUpstream(upstream.clone())));
                format!("{upstream} {}", harm.unwrap_or_default())
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
                if let Some(found) = deployment.upstream(&upstream) {
                    found.set(fault);
                }
                self.pending
                    .push((until, Undo::MendUpstream(upstream.clone())));
                format!("{upstream} {fault:?}")
            }
            10 => {
                let harm = self.harm_one_way(&deployment.caller_proxies[node]);
                self.pending.push((until, Undo::HealCallers(node)));
                format!("callers of node {node} {harm}")
            }
            11 => {
                deployment.caller_proxies[node].cut();
                format!("channels of callers to node {node} are reset")
            }
            12 => self.replace(deployment, &upstream).await?,
            13 => self.configure(deployment),
            _ => {
                let topics = ["keyed.op", "keyed.servers", "keyed.members", "duties"];
                let topic = topics[self.rng.random_range(0..topics.len())];
                deployment.store.forget_history(topic);
                format!("history of {topic} is forgotten")
            }
        };
        Ok(format!("{fault} ({for_ms} ms)"))
    }

    /// Kills or freezes several nodes at once.
    pub fn hit_nodes(&mut self, rng: &mut SmallRng, deployment: &Deployment, hit: usize) -> String {
        let signal = [Signal::SIGKILL, Signal::SIGSTOP][rng.random_range(0..2)];
        let until = Instant::now() + Duration::from_millis(rng.random_range(500..4_000));
        let first = rng.random_range(0..deployment.nodes.len());
        let places = (first..first + hit).map(|place| place % deployment.nodes.len());
        let hit = places.map(|place| self.signal(deployment, place, signal, until));
        hit.collect::<Vec<_>>().join(", ")
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

    /// Harms what goes through a proxy in one of the two directions.
    fn harm_one_way(&mut self, proxy: &TcpProxy) -> String {
        let direction = self.direction();
        let is_forth = self.rng.random_bool(0.5);
        proxy.change(|knobs| {
            if is_forth {
                knobs.to_target = direction;
            } else {
                knobs.to_caller = direction;
            }
        });
        let way = if is_forth { "forth" } else { "back" };
        format!("{way}: {direction:?}")
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

    /// Ends the faults whose time is over.
    pub fn undo_due(&mut self, deployment: &Deployment) -> io::Result<()> {
        let now = Instant::now();
        let due = self.pending.extract_if(.., |(until, _undo)| *until <= now);
        for (_until, undo) in due.collect::<Vec<_>>() {
            apply(&undo, deployment)?;
        }
        Ok(())
    }

    /// Starts processes again that have ended by themselves, as the operators' platform does; tells of those that
    /// should not have.
    ///
    /// A signal that comes before a process could say how it takes it ends it whatever its program is.
    pub fn restart_ended(&self, deployment: &Deployment) -> io::Result<Vec<String>> {
        let mut wrong = Vec::new();
        for (place, node) in deployment.nodes.iter().enumerate() {
            let is_down = |(_until, undo): &(Instant, Undo)| matches!(undo, Undo::Restart(down) if *down == place);
            if self.pending.iter().any(is_down) {
                continue;
            }
            let Some(status) = node.ended() else { continue };
            if status.signal() != Some(Signal::SIGHUP as i32) || node.running() > STARTING {
                wrong.push(format!(
                    "the process of node {place} ended by itself: {status}"
                ));
            }
            node.restart()?;
        }
        Ok(wrong)
    }

    /// Ends all faults.
    pub fn undo_all(&mut self, deployment: &Deployment) -> io::Result<()> {
        for (_until, undo) in std::mem::take(&mut self.pending) {
            apply(&undo, deployment)?;
        }
        Ok(())
    }
}

fn heal(proxy: &TcpProxy) {
    proxy.change(|knobs| {
        knobs.to_target = Direction::default();
        knobs.to_caller = Direction::default();
    });
}

fn proxy<'a>(deployment: &'a Deployment, upstream: &str) -> Option<&'a TcpProxy> {
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
            heal(&deployment.store_proxies[*node]);
        }
        Undo::HealCallers(node) => {
            heal(&deployment.caller_proxies[*node]);
        }
        Undo::HealUpstream(id) => {
            if let Some(proxy) = proxy(deployment, id) {
                heal(proxy);
            }
        }
        Undo::MendUpstream(id) => {
            if let Some(upstream) = deployment.upstream(id) {
                upstream.set(Fault::None);
            }
        }
    }
    Ok(())
}
