//! Membership and failure detection of the fleet.
//!
//! [`View`] implements the protocol as a state machine without I/O: its inputs are datagrams and
//! the current time, its outputs datagrams and events. [`Membership`] runs a view on a UDP socket.
//!
//! Each node sends heartbeats to its watchers: all other nodes of a small fleet, otherwise a few
//! nodes of its own failure domain and a few of other domains, selected by rendezvous hashing so
//! that all nodes compute the same watchers. A watcher that misses heartbeats probes the node
//! directly and through other nodes before it suspects it. State changes are piggybacked on
//! heartbeats, and anti-entropy compares the views of randomly selected pairs of nodes.
//!
//! Suspicion is a routing hint only: it must never decide whether a request is executed again.

mod failure_detection;
mod member;
mod merge;
mod runner;
mod selection;
mod settings;
mod sync;
mod update_queue;
mod view;
mod watcher_selection;
mod wire;

pub use member::{Member, MemberLoad, MemberState};
pub use runner::Membership;
pub use selection::Entry;
pub use settings::Settings;
pub use view::{Datagram, Event, Output, RowTooLarge, View};
pub use wire::{MAX_DATAGRAM_BYTES, WireError};
