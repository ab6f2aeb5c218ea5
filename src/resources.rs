//! What callers may hold of the memory and the descriptors of a node's host, and who goes when it is full.
//!
//! Callers are not trusted to stay within limits together, even if each does alone: whole requests and parts of
//! them are charged to one account as their bytes arrive. When it is full, the request that has been arriving the
//! longest goes. A request of an ordinary caller arrives within moments and passes, whatever stands still beside it.

mod accepting;
mod account;
mod arrival;
mod ledger;
mod linger;
mod log_pace;
mod shares;

pub(crate) use self::accepting::Accepting;
pub(crate) use self::account::{CallerAccount, Evicted, Place};
pub(crate) use self::arrival::{ArrivalError, hold_whole, read_body};
pub(crate) use self::linger::{LingeringSocket, UnreadBody};
pub(crate) use self::shares::{CallerShares, HostLimits};
