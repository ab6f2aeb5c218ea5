//! Decides which requests of a pool start, wait or are refused at this node.

mod capacity;

use super::fair_order::VirtualTime;
use super::queue::{Ticket, Waiting};
use super::report::{DemandReport, PeerReports, ReportSource, TeamDemand, TeamTag};
use super::team::{Team, duration_as_f64};
use super::{Admission, AdmissionRequest, Refusal, RefusalReason, TeamLimit};
use crate::keys::PoolKey;
use crate::time::TimeMs;

/// Lowest priority of interactive requests; lower ones are batch work.
pub const MIN_INTERACTIVE_PRIORITY: u8 = 4;
/// Share of the slots that batch work leaves free, so that interactive requests start without a
/// wait.
const BATCH_HEADROOM: f64 = 0.05;
/// Virtual time by which a team's batch work can fall behind its share before it loses its lower
/// rank and is scheduled like interactive work.
const MAX_BATCH_LAG_MS: f64 = 2_000.0;
/// Smoothing factor of `Team::mean_hold_ms`: the weight of the newest request.
const HOLD_TIME_SMOOTHING: f64 = 0.05;
/// Bounds of the retry delay suggested to refused callers.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (100.0, 60_000.0);
/// Suggested retry delay when the pool has no capacity.
const NO_CAPACITY_RETRY_MS: u64 = 1_000;
/// The refusal of requests whose team is not configured.
const UNKNOWN_TEAM_REFUSAL: Refusal = Refusal {
    reason: RefusalReason::UnknownTeam,
    retry_after_ms: 60_000,
};

/// The end of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The request starts now and holds a slot until it is released.
    Run(Ticket),
    /// The request can no longer end in time, or its team was removed.
    Refuse(Ticket, Refusal),
}

/// Admission state of one pool at this node: its requests and this node's part of the capacity.
#[derive(Clone, Debug)]
pub struct AdmissionState {
    pool: PoolKey,
    capacity_slots: f64,
    // Sorted by tag.
    teams: Vec<Team>,
    peers: PeerReports,
    // Slots that this node can use: its parts of all teams' shares and of the unclaimed capacity.
    own_slots: f64,
    running: u32,
    // In milliseconds of this node's slots.
    virtual_time: VirtualTime,
    next_ticket: u64,
}

impl AdmissionState {
    /// Creates the state of a pool without capacity and teams.
    #[must_use]
    pub fn new(pool: PoolKey) -> Self {
        Self {
            pool,
            capacity_slots: 0.0,
            teams: Vec::new(),
            peers: PeerReports::default(),
            own_slots: 0.0,
            running: 0,
            virtual_time: VirtualTime::default(),
            next_ticket: 0,
        }
    }

    /// Sets the number of slots that the whole fleet has on the pool.
    pub fn set_capacity(&mut self, slots: f64, now: TimeMs) {
        self.capacity_slots = slots.max(0.0);
        self.recompute_shares(now);
    }

    /// Sets the teams of a new revision; teams with a known tag keep their state.
    ///
    /// Waiting requests of removed teams are refused; running ones run to their end but are no
    /// longer counted.
    pub fn set_teams(&mut self, limits: &[TeamLimit], now: TimeMs) -> Vec<WaitEnd> {
        let mut previous = std::mem::take(&mut self.teams);
        for limit in limits {
            let index = previous.iter().position(|team| team.limit.tag == limit.tag);
            let mut team =
                index.map_or_else(|| Team::new(*limit), |index| previous.swap_remove(index));
            team.limit = *limit;
            self.teams.push(team);
        }
        self.teams.sort_by_key(|team| team.limit.tag);
        let mut woken = Vec::new();
        for mut gone in previous {
            self.running = self.running.saturating_sub(gone.running);
            while let Some(waiting) = gone.queue.pop() {
                woken.push(WaitEnd::Refuse(waiting.ticket, UNKNOWN_TEAM_REFUSAL));
            }
        }
        self.recompute_shares(now);
        woken
    }

    /// Decides whether an arriving request starts, waits or is refused.
    ///
    /// A request that cannot be answered in time is refused at once rather than after its wait, so
    /// that its caller can go elsewhere. If the request waits, the caller must also call
    /// [`Self::admit_waiting`].
    pub fn admit(&mut self, request: AdmissionRequest, now: TimeMs) -> Admission {
        let Ok(index) = self.find_team(request.team) else {
            return Admission::Refuse(UNKNOWN_TEAM_REFUSAL);
        };
        let team = &mut self.teams[index];
        if team.mean_hold_ms <= 0.0 {
            team.mean_hold_ms = request.expected_hold_ms;
        }
        self.recompute_shares(now);
        let admission = self.decide(index, request, now);
        if matches!(admission, Admission::Refuse(_)) {
            self.teams[index].record_refusal(now);
        }
        admission
    }

    fn decide(&mut self, index: usize, request: AdmissionRequest, now: TimeMs) -> Admission {
        if self.capacity_slots <= 0.0 {
            return refuse(RefusalReason::NoCapacity, NO_CAPACITY_RETRY_MS);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.next_team().is_none() && self.has_room(request.priority < MIN_INTERACTIVE_PRIORITY)
        {
            self.set_start_tag(index);
            self.start(index, request);
            return Admission::Run(ticket);
        }
        let wait_ms = self.expected_wait_ms(index, request.priority);
        let patience_ms =
            duration_as_f64(request.max_wait_ms.min(now.until(request.latest_start_ms)));
        let room = self.teams[index].queue.len() < self.max_waiting(index);
        match room {
            _ if wait_ms > patience_ms => {
                refuse(RefusalReason::TooLate, retry_after(wait_ms - patience_ms))
            }
            false => refuse(RefusalReason::TooManyWaiting, retry_after(wait_ms)),
            true => {
                self.enqueue(index, Waiting { ticket, request });
                Admission::Wait {
                    ticket,
                    expected_ms: ceil_to_u64(wait_ms),
                }
            }
        }
    }

    /// Releases the slot of a request that has held it for `held_ms`.
    pub fn release(&mut self, team: TeamTag, priority: u8, held_ms: f64) {
        // `set_teams` may have removed the team and its requests since.
        if let Ok(index) = self.find_team(team) {
            let team = &mut self.teams[index];
            self.running = self.running.saturating_sub(1);
            team.running = team.running.saturating_sub(1);
            if priority >= MIN_INTERACTIVE_PRIORITY {
                team.running_interactive = team.running_interactive.saturating_sub(1);
            }
            team.mean_hold_ms += (held_ms - team.mean_hold_ms) * HOLD_TIME_SMOOTHING;
        }
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.teams.iter_mut().any(|team| team.queue.remove(ticket))
    }

    /// Starts the waiting requests that have a slot and refuses those past their latest start.
    ///
    /// Must be called after a release, a report and a change of capacity.
    pub fn admit_waiting(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        let mut woken = self.refuse_expired(now);
        self.recompute_shares(now);
        while let Some((index, next)) = self.pop_next() {
            self.start(index, next.request);
            woken.push(WaitEnd::Run(next.ticket));
            self.recompute_shares(now);
        }
        woken
    }

    /// Returns the demand report for the other nodes.
    #[must_use]
    pub fn report(&self) -> DemandReport {
        let mut report = DemandReport {
            nodes: 1,
            teams: Vec::new(),
        };
        for team in &self.teams {
            let demand = team.demand;
            if demand >= 0.5 {
                report.add(TeamDemand {
                    team: team.limit.tag,
                    pool: self.pool,
                    running: slots_to_f32(f64::from(team.running)),
                    demand: slots_to_f32(demand),
                });
            }
        }
        report
    }

    /// Stores the latest demand report of another node.
    pub fn merge(&mut self, from: ReportSource, report: DemandReport, now: TimeMs) {
        self.peers.put(from, report, now);
    }

    /// Removes the report of a node that has left, so that the others take over its part
    /// immediately.
    pub fn remove_source(&mut self, from: ReportSource) {
        self.peers.remove(from);
    }

    /// Returns the numbers of running and of waiting requests at this node.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        let waiting = self.teams.iter().map(|team| team.queue.len()).sum();
        (self.running, waiting)
    }

    fn refuse_expired(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        let mut woken = Vec::new();
        for team in &mut self.teams {
            let refusal = Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: retry_after(team.mean_hold_ms),
            };
            let mut expired = 0;
            team.queue.drain_expired(now, |waiting| {
                expired += 1;
                woken.push(WaitEnd::Refuse(waiting.ticket, refusal));
            });
            (0..expired).for_each(|_| team.record_refusal(now));
        }
        woken
    }

    fn find_team(&self, team: TeamTag) -> Result<usize, usize> {
        self.teams
            .binary_search_by_key(&team, |entry| entry.limit.tag)
    }

    fn enqueue(&mut self, index: usize, waiting: Waiting) {
        self.set_start_tag(index);
        self.teams[index].queue.push(waiting);
    }

    /// Sets the start tag of a team's next request, if none is waiting.
    fn set_start_tag(&mut self, index: usize) {
        let team = &mut self.teams[index];
        if team.queue.is_empty() {
            team.flow.activate(self.virtual_time);
        }
    }

    /// Charges a request to its team, by start-time fair queueing weighted by the teams' slots.
    fn start(&mut self, index: usize, request: AdmissionRequest) {
        let team = &mut self.teams[index];
        let work_ms = request.expected_hold_ms;
        (team.flow).charge(&mut self.virtual_time, work_ms, team.entitled_slots);
        team.running += 1;
        team.running_interactive += u32::from(request.priority >= MIN_INTERACTIVE_PRIORITY);
        self.running += 1;
    }

    /// Returns whether a slot is free for one more request.
    ///
    /// A deferrable request must leave the headroom of [`BATCH_HEADROOM`] free.
    fn has_room(&self, is_deferrable: bool) -> bool {
        let reserved_slots = if is_deferrable {
            (self.own_slots * BATCH_HEADROOM).floor()
        } else {
            0.0
        };
        f64::from(self.running) < self.own_slots - reserved_slots
    }

    /// Returns the index of the team whose request starts next.
    ///
    /// Teams below their share come before teams that would use spare capacity. Among them,
    /// interactive requests come first, unless a team's batch work is too far behind; then the team
    /// with the smallest start tag.
    fn next_team(&self) -> Option<usize> {
        let heads = self.teams.iter().enumerate().filter_map(|(index, team)| {
            let head = team.queue.head()?;
            let behind_ms = team.flow.lag(self.virtual_time);
            let is_deferrable =
                head.request.priority < MIN_INTERACTIVE_PRIORITY && behind_ms < MAX_BATCH_LAG_MS;
            let is_above_share = f64::from(team.running) >= team.entitled_slots.max(1.0);
            let room = self.has_room(is_deferrable);
            room.then_some((
                (is_above_share, is_deferrable),
                team.flow.start_tag(),
                index,
            ))
        });
        let next = heads.min_by(|left, right| {
            let group = left.0.cmp(&right.0);
            group.then(left.1.total_cmp(&right.1))
        });
        next.map(|(_, _, index)| index)
    }

    fn pop_next(&mut self) -> Option<(usize, Waiting)> {
        let index = self.next_team()?;
        let next = self.teams[index].queue.pop()?;
        Some((index, next))
    }
}

fn refuse(reason: RefusalReason, retry_after_ms: u64) -> Admission {
    Admission::Refuse(Refusal {
        reason,
        retry_after_ms,
    })
}

fn retry_after(wait_ms: f64) -> u64 {
    ceil_to_u64(wait_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32 first"
)]
fn ceil_to_u64(value: f64) -> u64 {
    u64::from(value.ceil().clamp(0.0, f64::from(u32::MAX)) as u32)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a count of slots needs no more digits than f32 has"
)]
fn slots_to_f32(slots: f64) -> f32 {
    slots as f32
}

#[cfg(test)]
mod tests;
