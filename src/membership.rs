//! Which nodes there are and which of them are suspected.
//!
//! [`View`] is the whole protocol as a state machine without I/O: datagrams and the present time
//! go in, datagrams and events come out. [`Membership`] runs one on a UDP socket.
//!
//! Each node sends heartbeats to its watchers: all others in a small fleet, else a few of its own
//! failure domain and a few outside it, picked by rendezvous hashing so that all nodes pick alike.
//! A watcher that misses heartbeats asks, directly and through others, before it suspects. What
//! changes travels on heartbeats, and nodes compare their views at random now and then.
//!
//! Suspicion only steers. Nothing here may decide whether a request is run again.

mod choose;
mod links;
mod member;
mod merge;
mod settings;
mod shell;
mod sync;
mod updates;
mod view;
mod watch;
mod wire;

pub use choose::Entry;
pub use member::{Member, MemberLoad, MemberState};
pub use settings::Settings;
pub use shell::Membership;
pub use view::{Datagram, Event, Output, RowTooLarge, View};
pub use wire::{MAX_DATAGRAM_BYTES, WireError};
