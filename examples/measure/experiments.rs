//! The experiments, and what they have in common.

mod at_most_once;
mod config;
mod cost;
mod decisions;
mod fleet;
mod killer;
mod migrate;
mod one_pool;
mod overload;
mod path;
mod reclaim_wave;
mod report;
mod retry_storm;
mod slopes;
mod storms;
#[path = "../../tests/support/trial.rs"]
mod trial;

use std::path::PathBuf;

use crate::deployment;
use thiserror::Error;

/// Every experiment, by name.
pub const EXPERIMENTS: &[Experiment] = &[
    at_most_once::EXPERIMENT,
    config::EXPERIMENT,
    cost::EXPERIMENT,
    decisions::EXPERIMENT,
    killer::EXPERIMENT,
    overload::EXPERIMENT,
    retry_storm::EXPERIMENT,
    migrate::EXPERIMENT,
    path::EXPERIMENT,
    path::LATENCY,
    path::THROUGHPUT,
    path::MEMORY,
    slopes::EXPERIMENT,
    reclaim_wave::EXPERIMENT,
];

/// One experiment.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// One sentence about it.
    pub about: &'static str,
    /// Runs it and prints its lines.
    pub run: fn(&Arguments) -> Result<(), Failure>,
}

/// What an experiment is run with.
#[derive(Clone, Copy, Debug)]
pub struct Arguments {
    /// The seed of the first run.
    pub seed: u64,
    /// How many runs.
    pub runs: u32,
}

impl Arguments {
    /// The seeds of the runs.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        let first = self.seed;
        (0..u64::from(self.runs)).map(move |run| first.wrapping_add(run))
    }
}

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// Something that it reads or writes failed.
    #[error("an experiment's input or output failed")]
    Io(#[from] std::io::Error),
    /// The node's binary has not been built.
    #[error("there is no teaselline binary; build it with `cargo build --release`")]
    NoBinary,
    /// A node or a fleet does not get ready.
    #[error("the nodes do not get ready")]
    NotReady,
    /// Something ran twice, was lost or was wrong.
    #[error("a promise was broken; the messages above tell which")]
    PromiseBroken,
    /// A connection or a stream ended early.
    #[error("a connection broke or a stream was not whole")]
    Broken,
    /// A call was refused.
    #[error("a call was refused: {status} {body}")]
    Refused {
        /// The status line.
        status: String,
        /// The body.
        body: String,
    },
}

/// The binary that was built beside this example.
pub fn built_binary() -> Result<PathBuf, Failure> {
    let example = std::env::current_exe()?;
    let built = example.parent().and_then(|examples| examples.parent());
    let binary = built.map(|built| built.join("teaselline"));
    binary
        .filter(|binary| binary.is_file())
        .ok_or(Failure::NoBinary)
}
