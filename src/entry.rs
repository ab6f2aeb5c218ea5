//! The callers' HTTP interface.
//!
//! [`accept`] serves connections within bounds and ends them gracefully; [`routes`] names the
//! calls; the other modules each answer one kind of call.

pub mod accept;
mod audit;
mod authorize;
mod bodies;
mod completions;
mod connection;
mod console;
mod entries;
mod keyed;
mod operators;
mod refusal;
pub mod routes;
mod services;
mod sse;
mod state;
mod time;

pub use accept::{Bounds, serve};
