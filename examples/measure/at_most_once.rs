//! Calls that are sent again to other nodes while nodes are killed, paused and cut off.
//!
//! Each run is one seeded schedule of faults over a fleet of real processes. Callers of the one side
//! send a call again under its id or key; those of the baseline have another node run it again, as
//! a balancer with retries does. What callers were told is compared with what ran.

#[path = "../../tests/support/at_most_once.rs"]
mod check;
#[path = "../../tests/support/fleet.rs"]
#[expect(dead_code, reason = "some of it is for single tests")]
mod fleet;
#[path = "../../tests/support/process.rs"]
#[expect(dead_code, reason = "some of it is for single tests")]
mod process;
#[path = "../../tests/support/schedules.rs"]
mod schedules;
#[path = "../../tests/support/storm.rs"]
mod storm;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use self::check::Tally;
use self::storm::Manner;
use super::report::Line;
use super::{Arguments, Experiment, Failure, built_binary, deployment, trial};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "at-most-once",
    about: "What becomes of calls that are sent again while nodes fail; one run is one schedule.",
    run,
};

/// Schedules that run at the same time, each with a fleet of its own.
const AT_ONCE: usize = 4;

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let binary = built_binary()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let sides = [
        ("baseline", Manner::RunAgain),
        ("teaselline", Manner::SameId),
    ];
    let mut kept = true;
    for (side, manner) in sides {
        let tally = runtime.block_on(run_side(&binary, arguments, manner))?;
        print(side, arguments, &tally)?;
        kept = manner == Manner::RunAgain || !tally.is_broken();
        let faults = tally.faults.iter().filter(|_| !kept);
        faults.for_each(|fault| eprintln!("{fault}"));
    }
    if kept {
        Ok(())
    } else {
        Err(Failure::PromiseBroken)
    }
}

async fn run_side(binary: &Path, arguments: &Arguments, manner: Manner) -> io::Result<Tally> {
    let permits = Arc::new(Semaphore::new(AT_ONCE));
    let mut running = JoinSet::new();
    for seed in arguments.seeds() {
        let (permits, binary) = (Arc::clone(&permits), PathBuf::from(binary));
        running.spawn(async move {
            let _permit = permits.acquire_owned().await;
            check::run(&binary, seed, manner).await
        });
    }
    let mut sum = Tally::default();
    while let Some(tally) = running.join_next().await {
        sum.add(tally.map_err(io::Error::other)??);
    }
    Ok(sum)
}

fn print(side: &str, arguments: &Arguments, tally: &Tally) -> io::Result<()> {
    let counts = serde_json::to_value(tally).map_err(io::Error::other)?;
    let counts = counts.as_object().into_iter().flatten();
    let line = Line::new("at-most-once", side)
        .with("seed", arguments.seed)
        .with("schedules", arguments.runs);
    let line = counts.fold(line, |line, (name, count)| line.with(name, count.clone()));
    line.print()
}
