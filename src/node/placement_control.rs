//! Runs the placement controller for each failure domain whose lease this node holds.
//!
//! There is one lease for each failure domain. Its holder reads the current hosts and models
//! ([`placement_input`]), decides, translates the orders into acts ([`order_translation`]) and executes them ([`acts`]),
//! with a check of the lease before each. It also reports drains and refused starts to all nodes in
//! each round ([`placement_reports`]).

mod acts;
mod control;
mod controller_state;
mod demand;
mod order_translation;
mod orphaned_hosts;
mod placement_input;
mod placement_reports;
pub mod placement_state;
mod upstream_polling;

pub(super) use control::control;
pub use control::lease_name;
pub use placement_state::PlacementState;
pub(super) use upstream_polling::collect_states;
