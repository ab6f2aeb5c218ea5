//! One node as a process of its own, told what it needs by a settings file.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use parking_lot::Mutex;

use super::deployment::{QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S};

/// Ports are the same for all nodes; each has an address of its own.
const CALLERS_PORT: u16 = 8_221;
const READINESS_PORT: u16 = 8_224;
const DIRECTORY_PORT: u16 = 8_220;
const INNER_PORTS: [u16; 2] = [7_600, 7_615];

/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(20);

/// What the host of a node allows its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory, in megabytes; nothing here enforces it.
    pub memory_mb: u64,
    /// Open descriptors; the system refuses further ones.
    pub max_descriptors: u64,
}

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub binary: PathBuf,
    /// Names the node.
    pub name: String,
    /// Its own loopback address.
    pub ip: Ipv4Addr,
    /// Where it stands.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// The store's door for this node.
    pub store: SocketAddr,
    /// The interface for duties.
    pub cloud: SocketAddr,
    /// The time between being told to stop and being killed, in seconds.
    pub grace_s: u64,
    /// Windows of usage, in seconds.
    pub usage_window_s: f64,
    /// Limits of teams are measured over a window.
    pub has_quota_window: bool,
    /// What its host allows; otherwise the settings do not say so.
    pub host: Option<HostLimits>,
    /// The folder for its settings file.
    pub folder: PathBuf,
}

/// A node that runs; dropping it kills it.
#[derive(Debug)]
pub struct Node {
    /// What it was started with.
    pub launch: Launch,
    child: Mutex<Child>,
    log: Arc<Mutex<Vec<String>>>,
    /// When its process was started.
    started_at: Mutex<Instant>,
}

impl Node {
    /// Starts a node; it may not listen yet.
    ///
    /// # Errors
    ///
    /// If its settings cannot be written or the program cannot be run.
    pub fn start(launch: Launch) -> io::Result<Self> {
        let file = launch.folder.join(format!("{}.json", launch.name));
        fs::write(&file, settings(&launch).to_string())?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let child = spawn(&launch, &file, &log)?;
        Ok(Self {
            launch,
            child: Mutex::new(child),
            log,
            started_at: Mutex::new(Instant::now()),
        })
    }

    /// Where callers reach it.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        (self.launch.ip, CALLERS_PORT).into()
    }

    /// Where its readiness is asked.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        (self.launch.ip, READINESS_PORT).into()
    }

    /// Where callers ask for addresses.
    #[must_use]
    pub fn directory(&self) -> SocketAddr {
        (self.launch.ip, DIRECTORY_PORT).into()
    }

    /// Where its metrics are served.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        (self.launch.ip, INNER_PORTS[1]).into()
    }

    /// The file that it reads its settings from.
    #[must_use]
    pub fn settings_file(&self) -> PathBuf {
        self.launch
            .folder
            .join(format!("{}.json", self.launch.name))
    }

    /// The id of its process.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.child.lock().id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.lock().id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::other)
    }

    /// Since its process was started.
    #[must_use]
    pub fn running(&self) -> Duration {
        self.started_at.lock().elapsed()
    }

    /// How it ended, if it has.
    #[must_use]
    pub fn ended(&self) -> Option<ExitStatus> {
        self.child.lock().try_wait().ok().flatten()
    }

    /// Waits until it has ended, for this long at most.
    pub async fn wait_for_end(&self, at_most: Duration) -> Option<ExitStatus> {
        let until = tokio::time::Instant::now() + at_most;
        while tokio::time::Instant::now() < until {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }

    /// Starts it again after it ended, at the same address.
    ///
    /// # Errors
    ///
    /// If the program cannot be run.
    pub fn restart(&self) -> io::Result<()> {
        self.end_first_start()?;
        self.restart_with_old_settings()
    }

    /// Starts it again with settings that still say what they said at its last start.
    ///
    /// # Errors
    ///
    /// If the program cannot be run.
    pub fn restart_with_old_settings(&self) -> io::Result<()> {
        let mut child = self.child.lock();
        drop(child.kill());
        drop(child.wait());
        *child = spawn(&self.launch, &self.settings_file(), &self.log)?;
        *self.started_at.lock() = Instant::now();
        Ok(())
    }

    /// Says in its settings, as the platform does, that the installation has started before.
    fn end_first_start(&self) -> io::Result<()> {
        let file = self.settings_file();
        let text = fs::read_to_string(&file)?;
        // Tests also write settings that cannot be read.
        let Ok(mut settings) = serde_json::from_str::<serde_json::Value>(&text) else {
            return Ok(());
        };
        settings["bootstrap"] = false.into();
        fs::write(&file, settings.to_string())
    }

    /// What it has logged.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().clone()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock();
        // It may have ended by itself.
        drop(child.kill());
        drop(child.wait());
    }
}

fn spawn(launch: &Launch, settings: &Path, log: &Arc<Mutex<Vec<String>>>) -> io::Result<Child> {
    let mut child = command(&launch.binary, launch.host)
        .arg("gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(out) = child.stdout.take() {
        follow(out, Arc::clone(log));
    }
    if let Some(errors) = child.stderr.take() {
        follow(errors, Arc::clone(log));
    }
    Ok(child)
}

/// Returns the command that runs a program with the descriptors that its host allows.
#[must_use]
pub fn command(binary: &Path, host: Option<HostLimits>) -> Command {
    let Some(host) = host else {
        return Command::new(binary);
    };
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {}; exec \"$0\" \"$@\"", host.max_descriptors);
    command.arg("-c").arg(script).arg(binary);
    command
}

fn follow(out: impl io::Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            log.lock().push(line);
        }
    });
}

/// The settings file as the platform writes it.
#[must_use]
pub fn settings(launch: &Launch) -> serde_json::Value {
    let address = |port| SocketAddr::from((launch.ip, port)).to_string();
    let zones: serde_json::Map<_, _> = (launch.zones.iter())
        .map(|zone| (zone.clone(), "r".into()))
        .collect();
    let mut settings = serde_json::json!({
        "node": launch.name, "role": "gateway", "class": "front", "ip": launch.ip.to_string(),
        "zone": launch.zone, "region": "r", "zones": zones,
        "listen": {
            "front": address(CALLERS_PORT), "readiness": address(READINESS_PORT),
            "directory": address(DIRECTORY_PORT),
        },
        "portRange": INNER_PORTS, "bootstrap": true,
        "bounds": {
            "drainMs": 2000, "graceS": launch.grace_s, "revokeMs": 5000, "leaseMs": 3000,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 50,
            "usageWindowS": launch.usage_window_s, "usageLateS": 10, "ttl_max_s": 5, "contactMs": 3000,
        },
        "platform": {"address": launch.store.to_string()},
        "cloud": {"address": launch.cloud.to_string()},
    });
    if let Some(host) = launch.host {
        settings["limits"] = serde_json::json!({
            "cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0,
            "memoryMb": host.memory_mb, "maxFds": host.max_descriptors,
        });
    }
    if launch.has_quota_window {
        let bounds = &mut settings["bounds"];
        bounds["quotaWindowS"] = QUOTA_WINDOW_S.into();
        bounds["quotaOvershoot"] = QUOTA_OVERSHOOT.into();
        bounds["quotaSlack"] = QUOTA_SLACK.into();
    }
    settings
}
