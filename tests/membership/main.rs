//! The whole membership protocol in simulated time, without sockets or clocks.

mod faults;
mod network;
mod scale;
