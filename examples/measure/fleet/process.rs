//! One node process: its start, its addresses and what it uses of the machine.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;

use super::document::FLEET_KEY;
use crate::experiments::Failure;

/// What the node logs when it listens.
const RUNS: &str = "the node runs";

/// How long a node may take to start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The kernel counts processor time in hundredths of a second.
const TICK_MS: f64 = 10.0;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region.
    pub region: String,
    /// Heartbeat addresses of others.
    pub seeds: Vec<SocketAddr>,
    /// The log service.
    pub log: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Worker threads.
    pub threads: usize,
}

/// A node process; dropping it kills it.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    callers: SocketAddr,
    heartbeats: SocketAddr,
}

/// What a process has used of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all threads since the start.
    pub cpu_ms: f64,
    /// Resident memory now.
    pub rss_bytes: f64,
}

impl NodeProcess {
    /// Starts the release binary and waits until it listens.
    pub fn start(settings: &NodeSettings) -> Result<Self, Failure> {
        let mut child = command(settings)?.spawn()?;
        let stderr = child.stderr.take().ok_or(Failure::NotReady)?;
        let (sender, started) = mpsc::channel();
        // A pipe that nobody reads fills up, and the node would stop at its next log record.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let record: Value = serde_json::from_str(&line).unwrap_or_default();
                // After the first one nobody waits any more.
                if record["message"] == RUNS && sender.send(record).is_err() {}
            }
        });
        let record = started
            .recv_timeout(START_LIMIT)
            .map_err(|_elapsed| Failure::NotReady)?;
        Ok(Self {
            child,
            callers: address(&record, "callers")?,
            heartbeats: address(&record, "heartbeats")?,
        })
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where it takes heartbeats.
    pub fn heartbeats(&self) -> SocketAddr {
        self.heartbeats
    }

    /// What it has used so far.
    pub fn usage(&self) -> Result<Usage, Failure> {
        usage(&self.child.id().to_string())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // A process that has ended by itself needs no kill.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// What a process has used so far, by its id; `self` is this one.
pub fn usage(id: &str) -> Result<Usage, Failure> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The second field is the program's name in brackets, which may hold spaces.
    let fields = stat.rsplit_once(')').map(|(_, fields)| fields);
    let number = |field: usize| {
        let field = fields.and_then(|fields| fields.split_whitespace().nth(field));
        field.and_then(|field| field.parse::<f64>().ok())
    };
    let (user, system) = (number(11), number(12));
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    match (user, system, resident) {
        (Some(user), Some(system), Some(kibibytes)) => Ok(Usage {
            cpu_ms: (user + system) * TICK_MS,
            rss_bytes: kibibytes * 1024.0,
        }),
        _ => Err(Failure::NotReady),
    }
}

fn command(settings: &NodeSettings) -> Result<Command, Failure> {
    let mut command = Command::new(binary()?);
    let any_port = "127.0.0.1:0";
    let seeds: Vec<_> = settings.seeds.iter().map(ToString::to_string).collect();
    command
        .args(["serve", "--listen", any_port, "--peer-listen", any_port])
        .args(["--heartbeat-listen", any_port, "--name", &settings.name])
        .args(["--failure-domain", &settings.failure_domain])
        .args(["--region", &settings.region])
        .args(["--log-url", &format!("http://{}/", settings.log)])
        .args(["--cloud-url", &format!("http://{}/", settings.cloud)])
        .args(["--weights-url", &format!("http://{}/", settings.weights)])
        .args(["--threads", &settings.threads.to_string()])
        .env("TEASELLINE_FLEET_KEY", FLEET_KEY)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if !seeds.is_empty() {
        command.args(["--seed", &seeds.join(",")]);
    }
    Ok(command)
}

/// The binary that was built beside this example.
fn binary() -> Result<PathBuf, Failure> {
    let example = std::env::current_exe()?;
    let built = example.parent().and_then(|examples| examples.parent());
    let binary = built.map(|built| built.join("teaselline"));
    binary
        .filter(|binary| binary.is_file())
        .ok_or(Failure::NoBinary)
}

fn address(record: &Value, field: &str) -> Result<SocketAddr, Failure> {
    let text = record[field].as_str();
    text.and_then(|text| text.parse().ok())
        .ok_or(Failure::NotReady)
}
