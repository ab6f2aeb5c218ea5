//! The gateway role, which forwards callers' requests to upstreams on the operators' platform.
//!
//! All nodes have the same role and keep nothing on disk. State that must be durable or agreed on
//! is written to the platform's store; state that only has to spread quickly is sent to peers in
//! datagrams. Decisions are pure functions of the node's state and the present time: `state` holds
//! the state, collectors (`configuration_sync`, `gossip`) update it, and `exchange` and `duties` act on it.

mod active_configuration;
mod announcements;
mod attempt_timeouts;
mod bandwidth;
mod caller_connection;
mod caller_listener;
mod caller_socket;
mod caller_timeouts;
pub(crate) mod catalog;
mod choose;
mod clock;
mod configuration;
mod configuration_sync;
mod confirmation;
mod connections;
mod crashes;
mod demand;
mod directory;
mod durations;
mod duties;
mod endpoints;
mod events;
mod exchange;
mod forwarding;
mod fragments;
mod gauges;
mod gossip;
mod groups;
mod handover;
mod health;
mod lease;
pub(crate) mod limits;
pub(crate) mod log_position;
mod messages;
pub(crate) mod num;
mod patience;
mod peer_queries;
mod peers;
mod pool_map;
mod prefixes;
mod provisioning;
mod rank;
mod reach;
mod reach_probe;
mod recent_changes;
mod refusal;
mod relay;
pub(crate) mod request_head;
pub(crate) mod rollout;
mod rollout_decisions;
mod rollouts;
mod route_labels;
mod run;
mod scheduling;
pub(crate) mod settings;
mod shutdown;
pub(crate) mod sizing;
mod snapshot;
mod sources;
mod speed;
mod state;
mod store_contact;
mod streams;
pub(crate) mod upstreams;
pub(crate) mod usage;
mod verdict;
mod view;
mod view_refresh;

pub use run::{GatewayError, run};
