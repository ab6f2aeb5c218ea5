//! The speed of upstreams: how it is learned from requests, and how many upstreams a load needs.

mod least_squares;
pub(crate) mod need;
pub(crate) mod pace;
