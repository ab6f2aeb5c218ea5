//! Which requests of a pool start, wait or are refused at this node.

use super::queue::{Ticket, Waiting};
use super::report::{PeerReports, ShareReport, Source, TeamTag, TeamUse};
use super::shares::{Claim, split};
use super::team::{LEAST_SLOTS, Team, lossy};
use super::{Admission, AdmitAsk, Refusal, RefusalReason, TeamLimit};
use crate::keys::PoolKey;
use crate::time::TimeMs;

/// Requests with a lower priority are batch work.
pub const BATCH_BELOW: u8 = 4;
/// Part of the slots that batch work leaves free, so that interactive work finds one at once.
const BATCH_HEADROOM: f64 = 0.05;
/// How far a team's batch work may fall behind its share before it goes before interactive work.
const BATCH_LAG_MS: f64 = 2_000.0;
/// Weight of the newest request in the average of slot times.
const COST_STEP: f64 = 0.05;
/// Bounds of what a refused caller is told to wait.
const RETRY_AFTER_MS: (f64, f64) = (100.0, 60_000.0);
/// Wait suggested when the pool has no host.
const NO_CAPACITY_RETRY_MS: u64 = 1_000;
/// What requests of a team that is not configured get.
const UNKNOWN_TEAM: Refusal = Refusal {
    reason: RefusalReason::UnknownTeam,
    retry_after_ms: 60_000,
};

/// A request that waited and waits no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// It starts now and holds a slot until it is released.
    Run(Ticket),
    /// It can no longer end in time and is refused.
    Refuse(Ticket, Refusal),
}

/// The requests of one pool at this node, and this node's part of the pool's capacity.
#[derive(Clone, Debug)]
pub struct Limits {
    pool: PoolKey,
    capacity_slots: f64,
    // Sorted by tag.
    teams: Vec<Team>,
    peers: PeerReports,
    // Slots that this node may fill: its parts of all teams' shares and of what nobody claims.
    own_slots: f64,
    running: u32,
    // Start tag of the request that started last, in milliseconds of this node's slots.
    virtual_ms: f64,
    next_ticket: u64,
}

impl Limits {
    /// A pool without capacity and teams.
    #[must_use]
    pub fn new(pool: PoolKey) -> Self {
        Self {
            pool,
            capacity_slots: 0.0,
            teams: Vec::new(),
            peers: PeerReports::default(),
            own_slots: 0.0,
            running: 0,
            virtual_ms: 0.0,
            next_ticket: 0,
        }
    }

    /// Sets what the whole fleet may run on the pool at once.
    pub fn set_capacity(&mut self, slots: f64, now: TimeMs) {
        self.capacity_slots = slots.max(0.0);
        self.share_out(now);
    }

    /// Sets the teams of a new revision; a team keeps its state by its tag.
    ///
    /// Requests of a team that is gone run to their end but are no longer counted.
    pub fn set_teams(&mut self, limits: &[TeamLimit], now: TimeMs) -> Vec<Wake> {
        let mut held = std::mem::take(&mut self.teams);
        for limit in limits {
            let index = held.iter().position(|team| team.limit.tag == limit.tag);
            let mut team = index.map_or_else(|| Team::new(*limit), |index| held.swap_remove(index));
            team.limit = *limit;
            self.teams.push(team);
        }
        self.teams.sort_by_key(|team| team.limit.tag);
        let mut woken = Vec::new();
        for mut gone in held {
            self.running = self.running.saturating_sub(gone.running);
            while let Some(waiting) = gone.queue.pop() {
                woken.push(Wake::Refuse(waiting.ticket, UNKNOWN_TEAM));
            }
        }
        self.share_out(now);
        woken
    }

    /// Decides on a request that has just arrived.
    ///
    /// A request that cannot be answered in time is refused at once rather than after its wait, so
    /// that its caller can go elsewhere. If it waits, [`Self::wake`] is to be called too.
    pub fn admit(&mut self, ask: AdmitAsk, now: TimeMs) -> Admission {
        let Ok(index) = self.find(ask.team) else {
            return Admission::Refuse(UNKNOWN_TEAM);
        };
        let team = &mut self.teams[index];
        if team.cost_ms <= 0.0 {
            team.cost_ms = ask.cost_ms;
        }
        self.share_out(now);
        let admission = self.decide(index, ask, now);
        if matches!(admission, Admission::Refuse(_)) {
            self.teams[index].note_refused(now);
        }
        admission
    }

    fn decide(&mut self, index: usize, ask: AdmitAsk, now: TimeMs) -> Admission {
        if self.capacity_slots <= 0.0 {
            return refuse(RefusalReason::NoCapacity, NO_CAPACITY_RETRY_MS);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.next_team().is_none() && self.has_room(ask.priority < BATCH_BELOW) {
            self.mark_arrival(index);
            self.start(index, ask);
            return Admission::Run(ticket);
        }
        let wait_ms = self.expected_wait_ms(index, ask.priority);
        let patience_ms = lossy(ask.patience_ms.min(now.until(ask.latest_start_ms)));
        let room = self.teams[index].queue.len() < self.max_waiting(index);
        match room {
            _ if wait_ms > patience_ms => {
                refuse(RefusalReason::TooLate, retry_after(wait_ms - patience_ms))
            }
            false => refuse(RefusalReason::TooManyWaiting, retry_after(wait_ms)),
            true => {
                self.push(index, Waiting { ticket, ask });
                Admission::Wait {
                    ticket,
                    expected_ms: whole(wait_ms),
                }
            }
        }
    }

    /// Ends a request of this team and priority that ran, after it held its slot for `held_ms`.
    pub fn release(&mut self, team: TeamTag, priority: u8, held_ms: f64) {
        // The team may be gone since, and its requests with it.
        if let Ok(index) = self.find(team) {
            let team = &mut self.teams[index];
            self.running = self.running.saturating_sub(1);
            team.running = team.running.saturating_sub(1);
            if priority >= BATCH_BELOW {
                team.interactive = team.interactive.saturating_sub(1);
            }
            team.cost_ms += (held_ms - team.cost_ms) * COST_STEP;
        }
    }

    /// Takes a request that waits out of the queue; tells whether it still waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.teams.iter_mut().any(|team| team.queue.remove(ticket))
    }

    /// Starts and refuses those that wait, as far as it is time.
    ///
    /// To be called after a release, a report, and a change of capacity.
    pub fn wake(&mut self, now: TimeMs) -> Vec<Wake> {
        let mut woken = self.refuse_late(now);
        self.share_out(now);
        while let Some((index, next)) = self.pop_next() {
            self.start(index, next.ask);
            woken.push(Wake::Run(next.ticket));
            self.share_out(now);
        }
        woken
    }

    /// What this node tells the others.
    #[must_use]
    pub fn report(&self) -> ShareReport {
        let mut report = ShareReport {
            nodes: 1,
            teams: Vec::new(),
        };
        for team in &self.teams {
            let demand = team.demand;
            if demand >= 0.5 {
                report.add(TeamUse {
                    team: team.limit.tag,
                    pool: self.pool,
                    running: narrow(f64::from(team.running)),
                    demand: narrow(demand),
                });
            }
        }
        report
    }

    /// Takes in what another node tells.
    pub fn merge(&mut self, from: Source, report: ShareReport, now: TimeMs) {
        self.peers.put(from, report, now);
    }

    /// Forgets a node that has left, so that its part moves to the others at once.
    pub fn forget(&mut self, from: Source) {
        self.peers.remove(from);
    }

    /// Requests that run and that wait here.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        let waiting = self.teams.iter().map(|team| team.queue.len()).sum();
        (self.running, waiting)
    }

    fn refuse_late(&mut self, now: TimeMs) -> Vec<Wake> {
        let mut woken = Vec::new();
        for team in &mut self.teams {
            let refusal = Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: retry_after(team.cost_ms),
            };
            let mut late = 0;
            team.queue.take_late(now, |waiting| {
                late += 1;
                woken.push(Wake::Refuse(waiting.ticket, refusal));
            });
            (0..late).for_each(|_| team.note_refused(now));
        }
        woken
    }

    fn find(&self, team: TeamTag) -> Result<usize, usize> {
        self.teams
            .binary_search_by_key(&team, |held| held.limit.tag)
    }

    fn push(&mut self, index: usize, waiting: Waiting) {
        self.mark_arrival(index);
        self.teams[index].queue.push(waiting);
    }

    /// Sets where a team's request starts in virtual time, if none waits there already.
    ///
    /// A team that wanted nothing for a while has not saved anything up.
    fn mark_arrival(&mut self, index: usize) {
        let virtual_ms = self.virtual_ms;
        let team = &mut self.teams[index];
        if team.queue.is_empty() {
            team.tag_ms = team.finish_ms.max(virtual_ms);
        }
    }

    /// Charges a request to its team: start-time fair queueing over the teams' parts.
    fn start(&mut self, index: usize, ask: AdmitAsk) {
        let team = &mut self.teams[index];
        self.virtual_ms = self.virtual_ms.max(team.tag_ms);
        team.finish_ms = team.tag_ms + ask.cost_ms / team.entitled_slots;
        team.tag_ms = team.finish_ms;
        team.running += 1;
        team.interactive += u32::from(ask.priority >= BATCH_BELOW);
        self.running += 1;
    }

    /// Whether one more request fits, or one more that yields to interactive work.
    fn has_room(&self, yields: bool) -> bool {
        let kept_free = if yields {
            (self.own_slots * BATCH_HEADROOM).floor()
        } else {
            0.0
        };
        f64::from(self.running) < self.own_slots - kept_free
    }

    /// The team whose request goes next.
    ///
    /// Teams below their parts come before those that would use what others leave; among them
    /// interactive work comes first unless a team's batch work is too far behind; then the team
    /// that is furthest behind.
    fn next_team(&self) -> Option<usize> {
        let heads = self.teams.iter().enumerate().filter_map(|(index, team)| {
            let head = team.queue.head()?;
            let behind_ms = self.virtual_ms - team.tag_ms;
            let yields = head.ask.priority < BATCH_BELOW && behind_ms < BATCH_LAG_MS;
            let above = f64::from(team.running) >= team.entitled_slots.max(1.0);
            let room = self.has_room(yields);
            room.then_some(((above, yields), team.tag_ms, index))
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

    /// Works out this node's part of the capacity from its own demand and what peers report.
    fn share_out(&mut self, now: TimeMs) {
        self.peers.forget_old(now);
        for team in &mut self.teams {
            team.follow_demand(now);
        }
        let claims = self.teams.iter().map(|team| Claim {
            weight: team.limit.weight,
            demand: team.demand + self.peer_demand(team),
        });
        let fleet = split(self.capacity_slots, &claims.collect::<Vec<_>>());
        let unclaimed = self.capacity_slots - fleet.shares.iter().sum::<f64>();
        self.own_slots = unclaimed.max(0.0) / self.nodes();
        for (index, share) in fleet.shares.iter().enumerate() {
            let team = &self.teams[index];
            let part = self.node_part(team, *share, team.demand);
            let most = share.max(team.limit.weight * fleet.level);
            let entitled = self.node_part(team, most, f64::INFINITY);
            self.own_slots += part;
            self.teams[index].part_slots = part;
            self.teams[index].entitled_slots = entitled.max(LEAST_SLOTS);
        }
    }

    /// This node's part of a team's share, if it could use `own_demand` slots.
    ///
    /// Nodes divide it like teams divide the capacity, with equal weights: a node through which
    /// little of the team's work comes gets what it needs, the others the rest. Dividing by demand
    /// would let the node with the longest queue squeeze out the others.
    fn node_part(&self, team: &Team, share: f64, own_demand: f64) -> f64 {
        let own = Claim {
            weight: 1.0,
            demand: own_demand,
        };
        let peers = self.peers.iter().map(|report| Claim {
            weight: f64::from(report.nodes),
            demand: report.demand(team.limit.tag, self.pool),
        });
        let claims: Vec<_> = std::iter::once(own).chain(peers).collect();
        split(share, &claims).shares[0]
    }

    fn peer_demand(&self, team: &Team) -> f64 {
        let reports = self.peers.iter();
        reports
            .map(|report| report.demand(team.limit.tag, self.pool))
            .sum()
    }

    fn nodes(&self) -> f64 {
        let peers = self.peers.iter().map(|report| f64::from(report.nodes));
        1.0 + peers.sum::<f64>()
    }

    /// How long a new request would wait if its team had its full share and no more.
    fn expected_wait_ms(&self, index: usize, priority: u8) -> f64 {
        let team = &self.teams[index];
        // Interactive requests that come later go before batch work that waits; those that run
        // tell how many to expect.
        let left_slots = if priority < BATCH_BELOW {
            (team.entitled_slots - f64::from(team.interactive)).max(LEAST_SLOTS)
        } else {
            team.entitled_slots
        };
        let ahead = f64::from(team.queue.ahead_of(priority)) + 1.0;
        let over = (f64::from(team.running) - team.entitled_slots).max(0.0);
        (ahead + over) * team.cost_ms / left_slots
    }

    fn max_waiting(&self, index: usize) -> u32 {
        let team = &self.teams[index];
        let own = team.demand + 1.0;
        let part = own / (own + self.peer_demand(team));
        let most = (f64::from(team.limit.max_waiting) * part).ceil();
        u32::try_from(whole(most)).unwrap_or(u32::MAX)
    }
}

fn refuse(reason: RefusalReason, retry_after_ms: u64) -> Admission {
    Admission::Refuse(Refusal {
        reason,
        retry_after_ms,
    })
}

fn retry_after(wait_ms: f64) -> u64 {
    whole(wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32 first"
)]
fn whole(value: f64) -> u64 {
    u64::from(value.ceil().clamp(0.0, f64::from(u32::MAX)) as u32)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a count of slots needs no more digits than f32 has"
)]
fn narrow(slots: f64) -> f32 {
    slots as f32
}

#[cfg(test)]
mod tests;
