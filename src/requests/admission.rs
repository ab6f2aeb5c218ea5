//! Lets requests start as their team's share allows, or refuses them before any work.

use std::sync::Arc;

use parking_lot::RwLock;

use super::core::{Core, RETRY_SOON_MS, Right};
use super::dispatch::latency_class;
use super::links::{Links, Peers};
use super::outcome::Reason;
use super::record::Order;
use super::{Outcome, Record, Work};
use crate::blackboard::{Blackboard, HostState, InForce};
use crate::document::Document;
use crate::document::checked::PoolKind;
use crate::keys::{Incarnation, PoolKey};
use crate::limits::{
    AdmissionRequest, DemandReport, Gate, Permit, Refusal, RefusalReason, ReportSource, TeamLimit,
    TeamTag,
};
use crate::node::messages::Request;
use crate::time::Clock;

/// Latency classes below this priority are batch work, which may wait until its deadline.
const INTERACTIVE_PRIORITY: u8 = 3;

/// Time that a request is taken to hold a slot until its team has shown otherwise.
const COST_MS: f64 = 2_000.0;

/// One gate for each group of pools that share a model, and one for each plain service.
#[derive(Debug, Default)]
pub struct Gates {
    /// By the group's first pool, sorted.
    gates: RwLock<Vec<(PoolKey, Arc<Gate>)>>,
    /// For each pool the first pool of its group.
    groups: RwLock<Vec<PoolKey>>,
}

/// What came of asking for admission.
#[derive(Debug)]
pub(super) enum Admitted {
    /// It may run; the pass is held until it has ended.
    Run(Option<Permit>),
    /// It ends so, before any work.
    End(Outcome),
    /// Another node takes it over.
    Moved,
}

impl Gates {
    /// Fits the gates to the document in force and to the hosts that take work.
    pub fn refresh(&self, in_force: &InForce, blackboard: &Blackboard, clock: Clock) {
        let document = &in_force.document;
        let groups = groups(document);
        let teams: Vec<_> = document.teams.iter().map(TeamLimit::from).collect();
        let mut slots = vec![0.0; document.pools.len()];
        blackboard.visit_hosts(|row| {
            let (group, class) = (
                groups.get(row.pool.index()),
                document.host_classes.get(row.class.index()),
            );
            if let (Some(group), Some(class), HostState::Live) = (group, class, row.state) {
                let reported = row.load.slots;
                slots[group.index()] +=
                    f64::from(if reported > 0 { reported } else { class.slots });
            }
        });
        for group in groups.iter().copied() {
            let gate = self.make(group, clock);
            gate.set_teams(&teams);
            gate.set_capacity(slots[group.index()]);
        }
        *self.groups.write() = groups;
    }

    /// What this node tells the others about the demand at its gates.
    #[must_use]
    pub fn report(&self) -> DemandReport {
        let gates = self.gates.read();
        let reports: Vec<_> = gates.iter().map(|(_, gate)| gate.report()).collect();
        DemandReport {
            nodes: 1,
            ..DemandReport::sum(&reports)
        }
    }

    /// Takes in what another node tells.
    pub fn merge(&self, from: Incarnation, report: &DemandReport) {
        for (_, gate) in self.gates.read().iter() {
            gate.merge(ReportSource::Node(from), report.clone());
        }
    }

    /// Requests that run and that wait here.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        let gates = self.gates.read();
        let counts = gates.iter().map(|(_, gate)| gate.counts());
        counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// The gate of the group that a pool belongs to.
    fn of_pool(&self, pool: PoolKey) -> Option<Arc<Gate>> {
        let group = *self.groups.read().get(pool.index())?;
        self.get(group)
    }

    fn get(&self, group: PoolKey) -> Option<Arc<Gate>> {
        let gates = self.gates.read();
        let index = gates.binary_search_by_key(&group, |(key, _)| *key).ok()?;
        Some(Arc::clone(&gates[index].1))
    }

    fn make(&self, group: PoolKey, clock: Clock) -> Arc<Gate> {
        if let Some(gate) = self.get(group) {
            return gate;
        }
        let mut gates = self.gates.write();
        match gates.binary_search_by_key(&group, |(key, _)| *key) {
            Ok(index) => Arc::clone(&gates[index].1),
            Err(index) => {
                let gate = Gate::new(group, clock);
                gates.insert(index, (group, Arc::clone(&gate)));
                gate
            }
        }
    }
}

/// For each pool the first pool of its group.
///
/// Pools that serve the same model serve its requests together; a share of one alone would mean
/// nothing to a team whose requests go to either.
fn groups(document: &Document) -> Vec<PoolKey> {
    let mut groups: Vec<_> = (0..document.pools.len()).map(PoolKey::from).collect();
    let shares = |a: usize, b: usize| match (&document.pools[a].kind, &document.pools[b].kind) {
        (PoolKind::Engine { models: a, .. }, PoolKind::Engine { models: b, .. }) => {
            a.iter().any(|model| b.binary_search(model).is_ok())
        }
        _ => false,
    };
    for later in 0..groups.len() {
        for earlier in 0..later {
            if shares(earlier, later) {
                let (from, to) = (groups[later], groups[earlier].min(groups[later]));
                let other = groups[earlier].max(from);
                for group in &mut groups {
                    if *group == other || *group == from {
                        *group = to;
                    }
                }
            }
        }
    }
    groups
}

impl<L: Links> Core<L> {
    /// Waits until a record may start, or ends it.
    ///
    /// Only the home asks: what another node has accepted before is not refused on its account.
    pub(super) async fn admit(&self, record: &Record, right: Right) -> Admitted {
        if right != Right::Home {
            return Admitted::Run(None);
        }
        let Some((gate, ask)) = self.gate_of(record) else {
            return Admitted::End(Self::not_configured());
        };
        let entered = gate.acquire(ask);
        tokio::pin!(entered);
        loop {
            tokio::select! {
                entered = &mut entered => return match entered {
                    Ok(pass) => Admitted::Run(Some(pass)),
                    Err(refusal) => Admitted::End(refused(refusal)),
                },
                order = record.next_order() => match order {
                    Order::Cancel => {
                        return Admitted::End(Outcome::not_run(Reason::Cancelled, 0));
                    }
                    Order::HandOver => return Admitted::Moved,
                    // It is on no host that it could be moved from.
                    Order::Recompute { .. }
                    | Order::Resume { .. }
                    | Order::Warm { .. }
                    | Order::Export { .. } => {}
                },
            }
        }
    }

    fn gate_of(&self, record: &Record) -> Option<(Arc<Gate>, AdmissionRequest)> {
        let in_force = self.blackboard.in_force()?;
        let document = &in_force.document;
        let pool = match &record.call.work {
            Work::Completion { model, .. } => {
                let model = document.find_model(model)?;
                let serves = |kind: &PoolKind| match kind {
                    PoolKind::Engine { models, .. } => models.binary_search(&model).is_ok(),
                    PoolKind::Service { .. } => false,
                };
                PoolKey::from(document.pools.iter().position(|pool| serves(&pool.kind))?)
            }
            Work::Service { service, .. } => document.find_pool(service)?,
        };
        let gate = self.gates.of_pool(pool)?;
        let class = latency_class(&in_force, record);
        let now = self.clock.now();
        let latest_start_ms = record.call.deadline_ms;
        let patience_ms = match class.priority {
            priority if priority < INTERACTIVE_PRIORITY => now.until(latest_start_ms),
            _ => class.first_token_ms,
        };
        let ask = AdmissionRequest {
            team: TeamTag::of(&record.call.team),
            priority: class.priority,
            expected_hold_ms: COST_MS,
            max_wait_ms: patience_ms,
            latest_start_ms,
        };
        Some((gate, ask))
    }

    /// Tells the peers about the demand at this node's gates.
    pub async fn tell_shares(&self) {
        let report = self.gates.report();
        let peers = self
            .peers
            .live()
            .into_iter()
            .filter(|peer| *peer != self.own);
        let told = peers.map(|peer| {
            let request = Request::Shares {
                from: self.own,
                report: report.clone(),
            };
            async move {
                // A peer that misses a report hears the next one.
                self.peers.call(peer, request).await.is_ok()
            }
        });
        futures::future::join_all(told).await;
    }
}

fn refused(refusal: Refusal) -> Outcome {
    let reason = match refusal.reason {
        RefusalReason::NoCapacity => Reason::NoUpstream,
        RefusalReason::UnknownTeam => Reason::NotConfigured,
        RefusalReason::TooLate | RefusalReason::TooManyWaiting => Reason::Overloaded,
    };
    Outcome::not_run(reason, refusal.retry_after_ms.max(RETRY_SOON_MS / 10))
}

#[cfg(test)]
mod tests;
