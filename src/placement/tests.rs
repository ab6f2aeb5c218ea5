//! Tests of placement.

mod demands;
mod failures;
mod mixes;
mod purchases;
mod world;
