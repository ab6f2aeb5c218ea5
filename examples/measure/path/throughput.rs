//! Streamed tokens a second through one node, and its processor time for each.

use std::net::SocketAddr;
use std::time::Instant;

use serde_json::json;
use tokio::task::JoinSet;

use crate::experiments::fleet::document::Shape;
use crate::experiments::fleet::process::usage;
use crate::experiments::fleet::wire::{Connection, StreamCall, engine_request, node_request};
use crate::experiments::fleet::{Fleet, instant_engine};
use crate::experiments::report::Line;
use crate::experiments::{Arguments, Failure};

/// Worker threads of the node.
const NODE_THREADS: usize = 6;

/// Streams at once, and how their tokens come.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    streams: u32,
    tokens: u32,
    interval_ms: f64,
}

/// As fast as the engine writes, and at the pace of decoding, a token at a time.
const LOADS: [Load; 2] = [
    Load {
        name: "unpaced",
        streams: 64,
        tokens: 30_000,
        interval_ms: 0.0,
    },
    Load {
        name: "paced",
        streams: 2_000,
        tokens: 300,
        interval_ms: 20.0,
    },
];

/// One side of one run.
#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_second: f64,
    node_cpu_us_per_token: f64,
    measuring_cpu_us_per_token: f64,
}

/// Runs it and prints its lines.
pub async fn measure(arguments: &Arguments) -> Result<(), Failure> {
    for load in LOADS {
        let (mut direct, mut node) = (Vec::new(), Vec::new());
        for seed in arguments.seeds() {
            let shape = Shape {
                domains: 2,
                engines: 1,
                teams: 1,
            };
            let mut fleet = Fleet::start(shape, instant_engine(load.interval_ms)).await?;
            fleet.add_nodes(2, NODE_THREADS)?;
            fleet.configure().await?;
            direct.push(run(&fleet, load, seed, false).await?);
            node.push(run(&fleet, load, seed, true).await?);
        }
        print(arguments, load, "baseline", &direct)?;
        print(arguments, load, "teaselline", &node)?;
    }
    Ok(())
}

fn print(arguments: &Arguments, load: Load, side: &str, rates: &[Rate]) -> Result<(), Failure> {
    let of = |read: fn(&Rate) -> f64| rates.iter().map(read).collect::<Vec<_>>();
    Line::new("path", side)
        .with("measure", "throughput")
        .with("load", load.name)
        .with("seed", json!(arguments.seed))
        .with("streams", json!(load.streams))
        .with("node_threads", json!(NODE_THREADS))
        .with_spread("tokens_per_second", &of(|rate| rate.tokens_per_second))
        .with_spread(
            "node_cpu_us_per_token",
            &of(|rate| rate.node_cpu_us_per_token),
        )
        .with_spread(
            "measuring_cpu_us_per_token",
            &of(|rate| rate.measuring_cpu_us_per_token),
        )
        .print()?;
    Ok(())
}

async fn run(fleet: &Fleet, load: Load, seed: u64, through_node: bool) -> Result<Rate, Failure> {
    let node = &fleet.nodes()[0];
    let to = if through_node {
        node.callers()
    } else {
        fleet.engine.address()
    };
    let (node_before, own_before) = (node.usage()?, usage("self")?);
    let connections = connect(to, load.streams).await?;
    let start = Instant::now();
    let mut streams = JoinSet::new();
    for (index, mut connection) in connections.into_iter().enumerate() {
        let call = StreamCall {
            prompt: format!("Deposit ledger {seed}-{index}: reconcile all rows."),
            max_tokens: u64::from(load.tokens),
        };
        let request = if through_node {
            node_request(&call)
        } else {
            engine_request(&call, &format!("direct-{seed}-{index}"))
        };
        streams.spawn(async move { connection.stream(&request).await });
    }
    for seen in streams.join_all().await {
        seen?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let (node_after, own_after) = (node.usage()?, usage("self")?);
    let tokens = f64::from(load.streams) * f64::from(load.tokens);
    Ok(Rate {
        tokens_per_second: tokens / seconds,
        node_cpu_us_per_token: (node_after.cpu_ms - node_before.cpu_ms) * 1e3 / tokens,
        measuring_cpu_us_per_token: (own_after.cpu_ms - own_before.cpu_ms) * 1e3 / tokens,
    })
}

/// Connects before the clock starts, in turn, so that accept queues do not overflow.
async fn connect(to: SocketAddr, count: u32) -> Result<Vec<Connection>, Failure> {
    let mut connections = Vec::new();
    for _connection in 0..count {
        connections.push(Connection::to(to).await?);
    }
    Ok(connections)
}
