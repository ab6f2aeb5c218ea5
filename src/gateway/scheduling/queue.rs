//! The requests that wait at this node for an engine with little to read.
//!
//! Teams start in the order of start-time fair queueing, a team's requests by urgency. A request
//! leaves the queue at the latest when it could no longer be answered in time.

use super::demand::Kind;
use super::room::Room;
use crate::gateway::num;
use crate::limits::TeamTag;
use crate::limits::fair_order::{Flow, VirtualTime};
use crate::limits::queue::{Queue, Queueable, Ticket, Waiting};
use crate::time::TimeMs;

/// Bound on the requests that wait at one node for one pool.
const MAX_WAITING: u32 = 1_024;

/// Priority of requests that cannot meet their target; the others have a higher one.
const DEFERRED_PRIORITY: u8 = 0;

/// Priority of the most urgent requests.
const TOP_PRIORITY: u8 = 9;

/// A request that is to be started on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    pub kind: Kind,
    /// Prompt tokens that an engine has to prefill.
    pub tokens: f64,
    /// Expected time to the first token at an engine that has nothing else to read.
    pub idle_ms: f64,
    /// Expected time to the first token at the engine that would be chosen now.
    pub expected_ms: f64,
    /// Until when the first token meets the route's target.
    pub target_at: TimeMs,
    /// Until when an answer is of use to the caller.
    pub deadline: TimeMs,
    /// Uniformly distributed over all values of `u64`, and new for each attempt of the caller.
    pub draw: u64,
}

impl Arrival {
    /// Whether the request misses its target even at an idle engine.
    pub fn is_deferred(&self, now: TimeMs) -> bool {
        num::to_f64(now.until(self.target_at)) < self.idle_ms
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrival: Arrival,
    is_deferred: bool,
    since: TimeMs,
}

impl Waiter {
    /// Returns until when the first token has to arrive.
    fn due_at(&self) -> TimeMs {
        if self.is_deferred {
            self.arrival.deadline
        } else {
            self.arrival.target_at.min(self.arrival.deadline)
        }
    }
}

impl Queueable for Waiter {
    fn priority(&self) -> u8 {
        if self.is_deferred {
            DEFERRED_PRIORITY
        } else {
            (TOP_PRIORITY.saturating_sub(self.arrival.kind.urgency)).max(DEFERRED_PRIORITY + 1)
        }
    }

    fn latest_start(&self) -> TimeMs {
        let idle_ms = num::round_to_u64(self.arrival.idle_ms);
        TimeMs(self.due_at().0.saturating_sub(idle_ms))
    }
}

/// Why a request is refused while its pool is short of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reason {
    /// The requests of its kind that start are as many as the kind's share allows.
    OverShare,
    /// It could not be answered in time.
    TooLate,
    /// The queue is full.
    QueueFull,
    /// The node is stopping.
    Stopping,
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WaitEnd {
    pub ticket: Ticket,
    pub waited_ms: u64,
    /// `Ok` if the request is to be sent now.
    pub result: Result<(), Reason>,
}

#[derive(Clone, Debug)]
struct TeamQueue {
    team: TeamTag,
    flow: Flow,
    waiting: Queue<Waiter>,
}

/// The waiting requests of one pool at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeQueue {
    /// Sorted by team.
    teams: Vec<TeamQueue>,
    virtual_time: VirtualTime,
    next_ticket: u64,
}

impl Reason {
    /// Returns the reason as it appears in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::TooLate => "not_in_time",
            Self::QueueFull => "queue_full",
            Self::Stopping => "stopping",
        }
    }
}

impl NodeQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> u32 {
        self.teams.iter().map(|team| team.waiting.len()).sum()
    }

    /// Decides whether a request starts at once (`Ok(None)`) or waits.
    ///
    /// # Errors
    ///
    /// The reason why it can neither start in time nor wait.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        room: &Room,
        target_ms: f64,
        now: TimeMs,
    ) -> Result<Option<Ticket>, Reason> {
        let waiter = Waiter {
            arrival,
            is_deferred: arrival.is_deferred(now),
            since: now,
        };
        let left_ms = num::to_f64(now.until(waiter.due_at()));
        let is_first = self.len() == 0;
        let wait_ms = room.until_start_ms(target_ms);
        match waiter.is_deferred {
            _ if arrival.expected_ms.max(wait_ms + arrival.idle_ms) > left_ms => {
                Err(Reason::TooLate)
            }
            false if is_first && wait_ms <= 0.0 => {
                self.charge(&arrival);
                Ok(None)
            }
            _ if self.len() >= MAX_WAITING => Err(Reason::QueueFull),
            _ => Ok(Some(self.push(waiter))),
        }
    }

    /// Starts the waiting requests that an engine has room for, and ends the wait of those that
    /// could no longer be answered in time.
    pub fn poll(&mut self, room: &mut Room, target_ms: f64, now: TimeMs) -> Vec<WaitEnd> {
        let mut ended = self.remove_late(now);
        while room.admits_start(target_ms)
            && let Some(waiting) = self.pop_next()
        {
            let arrival = waiting.request.arrival;
            let left_ms = num::to_f64(now.until(waiting.request.due_at()));
            let is_in_time = room.least_backlog_ms + arrival.idle_ms <= left_ms;
            if is_in_time {
                self.charge(&arrival);
                *room = room.after_start(arrival.tokens);
            }
            ended.push(WaitEnd {
                ticket: waiting.ticket,
                waited_ms: now.since(waiting.request.since),
                result: is_in_time.then_some(()).ok_or(Reason::TooLate),
            });
        }
        self.remove_idle_teams();
        ended
    }

    /// Ends all waits, because the node is stopping or the pool is no longer short.
    pub fn drain(&mut self, result: Result<(), Reason>, now: TimeMs) -> Vec<WaitEnd> {
        let mut ended = Vec::new();
        while let Some(waiting) = self.pop_next() {
            ended.push(WaitEnd {
                ticket: waiting.ticket,
                waited_ms: now.since(waiting.request.since),
                result,
            });
        }
        self.teams.clear();
        ended
    }

    /// Removes a request whose caller has left; returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        (self.teams.iter_mut()).any(|team| team.waiting.remove(ticket))
    }

    /// Returns the number of a team's waiting requests.
    pub fn waiting_of(&self, team: TeamTag) -> u32 {
        let found = self.teams.binary_search_by_key(&team, |entry| entry.team);
        found.map_or(0, |index| self.teams[index].waiting.len())
    }

    fn push(&mut self, waiter: Waiter) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let virtual_time = self.virtual_time;
        let team = self.team_mut(waiter.arrival.kind.team);
        if team.waiting.is_empty() {
            team.flow.activate(virtual_time);
        }
        team.waiting.push(Waiting {
            ticket,
            request: waiter,
        });
        ticket
    }

    /// Charges a request that starts to its team.
    fn charge(&mut self, arrival: &Arrival) {
        let mut virtual_time = self.virtual_time;
        let team = self.team_mut(arrival.kind.team);
        if team.waiting.is_empty() {
            team.flow.activate(virtual_time);
        }
        // Shares by weight are kept by the fractions of the kinds; the queue orders equals.
        team.flow.charge(&mut virtual_time, arrival.tokens, 1.0);
        self.virtual_time = virtual_time;
    }

    /// Removes and returns the request that starts next: one that can meet its target before one
    /// that cannot, then that of the team with the smallest start tag.
    fn pop_next(&mut self) -> Option<Waiting<Waiter>> {
        let heads = self.teams.iter_mut().filter_map(|team| {
            let is_deferred = team.waiting.head()?.request.is_deferred;
            Some((is_deferred, team.flow.start_tag(), team))
        });
        let next = heads.min_by(|left, right| {
            let class = left.0.cmp(&right.0);
            class.then(left.1.total_cmp(&right.1))
        });
        next.and_then(|(_is_deferred, _start_tag, team)| team.waiting.pop())
    }

    fn remove_late(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        let mut ended = Vec::new();
        for team in &mut self.teams {
            team.waiting.drain_expired(now, |waiting| {
                ended.push(WaitEnd {
                    ticket: waiting.ticket,
                    waited_ms: now.since(waiting.request.since),
                    result: Err(Reason::TooLate),
                });
            });
        }
        ended
    }

    /// Forgets teams that wait for nothing and whose debt of started work is over.
    fn remove_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|team| !team.waiting.is_empty() || team.flow.lag(virtual_time) < 0.0);
    }

    fn team_mut(&mut self, team: TeamTag) -> &mut TeamQueue {
        let found = self.teams.binary_search_by_key(&team, |entry| entry.team);
        let index = found.unwrap_or_else(|index| {
            let entry = TeamQueue {
                team,
                flow: Flow::default(),
                waiting: Queue::default(),
            };
            self.teams.insert(index, entry);
            index
        });
        &mut self.teams[index]
    }
}
