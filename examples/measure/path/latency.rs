//! Time to the first token, through a node and straight from the engine, call by call in turn.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::experiments::fleet::document::Shape;
use crate::experiments::fleet::wire::{Connection, StreamCall, engine_request, node_request};
use crate::experiments::fleet::{Fleet, instant_engine};
use crate::experiments::report::Line;
use crate::experiments::{Arguments, Failure};

/// Callers at once.
const CALLERS: u64 = 8;

/// Calls of each caller to each side.
const CALLS: u64 = 250;

/// Tokens of each answer.
const TOKENS: u64 = 16;

/// Callers pause up to this long before each call, so that calls meet the engine's clock at
/// different times.
const PAUSE_MAX_US: u64 = 4_000;

/// A damage report's beginning, as long as most prompts are.
const SUBJECT: &str = "Newsreel 1934-117, reel 3: nitrate shrinkage, list every damaged frame. ";

/// Digits that times are kept with.
const DIGITS: u8 = 3;

/// Longest time that is told from longer ones.
const LONGEST_US: u64 = 60_000_000;

/// Time between two tokens of a stream.
const TOKEN_INTERVAL_MS: f64 = 1.0;

/// The two sides' times to the first token, of one caller or one run.
#[derive(Debug)]
struct Times {
    direct_us: Histogram<u64>,
    node_us: Histogram<u64>,
}

/// Runs it and prints its lines.
pub async fn measure(arguments: &Arguments) -> Result<(), Failure> {
    let mut runs = Vec::new();
    for seed in arguments.seeds() {
        runs.push(run(seed).await?);
    }
    let of = |read: fn(&Times) -> f64| runs.iter().map(read).collect::<Vec<_>>();
    let line = |side: &str| {
        Line::new("path", side)
            .with("measure", "latency")
            .with("seed", json!(arguments.seed))
            .with("calls", json!(CALLERS * CALLS))
    };
    line("baseline")
        .with_spread("first_token_p50_ms", &of(|run| ms(&run.direct_us, 0.5)))
        .with_spread("first_token_p95_ms", &of(|run| ms(&run.direct_us, 0.95)))
        .print()?;
    line("teaselline")
        .with_spread("first_token_p50_ms", &of(|run| ms(&run.node_us, 0.5)))
        .with_spread("first_token_p95_ms", &of(|run| ms(&run.node_us, 0.95)))
        .with_spread("added_p50_ms", &of(|run| run.added_ms(0.5)))
        .with_spread("added_p95_ms", &of(|run| run.added_ms(0.95)))
        .print()?;
    Ok(())
}

impl Times {
    fn new() -> Self {
        let times =
            || Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid");
        Self {
            direct_us: times(),
            node_us: times(),
        }
    }

    fn added_ms(&self, quantile: f64) -> f64 {
        ms(&self.node_us, quantile) - ms(&self.direct_us, quantile)
    }
}

fn ms(times_us: &Histogram<u64>, quantile: f64) -> f64 {
    let us = u32::try_from(times_us.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    f64::from(us) / 1e3
}

async fn run(seed: u64) -> Result<Times, Failure> {
    let shape = Shape {
        domains: 2,
        engines: 1,
        teams: 1,
    };
    let mut fleet = Fleet::start(shape, instant_engine(TOKEN_INTERVAL_MS)).await?;
    fleet.add_nodes(2, 4)?;
    fleet.configure().await?;
    let (node, engine) = (fleet.nodes()[0].callers(), fleet.engine.address());
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call(seed, caller, node, engine));
    }
    let mut times = Times::new();
    for caller in callers.join_all().await {
        let caller = caller?;
        times.direct_us += caller.direct_us;
        times.node_us += caller.node_us;
    }
    Ok(times)
}

async fn call(
    seed: u64,
    caller: u64,
    node: SocketAddr,
    engine: SocketAddr,
) -> Result<Times, Failure> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(CALLERS).wrapping_add(caller));
    let mut to_node = Connection::to(node).await?;
    let mut to_engine = Connection::to(engine).await?;
    let mut times = Times::new();
    for index in 0..CALLS {
        let stream = StreamCall {
            prompt: format!(
                "{} {caller}-{index}",
                SUBJECT.repeat(rng.random_range(1..20))
            ),
            max_tokens: TOKENS,
        };
        let attempt = format!("direct-{seed}-{caller}-{index}");
        let requests = [node_request(&stream), engine_request(&stream, &attempt)];
        // Which side goes first changes from call to call.
        for side in [index % 2, (index + 1) % 2] {
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..PAUSE_MAX_US))).await;
            let (connection, times_us, request) = match side {
                0 => (&mut to_node, &mut times.node_us, &requests[0]),
                _ => (&mut to_engine, &mut times.direct_us, &requests[1]),
            };
            let first_token = connection.stream(request).await?.first_token;
            let us = u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX);
            times_us.saturating_record(us);
        }
    }
    Ok(times)
}
