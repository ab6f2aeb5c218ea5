//! Clients of the platform's log, host list, cloud API and weight store.
//!
//! Each external system is accessed through a small trait with an HTTP implementation. State in the
//! log is computed by folds, which are pure functions of the records.

pub mod backoff;
pub mod budget;
pub mod call_retry;
pub mod claims;
pub mod cloud;
pub mod configuration;
#[doc(hidden)]
pub mod fakes;
pub mod follower;
pub mod http;
pub mod leases;
pub mod log;
pub mod rendezvous;
pub mod weight_store;
pub mod writer;
