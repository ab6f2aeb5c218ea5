//! Tests of the stand-ins over their protocols.

mod client;
mod cloud;
mod engine;
mod log;
mod proxy;
mod service;
mod site;
