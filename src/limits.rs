//! Shares per team, queues and deadlines.
//!
//! One [`Limits`] per pool decides which requests start, wait or are refused; [`Gate`] is the
//! asynchronous shell around it. Nodes exchange [`ShareReport`]s and each works out its own part of
//! the fleet's capacity from them. `docs/design/limits.md` gives the reasons.

pub mod admission;
pub mod gate;
pub mod queue;
pub mod report;
pub mod shares;
mod team;

pub use admission::{Limits, Wake};
pub use gate::{Gate, Pass};
pub use queue::Ticket;
pub use report::{ShareReport, Source, TeamTag, TeamUse};

use thiserror::Error;

use crate::document::checked::Team;
use crate::time::TimeMs;

/// What a team may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Names the team to other nodes, whatever revision of the document they have.
    pub tag: TeamTag,
    /// Its part of the capacity, relative to the other teams.
    pub weight: f64,
    /// Requests that it may have waiting over all nodes.
    pub max_waiting: u32,
}

impl From<&Team> for TeamLimit {
    fn from(team: &Team) -> Self {
        Self {
            tag: TeamTag::of(&team.name),
            weight: team.weight,
            max_waiting: team.max_waiting,
        }
    }
}

/// A request that asks to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmitAsk {
    /// Its team.
    pub team: TeamTag,
    /// 0 to 9, higher goes first; below [`admission::BATCH_BELOW`] it is batch work.
    pub priority: u8,
    /// How long it is expected to hold a slot.
    pub cost_ms: f64,
    /// The longest wait with which it is worth taking: the first-token target less the time that
    /// the first token takes.
    pub patience_ms: u64,
    /// It cannot end by its deadline if it starts later.
    pub latest_start_ms: TimeMs,
}

/// Whether a request starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It starts now and holds a slot until it is released.
    Run(Ticket),
    /// It waits; a [`Wake`] with its ticket follows.
    Wait {
        /// Names it.
        ticket: Ticket,
        /// How long it is expected to wait.
        expected_ms: u64,
    },
    /// It is refused, at once and before any work.
    Refuse(Refusal),
}

/// A request was refused before any work was done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason}; worth asking again in {retry_after_ms} ms")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth asking again.
    pub retry_after_ms: u64,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The wait would be longer than the request is worth.
    #[error("the team's queue is too long to answer in time")]
    TooLate,
    /// The team has as many requests waiting as it may.
    #[error("the team has too many requests waiting")]
    TooManyWaiting,
    /// The pool has no host that takes work.
    #[error("no upstream takes work")]
    NoCapacity,
    /// The configuration in force does not have the team.
    #[error("the team is not configured")]
    UnknownTeam,
}
