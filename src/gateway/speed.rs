//! The speed of upstreams: how it is learned from requests, and how many upstreams a load needs.
//!
//! `pace` learns the mean engine of a pool; `relative` learns how much slower or faster than its
//! pool one upstream is, from the sums (`sums`) that nodes exchange. `need` sizes a pool by both.

mod least_squares;
pub(crate) mod need;
pub(crate) mod pace;
pub(crate) mod relative;
pub(crate) mod sums;
