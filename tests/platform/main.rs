//! Nodes as real processes against stand-ins of the operators' platform.

mod answers;
mod calm;
mod configuration;
mod duties;
mod input;
mod leaving;
mod store;
mod support;
