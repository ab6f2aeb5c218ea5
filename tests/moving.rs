//! Streams are moved off hosts and nodes that go away, and nothing of them is lost.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/load.rs"]
#[expect(dead_code, reason = "the mixed load is for other tests")]
mod load;
#[path = "support/streams.rs"]
mod streams;

#[path = "moving/trial.rs"]
mod trial;
#[path = "moving/waves.rs"]
mod waves;
