//! Drives the real binary, in processes behind fault proxies, against stand-ins.

#[path = "../support/at_most_once.rs"]
mod at_most_once;
#[path = "../support/deployment.rs"]
#[expect(dead_code, reason = "nodes run in processes of their own here")]
mod deployment;
#[path = "../support/fleet.rs"]
mod fleet;
#[path = "../support/process.rs"]
#[expect(dead_code, reason = "tests of crowds read what a process uses")]
mod process;
#[path = "../support/schedules.rs"]
mod schedules;
#[path = "../support/storm.rs"]
mod storm;
#[path = "../support/trial.rs"]
mod trial;

mod bodies;
mod crashes;
mod ids;
mod keys;
mod partitions;
mod reconfigured;
mod refusals;
mod resends;
mod silences;
mod stops;
mod streams;

/// The nodes' binary.
const BINARY: &str = env!("CARGO_BIN_EXE_teaselline");
