//! Resident memory of a node by the number of open streams.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::experiments::fleet::document::Shape;
use crate::experiments::fleet::wire::{StreamCall, node_request};
use crate::experiments::fleet::{Fleet, instant_engine};
use crate::experiments::report::{Fit, Line};
use crate::experiments::{Arguments, Failure};

/// Open streams at which memory is read.
///
/// A node holds two sockets for each stream, and the machine allows a process 20,000.
const STREAMS: [u32; 5] = [0, 2_400, 4_800, 7_200, 9_600];

/// The number that the limit is set for.
const STREAMS_AT_LIMIT: f64 = 10_000.0;

/// Streams opened between two pauses, so that accept queues do not overflow.
const BURST: usize = 100;

const BURST_PAUSE: Duration = Duration::from_millis(20);

/// Time for each stream to get its first tokens.
const SETTLE: Duration = Duration::from_secs(4);

/// Time between two tokens of a stream; all streams stay open during the measurement.
const TOKEN_INTERVAL_MS: f64 = 2_000.0;

/// Runs it and prints its line.
pub async fn measure(arguments: &Arguments) -> Result<(), Failure> {
    let mut runs = Vec::new();
    for seed in arguments.seeds() {
        runs.push(run(seed).await?);
    }
    let fits: Vec<_> = runs.iter().map(|points| Fit::of(points)).collect();
    let of = |read: fn(&Fit) -> f64| fits.iter().map(read).collect::<Vec<_>>();
    let mut line = Line::new("path", "teaselline")
        .with("measure", "memory")
        .with("seed", json!(arguments.seed));
    for (index, streams) in STREAMS.iter().enumerate() {
        let rss: Vec<_> = runs.iter().map(|points| points[index].1).collect();
        line = line.with_spread(&format!("rss_bytes_at_{streams}"), &rss);
    }
    line.with_spread("bytes_per_stream", &of(|fit| fit.slope))
        .with_spread("bytes_without_streams", &of(|fit| fit.intercept))
        .with_spread(
            "rss_bytes_at_10000_by_slope",
            &of(|fit| fit.intercept + fit.slope * STREAMS_AT_LIMIT),
        )
        .print()?;
    Ok(())
}

async fn run(seed: u64) -> Result<Vec<(f64, f64)>, Failure> {
    let shape = Shape {
        domains: 2,
        engines: 1,
        teams: 1,
    };
    let mut fleet = Fleet::start(shape, instant_engine(TOKEN_INTERVAL_MS)).await?;
    fleet.add_nodes(2, 4)?;
    fleet.configure().await?;
    let node = &fleet.nodes()[0];
    let mut open = Vec::new();
    let mut points = Vec::new();
    for streams in STREAMS {
        for index in open.len()..streams as usize {
            let call = StreamCall {
                prompt: format!("Reel report {seed}-{index}: list every splice."),
                max_tokens: 100_000,
            };
            let mut socket = TcpStream::connect(node.callers()).await?;
            socket.write_all(&node_request(&call)).await?;
            open.push(socket);
            if open.len() % BURST == 0 {
                tokio::time::sleep(BURST_PAUSE).await;
            }
        }
        tokio::time::sleep(SETTLE).await;
        points.push((f64::from(streams), node.usage()?.rss_bytes));
    }
    Ok(points)
}
