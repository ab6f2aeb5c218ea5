//! Clients of the platform's log, host list, cloud API and weight store.
//!
//! Each outside system stands behind a small trait with an HTTP client; what is kept in the log is
//! read by folds, which are pure: records in, state out.

pub mod backoff;
pub mod budget;
pub mod claims;
pub mod cloud;
pub mod configuration;
#[doc(hidden)]
pub mod fakes;
pub mod flight;
pub mod follower;
pub mod http;
pub mod leases;
pub mod log;
pub mod rendezvous;
pub mod weights;
pub mod writer;
