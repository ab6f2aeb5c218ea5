//! Admission control: team shares, queues and deadlines.
//!
//! One [`AdmissionState`] per pool decides which requests start, wait or are refused; [`Gate`] is its
//! asynchronous interface. Nodes exchange [`DemandReport`]s, from which each computes its own part
//! of the fleet's capacity. `docs/design/limits.md` gives the reasons.

pub mod admission;
pub mod fair_order;
pub mod gate;
pub mod queue;
pub mod report;
pub mod shares;
mod team;

pub use admission::{AdmissionState, WaitEnd};
pub use gate::{Gate, Permit};
pub use queue::Ticket;
pub use report::{DemandReport, ReportSource, TeamDemand, TeamTag};

use thiserror::Error;

use crate::document::checked::Team;
use crate::time::TimeMs;

/// The limits of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Identifies the team on all nodes, independent of the document revision that they use.
    pub tag: TeamTag,
    /// Weight of the team's share of the capacity, relative to the other teams.
    pub weight: f64,
    /// Maximum number of waiting requests over all nodes.
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

/// A request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The team that the request belongs to.
    pub team: TeamTag,
    /// Priority from 0 to 9, higher first; below [`admission::MIN_INTERACTIVE_PRIORITY`] the
    /// request is batch work.
    pub priority: u8,
    /// Expected time that the request holds a slot.
    pub expected_hold_ms: f64,
    /// Longest acceptable wait: the target for the first token minus the time that the first token
    /// takes.
    pub max_wait_ms: u64,
    /// Latest start with which the request can still end by its deadline.
    pub latest_start_ms: TimeMs,
}

/// The result of asking for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request starts now and holds a slot until it is released.
    Run(Ticket),
    /// The request waits; a [`WaitEnd`] with its ticket follows.
    Wait {
        /// Identifies the waiting request.
        ticket: Ticket,
        /// Expected wait.
        expected_ms: u64,
    },
    /// The request is refused before any work is done for it.
    Refuse(Refusal),
}

/// The error of a request that is refused before any work is done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason}; retry in {retry_after_ms} ms")]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Suggested delay before the next attempt.
    pub retry_after_ms: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The expected wait exceeds the longest acceptable wait, or the latest start has passed.
    #[error("the expected wait exceeds the request's limit")]
    TooLate,
    /// The team's number of waiting requests has reached its limit.
    #[error("the team has too many requests waiting")]
    TooManyWaiting,
    /// The pool has no host that accepts requests.
    #[error("no upstream accepts requests")]
    NoCapacity,
    /// The configuration in force does not contain the team.
    #[error("the team is not configured")]
    UnknownTeam,
}
