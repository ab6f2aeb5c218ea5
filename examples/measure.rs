//! Measurements: `cargo run --release --example measure -- <experiment> [--seed N]`.
//!
//! Each experiment runs its sides in one run and prints one JSON line per side. To add one, write
//! `measure/<name>.rs` and name it in `measure/experiments.rs`.

#[path = "../tests/support/calling.rs"]
#[expect(
    dead_code,
    reason = "calls without a break are for the tests of planned stops"
)]
mod calling;
#[path = "../tests/support/deployment.rs"]
mod deployment;
#[path = "measure/experiments.rs"]
mod experiments;
#[path = "../tests/support/load.rs"]
mod load;
#[path = "../tests/support/runtimes.rs"]
#[expect(dead_code, reason = "some faults are for the tests only")]
mod runtimes;
#[path = "../tests/support/stage.rs"]
#[expect(dead_code, reason = "some faults are for the tests only")]
mod stage;
#[path = "../tests/support/streams.rs"]
mod streams;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use experiments::{Arguments, EXPERIMENTS, Experiment};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const SEED_DEFAULT: &str = "1";
const RUNS_DEFAULT: &str = "3";

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value(SEED_DEFAULT)
        .value_parser(value_parser!(u64))
        .help("The seed of the first run; each further run adds one to it.");
    let runs = Arg::new("runs")
        .long("runs")
        .value_name("N")
        .default_value(RUNS_DEFAULT)
        .value_parser(value_parser!(u32).range(1..))
        .help("How many runs the printed figures are taken over.");
    let experiments = EXPERIMENTS
        .iter()
        .map(|experiment| Command::new(experiment.name).about(experiment.about));
    Command::new("measure")
        .about("Measures teaselline against simple policies, and prints one JSON line per side.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(seed.global(true))
        .arg(runs.global(true))
        .subcommands(experiments)
}

fn chosen(matches: &ArgMatches) -> Option<(&'static Experiment, Arguments)> {
    let (name, matches) = matches.subcommand()?;
    let experiment = EXPERIMENTS.iter().find(|known| known.name == name)?;
    let arguments = Arguments {
        seed: *matches.get_one("seed")?,
        runs: *matches.get_one("runs")?,
    };
    Some((experiment, arguments))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((experiment, arguments)) = chosen(&matches) else {
        return ExitCode::FAILURE;
    };
    match (experiment.run)(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}
