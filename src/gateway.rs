//! The gateway role, which forwards callers' requests to upstreams on the operators' platform.
//!
//! All nodes have the same role and keep nothing on disk. State that must be durable or agreed on
//! is written to the platform's store; state that only has to spread quickly is sent to peers in
//! datagrams. Decisions are pure functions of the node's state and the present time: `state` holds
//! the state, collectors (`follow`, `gossip`) update it, and `exchange` and `duties` act on it.

mod allowance;
mod announcements;
mod budget;
mod by_pool;
pub(crate) mod call;
pub(crate) mod catalog;
mod channels;
mod choose;
mod clock;
mod confirm;
mod contact;
mod demand;
mod directory;
mod duties;
mod events;
mod exchange;
mod fit;
mod follow;
mod gauges;
mod gossip;
mod handover;
mod health;
mod in_force;
mod inbound;
mod info;
mod intake;
mod labels;
mod lease;
mod need;
pub(crate) mod num;
mod ordering;
mod pace;
mod patience;
mod peers;
pub(crate) mod place;
mod prefixes;
mod questions;
mod quota;
mod rank;
mod recent;
mod refusal;
pub(crate) mod rest;
mod rolling;
pub(crate) mod rollout;
mod rollouts;
mod run;
pub(crate) mod settings;
pub(crate) mod sizing;
mod snapshot;
mod sources;
mod state;
mod stopping;
mod strikes;
pub(crate) mod throttle;
mod upkeep;
pub(crate) mod upstreams;
pub(crate) mod usage;
mod verdict;
mod view;

pub use run::{GatewayError, run};
