//! teaselline serves language models on reclaimable hosts.
//!
//! State collection is separate from decisions: collectors (`coordination`, `upstreams`,
//! `membership`, `peers`) write to the [`blackboard`], controllers read it and decide with pure
//! functions that take the current time as an argument, and thin I/O layers execute the decisions.
//! `docs/design/README.md` lists the file that makes each decision.

pub mod audit;
pub mod blackboard;
pub mod client;
pub mod console;
pub mod coordination;
pub mod document;
pub mod entry;
mod event_boundary;
mod fair_body;
pub mod gateway;
mod head_limit;
mod in_flight;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod node;
pub mod options;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod reclaim;
pub mod requests;
mod resources;
pub mod retries;
pub mod routing;
pub mod telemetry;
pub mod time;
pub mod upstreams;
