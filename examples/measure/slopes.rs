//! What control costs one node, by the size of what it has to do with, from real node processes.
//!
//! Each row varies one size over at least four values and fits a line. Processor time and memory
//! are what the kernel counts for the node's process, bytes what the node itself counts as sent.

use std::time::Duration;

use serde_json::json;

use super::fleet::document::Shape;
use super::fleet::wire::{self, Connection, StreamCall, node_request};
use super::fleet::{Fleet, instant_engine};
use super::report::{Fit, Line};
use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "slopes",
    about: "Processor time, memory and bytes of one node by nodes, servers and requests.",
    run,
};

/// Nodes of each point; each is a process.
const NODES: [usize; 5] = [3, 6, 12, 24, 48];

/// Servers of each point; 283 is one failure domain's worth at the size designed for.
const SERVERS: [usize; 4] = [18, 72, 144, 283];

/// Requests of each point.
const REQUESTS: [usize; 4] = [250, 500, 1_000, 2_000];

/// Tokens of each answer.
const TOKENS: u64 = 40;

/// Time over which an idle node is watched.
const WINDOW: Duration = Duration::from_secs(6);

/// Time after which a fleet that has just started is taken to have settled.
const SETTLE: Duration = Duration::from_secs(3);

/// What a node has used up to a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu_ms: f64,
    rss_bytes: f64,
    peer_bytes: f64,
    heartbeat_bytes: f64,
    standby_bytes: f64,
}

/// One row: a name, its unit, and the points of size and value.
struct Row {
    role: &'static str,
    input: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Row {
    fn new(role: &'static str, input: &'static str, unit: &'static str) -> Self {
        Self {
            role,
            input,
            unit,
            points: Vec::new(),
        }
    }

    fn print(&self, arguments: &Arguments) -> Result<(), Failure> {
        let fit = Fit::of(&self.points);
        let sizes: Vec<_> = self.points.iter().map(|point| point.0).collect();
        let values: Vec<_> = self.points.iter().map(|point| point.1).collect();
        // How far the points lie from the line at most, as a measure of the spread.
        let off = |point: &(f64, f64)| (point.1 - fit.intercept - fit.slope * point.0).abs();
        let spread = self.points.iter().map(off).fold(0.0, f64::max);
        Line::new("slopes", "teaselline")
            .with("role", self.role)
            .with("input", self.input)
            .with("unit", self.unit)
            .with("seed", json!(arguments.seed))
            .with("runs", json!(arguments.runs))
            .with("sizes", json!(sizes))
            .with("values", json!(values))
            .with("slope", json!(fit.slope))
            .with("intercept", json!(fit.intercept))
            .with("spread", json!(spread))
            .print()?;
        Ok(())
    }
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        by_nodes(arguments).await?;
        by_servers(arguments).await?;
        by_requests(arguments).await
    })
}

async fn by_nodes(arguments: &Arguments) -> Result<(), Failure> {
    let mut rows = idle_rows("nodes");
    for _run in arguments.seeds() {
        for nodes in NODES {
            let shape = Shape {
                domains: 4,
                engines: 18,
                teams: 5,
            };
            let used = idle(shape, nodes).await?;
            note(&mut rows, nodes, used);
        }
    }
    rows.iter().try_for_each(|row| row.print(arguments))
}

async fn by_servers(arguments: &Arguments) -> Result<(), Failure> {
    let mut rows = idle_rows("servers");
    for _run in arguments.seeds() {
        for servers in SERVERS {
            let shape = Shape {
                domains: 4,
                engines: servers,
                teams: 5,
            };
            let used = idle(shape, 3).await?;
            note(&mut rows, servers, used);
        }
    }
    rows.iter().try_for_each(|row| row.print(arguments))
}

fn idle_rows(input: &'static str) -> Vec<Row> {
    vec![
        Row::new("control, idle", input, "processor ms a second"),
        Row::new("control, idle", input, "resident bytes"),
        Row::new(
            "peers: shares, strikes, configuration",
            input,
            "bytes sent a second",
        ),
        Row::new("membership", input, "bytes sent a second"),
    ]
}

fn note(rows: &mut [Row], size: usize, used: Used) {
    let size = f64::from(u32::try_from(size).unwrap_or(u32::MAX));
    let seconds = WINDOW.as_secs_f64();
    let values = [
        used.cpu_ms / seconds,
        used.rss_bytes,
        used.peer_bytes / seconds,
        used.heartbeat_bytes / seconds,
    ];
    for (row, value) in rows.iter_mut().zip(values) {
        row.points.push((size, value));
    }
}

/// What the second node of an idle fleet uses over the window.
async fn idle(shape: Shape, nodes: usize) -> Result<Used, Failure> {
    let mut fleet = Fleet::start(shape, instant_engine(10.0)).await?;
    fleet.add_nodes(nodes, 1)?;
    fleet.configure().await?;
    tokio::time::sleep(SETTLE).await;
    let before = used(&fleet, 1).await?;
    tokio::time::sleep(WINDOW).await;
    let after = used(&fleet, 1).await?;
    Ok(between(before, after))
}

/// Cost of each request at its home and of its copies at the witness.
async fn by_requests(arguments: &Arguments) -> Result<(), Failure> {
    let mut cpu = Row::new(
        "request core and entry",
        "requests of 40 tokens",
        "processor ms",
    );
    let mut bytes = Row::new("standby", "requests of 40 tokens", "bytes sent");
    for _run in arguments.seeds() {
        let shape = Shape {
            domains: 4,
            engines: 18,
            teams: 5,
        };
        let mut fleet = Fleet::start(shape, instant_engine(1.0)).await?;
        fleet.add_nodes(3, 2)?;
        fleet.configure().await?;
        tokio::time::sleep(SETTLE).await;
        for requests in REQUESTS {
            let before = used(&fleet, 1).await?;
            call(&fleet, requests).await?;
            let spent = between(before, used(&fleet, 1).await?);
            let size = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
            cpu.points.push((size, spent.cpu_ms));
            bytes.points.push((size, spent.standby_bytes));
        }
    }
    cpu.print(arguments)?;
    bytes.print(arguments)
}

/// Streams answers through the second node, a few at a time.
async fn call(fleet: &Fleet, requests: usize) -> Result<(), Failure> {
    const AT_ONCE: usize = 25;
    let node = fleet.nodes()[1].callers();
    let callers = (0..AT_ONCE).map(|caller| async move {
        let mut connection = Connection::to(node).await?;
        for index in (caller..requests).step_by(AT_ONCE) {
            let prompt =
                format!("Reel {index}: which frames were spliced, and by whom? ").repeat(8);
            let call = StreamCall {
                prompt,
                max_tokens: TOKENS,
            };
            connection.stream(&node_request(&call)).await?;
        }
        Ok::<(), Failure>(())
    });
    futures::future::try_join_all(callers).await.map(drop)
}

async fn used(fleet: &Fleet, index: usize) -> Result<Used, Failure> {
    let node = &fleet.nodes()[index];
    let usage = node.usage()?;
    let metrics = wire::call(node.callers(), "GET", "/metrics", "").await?;
    let peers = |line: &str| line.starts_with("teaselline_peer_sent_bytes_total");
    let standby = |line: &str| peers(line) && line.contains("kind=\"witness\"");
    let heartbeats = |line: &str| line.starts_with("teaselline_membership_sent_bytes_total");
    Ok(Used {
        cpu_ms: usage.cpu_ms,
        rss_bytes: usage.rss_bytes,
        peer_bytes: sum(&metrics, peers),
        heartbeat_bytes: sum(&metrics, heartbeats),
        standby_bytes: sum(&metrics, standby),
    })
}

fn sum(metrics: &str, wanted: impl Fn(&str) -> bool) -> f64 {
    let lines = metrics.lines().filter(|line| wanted(line));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn between(before: Used, after: Used) -> Used {
    Used {
        cpu_ms: after.cpu_ms - before.cpu_ms,
        rss_bytes: after.rss_bytes,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        heartbeat_bytes: after.heartbeat_bytes - before.heartbeat_bytes,
        standby_bytes: after.standby_bytes - before.standby_bytes,
    }
}
