//! One node as a process of its own, with its peers' traffic led through fault proxies.

use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use teaselline::keys::Incarnation;
use teaselline_stand_ins::operators::{HostLimits, node};
use teaselline_stand_ins::proxy::{Direction, ProxySettings, TcpProxy, UdpProxy};
use teaselline_stand_ins::site::Site;

use super::deployment::url;
use super::trial;

/// How long a process may take to start on a busy machine.
const START_PATIENCE: Duration = Duration::from_secs(30);

/// Starts that are tried; the ports asked of the system may be taken by others meanwhile.
const START_TRIES: u32 = 5;

/// Between two looks at whether a process stands still.
const SIGNAL_PAUSE: Duration = Duration::from_millis(1);

/// The log record of a node that listens.
const RUNNING: &str = "the node runs";

/// A node in a process of its own; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Where callers reach it, without a proxy.
    pub callers: SocketAddr,
    /// Where peers are told to connect: at its proxy.
    pub peers: SocketAddr,
    /// Where peers are told to send heartbeats: at its proxy.
    pub heartbeats: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    child: Mutex<Child>,
    peers_proxy: TcpProxy,
    heartbeats_proxy: UdpProxy,
    log: Arc<Mutex<Vec<String>>>,
}

/// What a process is started with.
#[derive(Clone, Copy, Debug)]
pub struct Launch<'a> {
    /// The binary.
    pub binary: &'a Path,
    /// Where it listens, on ports that the system chooses.
    pub ip: Ipv4Addr,
    /// The key of its fleet.
    pub fleet_key: &'a str,
    /// The platform's stand-ins.
    pub site: &'a Site,
    /// Chooses its name and failure domain.
    pub index: usize,
    /// Heartbeat addresses of others.
    pub seeds: &'a [SocketAddr],
    /// How long its planned stop may take.
    pub drain_timeout_ms: u64,
    /// What its host allows; otherwise it is started with the defaults.
    pub host: Option<HostLimits>,
    /// Further settings, as names and values of its environment.
    pub environment: &'a [(&'a str, &'a str)],
}

impl Process {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    ///
    /// If the binary cannot be run or does not come to listen.
    pub async fn start(launch: &Launch<'_>) -> io::Result<Self> {
        let mut tries = 0;
        loop {
            tries += 1;
            match Self::try_start(launch).await {
                Err(_) if tries < START_TRIES => {}
                started => return started,
            }
        }
    }

    async fn try_start(launch: &Launch<'_>) -> io::Result<Self> {
        let peers = free_tcp_address(launch.ip)?;
        let heartbeats = free_udp_address(launch.ip)?;
        let proxy = |target| ProxySettings {
            address: (launch.ip, 0).into(),
            ..ProxySettings::new(target)
        };
        let peers_proxy = TcpProxy::start(proxy(peers)).await?;
        let heartbeats_proxy = UdpProxy::start(proxy(heartbeats)).await?;
        let mut command = command(launch);
        command
            .args(["--peer-listen", &peers.to_string()])
            .args(["--heartbeat-listen", &heartbeats.to_string()])
            .args(["--peer-advertise", &peers_proxy.address().to_string()])
            .args([
                "--heartbeat-advertise",
                &heartbeats_proxy.address().to_string(),
            ]);
        let mut child = command.spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let running = follow_log(&mut child, Arc::clone(&log));
        let child = Mutex::new(child);
        let waited = tokio::task::spawn_blocking(move || running.recv_timeout(START_PATIENCE));
        let Ok(Ok(record)) = waited.await else {
            end(&child);
            return Err(io::Error::other(log.lock().join("\n")));
        };
        let field = |name: &str| record[name].as_str().unwrap_or_default().to_owned();
        let callers = field("callers").parse().map_err(io::Error::other)?;
        let incarnation = u64::from_str_radix(&field("incarnation"), 16);
        Ok(Self {
            callers,
            peers: peers_proxy.address(),
            heartbeats: heartbeats_proxy.address(),
            incarnation: Incarnation(incarnation.map_err(io::Error::other)?),
            child,
            peers_proxy,
            heartbeats_proxy,
            log,
        })
    }

    /// Ends it as a crash does.
    pub fn kill(&self) {
        end(&self.child);
    }

    /// Stops it from running, as a long pause of its host does.
    ///
    /// Returns once it stands still: a signal takes effect some time after it was sent, and what is
    /// sent to the process meanwhile would still be handled.
    pub fn pause(&self) {
        self.signal("STOP");
        let id = self.child.lock().id();
        while !self.has_ended() && !stands_still(id) {
            std::thread::sleep(SIGNAL_PAUSE);
        }
    }

    /// Lets it run on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.lock().id()
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().try_wait(), Ok(Some(_)))
    }

    /// Sets what peers hear of it and it of peers that connect to it.
    pub fn cut_off(&self, cut: Cut) {
        let silent = |silent| Direction {
            silent,
            ..Direction::default()
        };
        self.peers_proxy.change(|knobs| {
            knobs.to_target = silent(cut.hears_nothing);
            knobs.to_caller = silent(cut.is_not_heard);
        });
        self.heartbeats_proxy.change(|knobs| {
            knobs.to_target = silent(cut.hears_nothing);
            knobs.to_caller = silent(cut.is_not_heard);
        });
    }

    /// Resets the connections of its peers.
    pub fn reset_connections(&self) {
        self.peers_proxy.cut();
    }

    /// What it has logged, a line a record.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().clone()
    }

    fn signal(&self, name: &str) {
        let mut child = self.child.lock();
        // The id of a child that has not been waited for is given to no other process; that of one
        // that has may be, and the signal would reach a stranger.
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let sent = Command::new("kill")
            .args(["-s", name, &child.id().to_string()])
            .status();
        sent.expect("the system has a kill command");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        end(&self.child);
    }
}

/// In which directions the connections to a node are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// What peers send to it does not arrive.
    pub hears_nothing: bool,
    /// What it answers does not arrive.
    pub is_not_heard: bool,
}

/// Whether all threads of a process are stopped, or it is gone.
fn stands_still(id: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which is in brackets and may itself hold any character.
        let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
        state.is_none_or(|state| state.starts_with(['T', 't', 'Z', 'X']))
    })
}

fn end(child: &Mutex<Child>) {
    let mut child = child.lock();
    // Both fail only for a child that has ended and been waited for already.
    drop(child.kill());
    drop(child.wait());
}

fn command(launch: &Launch<'_>) -> Command {
    let site = launch.site;
    let seeds: Vec<_> = launch.seeds.iter().map(ToString::to_string).collect();
    let mut command = node::command(launch.binary, launch.host);
    command
        .arg("serve")
        .env_clear()
        .envs(launch.environment.iter().copied())
        .env("TEASELLINE_FLEET_KEY", launch.fleet_key)
        .args(["--listen", &format!("{}:0", launch.ip)])
        .args(["--name", &format!("entry-{}", launch.index)])
        .args(["--region", trial::REGION])
        .args([
            "--failure-domain",
            trial::DOMAINS[launch.index % trial::DOMAINS.len()],
        ])
        .args(["--log-url", url(site.log.address()).as_str()])
        .args(["--cloud-url", url(site.cloud.address()).as_str()])
        .args(["--weights-url", url(site.weights.address()).as_str()])
        .args(["--drain-timeout-ms", &launch.drain_timeout_ms.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if !seeds.is_empty() {
        command.args(["--seed", &seeds.join(",")]);
    }
    command
}

/// Keeps the log of a process, and hands on the record which says that it listens.
fn follow_log(child: &mut Child, log: Arc<Mutex<Vec<String>>>) -> mpsc::Receiver<Value> {
    let (sender, running) = mpsc::channel();
    let errors = child.stderr.take().expect("the child's errors are piped");
    std::thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            let record: Value = serde_json::from_str(&line).unwrap_or_default();
            if record["message"] == RUNNING && sender.send(record).is_err() {
                return;
            }
            log.lock().push(line);
        }
    });
    running
}

fn free_tcp_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

fn free_udp_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    UdpSocket::bind((ip, 0))?.local_addr()
}
