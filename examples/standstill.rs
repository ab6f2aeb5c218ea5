//! Runs nodes beside upstreams that stand still, for a number of seeds; exits with 1 if a promise was broken.

use std::collections::BTreeMap;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use teaselline_stand_ins::operators::soak::Outcome;
use teaselline_stand_ins::operators::standstill::upstream_process::{
    UpstreamCommand, serve_if_told,
};
use teaselline_stand_ins::operators::standstill::{self, StandstillSettings};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    Command::new("standstill")
        .about("Runs real nodes beside upstreams that are stopped and continued, and checks what may run once.")
        .arg(number("seed", "1", "The first seed."))
        .arg(number("runs", "1", "How many seeds, one after the other."))
        .arg(number("seconds", "20", "How long spells come in each run."))
        .arg(number("nodes", "2", "How many nodes."))
        .arg(number(
            "late-copies",
            "30",
            "How many in a thousand answers and refusals come a second time, late.",
        ))
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/teaselline")
                .help("The program whose nodes are run."),
        )
}

fn main() -> ExitCode {
    if let Err(error) = serve_if_told() {
        println!("not run: {error}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Runtime::new();
    match runtime {
        Ok(runtime) => runtime.block_on(run()),
        Err(error) => {
            println!("not run: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let binary = matches
        .get_one::<PathBuf>("binary")
        .cloned()
        .unwrap_or_default();
    let mut is_broken = false;
    for seed in number("seed")..number("seed") + number("runs") {
        let settings = StandstillSettings {
            binary: &binary,
            upstream: UpstreamCommand {
                program: env::current_exe().unwrap_or_default(),
                arguments: Vec::new(),
            },
            seed,
            span: Duration::from_secs(number("seconds")),
            nodes: usize::try_from(number("nodes")).unwrap_or(1),
            late_copies: f64::from(u32::try_from(number("late-copies")).unwrap_or(0)) / 1_000.0,
        };
        match standstill::run(&settings).await {
            Ok(outcome) => {
                is_broken |= !outcome.broken.is_empty();
                print(seed, &outcome);
            }
            Err(error) => {
                is_broken = true;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if is_broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn print(seed: u64, outcome: &Outcome) {
    let spells = outcome.faults.len();
    println!(
        "seed {seed}: {} broken, {spells} spells and changes, {:?}",
        outcome.broken.len(),
        outcome.ended
    );
    let mut attempts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for line in &outcome.failed_attempts {
        let (attempt, after_ms) = reason_and_time(line);
        attempts.entry(attempt).or_default().push(after_ms);
    }
    for (attempt, mut after_ms) in attempts {
        after_ms.sort_unstable();
        let count = after_ms.len();
        let median_ms = after_ms[count / 2];
        println!("  {count} attempts failed after {median_ms} ms at the median: {attempt}");
    }
    if !outcome.broken.is_empty() {
        println!("  spells:\n    {}", outcome.faults.join("\n    "));
        println!("  broken:\n    {}", outcome.broken.join("\n    "));
    }
}

/// What a log line says of why an attempt failed, and after how many milliseconds.
fn reason_and_time(line: &str) -> (String, u64) {
    let line: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
    let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
    let attempt = format!("{}, {}", text("reason"), text("detail"));
    (attempt, line["after_ms"].as_u64().unwrap_or(0))
}
