//! What the program does as a client of a node: operators' commands and callers' requests.

pub mod commands;
pub mod input;
