//! Connects the requests and peers of a node with the scheduling of its pools.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use super::collect;
use super::demand::{DemandReport, Kind};
use super::room::Change;
use super::{Arrival, Entry, PoolScheduler, PoolView, Reason, Refused, WaitEnd};
use crate::gateway::clock;
use crate::gateway::num;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::limits::queue::Ticket;
use crate::time::TimeMs;

/// Interval at which the room is computed and waits are ended.
const TICK_MS: u64 = 50;

/// The scheduling of one pool with the requests that wait for it.
#[derive(Debug)]
struct Gate {
    /// Hash of the pool's name.
    tag: u64,
    pool: String,
    scheduler: PoolScheduler,
    /// Sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<WaitEnd>)>,
}

impl Gate {
    fn new(pool: &str) -> Self {
        Self {
            tag: tag(pool),
            pool: pool.to_owned(),
            scheduler: PoolScheduler::default(),
            waiting: Vec::new(),
        }
    }

    fn notify(&mut self, ended: Vec<WaitEnd>) {
        for end in ended {
            let found = (self.waiting).binary_search_by_key(&end.ticket, |(ticket, _)| *ticket);
            let Ok(index) = found else {
                continue;
            };
            let (_ticket, sender) = self.waiting.remove(index);
            if sender.send(end).is_err() {
                log::debug!(pool = self.pool.as_str(); "the caller of a waiting request left as its wait ended");
            }
        }
    }

    fn log_change(&self, change: Change) {
        let pool = self.pool.as_str();
        let demand_tokens_per_s = self.scheduler.demand_tokens_per_s();
        let startable_tokens_per_s = self.scheduler.startable_tokens_per_s();
        match change {
            Change::Began => {
                let backlog_ms = self.scheduler.room().least_backlog_ms;
                log::warn!(event = "pool_short", pool, backlog_ms, demand_tokens_per_s, startable_tokens_per_s; "the pool's engines cannot read in time what callers ask for; its room is divided among teams");
            }
            Change::Ended { after_ms } => {
                log::info!(event = "pool_short_ended", pool, after_ms, demand_tokens_per_s, startable_tokens_per_s; "the pool has room for what callers ask for; all requests start at once");
            }
        }
    }
}

/// What a gauge shows of one pool.
#[derive(Debug)]
pub(crate) struct PoolState<'a> {
    pub pool: &'a str,
    pub scheduler: &'a PoolScheduler,
}

/// The scheduling of all pools of engines; off until it is switched on.
#[derive(Debug, Default)]
pub(crate) struct Schedulers {
    is_on: bool,
    /// Sorted by tag.
    gates: Vec<Gate>,
}

/// The decision on a request that arrives.
enum Entered {
    Start,
    Wait(Ticket, oneshot::Receiver<WaitEnd>),
    Refuse(Refused),
}

impl Schedulers {
    /// Switches the scheduling on.
    pub fn switch_on(&mut self) {
        self.is_on = true;
    }

    /// Whether the scheduling is switched on.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Counts a request toward the demand on its pool, whether it is served or not.
    pub fn record_demand(&mut self, pool: &str, kind: Kind, tokens: f64, now: TimeMs) {
        if self.is_on {
            (self.gate_mut(pool).scheduler).record_demand(kind, tokens, now);
        }
    }

    /// Stores a peer's report; one on a pool that this node does not know is dropped.
    pub fn record_report(&mut self, report: DemandReport, now: TimeMs) {
        if let Ok(index) = self.find(report.pool) {
            self.gates[index].scheduler.record_report(report, now);
        }
    }

    /// Returns what this node reports to its group, of pools that are short.
    pub fn own_reports(&self, incarnation: u64, now: TimeMs) -> Vec<DemandReport> {
        let reports = self.gates.iter();
        reports
            .filter_map(|gate| gate.scheduler.own_report(gate.tag, incarnation, now))
            .collect()
    }

    /// Returns what the speaker of this group reports to other groups, of pools that are short.
    pub fn group_reports(&self, group: u64, now: TimeMs) -> Vec<DemandReport> {
        let reports = self.gates.iter();
        reports
            .filter_map(|gate| gate.scheduler.group_report(gate.tag, group, now))
            .collect()
    }

    /// Iterates over the state of all pools.
    pub fn iter(&self) -> impl Iterator<Item = PoolState<'_>> {
        self.gates.iter().map(|gate| PoolState {
            pool: &gate.pool,
            scheduler: &gate.scheduler,
        })
    }

    pub(super) fn refresh(&mut self, pool: &str, view: &PoolView, now: TimeMs) {
        if !self.is_on {
            return;
        }
        let gate = self.gate_mut(pool);
        if let Some(change) = gate.scheduler.refresh(view, now) {
            gate.log_change(change);
        }
        let ended = gate.scheduler.poll(now);
        gate.notify(ended);
    }

    /// Refuses all waiting requests.
    fn stop(&mut self, now: TimeMs) {
        for gate in &mut self.gates {
            let ended = gate.scheduler.stop(now);
            gate.notify(ended);
        }
    }

    /// Removes the pools that the configuration no longer has and starts what waits for them.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: TimeMs) {
        for gate in &mut self.gates {
            if !is_known(&gate.pool) {
                let ended = gate.scheduler.release(now);
                gate.notify(ended);
            }
        }
        self.gates.retain(|gate| is_known(&gate.pool));
    }

    fn enter(&mut self, pool: &str, arrival: Arrival, now: TimeMs) -> Entered {
        let gate = self.gate_mut(pool);
        match gate.scheduler.enter(arrival, now) {
            Entry::Start => Entered::Start,
            Entry::Refuse(refused) => Entered::Refuse(refused),
            Entry::Wait(ticket) => {
                let (sender, ended) = oneshot::channel();
                // Ticket numbers increase, so the list stays sorted.
                gate.waiting.push((ticket, sender));
                Entered::Wait(ticket, ended)
            }
        }
    }

    fn leave(&mut self, pool: &str, ticket: Ticket) {
        let gate = self.gate_mut(pool);
        let found = (gate.waiting).binary_search_by_key(&ticket, |(waiting, _)| *waiting);
        if let Ok(index) = found {
            gate.waiting.remove(index);
            gate.scheduler.leave(ticket);
        }
    }

    fn refused(&mut self, pool: &str, reason: Reason, arrival: &Arrival, now: TimeMs) -> Refused {
        self.gate_mut(pool).scheduler.refused(reason, arrival, now)
    }

    fn gate_mut(&mut self, pool: &str) -> &mut Gate {
        let index = self.find(tag(pool)).unwrap_or_else(|index| {
            self.gates.insert(index, Gate::new(pool));
            index
        });
        &mut self.gates[index]
    }

    fn find(&self, pool: u64) -> Result<usize, usize> {
        self.gates.binary_search_by_key(&pool, |gate| gate.tag)
    }
}

/// Removes a request from the queue when its caller leaves.
struct Waiter<'a> {
    node: &'a Gateway,
    pool: &'a str,
    ticket: Ticket,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.node.scheduling.lock().leave(self.pool, self.ticket);
    }
}

/// Waits until a request may start; returns the time that it waited in milliseconds.
///
/// # Errors
///
/// The refusal, and the time that the request waited for it; nothing has been done for the request.
pub(crate) async fn acquire(
    node: &Gateway,
    pool: &str,
    arrival: Arrival,
) -> Result<u64, (Refused, u64)> {
    let entered = (node.scheduling.lock()).enter(pool, arrival, clock::now());
    let (ticket, ended) = match entered {
        Entered::Start => return Ok(0),
        Entered::Refuse(refused) => return Err((refused, 0)),
        Entered::Wait(ticket, ended) => (ticket, ended),
    };
    let waiter = Waiter { node, pool, ticket };
    let ended = ended.await;
    drop(waiter);
    let (result, waited_ms) = match ended {
        Ok(end) => (end.result, end.waited_ms),
        // Each wait ends with a result before its sender is dropped; starting is the safe reading.
        Err(_dropped) => (Ok(()), 0),
    };
    metrics::histogram!("teaselline_queue_ms", "pool" => pool.to_owned())
        .record(num::to_f64(waited_ms));
    result.map(|()| waited_ms).map_err(|reason| {
        let refused = (node.scheduling.lock()).refused(pool, reason, &arrival, clock::now());
        (refused, waited_ms)
    })
}

/// Keeps the view of each pool's room up to date and ends waits, until the process exits.
pub(crate) async fn run(node: Arc<Gateway>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = clock::now();
        if node.is_stopping() {
            node.scheduling.lock().stop(now);
        }
        collect::refresh_all(&node, now);
    }
}
