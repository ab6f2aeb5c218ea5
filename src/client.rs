//! Client of nodes: operators' commands and callers' requests.
//!
//! [`Caller`] sends one request and retries or resumes it until it ends. [`policy`] decides the next
//! step after each event and does no I/O; [`entries`] selects the node for each attempt.

pub mod call;
pub mod caller;
pub mod commands;
pub mod entries;
pub mod events;
pub mod http;
pub mod input;
pub mod operator;
pub mod policy;
mod reading;
#[cfg(test)]
mod scripted;
pub mod table;
pub mod wire;

pub use call::{Call, CallContent};
pub use caller::{CallReport, Caller};
pub use operator::Operator;
pub use policy::End;
