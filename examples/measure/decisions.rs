//! Processor time of one decision, by the size of what it decides on.
//!
//! `placement::decide` over servers in 18 failure domains, and `reclaim::plan` over streams that a
//! node has on the hosts of one lost failure domain. Time is what the kernel counts for this
//! thread, so other processes on the machine do not show.

mod fleet;
mod streams;

use std::fs;
use std::io;

use serde_json::json;

use super::report::{Fit, Line};
use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "decisions",
    about: "Processor time per decision of placement and reclaim, up to 5,100 servers.",
    run,
};

/// Processor time per measured point.
const MEASURED_MS: f64 = 800.0;

/// Servers of each point; the largest is the size of `docs/CAPACITY.md`.
const SERVERS: [u32; 4] = [640, 1_275, 2_550, 5_100];

/// Streams that a node has to move; 14,000 requests a second over 340 nodes are about 820 open
/// streams a node at 20 s each, of which a lost failure domain holds all at worst.
const STREAMS: [u32; 4] = [100, 200, 400, 820];

/// Processor time in milliseconds, by size.
type Points = Vec<(f64, f64)>;

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let states = [
        (fleet::State::Settled, "placement_settled"),
        (fleet::State::Wave, "placement_in_wave"),
        (fleet::State::Surplus, "placement_with_surplus"),
    ];
    for (state, side) in states {
        let mut points = Points::new();
        for seed in arguments.seeds() {
            for servers in SERVERS {
                let fleet = fleet::Fleet::new(servers, state, seed);
                let time_ms = time_of(|| fleet.decide())?;
                points.push((f64::from(servers), time_ms));
            }
        }
        print(side, "servers", arguments, &points)?;
    }
    for (targets, side) in [
        (283, "reclaim_283_targets"),
        (5_100, "reclaim_5100_targets"),
    ] {
        let mut points = Points::new();
        for seed in arguments.seeds() {
            for streams in STREAMS {
                let wave = streams::Wave::new(streams, targets, seed);
                let time_ms = time_of(|| wave.plan())?;
                points.push((f64::from(streams), time_ms));
            }
        }
        print(side, "streams", arguments, &points)?;
    }
    Ok(())
}

/// The mean processor time of a decision, in milliseconds.
///
/// The kernel may count in ticks of several milliseconds, so decisions are made until many of
/// them have passed.
fn time_of(decide: impl Fn() -> usize) -> io::Result<f64> {
    let before_ms = processor_time_ms()?;
    let mut decisions = 0.0;
    loop {
        std::hint::black_box(decide());
        decisions += 1.0;
        let passed_ms = processor_time_ms()? - before_ms;
        if passed_ms >= MEASURED_MS {
            return Ok(passed_ms / decisions);
        }
    }
}

/// What the kernel has counted for this thread.
fn processor_time_ms() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_ascii_whitespace().next();
    let nanos: Option<f64> = first.and_then(|nanos| nanos.parse().ok());
    nanos
        .map(|nanos| nanos / 1e6)
        .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

fn print(side: &str, unit: &str, arguments: &Arguments, points: &Points) -> io::Result<()> {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.0).collect();
    sizes.dedup();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let fit = Fit::of(points);
    let line = Line::new("decisions", side)
        .with("seed", json!(arguments.seed))
        .with("size", unit)
        .with("slope_ms", fit.slope)
        .with("intercept_ms", fit.intercept);
    let line = sizes.into_iter().fold(line, |line, size| {
        let same = points.iter().filter(|point| (point.0 - size).abs() < 0.5);
        let times: Vec<f64> = same.map(|point| point.1).collect();
        line.with_spread(&format!("time_ms_at_{size}"), &times)
    });
    line.print()
}
