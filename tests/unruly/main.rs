//! Callers that do not behave: nodes as processes with lowered limits, and a crowd at each listener that callers reach.
//!
//! The tests run one at a time. They check what does not depend on the machine's speed: that the process lives, that its
//! memory and its sockets stay within its settings, and that an ordinary request is answered beside the crowd.

#[path = "../support/deployment.rs"]
#[expect(dead_code, reason = "nodes run in processes of their own here")]
mod deployment;
#[path = "../support/fleet.rs"]
#[expect(dead_code, reason = "other tests restart nodes and read their logs")]
mod fleet;
#[path = "../support/process.rs"]
#[expect(dead_code, reason = "other tests stop, pause and cut off nodes")]
mod process;
#[path = "../support/trial.rs"]
#[expect(dead_code, reason = "other tests use all teams and services")]
mod trial;

mod bodies;
mod connections;
mod heads;
mod served_bodies;
mod served_connections;
mod served_http2;
mod streams;
mod support;

/// The nodes' binary.
const BINARY: &str = env!("CARGO_BIN_EXE_teaselline");
