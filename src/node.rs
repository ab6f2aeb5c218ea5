//! Wires the parts of one node together and runs it.

pub mod messages;
