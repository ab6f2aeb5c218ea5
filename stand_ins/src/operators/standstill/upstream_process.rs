//! An upstream as a process of its own, which can be stopped and continued: its kernel goes on accepting channels and
//! bytes meanwhile.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use std::{env, process};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::operators::store::Store;
use crate::operators::upstream::{Run, Upstream, UpstreamSettings};
use crate::server::now_ms;

/// The variable that tells a process what upstream it is.
const HABITS: &str = "TEASELLINE_STAND_IN_UPSTREAM";

/// Between two announcements.
const BEAT: Duration = Duration::from_millis(400);

/// The store removes an announcement after this long without a new one.
const LAPSES_AFTER: Duration = Duration::from_millis(1_200);

/// Between two looks at what has run.
const LOOK: Duration = Duration::from_millis(5);

/// A process has told where it listens by then, on a busy machine.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// Starts the process of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCommand {
    /// A program that calls [`serve_if_told`].
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// What an upstream is and how it serves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Habits {
    /// New at each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it stands.
    pub zone: String,
    /// How many requests it runs at once; it refuses others.
    pub places: usize,
    /// The share of its answers and refusals that it repeats where the next one is due.
    pub late_copies: f64,
    /// It closes channels that were idle for so long.
    pub idle_ms: u64,
    /// Decides which answers it repeats.
    pub seed: u64,
}

/// What a process tells on its standard output, a line each.
#[derive(Debug, Serialize, Deserialize)]
enum Told {
    Listens(SocketAddr),
    Ran(Box<Run>),
}

/// Serves as an upstream until the standard input ends, if the environment tells this process to; otherwise returns at
/// once.
///
/// # Errors
///
/// If the upstream cannot be started.
pub fn serve_if_told() -> io::Result<()> {
    let Ok(habits) = env::var(HABITS) else {
        return Ok(());
    };
    let habits: Habits = serde_json::from_str(&habits)?;
    // Nobody is left to be served once the process that started this one has ended.
    std::thread::spawn(|| {
        let ended = io::copy(&mut io::stdin(), &mut io::sink());
        process::exit(i32::from(ended.is_err()));
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(habits))
}

async fn serve(habits: Habits) -> io::Result<()> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let settings = UpstreamSettings {
        id: habits.id,
        service: habits.service,
        zone: habits.zone,
        version: String::from("v1"),
    };
    let upstream = Upstream::start(settings, &Store::default(), &runs)?;
    upstream.limit_places(habits.places);
    upstream.close_idle_after(habits.idle_ms);
    upstream.repeat_late(habits.late_copies, habits.seed);
    tell(&Told::Listens(upstream.address()))?;
    let mut told = 0;
    loop {
        let new = runs.lock()[told..].to_vec();
        told += new.len();
        for run in new {
            tell(&Told::Ran(Box::new(run)))?;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Writes a line of its own, whatever stands before it.
fn tell(told: &Told) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "\n{}", serde_json::to_string(told)?)?;
    out.flush()
}

/// An upstream that runs as a process; dropping it ends the process.
#[derive(Debug)]
pub struct UpstreamProcess {
    child: Child,
    /// The process ends with it.
    _stdin: Option<ChildStdin>,
    is_standing: Arc<Mutex<bool>>,
    beat: JoinHandle<()>,
    id: String,
}

impl UpstreamProcess {
    /// Starts an upstream and announces it in the store while it does not stand still; what it runs goes into `runs`.
    ///
    /// # Errors
    ///
    /// If the process cannot be started or does not listen.
    pub fn start(
        command: &UpstreamCommand,
        habits: Habits,
        store: &Store,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let mut child = Command::new(&command.program)
            .args(&command.arguments)
            .env(HABITS, serde_json::to_string(&habits)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (listens, address) = channel();
        if let Some(out) = child.stdout.take() {
            follow(out, Arc::clone(runs), listens);
        }
        let address = address.recv_timeout(START_PATIENCE);
        let address = address.map_err(io::Error::other)?;
        let is_standing = Arc::new(Mutex::new(false));
        let id = habits.id.clone();
        let announced = announce(habits, address, store.clone(), Arc::clone(&is_standing));
        Ok(Self {
            _stdin: child.stdin.take(),
            child,
            is_standing,
            beat: tokio::spawn(announced),
            id,
        })
    }

    /// Names the upstream.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Stops its process.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn stand_still(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        *self.is_standing.lock() = true;
        Ok(())
    }

    /// Continues its process.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn go_on(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)?;
        *self.is_standing.lock() = false;
        Ok(())
    }

    /// Whether its process is stopped.
    #[must_use]
    pub fn is_standing(&self) -> bool {
        *self.is_standing.lock()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::other)
    }
}

impl Drop for UpstreamProcess {
    fn drop(&mut self) {
        self.beat.abort();
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Reads what a process tells until its end.
fn follow(
    out: impl Read + Send + 'static,
    runs: Arc<Mutex<Vec<Run>>>,
    listens: Sender<SocketAddr>,
) {
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(Told::Listens(address)) => drop(listens.send(address)),
                Ok(Told::Ran(run)) => runs.lock().push(*run),
                // Other lines are those of the program that carries it.
                Err(_not_told) => {}
            }
        }
    });
}

/// Announces an upstream, as it would itself, until the future is dropped.
async fn announce(
    habits: Habits,
    address: SocketAddr,
    store: Store,
    is_standing: Arc<Mutex<bool>>,
) {
    let born_ms = now_ms();
    let mut announced_at = Instant::now();
    for seq in 1_u64.. {
        let is_standing = *is_standing.lock();
        if !is_standing {
            let value = serde_json::json!({
                "service": habits.service, "address": address.to_string(), "zone": habits.zone,
                "version": "v1", "slots": habits.places, "state": "ready", "coldRemainingMs": 0,
                "seq": seq, "born": born_ms,
            });
            store.put("keyed.servers", &habits.id, &value.to_string());
            announced_at = Instant::now();
        } else if announced_at.elapsed() > LAPSES_AFTER {
            store.put("keyed.servers", &habits.id, "");
        }
        tokio::time::sleep(BEAT).await;
    }
}
