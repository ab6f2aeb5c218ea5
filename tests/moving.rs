//! Migration of streams off reclaimed hosts, stopped nodes and crashed nodes without losses.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/calling.rs"]
mod calling;
#[path = "support/deployment.rs"]
#[expect(
    dead_code,
    reason = "these tests start each node in a runtime of its own"
)]
mod deployment;
#[path = "support/load.rs"]
mod load;
#[path = "support/runtimes.rs"]
mod runtimes;
#[path = "support/stage.rs"]
mod stage;
#[path = "support/streams.rs"]
mod streams;

#[path = "moving/crashes.rs"]
mod crashes;
#[path = "moving/leaving.rs"]
mod leaving;
#[path = "moving/stops.rs"]
mod stops;
#[path = "moving/trial.rs"]
mod trial;
#[path = "moving/waves.rs"]
mod waves;
