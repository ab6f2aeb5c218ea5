//! What the program does as a client of nodes: operators' commands and callers' requests.
//!
//! [`Caller`] sends one request and sees it to its end. What it does next after each event is
//! decided by [`policy`], which does no I/O; which node it asks is decided by [`entries`].

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
pub use caller::{Caller, Report};
pub use operator::Operator;
pub use policy::End;
