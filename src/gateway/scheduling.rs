//! Decides which requests start while a pool of engines has less room than callers ask for.
//!
//! Active where a setting asks for it, and only while a pool is short: else every request starts at once. Its room is
//! divided among teams by weighted max-min fairness and among a team's urgencies
//! ([`allocation`]); each node starts that fraction of the requests of a kind that it receives, and
//! refuses the others at once. Requests that may start but that every engine would delay wait in a
//! short queue ([`queue`]). `docs/design/shortage.md` gives the reasons.

pub(crate) mod allocation;
mod collect;
pub(crate) mod demand;
pub(crate) mod gate;
pub(crate) mod queue;
pub(crate) mod retry_after;
pub(crate) mod room;

use self::allocation::{Allocation, Weights};
use self::demand::{DemandReport, Kind, KindDemand, OwnDemand, PeerDemand, Source, fleet_demand};
use self::queue::NodeQueue;
pub(crate) use self::queue::{Arrival, Reason, WaitEnd};
use self::room::{Change, FleetLoad, Pacer, Room, Shortage};
use crate::limits::queue::Ticket;
use crate::time::TimeMs;

/// Age at which the division of the room is computed anew; reports come as often.
const DIVIDE_MS: u64 = 200;

/// Makes the draw of the admission independent of other uses of the same draw.
const ADMISSION_SALT: u64 = 0xC2B2_AE3D_27D4_EB4F;

/// What this node knows of a pool besides the demand.
#[derive(Clone, Debug)]
pub(crate) struct PoolView {
    pub room: Room,
    /// Shortest target for the first token of the routes to the pool.
    pub target_ms: f64,
    /// Number of nodes, whether they are heard or not.
    pub known_nodes: u32,
    pub weights: Weights,
}

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Entry {
    /// The request is sent now.
    Start,
    /// The request waits; a [`WaitEnd`] with its ticket follows.
    Wait(Ticket),
    /// The request is refused; nothing has been done for it.
    Refuse(Refused),
}

/// A refusal for want of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub reason: Reason,
    /// Suggested delay until the caller's next attempt.
    pub retry_after_ms: u64,
}

/// The scheduling of one pool at one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolScheduler {
    own: OwnDemand,
    peers: PeerDemand,
    shortage: Shortage,
    pacer: Pacer,
    allocation: Allocation,
    queue: NodeQueue,
    room: Room,
    target_ms: f64,
    divided_at: TimeMs,
    demand_tokens_per_s: f64,
}

impl PoolScheduler {
    /// Whether the pool is short of room.
    pub fn is_short(&self) -> bool {
        self.shortage.is_short()
    }

    /// Returns the room at the last refresh.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Returns what callers ask of all nodes, as of the last division of the room.
    pub fn demand_tokens_per_s(&self) -> f64 {
        self.demand_tokens_per_s
    }

    /// Returns what may be started on all nodes together.
    pub fn startable_tokens_per_s(&self) -> f64 {
        (self.pacer).startable_tokens_per_s(&self.room, self.target_ms)
    }

    /// Returns the queue.
    pub fn queue(&self) -> &NodeQueue {
        &self.queue
    }

    /// Counts a request toward the demand, whether it is served or not.
    pub fn record_demand(&mut self, kind: Kind, tokens: f64, now: TimeMs) {
        self.own.record(kind, tokens, now);
    }

    /// Stores a peer's report.
    pub fn record_report(&mut self, report: DemandReport, now: TimeMs) {
        self.peers.record(report, now);
    }

    /// Computes from the present view whether the pool is short, and how its room is divided.
    pub fn refresh(&mut self, view: &PoolView, now: TimeMs) -> Option<Change> {
        self.room = view.room;
        self.target_ms = view.target_ms;
        self.peers.remove_expired(now);
        if self.is_short() {
            self.pacer.update(&view.room, view.target_ms, now);
        }
        let is_reported_short = self.peers.node_count() > 0;
        if now.since(self.divided_at) >= DIVIDE_MS {
            self.divided_at = now;
            self.own.remove_idle(now);
            if self.is_short() || is_reported_short {
                self.divide(view, now);
            }
        }
        let load = FleetLoad {
            demand_tokens_per_s: self.demand_tokens_per_s,
            startable_tokens_per_s: (self.pacer).startable_tokens_per_s(&view.room, view.target_ms),
            is_reported_short,
        };
        let change = (self.shortage).update(&view.room, view.target_ms, &load, now);
        if change == Some(Change::Began) {
            self.divide(view, now);
        }
        change
    }

    fn divide(&mut self, view: &PoolView, now: TimeMs) {
        let demand = fleet_demand(&self.own.kinds(now), &self.peers, view.known_nodes);
        self.demand_tokens_per_s = demand::total(&demand);
        let startable = (self.pacer).startable_tokens_per_s(&view.room, view.target_ms);
        (self.allocation).divide(startable, &demand, &view.weights, now);
    }

    /// Decides on a request that arrives.
    pub fn enter(&mut self, arrival: Arrival, now: TimeMs) -> Entry {
        if !self.is_short() {
            return Entry::Start;
        }
        let fraction = self.allocation.fraction(arrival.kind);
        let draw = scramble(arrival.draw ^ ADMISSION_SALT);
        let entered = if retry_after::unit(draw) < fraction {
            (self.queue).enter(arrival, &self.room, self.target_ms, now)
        } else {
            Err(Reason::OverShare)
        };
        match entered {
            Ok(None) => {
                self.room = self.room.after_start(arrival.tokens);
                Entry::Start
            }
            Ok(Some(ticket)) => Entry::Wait(ticket),
            Err(reason) => Entry::Refuse(self.refused(reason, &arrival, now)),
        }
    }

    /// Returns the refusal of a request for a reason.
    pub fn refused(&self, reason: Reason, arrival: &Arrival, now: TimeMs) -> Refused {
        let left_ms = now.until(arrival.deadline);
        Refused {
            reason,
            retry_after_ms: retry_after::retry_after_ms(
                self.allocation.overload,
                scramble(arrival.draw),
                left_ms,
            ),
        }
    }

    /// Ends the waits that end now.
    pub fn poll(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        if self.is_short() {
            return self.queue.poll(&mut self.room, self.target_ms, now);
        }
        self.release(now)
    }

    /// Refuses all waiting requests, because the node is stopping.
    pub fn stop(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        self.queue.drain(Err(Reason::Stopping), now)
    }

    /// Starts all waiting requests, because the pool is no longer scheduled.
    pub fn release(&mut self, now: TimeMs) -> Vec<WaitEnd> {
        self.queue.drain(Ok(()), now)
    }

    /// Removes a waiting request whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Returns this node's demand, for the nodes of its group; `None` while the pool is not short.
    pub fn own_report(&self, pool: u64, incarnation: u64, now: TimeMs) -> Option<DemandReport> {
        let report = || DemandReport {
            source: Source::Node(incarnation),
            pool,
            nodes: 1,
            kinds: self.own.kinds(now),
        };
        self.is_short().then(report)
    }

    /// Returns the demand at the nodes of this group, for other groups; `None` while the pool is
    /// not short.
    pub fn group_report(&self, pool: u64, group: u64, now: TimeMs) -> Option<DemandReport> {
        let report = || {
            let own: Vec<KindDemand> = self.own.kinds(now);
            let (nodes, others) = self.peers.of_group();
            DemandReport {
                source: Source::Group(group),
                pool,
                nodes: nodes.saturating_add(1),
                kinds: demand::sum_by_kind(own.iter().chain(others)),
            }
        };
        self.is_short().then(report)
    }
}

/// Returns a hash of a uniform draw; it is uniform too and independent of the draw's own bits.
fn scramble(draw: u64) -> u64 {
    twox_hash::XxHash3_64::oneshot(&draw.to_le_bytes())
}

#[cfg(test)]
mod tests;
