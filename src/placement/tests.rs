//! Tests of placement decisions.

mod demands;
mod failures;
mod mixes;
mod purchases;
mod simulated_cloud;
