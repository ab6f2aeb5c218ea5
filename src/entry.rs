//! The HTTP interface for callers and operators.
//!
//! [`accept`] serves connections within limits and shuts them down gracefully; [`routes`] maps
//! paths to handlers; each other handler module implements one group of endpoints.

pub mod accept;
mod audit;
mod authorize;
mod caller;
mod completions;
mod connection;
mod console;
mod entries;
mod keyed;
mod operators;
mod parsing;
mod refusal;
pub mod routes;
mod services;
mod sse;
mod state;
mod time;

pub use accept::{HttpLimits, serve};
