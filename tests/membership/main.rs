//! Membership in simulated time: the protocol as a whole, without sockets or clocks.

mod faults;
mod network;
mod scale;
