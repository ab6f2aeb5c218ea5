//! Admits requests within their team's share, or refuses them before any work starts.

use std::sync::Arc;

use parking_lot::RwLock;

use super::core::{Authority, Core, REFUSAL_RETRY_MS};
use super::dependencies::{Dependencies, Peers};
use super::dispatch::latency_class;
use super::outcome::Reason;
use super::record::Order;
use super::{Outcome, Record, Work};
use crate::blackboard::{ActiveConfiguration, Blackboard, HostState};
use crate::document::Document;
use crate::document::checked::PoolKind;
use crate::keys::{Incarnation, PoolKey};
use crate::limits::{
    AdmissionRequest, DemandReport, Gate, Permit, Refusal, RefusalReason, ReportSource, TeamLimit,
    TeamTag,
};
use crate::node::messages::Request;
use crate::time::Clock;

/// Lowest priority of interactive classes; lower ones are batch work, which can wait until its
/// deadline.
const MIN_INTERACTIVE_PRIORITY: u8 = 3;

/// Expected slot hold time of a request until its team has completed requests to estimate from.
const INITIAL_HOLD_MS: f64 = 2_000.0;

/// Admission gates: one for each group of pools that share a model, one for each plain service.
#[derive(Debug, Default)]
pub struct Gates {
    /// Gates, sorted by the first pool of the group.
    gates: RwLock<Vec<(PoolKey, Arc<Gate>)>>,
    /// First pool of the group of each pool.
    groups: RwLock<Vec<PoolKey>>,
}

/// Result of [`Core::admit`].
#[derive(Debug)]
pub(super) enum AdmissionOutcome {
    /// The request runs; the permit is held until the request ends.
    Run(Option<Permit>),
    /// The request ends with this outcome before any work starts.
    End(Outcome),
    /// Another node takes the request over.
    Moved,
}

impl Gates {
    /// Applies the teams of the active configuration and the slots of the live hosts to the gates.
    pub fn refresh(&self, in_force: &ActiveConfiguration, blackboard: &Blackboard, clock: Clock) {
        let document = &in_force.document;
        let groups = groups(document);
        let teams: Vec<_> = document.teams.iter().map(TeamLimit::from).collect();
        let mut slots = vec![0.0; document.pools.len()];
        blackboard.for_each_host(|row| {
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
            let gate = self.get_or_create(group, clock);
            gate.set_teams(&teams);
            gate.set_capacity(slots[group.index()]);
        }
        *self.groups.write() = groups;
    }

    /// Returns the demand at this node's gates, for the peers.
    #[must_use]
    pub fn report(&self) -> DemandReport {
        let gates = self.gates.read();
        let reports: Vec<_> = gates.iter().map(|(_, gate)| gate.report()).collect();
        DemandReport {
            nodes: 1,
            ..DemandReport::sum(&reports)
        }
    }

    /// Merges the demand report of another node.
    pub fn merge(&self, from: Incarnation, report: &DemandReport) {
        for (_, gate) in self.gates.read().iter() {
            gate.merge(ReportSource::Node(from), report.clone());
        }
    }

    /// Returns the number of running and of waiting requests at this node.
    #[must_use]
    pub fn counts(&self) -> (u32, u32) {
        let gates = self.gates.read();
        let counts = gates.iter().map(|(_, gate)| gate.counts());
        counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Returns the gate of the group that a pool belongs to.
    fn gate_of_pool(&self, pool: PoolKey) -> Option<Arc<Gate>> {
        let group = *self.groups.read().get(pool.index())?;
        self.get(group)
    }

    fn get(&self, group: PoolKey) -> Option<Arc<Gate>> {
        let gates = self.gates.read();
        let index = gates.binary_search_by_key(&group, |(key, _)| *key).ok()?;
        Some(Arc::clone(&gates[index].1))
    }

    fn get_or_create(&self, group: PoolKey, clock: Clock) -> Arc<Gate> {
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

/// Returns the first pool of the group of each pool.
///
/// Pools that serve the same model share its requests. A request can run in any of them, so a
/// team's share is computed over the group and not for a single pool.
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

impl<L: Dependencies> Core<L> {
    /// Waits until a record can start, or until it is refused, cancelled or handed over.
    ///
    /// Only the home applies admission: a request that another node has already accepted is not
    /// refused here.
    pub(super) async fn admit(&self, record: &Record, authority: Authority) -> AdmissionOutcome {
        if authority != Authority::Home {
            return AdmissionOutcome::Run(None);
        }
        let Some((gate, request)) = self.gate_and_request(record) else {
            return AdmissionOutcome::End(Self::not_configured());
        };
        let acquired = gate.acquire(request);
        tokio::pin!(acquired);
        loop {
            tokio::select! {
                acquired = &mut acquired => return match acquired {
                    Ok(permit) => AdmissionOutcome::Run(Some(permit)),
                    Err(refusal) => AdmissionOutcome::End(refusal_outcome(refusal)),
                },
                order = record.next_order() => match order {
                    Order::Cancel => {
                        return AdmissionOutcome::End(Outcome::not_run(Reason::Cancelled, 0));
                    }
                    Order::HandOver => return AdmissionOutcome::Moved,
                    // A waiting request runs on no host, so there is nothing to move.
                    Order::Recompute { .. }
                    | Order::Resume { .. }
                    | Order::Warm { .. }
                    | Order::Export { .. } => {}
                },
            }
        }
    }

    fn gate_and_request(&self, record: &Record) -> Option<(Arc<Gate>, AdmissionRequest)> {
        let in_force = self.blackboard.active_configuration()?;
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
        let gate = self.gates.gate_of_pool(pool)?;
        let class = latency_class(&in_force, record);
        let now = self.clock.now();
        let latest_start_ms = record.call.deadline_ms;
        let max_wait_ms = match class.priority {
            priority if priority < MIN_INTERACTIVE_PRIORITY => now.until(latest_start_ms),
            _ => class.first_token_ms,
        };
        let request = AdmissionRequest {
            team: TeamTag::of(&record.call.team),
            priority: class.priority,
            expected_hold_ms: INITIAL_HOLD_MS,
            max_wait_ms,
            latest_start_ms,
        };
        Some((gate, request))
    }

    /// Sends the demand at this node's gates to the peers.
    pub async fn broadcast_demand(&self) {
        let report = self.gates.report();
        let peers = self
            .peers
            .live()
            .into_iter()
            .filter(|peer| *peer != self.own);
        let sends = peers.map(|peer| {
            let request = Request::Shares {
                from: self.own,
                report: report.clone(),
            };
            async move {
                // A peer that misses a report receives the next one.
                self.peers.call(peer, request).await.is_ok()
            }
        });
        futures::future::join_all(sends).await;
    }
}

fn refusal_outcome(refusal: Refusal) -> Outcome {
    let reason = match refusal.reason {
        RefusalReason::NoCapacity => Reason::NoUpstream,
        RefusalReason::UnknownTeam => Reason::NotConfigured,
        RefusalReason::TooLate | RefusalReason::TooManyWaiting => Reason::Overloaded,
    };
    Outcome::not_run(reason, refusal.retry_after_ms.max(REFUSAL_RETRY_MS / 10))
}

#[cfg(test)]
mod tests;
