//! Holds the hosts and models that `placement` decides on, wherever this node holds the lease.
//!
//! There is one lease for each failure domain. Its holder reads what is held ([`scene`]), decides,
//! puts the orders into acts ([`orders`]) and carries them out ([`acts`]), asking for the lease
//! before each. What is to be known everywhere goes to all nodes with each round ([`news`]).

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

pub use book::PlacementBook;
pub(super) use control::control;
pub use control::lease_name;
pub(super) use states::collect_states;
