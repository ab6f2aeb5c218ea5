//! Runs the placement controller for each failure domain whose lease this node holds.
//!
//! There is one lease for each failure domain. Its holder reads the current hosts and models
//! ([`scene`]), decides, translates the orders into acts ([`orders`]) and executes them ([`acts`]),
//! with a check of the lease before each. It also reports drains and refused starts to all nodes in
//! each round ([`news`]).

mod acts;
pub mod book;
mod control;
mod demand;
mod memory;
mod news;
mod orders;
mod scene;
mod states;
mod strangers;

pub use book::PlacementState;
pub(super) use control::control;
pub use control::lease_name;
pub(super) use states::collect_states;
