//! teaselline serves language models on reclaimable hosts.
//!
//! Collecting and deciding are kept apart: collectors (`coordination`, `upstreams`, `membership`,
//! `peers`) fill the [`blackboard`], controllers read it and decide with pure functions that take
//! the present time as an argument, and thin shells carry the decisions out. `docs/design/README.md`
//! maps each matter to the file that decides it.

pub mod audit;
pub mod blackboard;
pub mod client;
pub mod console;
pub mod coordination;
pub mod document;
pub mod entry;
pub mod gateway;
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
pub mod retries;
pub mod routing;
pub mod telemetry;
pub mod time;
pub mod upstreams;
